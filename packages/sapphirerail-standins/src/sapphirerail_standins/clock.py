"""Real and virtual clocks with timers for the stand-ins."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

__all__ = ["Clock", "LoopClock", "Timer", "VirtualClock"]


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""
        ...


class Clock(Protocol):
    """Time and timers as a stand-in uses them."""

    def now_ms(self) -> int:
        """Return the time in milliseconds since an arbitrary fixed moment."""
        ...

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule one call after a delay."""
        ...


class LoopClock:
    """The machine's monotonic clock and the running loop's timers.

    All processes of one machine read the same time, so that their records can be
    merged in order.
    """

    def now_ms(self) -> int:
        """Return the machine's monotonic time."""
        return time.monotonic_ns() // 1_000_000

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule one call in the running loop."""
        return asyncio.get_running_loop().call_later(delay_ms / 1000, call)


class _VirtualTimer:
    """A scheduled call in the queue of a `VirtualClock`."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class VirtualClock:
    """A clock that advances only in `run_until`.

    Examples
    --------
    >>> clock = VirtualClock()
    >>> _ = clock.call_later(10, lambda: print(clock.now_ms()))
    >>> clock.run_until(15)
    10
    >>> clock.now_ms()
    15
    """

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, _VirtualTimer]] = []

    def now_ms(self) -> int:
        """Return the virtual time."""
        return int(self._now_ms)

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule one call for the moment when the clock has advanced by a delay."""
        timer = _VirtualTimer(call)
        entry = (self._now_ms + delay_ms, next(self._order), timer)
        heapq.heappush(self._queue, entry)
        return timer

    def run_until(self, end_ms: float) -> None:
        """Advance the clock to a moment and run the calls that are due."""
        while self._queue and self._queue[0][0] <= end_ms:
            self._now_ms, _, timer = heapq.heappop(self._queue)
            call, timer.call = timer.call, None
            if call is not None:
                call()
        self._now_ms = max(self._now_ms, end_ms)
