"""Bytes that may be sent between two ticks."""

__all__ = ["TickBudget"]


class TickBudget:
    """Bounds what is sent in answer to others, whatever they ask.

    Parameters
    ----------
    tick_bytes : int
        Bytes that may be sent between two ticks. The last message may exceed them.
    """

    def __init__(self, tick_bytes: int) -> None:
        self._tick_bytes = tick_bytes
        self._left_bytes = tick_bytes

    def refill(self) -> None:
        """Allow the bytes of one more tick; what was exceeded is taken off."""
        self._left_bytes = min(self._left_bytes, 0) + self._tick_bytes

    @property
    def is_spent(self) -> bool:
        """Whether nothing may be sent before the next tick."""
        return self._left_bytes <= 0

    def spend(self, n_bytes: int) -> None:
        """Count a message that is sent."""
        self._left_bytes -= n_bytes
