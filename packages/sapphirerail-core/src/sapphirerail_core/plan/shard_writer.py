"""Writing the shards of one attempt, and collecting those that it replaces."""

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

MAX_GENERATIONS = 8


class ShardWriter:
    """Writes the shards for one try to replace the root.

    A shard's key holds a generation above that of the base. A generation that
    another writer took already is left, and becomes garbage once this write wins, so
    that the shards of a writer that died are found by their names.

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
        self._garbage: list[Garbage] = []

    async def write(self, plan: Plan) -> dict[int, ShardRef]:
        """Write the shards that differ from the base and return where all lie."""
        await self._clear()
        old = layout.split(self._base.plan)
        refs: dict[int, ShardRef] = {}
        for index, shard in layout.split(plan).items():
            known = self._base.shards.get(index)
            if known is not None and old.get(index) == shard:
                refs[index] = known
            else:
                refs[index] = await self._write_shard(index, shard)
        for index, ref in self._base.shards.items():
            if refs.get(index) != ref:
                self._garbage.append(_garbage(index, ref))
        return refs

    def garbage(self) -> tuple[Garbage, ...]:
        """Return what nobody needs any more once the root is written."""
        return tuple(self._garbage)

    async def discard(self) -> None:
        """Delete the shards of a root that was certainly not written."""
        for index, ref in self._written.items():
            await self._delete(_garbage(index, ref))

    async def _write_shard(self, index: int, shard: Shard) -> ShardRef:
        packed = layout.pack(shard)
        value = layout.encode_shard(self._write.write_id, packed)
        known = self._base.shards.get(index)
        first = 1 if known is None else known.generation + 1
        for generation in range(first, first + MAX_GENERATIONS):
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
        self._garbage.append(Garbage(key, found.version))
        return None

    async def _clear(self) -> None:
        """Delete what the base's root lists; what stays is listed again."""
        listed = () if self._base.root is None else self._base.root.garbage
        for garbage in listed:
            if not await self._delete(garbage):
                self._garbage.append(garbage)

    async def _delete(self, garbage: Garbage) -> bool:
        """Return whether a key needs no further deletion."""
        try:
            await self._store.delete(garbage.key, garbage.version)
        except StoreConflictError:
            return True
        except StoreError:
            return False
        return True


def _garbage(index: int, ref: ShardRef) -> Garbage:
    return Garbage(layout.shard_key(index, ref.generation), ref.version)
