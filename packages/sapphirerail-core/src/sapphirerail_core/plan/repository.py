"""The plan in the store: reading it, and replacing it by compare-and-swap."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from ..errors import InputError, SapphirerailError
from ..types import Revision
from . import layout
from .draft import Change
from .layout import Garbage, Root, Shard, ShardRef
from .model import EMPTY_PLAN, Plan, Write, WriteId
from .store import (
    ABSENT,
    Store,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
    Version,
)

__all__ = ["Committed", "PlanRepository", "PlanWriteError", "StoredPlan"]

MAX_READS = 5
MAX_WRITES = 8
MAX_CALLS = 4
FIRST_PAUSE_MS = 50
MAX_PAUSE_MS = 2000

ResultT = TypeVar("ResultT")
Pause = Callable[[int], Awaitable[None]]
Decision = Callable[[Plan], Change]


class PlanWriteError(SapphirerailError):
    """A change of the plan that did not take effect, or may not have."""


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


class Committed(msgspec.Struct, frozen=True):
    """A change that is in the store.

    Parameters
    ----------
    change : Change
        What changed; its plan is the one that was written.
    others : tuple of Write
        Writes by others that came between reading and writing.
    """

    change: Change
    others: tuple[Write, ...] = ()


@dataclass
class _Attempt:
    """One try to replace the root, with the shards that it wrote."""

    base: StoredPlan
    write: Write
    written: dict[int, ShardRef] = field(default_factory=dict)
    skipped: list[Garbage] = field(default_factory=list)


@dataclass
class _Progress:
    """What a commit has tried so far."""

    write: Write
    first: Revision | None = None
    unknown: bool = False
    tried: dict[Revision, Change] = field(default_factory=dict)

    def others(self, plan: Plan) -> tuple[Write, ...]:
        """Return the writes that came after the first reading."""
        first = plan.revision if self.first is None else self.first
        return tuple(write for write in plan.history if write.revision > first)

    def settled(self, plan: Plan, own: Write) -> Committed:
        """Return the outcome of a write that the store's history holds."""
        change = self.tried.get(own.revision, Change(plan, (), own.n_changed))
        others = tuple(w for w in self.others(plan) if w.write_id != own.write_id)
        return Committed(msgspec.structs.replace(change, plan=plan), others)

    def failure(self, error: StoreError | None) -> PlanWriteError:
        """Return the error that tells what is known."""
        cause = "others keep writing" if error is None else error.message
        if self.unknown:
            return PlanWriteError(
                "plan.unknown_outcome",
                f"write {self.write.write_id} may have taken effect ({cause}); apply "
                "the sheet again: lines that are in force stay as they are",
            )
        text = f"nothing was changed ({cause}); apply the sheet again"
        return PlanWriteError("plan.not_written", text)


async def _sleep(pause_ms: int) -> None:
    await asyncio.sleep(pause_ms / 1000)


