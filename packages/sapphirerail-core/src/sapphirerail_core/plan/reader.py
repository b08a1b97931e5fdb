"""Reads the plan from the store: the root first, then the shards that are needed."""

import asyncio
from collections.abc import Iterable

import msgspec

from ..errors import InputError
from . import layout
from .delta import delta_from_shards, merge
from .layout import Root, Shard, ShardRef
from .model import EMPTY_PLAN, Plan
from .retry import Sleep, backoff_ms, sleep_ms
from .store import ABSENT, Store, StoredValue, Version

__all__ = ["PlanReader", "StoredPlan"]

MAX_READ_ATTEMPTS = 5
MAX_CONCURRENT_CALLS = 16


class StoredPlan(msgspec.Struct, frozen=True):
    """A plan as found in the store.

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
        """References to its shards."""
        return {} if self.root is None else self.root.shards


class _ShardMissingError(Exception):
    """A shard was garbage-collected, as its root has been replaced."""


class PlanReader:
    """Reads the plan from the store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    sleep : callable
        Waits for the given number of milliseconds between attempts.
    """

    def __init__(self, store: Store, sleep: Sleep = sleep_ms) -> None:
        self._store = store
        self._sleep = sleep

    async def read(self) -> StoredPlan:
        """Return the whole plan in the store.

        Raises
        ------
        StoreError
            The store did not respond.
        InputError
            The content of the store is not a valid plan.
        """
        return await self.read_newer(EMPTY_PLAN)

    async def read_newer(
        self, known: Plan, watched: StoredValue | None = None
    ) -> StoredPlan:
        """Return the plan in the store, fetching only the shards that changed.

        Parameters
        ----------
        known : Plan
            The plan that is already known.
        watched : StoredValue or None
            The root's value, if a watch has just returned it.

        Returns
        -------
        StoredPlan
            Contains the known plan if the store has the same revision, and an empty
            plan with the store's revision if that is lower.

        Raises
        ------
        StoreError
            The store did not respond.
        InputError
            The content of the store is not a valid plan.
        """
        for attempt in range(MAX_READ_ATTEMPTS):
            value = watched or await self._store.get(layout.ROOT_KEY)
            watched = None
            if value is None:
                return StoredPlan()
            root = layout.decode_root(value.value)
            try:
                plan = await self._plan(root, known)
            except _ShardMissingError:
                await self._sleep(backoff_ms(attempt))
                continue
            return StoredPlan(plan, root, value.version)
        text = "the plan changes faster than its shards can be read; try again"
        raise InputError("plan.shard_missing", text)

    async def _plan(self, root: Root, known: Plan) -> Plan:
        if root.revision == known.revision:
            return known
        if root.revision < known.revision:
            return Plan(revision=root.revision)
        if known.revision > 0:
            changed = {
                index: ref
                for index, ref in root.shards.items()
                if ref.changed_at > known.revision
            }
            shards = await self._shards(changed)
            try:
                return merge(known, delta_from_shards(root, shards, known.revision))
            except InputError:
                # The known plan is too old or not an ancestor: read all shards.
                pass
        return layout.assemble(root, await self._shards(root.shards))

    async def _shards(self, refs: dict[int, ShardRef]) -> Iterable[Shard]:
        limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def read(index: int, ref: ShardRef) -> Shard:
            async with limit:
                return await self._shard(index, ref)

        return await asyncio.gather(*(read(*item) for item in refs.items()))

    async def _shard(self, index: int, ref: ShardRef) -> Shard:
        value = await self._store.get(layout.shard_key(index, ref.generation))
        if value is None:
            raise _ShardMissingError
        packed = layout.decode_shard(value.value).packed
        if layout.checksum(packed) != ref.checksum:
            raise _ShardMissingError
        return layout.unpack(packed)
