"""Writes the shards of one commit attempt and collects obsolete ones."""

import asyncio
from collections.abc import Iterator

from ..types import Revision
from . import layout
from .layout import Garbage, Shard, ShardRef
from .model import Plan, Write
from .reader import StoredPlan
from .retry import Sleep, call_with_retries
from .store import (
    ABSENT,
    Store,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
    Version,
)

__all__ = ["ShardWriter"]


class ShardWriter:
    """Writes the shards for one attempt to replace the root.

    A shard is written to the key of the generation after that of the base. A
    generation that another writer has already used is skipped, and becomes garbage
    once this write succeeds: no root can refer to it from then on. Generations wrap
    around, so that orphaned shards of failed writers are found again; in addition,
    each write checks one key for an orphan.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    sleep : callable
        Waits for the given number of milliseconds between attempts.
    base : StoredPlan
        The stored plan that the new root replaces.
    write : Write
        Id and revision of the write.
    """

    def __init__(
        self, store: Store, sleep: Sleep, base: StoredPlan, write: Write
    ) -> None:
        self._store = store
        self._sleep = sleep
        self._base = base
        self._write = write
        self._written: dict[int, ShardRef] = {}
        self._garbage: dict[str, Garbage] = {}

    async def write(self, plan: Plan) -> dict[int, ShardRef]:
        """Write the shards that differ from the base; return references to all.

        Garbage collection runs concurrently: the shorter an attempt, the fewer other
        writers commit first.
        """
        refs, _, _ = await asyncio.gather(
            self._write_changed(plan), self._collect_garbage(), self._check_orphan()
        )
        for index, ref in self._base.shards.items():
            if refs.get(index) != ref:
                self._add_garbage(_garbage(index, ref))
        for index, ref in refs.items():
            self._garbage.pop(layout.shard_key(index, ref.generation), None)
        return refs

    async def _write_changed(self, plan: Plan) -> dict[int, ShardRef]:
        old = layout.split(self._base.plan)
        refs: dict[int, ShardRef] = {}
        for index, shard in layout.split(plan).items():
            known = self._base.shards.get(index)
            if known is not None and old.get(index) == shard:
                refs[index] = known
            else:
                refs[index] = await self._write_shard(index, shard)
        return refs

    def garbage(self) -> tuple[Garbage, ...]:
        """Return the shards that become obsolete once the root is written."""
        return tuple(self._garbage.values())

    async def discard(self) -> None:
        """Delete the shards of a root that was definitely not written."""
        for index, ref in self._written.items():
            await self._delete(_garbage(index, ref))

    async def _write_shard(self, index: int, shard: Shard) -> ShardRef:
        packed = layout.pack(shard)
        value = layout.encode_shard(self._write.write_id, packed)
        known = self._base.shards.get(index)
        for generation in _generations_after(known):
            key = layout.shard_key(index, generation)
            version = await self._create(key, value)
            if version is None:
                continue
            ref = ShardRef(
                generation, version, layout.checksum(packed), self._write.revision
            )
            self._written[index] = ref
            return ref
        raise StoreConflictError(
            "plan.shard_contended",
            f"all keys of shard {index} are in use by other writers",
        )

    async def _create(self, key: str, value: str) -> Version | None:
        """Create a key and return its version, or None if another writer created it."""

        async def create() -> Version:
            return await self._store.compare_and_swap(key, ABSENT, value)

        try:
            return await create()
        except StoreConflictError:
            pass
        except StoreUnknownError:
            # If the write did not take effect, it can safely be repeated; if it did,
            # the repeated one conflicts.
            try:
                return await call_with_retries(create, self._sleep)
            except StoreConflictError:
                pass
        found = await call_with_retries(lambda: self._store.get(key), self._sleep)
        if found is None:
            return None
        if found.value == value:
            return found.version
        self._add_garbage(Garbage(key, found.version))
        return None

    async def _check_orphan(self) -> None:
        """Check one key for an orphaned shard; the key changes with each revision.

        A writer with the same base or an older one may still be about to refer to
        the shard. That is safe: its root and the root of this write cannot both take
        effect, and garbage is deleted only if the root that lists it took effect.
        """
        key = layout.shard_key(*_orphan_position(self._write.revision))
        try:
            found = await self._store.get(key)
        except StoreError:
            return
        if found is not None:
            self._add_garbage(Garbage(key, found.version))

    def _add_garbage(self, garbage: Garbage) -> None:
        self._garbage[garbage.key] = garbage

    async def _collect_garbage(self) -> None:
        """Delete the garbage that the base's root lists; list what remains."""
        obsolete = () if self._base.root is None else self._base.root.garbage
        for garbage in obsolete:
            if not await self._delete(garbage):
                self._add_garbage(garbage)

    async def _delete(self, garbage: Garbage) -> bool:
        """Delete a key; return whether no further attempt is needed."""
        try:
            await self._store.delete(garbage.key, garbage.version)
        except StoreConflictError:
            return True
        except StoreError:
            return False
        return True


def _generations_after(known: ShardRef | None) -> Iterator[int]:
    """Yield the generations that a shard may be written at, the next one first."""
    last = 0 if known is None else known.generation
    for step in range(1, layout.N_GENERATIONS + 1):
        generation = (last + step - 1) % layout.N_GENERATIONS + 1
        if generation != last:
            yield generation


def _orphan_position(revision: Revision) -> tuple[int, int]:
    """Return the shard and the generation that a write checks for an orphan."""
    number = revision % (layout.N_SHARDS * layout.N_GENERATIONS)
    index, step = divmod(number, layout.N_GENERATIONS)
    return index, step + 1


def _garbage(index: int, ref: ShardRef) -> Garbage:
    return Garbage(layout.shard_key(index, ref.generation), ref.version)
