"""Mass failures in one data centre, which take seconds to be detected everywhere."""

from .config import FleetConfig

__all__ = ["MassFailure"]

N_MASS_MIN = 8
MASS_DIVISOR = 4
"""At least 1/4 of the instances, and at least `N_MASS_MIN`, make a mass failure."""
N_GROUP_MIN = 2
N_DATA_CENTRE_MIN = 16
"""In a smaller data centre, dissemination takes no longer than the lease margin."""


class MassFailure:
    """Detects that many instances of a data centre failed within a short time.

    The failures are detected one by one. Until all of them are known, an instance in
    a minority would still count itself as part of the majority.

    Parameters
    ----------
    config : FleetConfig
        Timeouts of mass failures.
    """

    def __init__(self, config: FleetConfig) -> None:
        self._config = config
        self._first_ms = 0
        self._last_ms = 0
        self._is_in_progress = False
        self._is_applicable = False

    def tick(self, failed_ms: list[int], n_live: int, now_ms: int) -> None:
        """Update the detection with the failure times of all failed instances.

        Parameters
        ----------
        failed_ms : list of int
            Times at which the failures were detected.
        n_live : int
            Number of live instances of the data centre.
        now_ms : int
            Time of this tick.
        """
        recent = [at for at in failed_ms if at >= now_ms - self._config.mass_window_ms]
        n_all = n_live + len(recent)
        self._is_applicable = n_all >= N_DATA_CENTRE_MIN
        if len(recent) >= N_GROUP_MIN and self._is_applicable:
            if min(recent) > self._last_ms:
                self._first_ms = min(recent)
            self._last_ms = max(recent)
        is_large = len(recent) >= max(N_MASS_MIN, n_all // MASS_DIVISOR)
        is_quiet = not recent or now_ms - max(recent) > self._config.mass_quiet_ms
        self._is_in_progress = (is_large or self._is_in_progress) and not is_quiet

    @property
    def is_in_progress(self) -> bool:
        """Whether further failures of a mass failure may not be detected yet."""
        return self._is_in_progress

    def roles_from_ms(self, failed_ms: int, lease_expired_ms: int) -> int:
        """Return the time from which the roles of a failed instance may be used.

        Parameters
        ----------
        failed_ms : int
            Time at which its failure was detected.
        lease_expired_ms : int
            Time at which its lease has expired, unless it wrongly counts itself as
            part of a majority.
        """
        if not self._is_applicable:
            return lease_expired_ms
        if self._first_ms <= failed_ms <= self._last_ms:
            return lease_expired_ms + self._config.mass_wait_ms
        return max(lease_expired_ms, failed_ms + self._config.mass_dissemination_ms)
