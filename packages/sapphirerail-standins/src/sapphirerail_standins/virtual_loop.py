"""Runs coroutines that only sleep, in virtual time: pauses pass at once."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_virtually"]

ResultT = TypeVar("ResultT")


class _JumpingSelector(selectors.DefaultSelector):
    """Moves the time on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, and let the time-out pass."""
        self.now_s += timeout or 0.0
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while all coroutines sleep."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s


def run_virtually(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Return the result of a coroutine that waits for nothing but timers.

    Examples
    --------
    >>> async def sleeper():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtually(sleeper())
    3600.0
    """
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(work)
