"""Writing the shards of one attempt, and collecting those that it replaces."""

import asyncio
from collections.abc import Iterator

from ..types import Revision
from . import layout
from .layout import Garbage, Shard, ShardRef
from .model import Plan, Write
from .reader import StoredPlan
from .retry import Pause, retried
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
    """Writes the shards for one try to replace the root.

    A shard's key holds the generation after that of the base. A generation that
    another writer took already is left, and becomes garbage once this write wins: by
    then no root can name it any more. Generations start again after the last one, so
    that a shard which a writer left behind is met again, and each write looks at one
    key more.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    pause : callable
        Waits for a number of milliseconds between tries.
    base : StoredPlan
        What the root is going to replace.
    write : Write
        Who writes, at which revision.
    """

    def __init__(
        self, store: Store, pause: Pause, base: StoredPlan, write: Write
    ) -> None:
        self._store = store
        self._pause = pause
        self._base = base
        self._write = write
        self._written: dict[int, ShardRef] = {}
        self._garbage: dict[str, Garbage] = {}

    async def write(self, plan: Plan) -> dict[int, ShardRef]:
        """Write the shards that differ from the base and return where all lie.

        Whatever else there is to do goes beside it: the shorter a try, the fewer
        other writers come first.
        """
        refs, _, _ = await asyncio.gather(
            self._write_changed(plan), self._clear(), self._probe()
        )
        for index, ref in self._base.shards.items():
            if refs.get(index) != ref:
                self._list(_garbage(index, ref))
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
        """Return what nobody needs any more once the root is written."""
        return tuple(self._garbage.values())

    async def discard(self) -> None:
        """Delete the shards of a root that was certainly not written."""
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
        raise StoreConflictError("plan.shard_contended", f"shard {index} is contended")

    async def _create(self, key: str, value: str) -> Version | None:
        """Create a key; None if another writer has it."""

        async def create() -> Version:
            return await self._store.compare_and_swap(key, ABSENT, value)

        try:
            return await create()
        except StoreConflictError:
            pass
        except StoreUnknownError:
            # Either this write landed, or a second one may take its place.
            try:
                return await retried(create, self._pause)
            except StoreConflictError:
                pass
        found = await retried(lambda: self._store.get(key), self._pause)
        if found is None:
            return None
        if found.value == value:
            return found.version
        self._list(Garbage(key, found.version))
        return None

    async def _probe(self) -> None:
        """Look for a shard that no root names at one key, another one each time.

        A writer whose base is this one or an older one may still be about to name
        it. Its root and this write's can't both take effect, and only a root that
        took effect has its garbage deleted.
        """
        key = layout.shard_key(*_probed(self._write.revision))
        try:
            found = await self._store.get(key)
        except StoreError:
            return
        if found is not None:
            self._list(Garbage(key, found.version))

    def _list(self, garbage: Garbage) -> None:
        self._garbage[garbage.key] = garbage

    async def _clear(self) -> None:
        """Delete what the base's root lists; what stays is listed again."""
        listed = () if self._base.root is None else self._base.root.garbage
        for garbage in listed:
            if not await self._delete(garbage):
                self._list(garbage)

    async def _delete(self, garbage: Garbage) -> bool:
        """Return whether a key needs no further deletion."""
        try:
            await self._store.delete(garbage.key, garbage.version)
        except StoreConflictError:
            return True
        except StoreError:
            return False
        return True


def _generations_after(known: ShardRef | None) -> Iterator[int]:
    """Yield the generations that a shard may take, the next one first."""
    last = 0 if known is None else known.generation
    for step in range(1, layout.N_GENERATIONS + 1):
        generation = (last + step - 1) % layout.N_GENERATIONS + 1
        if generation != last:
            yield generation


def _probed(revision: Revision) -> tuple[int, int]:
    """Return the shard and the generation that a write looks at."""
    number = revision % (layout.N_SHARDS * layout.N_GENERATIONS)
    index, step = divmod(number, layout.N_GENERATIONS)
    return index, step + 1


def _garbage(index: int, ref: ShardRef) -> Garbage:
    return Garbage(layout.shard_key(index, ref.generation), ref.version)
