"""Rate limit on what one instance sends to a cold server (slow start)."""

from collections import deque

from .config import SteeringConfig

__all__ = ["ColdBudget"]

WINDOW_MS = 1_000


class ColdBudget:
    """Sliding-window limit on the openings from one instance to one cold server.

    The server's limit applies to all instances together. One instance at a time sends
    to a cold server; while instances disagree on which one, up to ``n_cold_senders``
    may send, so each is limited to its share.

    Parameters
    ----------
    n_cold_per_s : float
        Requests per second that the cold server can handle.
    config : SteeringConfig
        Overshoot factor, slack and number of senders.

    Examples
    --------
    >>> budget = ColdBudget(0.0, SteeringConfig())
    >>> [budget.try_consume(at_ms) for at_ms in (0, 10, 20, 1_100)]
    [True, True, False, True]
    """

    def __init__(self, n_cold_per_s: float, config: SteeringConfig) -> None:
        limit = n_cold_per_s * config.cold_overshoot + config.n_cold_slack
        self._n_max = max(1, int(limit / config.n_cold_senders))
        self._sent_ms: deque[int] = deque()

    def has_capacity(self, now_ms: int) -> bool:
        """Return whether another opening may be sent now."""
        while self._sent_ms and now_ms - self._sent_ms[0] > WINDOW_MS:
            self._sent_ms.popleft()
        return len(self._sent_ms) < self._n_max

    def try_consume(self, now_ms: int) -> bool:
        """Count an opening if the limit allows it, and return whether it does."""
        if not self.has_capacity(now_ms):
            return False
        self._sent_ms.append(now_ms)
        return True
