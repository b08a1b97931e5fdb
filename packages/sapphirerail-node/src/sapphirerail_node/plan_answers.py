"""Answers to peers that ask for the plan: deltas and whole plans, kept ready."""

import asyncio

import msgspec

from sapphirerail_core.plan import Plan, layout
from sapphirerail_core.plan.delta import FullPlan, PlanAnswer, delta_since
from sapphirerail_core.plan.layout import Shard
from sapphirerail_core.plan.packed_delta import encode_delta
from sapphirerail_core.types import Revision

__all__ = ["PlanAnswers"]

N_DELTAS_MAX = 16


class PlanAnswers:
    """Makes answers, and keeps those that the next peers will ask for too."""

    def __init__(self) -> None:
        self._revision = Revision(0)
        self._deltas: dict[tuple[Revision, bool], PlanAnswer | None] = {}
        self._whole: FullPlan | None = None
        self._packed: dict[int, tuple[Shard, str]] = {}

    async def answer(
        self, plan: Plan, since: Revision, age_ms: int, *, may_pack: bool = False
    ) -> PlanAnswer:
        """Return the answer for a peer that holds a revision.

        Parameters
        ----------
        plan : Plan
            The plan in force.
        since : Revision
            Revision of the peer; 0 asks for the whole plan.
        age_ms : int
            Age of the news from the store.
        may_pack : bool
            Whether the peer can read a compressed delta.

        Returns
        -------
        PlanAnswer
            With a delta, the whole plan, or neither if the peer lacks nothing.
        """
        if since >= plan.revision:
            return PlanAnswer(plan.revision, age_ms)
        known = self._delta_answer(plan, since, may_pack) if since > 0 else None
        if known is not None:
            return msgspec.structs.replace(known, contact_age_ms=age_ms)
        full = await self._full(plan)
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

    async def _full(self, plan: Plan) -> FullPlan:
        """Pack the shards that changed, one at a time between other work."""
        if self._whole is not None and self._whole.root.revision == plan.revision:
            return self._whole
        texts = []
        for index, shard in layout.split(plan).items():
            known = self._packed.get(index)
            if known is None or known[0] != shard:
                known = (shard, layout.pack(shard))
                self._packed[index] = known
                await asyncio.sleep(0)
            texts.append(known[1])
        whole = FullPlan(layout.make_root(plan, {}, ()), tuple(texts))
        if self._whole is None or self._whole.root.revision < plan.revision:
            self._whole = whole
        return whole
