"""Replacing the plan in the store by compare-and-swap."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..errors import SapphirerailError
from ..types import Revision
from . import layout
from .draft import Change
from .model import EMPTY_PLAN, Plan, Write, WriteId
from .reader import PlanReader, StoredPlan
from .retry import Pause, backoff_ms, retried, sleep_ms
from .shard_writer import ShardWriter
from .store import (
    Store,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)

__all__ = ["Committed", "PlanRepository", "PlanWriteError"]

MAX_WRITES = 40
"""Tries against other writers; each try that fails lets another write through."""
MAX_SILENCES = 8
"""Tries without an answer of the store, once a write may have taken effect."""

Decision = Callable[[Plan], Change]


class PlanWriteError(SapphirerailError):
    """A change of the plan that did not take effect, or may not have."""


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
class _Progress:
    """What a commit has tried so far."""

    write: Write
    first: Revision | None = None
    unknown: bool = False
    n_silences: int = 0
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


class PlanRepository:
    """Reads and replaces the plan in the store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    pause : callable
        Waits for a number of milliseconds between tries.
    random_state : random.Random or None
        Spreads the tries of writers that meet.
    """

    def __init__(
        self,
        store: Store,
        pause: Pause = sleep_ms,
        random_state: random.Random | None = None,
    ) -> None:
        self._store = store
        self._pause = pause
        self._random = random_state or random.Random()
        self._reader = PlanReader(store, pause)
        self._held = EMPTY_PLAN

    async def read(self) -> StoredPlan:
        """Return the plan in the store, as `PlanReader.read` does.

        Shards that did not change since the last reading are not fetched again.
        """
        found = await self._reader.read_after(self._held)
        if not _is_whole(found):
            # The store lost writes: what was read before does not count.
            found = await self._reader.read()
        self._held = found.plan
        return found

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
                base = await retried(self.read, self._pause)
                committed = await self._step(base, decide, progress)
            except StoreConflictError:
                committed = None
            except StoreError as error:
                # Once a root may have been written, only reading it back tells.
                progress.n_silences += 1
                if not progress.unknown or progress.n_silences >= MAX_SILENCES:
                    raise progress.failure(error) from error
                committed = None
            if committed is not None:
                return committed
            # Writers that meet once must not meet again in step.
            await self._pause(self._random.randrange(1, backoff_ms(number)))
        raise progress.failure(None)

    async def _step(
        self, base: StoredPlan, decide: Decision, progress: _Progress
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
        self, base: StoredPlan, change: Change, progress: _Progress
    ) -> Change:
        """Write the changed shards, then the root."""
        stamped = msgspec.structs.replace(
            progress.write,
            revision=change.plan.revision,
            n_changed=change.n_changed,
        )
        history = (*change.plan.history, stamped)[-layout.HISTORY_LENGTH :]
        plan = msgspec.structs.replace(change.plan, history=history)
        shards = ShardWriter(self._store, self._pause, base, stamped)
        refs = await shards.write(plan)
        root = layout.encode_root(layout.root_of(plan, refs, shards.garbage()))
        try:
            await self._store.compare_and_swap(layout.ROOT_KEY, base.version, root)
        except StoreUnknownError:
            progress.unknown = True
            raise
        except StoreConflictError:
            # After a lost answer the root in the store may name these very shards.
            if not progress.unknown:
                await shards.discard()
            raise
        return msgspec.structs.replace(change, plan=plan)


def _is_whole(found: StoredPlan) -> bool:
    """Return whether a reading that went on from a held plan found all there is."""
    root = found.root
    if root is None:
        return True
    known = (found.plan.revision, found.plan.digest)
    return known == (root.revision, root.digest)


def _own_write(plan: Plan, write_id: WriteId) -> Write | None:
    return next((w for w in plan.history if w.write_id == write_id), None)
