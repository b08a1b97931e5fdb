"""Time and timers, real or virtual, that the stand-ins run on."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable
from typing import Protocol

__all__ = ["Clock", "LoopClock", "Timer", "VirtualClock"]


class Timer(Protocol):
    """A call that waits for its time."""

    def cancel(self) -> None:
        """Give the call up."""
        ...


class Clock(Protocol):
    """What a stand-in needs to know of time."""

    def now_ms(self) -> int:
        """Return the time in milliseconds since any fixed moment."""
        ...

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Call back once after a delay."""
        ...


class LoopClock:
    """The machine's monotonic clock and the running loop's timers.

    All processes of one machine read the same time, so that their records can be
    put in order.
    """

    def now_ms(self) -> int:
        """Return the machine's monotonic time."""
        return time.monotonic_ns() // 1_000_000

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Call back once from the running loop."""
        return asyncio.get_running_loop().call_later(delay_ms / 1000, call)


class _VirtualTimer:
    """A call in the queue of a `VirtualClock`."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Give the call up."""
        self.call = None


class VirtualClock:
    """A clock that only moves when it is told to.

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
        """Call back once when the clock gets there."""
        timer = _VirtualTimer(call)
        entry = (self._now_ms + delay_ms, next(self._order), timer)
        heapq.heappush(self._queue, entry)
        return timer

    def run_until(self, end_ms: float) -> None:
        """Move the clock to a moment and make the calls that are due."""
        while self._queue and self._queue[0][0] <= end_ms:
            self._now_ms, _, timer = heapq.heappop(self._queue)
            call, timer.call = timer.call, None
            if call is not None:
                call()
        self._now_ms = max(self._now_ms, end_ms)
