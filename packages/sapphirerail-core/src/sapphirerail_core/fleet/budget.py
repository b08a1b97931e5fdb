"""Limit on the bytes sent per tick."""

__all__ = ["TickBudget"]


class TickBudget:
    """Limits the bytes of responses, independent of the number of requests.

    Parameters
    ----------
    tick_bytes : int
        Bytes that may be sent per tick. The last message may exceed the limit.
    """

    def __init__(self, tick_bytes: int) -> None:
        self._tick_bytes = tick_bytes
        self._left_bytes = tick_bytes

    def refill(self) -> None:
        """Start the next tick; an overrun of the previous one is subtracted."""
        self._left_bytes = min(self._left_bytes, 0) + self._tick_bytes

    @property
    def is_spent(self) -> bool:
        """Whether the budget of this tick is used up."""
        return self._left_bytes <= 0

    def spend(self, n_bytes: int) -> None:
        """Subtract the bytes of a sent message."""
        self._left_bytes -= n_bytes
