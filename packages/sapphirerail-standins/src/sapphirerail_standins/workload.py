"""Callers at work in all data centres of a system."""

import asyncio
import itertools
from types import TracebackType

from .callers import HOLD_DEADLINE_MS, Callers
from .conversation import Conversation
from .conversations import Feed, Hold, Upload
from .topology import BOOKINGS, SKETCHES

__all__ = ["Workload"]


class Workload:
    """Sends holds at a steady rate beside feeds and uploads.

    As an asynchronous context manager it sends holds until the block is left.

    Parameters
    ----------
    callers : list of Callers
        Who calls, in turn.
    hold_interval_ms : float
        Time between two holds.
    """

    def __init__(self, callers: list[Callers], hold_interval_ms: float = 50.0) -> None:
        self.holds: list[Hold] = []
        self.feeds: list[Feed] = []
        self.uploads: list[Upload] = []
        self._turns = itertools.cycle(callers)
        self._hold_interval_ms = hold_interval_ms
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Workload":
        self.start_holds()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_holds()

    def start_holds(self) -> None:
        """Begin to send holds at a steady rate."""
        self._task = asyncio.create_task(self._send_holds())

    async def stop_holds(self) -> None:
        """Send no more holds."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def open_feeds(self, n_feeds: int, service: str = BOOKINGS) -> list[Feed]:
        """Open feeds and return them."""
        opened = [next(self._turns).feed(service) for _ in range(n_feeds)]
        self.feeds += opened
        return opened

    def start_uploads(
        self,
        n_uploads: int,
        n_parts: int,
        service: str = SKETCHES,
        pause_ms: float = 0.0,
    ) -> list[Upload]:
        """Start uploads and return them."""
        started = [
            next(self._turns).upload(service, n_parts, pause_ms=pause_ms)
            for _ in range(n_uploads)
        ]
        self.uploads += started
        return started

    def send_holds(
        self,
        n_holds: int,
        service: str = BOOKINGS,
        deadline_ms: int = HOLD_DEADLINE_MS,
    ) -> list[Hold]:
        """Send holds at once and return them."""
        sent = [
            next(self._turns).hold(service, deadline_ms=deadline_ms)
            for _ in range(n_holds)
        ]
        self.holds += sent
        return sent

    def is_answered(self) -> bool:
        """Return whether all holds and uploads have an outcome."""
        waiting: list[Conversation] = [*self.holds, *self.uploads]
        return all(conversation.is_done for conversation in waiting)

    async def _send_holds(self) -> None:
        while True:
            self.send_holds(1)
            await asyncio.sleep(self._hold_interval_ms / 1000)
