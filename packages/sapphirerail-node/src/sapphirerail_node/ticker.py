"""Runs periodic jobs on the event loop."""

import asyncio
import logging
from collections.abc import Callable

from .clock import monotonic_ms

__all__ = ["Ticker"]

_log = logging.getLogger(__name__)


class Ticker:
    """Runs each registered job at its interval until it is closed.

    An exception of a job is logged and the job runs again after its interval, so that
    one fault does not stop the periodic work.
    """

    def __init__(self) -> None:
        self._jobs: list[tuple[int, Callable[[int], None]]] = []
        self._tasks: list[asyncio.Task[None]] = []

    def every(self, interval_ms: int, job: Callable[[int], None]) -> None:
        """Register a job, called with the monotonic time in milliseconds."""
        self._jobs.append((interval_ms, job))

    def start(self) -> None:
        """Start running the jobs."""
        for interval_ms, job in self._jobs:
            self._tasks.append(asyncio.create_task(_repeat(interval_ms, job)))

    async def close(self) -> None:
        """Cancel all jobs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def _repeat(interval_ms: int, job: Callable[[int], None]) -> None:
    while True:
        try:
            job(monotonic_ms())
        except Exception:
            _log.exception("periodic job failed")
        await asyncio.sleep(interval_ms / 1000)
