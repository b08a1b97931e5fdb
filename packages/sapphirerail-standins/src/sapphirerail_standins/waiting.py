"""Waits on conditions, never for a fixed time."""

import asyncio
from collections.abc import Awaitable, Callable

from .clock import LoopClock

__all__ = ["wait_until"]

POLL_MS = 50
WAIT_TIMEOUT_MS = 20_000


async def wait_until(
    what: str,
    condition: Callable[[], Awaitable[bool] | bool],
    timeout_ms: int = WAIT_TIMEOUT_MS,
) -> int:
    """Wait until a condition holds and return how long it took.

    Parameters
    ----------
    what : str
        Named by the error if the condition does not come.
    condition : callable
        Asked again and again; may be a coroutine function.
    timeout_ms : int
        When to give up.

    Returns
    -------
    int
        Milliseconds until it held.

    Raises
    ------
    TimeoutError
        It did not hold in time.
    """
    clock = LoopClock()
    began_ms = clock.now_ms()
    while True:
        held = condition()
        if not isinstance(held, bool):
            held = await held
        passed_ms = clock.now_ms() - began_ms
        if held:
            return passed_ms
        if passed_ms > timeout_ms:
            raise TimeoutError(f"after {timeout_ms} ms still not: {what}")
        await asyncio.sleep(POLL_MS / 1000)
