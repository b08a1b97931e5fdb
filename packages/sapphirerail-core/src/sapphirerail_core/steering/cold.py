"""How much a cold server gets from one instance."""

from collections import deque

from .config import SteeringConfig

__all__ = ["ColdBudget"]

WINDOW_MS = 1_000


class ColdBudget:
    """Counts the openings that one instance sends to one cold server.

    The limit holds for all instances together. Each cold server has one sender at a
    time; while instances disagree on who that is, up to ``n_cold_senders`` may send,
    so that each gets its part of the limit only.

    Parameters
    ----------
    n_cold_per_s : float
        Requests a second that the cold server bears.
    config : SteeringConfig
        Overshoot, slack and number of senders.

    Examples
    --------
    >>> budget = ColdBudget(0.0, SteeringConfig())
    >>> budget.take(0), budget.take(10), budget.take(20), budget.take(1_100)
    (True, True, False, True)
    """

    def __init__(self, n_cold_per_s: float, config: SteeringConfig) -> None:
        limit = n_cold_per_s * config.cold_overshoot + config.n_cold_slack
        self._n_max = max(1, int(limit / config.n_cold_senders))
        self._sent_ms: deque[int] = deque()

    def has_room(self, now_ms: int) -> bool:
        """Return whether one more opening may be sent."""
        while self._sent_ms and now_ms - self._sent_ms[0] > WINDOW_MS:
            self._sent_ms.popleft()
        return len(self._sent_ms) < self._n_max

    def take(self, now_ms: int) -> bool:
        """Count an opening if it may be sent, and return whether it may."""
        if not self.has_room(now_ms):
            return False
        self._sent_ms.append(now_ms)
        return True
