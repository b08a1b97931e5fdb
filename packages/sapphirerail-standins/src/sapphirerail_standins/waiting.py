"""Polls conditions with a timeout, in place of fixed sleeps."""

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
        Description of the condition for the error message.
    condition : callable
        Polled every 50 ms; may be a coroutine function.
    timeout_ms : int
        Time after which to raise.

    Returns
    -------
    int
        Milliseconds until the condition held.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
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
            raise TimeoutError(f"condition does not hold after {timeout_ms} ms: {what}")
        await asyncio.sleep(POLL_MS / 1000)