class PlanRepository:
    """Reads and replaces the plan in the store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    pause : callable
        Waits for a number of milliseconds between tries.
    """

    def __init__(self, store: Store, pause: Pause = _sleep) -> None:
        self._store = store
        self._pause = pause
        self._cache: dict[int, tuple[ShardRef, Shard]] = {}

    async def read_root(self) -> StoredPlan:
        """Return the root alone, with an empty plan."""
        value = await self._store.get(layout.ROOT_KEY)
        if value is None:
            return StoredPlan()
        return StoredPlan(root=layout.decode_root(value.value), version=value.version)

    async def read(self) -> StoredPlan:
        """Return the plan in the store; only shards that changed are fetched.

        Raises
        ------
        StoreError
            The store gave no answer.
        InputError
            What lies in the store is not a plan.
        """
        for attempt in range(MAX_READS):
            found = await self.read_root()
            if found.root is None:
                return found
            plan = await self._assemble(found.root)
            if plan is not None:
                return msgspec.structs.replace(found, plan=plan)
            # A shard is gone: the root was replaced meanwhile.
            await self._pause(_backoff_ms(attempt))
        text = "the root changes faster than its shards can be read; try again"
        raise InputError("plan.shard_missing", text)

    async def commit(self, decide: Decision, write: Write) -> Committed:
        """Replace the plan by what a decision makes of it.

        The decision is taken anew on the newest plan whenever another write came
        first. An answer that was lost is settled by reading the root back: its
        history tells whether it holds this write's id.

        Parameters
        ----------
        decide : callable
            Returns the change for the plan in the store.
        write : Write
            Names the write; its revision and count are filled in here.

        Returns
        -------
        Committed
            The change that is in the store.

        Raises
        ------
        PlanWriteError
            ``plan.not_written``: nothing changed. ``plan.unknown_outcome``: the
            store gave no answer, so that nobody knows.
        """
        progress = _Progress(write)
        for number in range(1, MAX_WRITES + 1):
            try:
                base = await self._retried(self.read)
                committed = await self._step(base, decide, progress)
            except StoreConflictError:
                committed = None
            except StoreError as error:
                # Once a root may have been written, only reading it back tells.
                if not progress.unknown:
                    raise progress.failure(error) from error
                committed = None
            if committed is not None:
                return committed
            await self._pause(_backoff_ms(number))
        raise progress.failure(None)

    async def _step(
        self, base: StoredPlan, decide: Decision, progress: "_Progress"
    ) -> Committed:
        """Settle the write on one reading of the plan."""
        own = _own_write(base.plan, progress.write.write_id)
        if own is not None:
            return progress.settled(base.plan, own)
        if progress.first is None:
            progress.first = base.plan.revision
        change = decide(base.plan)
        others = progress.others(base.plan)
        if change.n_changed == 0:
            return Committed(change, others)
        progress.tried[change.plan.revision] = change
        written = await self._try_commit(base, change, progress)
        return Committed(written, others)

    async def _try_commit(
        self, base: StoredPlan, change: Change, progress: "_Progress"
    ) -> Change:
        """Write the changed shards, then the root."""
        stamped = msgspec.structs.replace(
            progress.write,
            revision=change.plan.revision,
            n_changed=change.n_changed,
        )
        history = (*change.plan.history, stamped)[-layout.HISTORY_LENGTH :]
        plan = msgspec.structs.replace(change.plan, history=history)
        attempt = _Attempt(base, stamped)
        await self._clear(base)
        shards = await self._write_shards(attempt, plan)
        root = layout.root_of(plan, shards, _garbage(attempt))
        try:
            await self._store.compare_and_swap(
                layout.ROOT_KEY, base.version, layout.encode_root(root)
            )
        except StoreUnknownError:
            progress.unknown = True
            raise
        except StoreConflictError:
            # After a lost answer the root in the store may name these very shards.
            if not progress.unknown:
                await self._discard(attempt)
            raise
        return msgspec.structs.replace(change, plan=plan)

    async def _write_shards(self, attempt: _Attempt, plan: Plan) -> dict[int, ShardRef]:
        """Write the shards that differ from the base and return where all lie."""
        old = layout.split(attempt.base.plan)
        refs: dict[int, ShardRef] = {}
        for index, shard in layout.split(plan).items():
            if old.get(index) == shard and index in attempt.base.shards:
                refs[index] = attempt.base.shards[index]
            else:
                refs[index] = await self._write_shard(attempt, index, shard)
        return refs

    async def _write_shard(
        self, attempt: _Attempt, index: int, shard: Shard
    ) -> ShardRef:
        """Write one shard under the first generation that nobody else took."""
        packed = layout.pack(shard)
        value = layout.encode_shard(attempt.write.write_id, packed)
        known = attempt.base.shards.get(index)
        generation = 1 if known is None else known.generation + 1
        for _ in range(MAX_WRITES):
            key = layout.shard_key(index, generation)
            version = await self._create(key, value, attempt.write.write_id)
            if version is not None:
                ref = ShardRef(generation, version, layout.checksum(packed))
                attempt.written[index] = ref
                return ref
            await self._skip(attempt, key)
            generation += 1
        raise StoreConflictError("plan.shard_contended", f"shard {index} is contended")

    async def _create(self, key: str, value: str, write_id: WriteId) -> Version | None:
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
                return await self._retried(create)
            except StoreConflictError:
                pass
        found = await self._retried(lambda: self._store.get(key))
        if found is None or found.value != value:
            return None
        return found.version

    async def _skip(self, attempt: _Attempt, key: str) -> None:
        """Leave another writer's shard; once this write wins, it is garbage."""
        found = await self._retried(lambda: self._store.get(key))
        if found is not None:
            attempt.skipped.append(Garbage(key, found.version))

    async def _clear(self, base: StoredPlan) -> None:
        """Delete what the base's root lists as garbage."""
        for garbage in () if base.root is None else base.root.garbage:
            await self._delete(garbage)

    async def _discard(self, attempt: _Attempt) -> None:
        """Delete the shards of a root that was certainly not written."""
        for index, ref in attempt.written.items():
            key = layout.shard_key(index, ref.generation)
            await self._delete(Garbage(key, ref.version))

    async def _delete(self, garbage: Garbage) -> None:
        try:
            await self._store.delete(garbage.key, garbage.version)
        except StoreError:
            # The next write meets the key again and lists it as garbage.
            return

    async def _assemble(self, root: Root) -> Plan | None:
        """Return the plan of a root, or None if a shard is gone."""
        shards: list[Shard] = []
        for index, ref in root.shards.items():
            shard = await self._read_shard(index, ref)
            if shard is None:
                return None
            shards.append(shard)
        return layout.assemble(root, shards)

    async def _read_shard(self, index: int, ref: ShardRef) -> Shard | None:
        cached = self._cache.get(index)
        if cached is not None and cached[0] == ref:
            return cached[1]
        value = await self._store.get(layout.shard_key(index, ref.generation))
        if value is None:
            return None
        packed = layout.decode_shard(value.value).packed
        if layout.checksum(packed) != ref.checksum:
            return None
        shard = layout.unpack(packed)
        self._cache[index] = (ref, shard)
        return shard

    async def _retried(self, call: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Repeat a call that gave no answer, or was not carried out."""
        for attempt in range(MAX_CALLS - 1):
            try:
                return await call()
            except StoreConflictError:
                raise
            except StoreError:
                await self._pause(_backoff_ms(attempt))
        return await call()


def _backoff_ms(attempt: int) -> int:
    return min(FIRST_PAUSE_MS << attempt, MAX_PAUSE_MS)


def _own_write(plan: Plan, write_id: WriteId) -> Write | None:
    return next((w for w in plan.history if w.write_id == write_id), None)


def _garbage(attempt: _Attempt) -> list[Garbage]:
    """Return the shards that the attempt's root replaces."""
    replaced = [
        Garbage(layout.shard_key(index, ref.generation), ref.version)
        for index, ref in attempt.base.shards.items()
        if index in attempt.written
    ]
    return replaced + attempt.skipped
