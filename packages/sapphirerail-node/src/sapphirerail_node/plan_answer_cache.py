"""Cache of answers to peers that request the plan: deltas and whole plans."""

import asyncio

import msgspec

from sapphirerail_core.plan import Plan, layout
from sapphirerail_core.plan.delta import FullPlan, PlanAnswer, delta_since
from sapphirerail_core.plan.layout import Shard
from sapphirerail_core.plan.packed_delta import encode_delta
from sapphirerail_core.types import Revision

__all__ = ["PlanAnswerCache"]

N_DELTAS_MAX = 16


class PlanAnswerCache:
    """Builds answers to plan requests, and caches them for the next peers.

    It caches the deltas to the current revision by the peer's revision, the newest
    whole plan, and the packed text of each shard.
    """

    def __init__(self) -> None:
        self._revision = Revision(0)
        self._deltas: dict[tuple[Revision, bool], PlanAnswer | None] = {}
        self._full: FullPlan | None = None
        self._packed_shards: dict[int, tuple[Shard, str]] = {}

    async def answer(
        self, plan: Plan, since: Revision, age_ms: int, *, may_pack: bool = False
    ) -> PlanAnswer:
        """Return the answer for a peer that has some revision of the plan.

        Parameters
        ----------
        plan : Plan
            The plan in force at this instance.
        since : Revision
            Revision of the peer; 0 requests the whole plan.
        age_ms : int
            Time since the store is known to have held no higher revision.
        may_pack : bool
            Whether the peer can decode a compressed delta.

        Returns
        -------
        PlanAnswer
            With a delta, the whole plan, or neither if the peer is up to date.
        """
        if since >= plan.revision:
            return PlanAnswer(plan.revision, age_ms)
        cached = self._delta_answer(plan, since, may_pack) if since > 0 else None
        if cached is not None:
            return msgspec.structs.replace(cached, contact_age_ms=age_ms)
        full = await self._make_full(plan)
        return PlanAnswer(plan.revision, age_ms, full=full)

    def _delta_answer(
        self, plan: Plan, since: Revision, may_pack: bool
    ) -> PlanAnswer | None:
        if self._revision != plan.revision:
            self._revision = plan.revision
            self._deltas.clear()
        key = (since, may_pack)
        if key not in self._deltas:
            if len(self._deltas) >= N_DELTAS_MAX:
                self._deltas.clear()
            delta = delta_since(plan, since)
            self._deltas[key] = (
                None if delta is None else encode_delta(delta, 0, may_pack=may_pack)
            )
        return self._deltas[key]

    async def _make_full(self, plan: Plan) -> FullPlan:
        """Return the whole plan; pack only the shards that changed.

        It yields to the event loop after each shard that it packs.
        """
        if self._full is not None and self._full.root.revision == plan.revision:
            return self._full
        texts = []
        for index, shard in layout.split(plan).items():
            packed = self._packed_shards.get(index)
            if packed is None or packed[0] != shard:
                packed = (shard, layout.pack(shard))
                self._packed_shards[index] = packed
                await asyncio.sleep(0)
            texts.append(packed[1])
        full = FullPlan(layout.make_root(plan, {}, ()), tuple(texts))
        if self._full is None or self._full.root.revision < plan.revision:
            self._full = full
        return full
