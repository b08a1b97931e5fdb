"""Large losses in one data centre, which take seconds to be known to all of it."""

from .config import FleetConfig

__all__ = ["MassLoss"]

N_LARGE = 8
LARGE_SHARE = 4
"""Deaths of one part in so many, and at least `N_LARGE`, are a large loss."""
N_MANY = 2
N_SMALL = 16
"""In a smaller data centre news takes no longer than the lease's margin."""


class MassLoss:
    """Notices that many instances of a data centre died within a short time.

    The deaths become known one by one. Until they have all arrived, an instance of a
    minority would take itself for one of the majority.

    Parameters
    ----------
    config : FleetConfig
        The times.
    """

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._first_ms = 0
        self._last_ms = 0
        self._is_counting = False
        self._is_sized = False

    def tick(self, died_ms: list[int], n_live: int, now_ms: int) -> None:
        """Take in when each lost instance was found dead.

        Parameters
        ----------
        died_ms : list of int
            Times at which the lost ones were found dead.
        n_live : int
            Live instances of the data centre.
        now_ms : int
            Time of this tick.
        """
        recent = [at for at in died_ms if at >= now_ms - self._config.mass_window_ms]
        n_all = n_live + len(recent)
        self._is_sized = n_all >= N_SMALL
        if len(recent) >= N_MANY and self._is_sized:
            if min(recent) > self._last_ms:
                self._first_ms = min(recent)
            self._last_ms = max(recent)
        is_large = len(recent) >= max(N_LARGE, n_all // LARGE_SHARE)
        is_quiet = not recent or now_ms - max(recent) > self._config.mass_quiet_ms
        self._is_counting = (is_large or self._is_counting) and not is_quiet

    @property
    def is_counting(self) -> bool:
        """Whether further deaths of a large loss may be on their way."""
        return self._is_counting

    def roles_from_ms(self, died_ms: int, lapsed_ms: int) -> int:
        """Return when the roles of a dead instance may be used.

        Parameters
        ----------
        died_ms : int
            When it was found dead.
        lapsed_ms : int
            When its lease has lapsed, unless it takes itself for one of a majority.
        """
        if not self._is_sized:
            return lapsed_ms
        if self._first_ms <= died_ms <= self._last_ms:
            return lapsed_ms + self._config.mass_wait_ms
        return max(lapsed_ms, died_ms + self._config.mass_news_ms)
