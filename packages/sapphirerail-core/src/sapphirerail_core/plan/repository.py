"""Commits changes of the plan to the store by compare-and-swap."""

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
from .retry import Sleep, backoff_ms, call_with_retries, sleep_ms
from .shard_writer import ShardWriter
from .store import (
    Store,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)

__all__ = ["Committed", "PlanRepository", "PlanWriteError"]

MAX_WRITE_ATTEMPTS = 40
"""Each attempt that loses to a concurrent writer means that another write succeeded."""
MAX_UNANSWERED_ATTEMPTS = 8
"""Attempts without a response from the store, once a write may have taken effect."""

PlanUpdate = Callable[[Plan], Change]
"""Computes the change to commit from the plan that is in the store."""


class PlanWriteError(SapphirerailError):
    """A change of the plan did not take effect, or its outcome is unknown."""


class Committed(msgspec.Struct, frozen=True):
    """A committed change.

    Parameters
    ----------
    change : Change
        The change; its plan is the one that was written.
    others : tuple of Write
        Writes by others that were committed between reading and writing.
    """

    change: Change
    others: tuple[Write, ...] = ()


@dataclass
class _CommitState:
    """State of a commit over its attempts."""

    write: Write
    first_revision: Revision | None = None
    is_outcome_unknown: bool = False
    n_unanswered: int = 0
    changes_by_revision: dict[Revision, Change] = field(default_factory=dict)

    def others(self, plan: Plan) -> tuple[Write, ...]:
        """Return the writes that were committed after the first read."""
        first = plan.revision if self.first_revision is None else self.first_revision
        return tuple(write for write in plan.history if write.revision > first)

    def confirmed(self, plan: Plan, known: Write) -> Committed:
        """Return the outcome of a write that is found in the plan's history."""
        change = self.changes_by_revision.get(
            known.revision, Change(plan, (), known.n_changed)
        )
        others = tuple(w for w in self.others(plan) if w.write_id != known.write_id)
        return Committed(msgspec.structs.replace(change, plan=plan), others)

    def failure(self, error: StoreError | None) -> PlanWriteError:
        """Return the error to raise, depending on whether the outcome is known."""
        cause = "too many concurrent writes" if error is None else error.message
        if self.is_outcome_unknown:
            return PlanWriteError(
                "plan.unknown_outcome",
                f"write {self.write.write_id} may have taken effect ({cause}); apply "
                "the sheet again, which leaves lines that are in force unchanged",
            )
        text = f"nothing was changed ({cause}); apply the sheet again"
        return PlanWriteError("plan.not_written", text)


class PlanRepository:
    """Reads and replaces the plan in the store.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    sleep : callable
        Waits for the given number of milliseconds between attempts.
    random_state : random.Random or None
        Adds jitter to the retries of concurrent writers.
    """

    def __init__(
        self,
        store: Store,
        sleep: Sleep = sleep_ms,
        random_state: random.Random | None = None,
    ) -> None:
        self._store = store
        self._sleep = sleep
        self._random = random_state or random.Random()
        self._reader = PlanReader(store, sleep)
        self._cached = EMPTY_PLAN

    async def read(self) -> StoredPlan:
        """Return the plan in the store, as `PlanReader.read` does.

        Shards that have not changed since the last read are not fetched again.
        """
        found = await self._reader.read_newer(self._cached)
        if not _is_complete(found):
            # The store lost writes, so the cached plan is not valid any more.
            found = await self._reader.read()
        self._cached = found.plan
        return found

    async def commit(self, make_change: PlanUpdate, write: Write) -> Committed:
        """Apply a change to the plan in the store.

        The change is computed again from the newest plan whenever another write was
        committed first. After a lost response the root is read back: its history shows
        whether it contains this write's id.

        Parameters
        ----------
        make_change : callable
            Returns the change for a given plan; called once for each attempt.
        write : Write
            Identifies the write; its revision and count are set here.

        Returns
        -------
        Committed
            The committed change.

        Raises
        ------
        PlanWriteError
            ``plan.not_written``: nothing changed. ``plan.unknown_outcome``: the
            store did not respond, and the change may have taken effect.
        """
        state = _CommitState(write)
        for number in range(1, MAX_WRITE_ATTEMPTS + 1):
            try:
                base = await call_with_retries(self.read, self._sleep)
                committed = await self._attempt(base, make_change, state)
            except StoreConflictError:
                committed = None
            except StoreError as error:
                # Once a root may have been written, only reading it back shows the
                # outcome, so the attempts go on.
                state.n_unanswered += 1
                if (
                    not state.is_outcome_unknown
                    or state.n_unanswered >= MAX_UNANSWERED_ATTEMPTS
                ):
                    raise state.failure(error) from error
                committed = None
            if committed is not None:
                return committed
            # Jitter keeps concurrent writers from retrying in step.
            await self._sleep(self._random.randrange(1, backoff_ms(number)))
        raise state.failure(None)

    async def _attempt(
        self, base: StoredPlan, make_change: PlanUpdate, state: _CommitState
    ) -> Committed:
        """Run one attempt on the plan that was just read."""
        known = _find_write(base.plan, state.write.write_id)
        if known is not None:
            return state.confirmed(base.plan, known)
        if state.first_revision is None:
            state.first_revision = base.plan.revision
        change = make_change(base.plan)
        others = state.others(base.plan)
        if change.n_changed == 0:
            return Committed(change, others)
        state.changes_by_revision[change.plan.revision] = change
        written = await self._try_commit(base, change, state)
        return Committed(written, others)

    async def _try_commit(
        self, base: StoredPlan, change: Change, state: _CommitState
    ) -> Change:
        """Write the changed shards, then the root."""
        stamped = msgspec.structs.replace(
            state.write,
            revision=change.plan.revision,
            n_changed=change.n_changed,
        )
        history = (*change.plan.history, stamped)[-layout.HISTORY_LENGTH :]
        plan = msgspec.structs.replace(change.plan, history=history)
        shards = ShardWriter(self._store, self._sleep, base, stamped)
        refs = await shards.write(plan)
        root = layout.encode_root(layout.make_root(plan, refs, shards.garbage()))
        try:
            await self._store.compare_and_swap(layout.ROOT_KEY, base.version, root)
        except StoreUnknownError:
            state.is_outcome_unknown = True
            raise
        except StoreConflictError:
            # After a lost response the root in the store may refer to these shards.
            if not state.is_outcome_unknown:
                await shards.discard()
            raise
        return msgspec.structs.replace(change, plan=plan)


def _is_complete(found: StoredPlan) -> bool:
    """Return whether an incremental read returned the plan that the root describes."""
    root = found.root
    if root is None:
        return True
    known = (found.plan.revision, found.plan.digest)
    return known == (root.revision, root.digest)


def _find_write(plan: Plan, write_id: WriteId) -> Write | None:
    return next((w for w in plan.history if w.write_id == write_id), None)
