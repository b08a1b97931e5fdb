"""Queue of requested member pages, limited by a byte budget."""

import msgspec

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .budget import TickBudget
from .messages import SyncRequest
from .sync import MemberSync

__all__ = ["PageQueue"]

N_QUEUED_MAX = 64


class PageQueue:
    """Answers page requests in the order of their arrival.

    Many instances that miss the same updates send their requests at the same time.
    Without a limit, the answers would make up most of an instance's traffic.

    Parameters
    ----------
    sync : MemberSync
        Creates the pages.
    budget : TickBudget
        Limit on the bytes per tick.
    """

    def __init__(self, sync: MemberSync, budget: TickBudget) -> None:
        self._sync = sync
        self._budget = budget
        self._queued: dict[InstanceId, SyncRequest] = {}
        self._encoder = msgspec.msgpack.Encoder()

    def request(
        self, requester: InstanceId, request: SyncRequest, now_ms: int
    ) -> list[Effect]:
        """Queue a request; return the pages that can be sent in this tick."""
        if len(self._queued) < N_QUEUED_MAX or requester in self._queued:
            self._queued[requester] = request
        return self.tick(now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Return as many queued pages as the budget allows."""
        effects: list[Effect] = []
        while self._queued and not self._budget.is_spent:
            requester = next(iter(self._queued))
            page = self._sync.page(requester, self._queued.pop(requester), now_ms)
            self._budget.spend(len(self._encoder.encode(page)))
            effects.append(SendToPeer(requester, page))
        return effects
