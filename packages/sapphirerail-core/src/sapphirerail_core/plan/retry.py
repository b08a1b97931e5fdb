"""Retries of store calls with exponential backoff."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .store import StoreConflictError, StoreError

__all__ = ["Sleep", "backoff_ms", "call_with_retries", "sleep_ms"]

MAX_ATTEMPTS = 4
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2000
MS_PER_S = 1000

ResultT = TypeVar("ResultT")
Sleep = Callable[[int], Awaitable[None]]


def backoff_ms(attempt: int) -> int:
    """Return the backoff delay for an attempt, counted from 0.

    Examples
    --------
    >>> [backoff_ms(attempt) for attempt in (0, 1, 9)]
    [50, 100, 2000]
    """
    return min(MIN_BACKOFF_MS << attempt, MAX_BACKOFF_MS)


async def sleep_ms(duration_ms: int) -> None:
    """Sleep on the running event loop."""
    await asyncio.sleep(duration_ms / MS_PER_S)


async def call_with_retries(
    call: Callable[[], Awaitable[ResultT]], sleep: Sleep
) -> ResultT:
    """Retry a store call that got no response or was not carried out.

    Parameters
    ----------
    call : callable
        A call that is safe to repeat.
    sleep : callable
        Waits between attempts.

    Raises
    ------
    StoreError
        The last attempt failed as well, or the store reported a conflict.
    """
    for attempt in range(MAX_ATTEMPTS - 1):
        try:
            return await call()
        except StoreConflictError:
            raise
        except StoreError:
            await sleep(backoff_ms(attempt))
    return await call()
