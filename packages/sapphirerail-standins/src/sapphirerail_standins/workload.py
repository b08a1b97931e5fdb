"""Load from the callers of all data centres of a system."""

import asyncio
import itertools
from types import TracebackType

from .callers import TRANSACTION_DEADLINE_MS, Callers
from .conversation import Conversation
from .conversation_kinds import Feed, Transaction, Upload
from .topology import BOOKINGS, SKETCHES

__all__ = ["Workload"]


class Workload:
    """Sends transactions at a steady rate and opens feeds and uploads.

    Used as an asynchronous context manager, it sends transactions until the block is
    left.

    Parameters
    ----------
    callers : list of Callers
        Callers that are used in turn.
    transaction_interval_ms : float
        Time between two transactions.
    """

    def __init__(
        self, callers: list[Callers], transaction_interval_ms: float = 50.0
    ) -> None:
        self.transactions: list[Transaction] = []
        self.feeds: list[Feed] = []
        self.uploads: list[Upload] = []
        self._caller_cycle = itertools.cycle(callers)
        self._transaction_interval_ms = transaction_interval_ms
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Workload":
        self.start_transactions()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop_transactions()

    def start_transactions(self) -> None:
        """Start sending transactions at a steady rate."""
        self._task = asyncio.create_task(self._send_transactions())

    async def stop_transactions(self) -> None:
        """Stop sending transactions."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def open_feeds(self, n_feeds: int, service: str = BOOKINGS) -> list[Feed]:
        """Open feeds and return them."""
        opened = [next(self._caller_cycle).feed(service) for _ in range(n_feeds)]
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
            next(self._caller_cycle).upload(service, n_parts, pause_ms=pause_ms)
            for _ in range(n_uploads)
        ]
        self.uploads += started
        return started

    def send_transactions(
        self,
        n_transactions: int,
        service: str = BOOKINGS,
        deadline_ms: int = TRANSACTION_DEADLINE_MS,
    ) -> list[Transaction]:
        """Send a number of transactions immediately and return them."""
        sent = [
            next(self._caller_cycle).transaction(service, deadline_ms=deadline_ms)
            for _ in range(n_transactions)
        ]
        self.transactions += sent
        return sent

    def has_all_outcomes(self) -> bool:
        """Return whether all transactions and uploads have an outcome."""
        conversations: list[Conversation] = [*self.transactions, *self.uploads]
        return all(conversation.is_done for conversation in conversations)

    async def _send_transactions(self) -> None:
        while True:
            self.send_transactions(1)
            await asyncio.sleep(self._transaction_interval_ms / 1000)
