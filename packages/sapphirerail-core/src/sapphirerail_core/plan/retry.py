"""Pauses between tries of a call, and calls that are tried again."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .store import StoreConflictError, StoreError

__all__ = ["Pause", "backoff_ms", "retried", "sleep_ms"]

MAX_CALLS = 4
FIRST_PAUSE_MS = 50
MAX_PAUSE_MS = 2000
MS_PER_S = 1000

ResultT = TypeVar("ResultT")
Pause = Callable[[int], Awaitable[None]]


def backoff_ms(attempt: int) -> int:
    """Return the pause after a number of failed tries.

    Examples
    --------
    >>> [backoff_ms(attempt) for attempt in (0, 1, 9)]
    [50, 100, 2000]
    """
    return min(FIRST_PAUSE_MS << attempt, MAX_PAUSE_MS)


async def sleep_ms(pause_ms: int) -> None:
    """Wait on the running loop."""
    await asyncio.sleep(pause_ms / MS_PER_S)


async def retried(call: Callable[[], Awaitable[ResultT]], pause: Pause) -> ResultT:
    """Repeat a call to the store that gave no answer, or was not carried out.

    Parameters
    ----------
    call : callable
        A call that may be made twice.
    pause : callable
        Waits between tries.

    Raises
    ------
    StoreError
        The last try failed as well, or a conflict was answered.
    """
    for attempt in range(MAX_CALLS - 1):
        try:
            return await call()
        except StoreConflictError:
            raise
        except StoreError:
            await pause(backoff_ms(attempt))
    return await call()
