"""Runs coroutines in virtual time, in which sleeps return at once."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_in_virtual_time"]

ResultT = TypeVar("ResultT")


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the time by the timeout and return what is ready."""
        self.now_s += timeout or 0.0
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while all coroutines sleep."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s


def run_in_virtual_time(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine that waits only for timers and return its result.

    Examples
    --------
    >>> async def sleeper():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_in_virtual_time(sleeper())
    3600.0
    """
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(work)
