"""Pages of members that others asked for, within a budget of bytes."""

import msgspec

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .budget import TickBudget
from .messages import SyncRequest
from .sync import MemberSync

__all__ = ["PageDesk"]

N_WAITING_MAX = 64


class PageDesk:
    """Answers requests for pages in the order in which they came.

    When many instances miss the same news at once, they ask at once too: without a
    bound, answers to them would be most of what an instance sends.

    Parameters
    ----------
    sync : MemberSync
        Makes the pages.
    budget : TickBudget
        Bytes between two ticks.
    """

    def __init__(self, sync: MemberSync, budget: TickBudget) -> None:
        self._sync = sync
        self._budget = budget
        self._waiting: dict[InstanceId, SyncRequest] = {}
        self._encoder = msgspec.msgpack.Encoder()

    def ask(self, asker: InstanceId, request: SyncRequest, now_ms: int) -> list[Effect]:
        """Return the page, or nothing if it has to wait for a later tick."""
        if len(self._waiting) < N_WAITING_MAX or asker in self._waiting:
            self._waiting[asker] = request
        return self.tick(now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Return as many of the waiting pages as may be sent."""
        effects: list[Effect] = []
        while self._waiting and not self._budget.is_spent:
            asker = next(iter(self._waiting))
            page = self._sync.page(asker, self._waiting.pop(asker), now_ms)
            self._budget.spend(len(self._encoder.encode(page)))
            effects.append(SendToPeer(asker, page))
        return effects
