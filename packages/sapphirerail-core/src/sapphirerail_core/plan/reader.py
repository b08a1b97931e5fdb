"""Reading the plan in the store: the root first, then the shards that are needed."""

import asyncio
from collections.abc import Iterable

import msgspec

from ..errors import InputError
from . import layout
from .delta import delta_of_shards, merge
from .layout import Root, Shard, ShardRef
from .model import EMPTY_PLAN, Plan
from .retry import Pause, backoff_ms, sleep_ms
from .store import ABSENT, Store, StoredValue, Version

__all__ = ["PlanReader", "StoredPlan"]

MAX_READS = 5
N_CALLS_AT_ONCE = 16


class StoredPlan(msgspec.Struct, frozen=True):
    """A plan as it lies in the store.

    Parameters
    ----------
    plan : Plan
        The plan.
    root : Root or None
        Its root; None if the store holds none.
    version : Version
        Version of the root's key.
    """

    plan: Plan = EMPTY_PLAN
    root: Root | None = None
    version: Version = ABSENT

    @property
    def shards(self) -> dict[int, ShardRef]:
        """Where its shards lie."""
        return {} if self.root is None else self.root.shards


class _ShardGoneError(Exception):
    """A shard was collected: the root that names it has been replaced."""


class PlanReader:
    """Reads the plan.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    pause : callable
        Waits for a number of milliseconds between tries.
    """

    def __init__(self, store: Store, pause: Pause = sleep_ms) -> None:
        self._store = store
        self._pause = pause

    async def read(self) -> StoredPlan:
        """Return the whole plan in the store.

        Raises
        ------
        StoreError
            The store gave no answer.
        InputError
            What lies in the store is not a plan.
        """
        return await self.read_after(EMPTY_PLAN)

    async def read_after(
        self, held: Plan, watched: StoredValue | None = None
    ) -> StoredPlan:
        """Return the plan in the store; only shards that changed are fetched.

        Parameters
        ----------
        held : Plan
            The plan that is known already.
        watched : StoredValue or None
            The root's value, if a watch just told it.

        Returns
        -------
        StoredPlan
            With the held plan if its revision is the one in the store, and with an
            empty plan of the store's revision if that is lower.

        Raises
        ------
        StoreError
            The store gave no answer.
        InputError
            What lies in the store is not a plan.
        """
        for attempt in range(MAX_READS):
            value = watched or await self._store.get(layout.ROOT_KEY)
            watched = None
            if value is None:
                return StoredPlan()
            root = layout.decode_root(value.value)
            try:
                plan = await self._plan(root, held)
            except _ShardGoneError:
                await self._pause(backoff_ms(attempt))
                continue
            return StoredPlan(plan, root, value.version)
        text = "the root changes faster than its shards can be read; try again"
        raise InputError("plan.shard_missing", text)

    async def _plan(self, root: Root, held: Plan) -> Plan:
        if root.revision == held.revision:
            return held
        if root.revision < held.revision:
            return Plan(revision=root.revision)
        if held.revision > 0:
            changed = {
                index: ref
                for index, ref in root.shards.items()
                if ref.changed_at > held.revision
            }
            shards = await self._shards(changed)
            try:
                return merge(held, delta_of_shards(root, shards, held.revision))
            except InputError:
                # The held plan is not an ancestor, or too old: all has to be read.
                pass
        return layout.assemble(root, await self._shards(root.shards))

    async def _shards(self, refs: dict[int, ShardRef]) -> Iterable[Shard]:
        limit = asyncio.Semaphore(N_CALLS_AT_ONCE)

        async def read(index: int, ref: ShardRef) -> Shard:
            async with limit:
                return await self._shard(index, ref)

        return await asyncio.gather(*(read(*item) for item in refs.items()))

    async def _shard(self, index: int, ref: ShardRef) -> Shard:
        value = await self._store.get(layout.shard_key(index, ref.generation))
        if value is None:
            raise _ShardGoneError
        packed = layout.decode_shard(value.value).packed
        if layout.checksum(packed) != ref.checksum:
            raise _ShardGoneError
        return layout.unpack(packed)
