"""What operators can ask the fleet, behind one object."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from sapphirerail_core.errors import SapphirerailError
from sapphirerail_core.explain import Explanation, Query
from sapphirerail_core.fleet.listing import ListedInstance
from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.draft import Change
from sapphirerail_core.plan.model import Write, WriteId
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.restore import discarded_writes, restored_above
from sapphirerail_core.plan.store import Store
from sapphirerail_core.types import InstanceId, Revision

from .explain import gather
from .fleet_client import FleetClient, InstanceRevision, InstanceStatus, Unknown
from .progress import Progress, progress_of

__all__ = ["FleetOperator", "FleetReport", "RestoreReport"]

POLL_MS = 250
N_SAMPLED = 8
N_DETAILED = 64


class FleetReport(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the fleet.

    Parameters
    ----------
    store_revision : Revision or None
        Revision in the store; None if the store gave no answer.
    store_error : str
        Code of the store's failure.
    progress : Progress
        How far the highest known revision has come.
    instances : tuple
        Status of at most `N_DETAILED` instances, those first that are behind or give
        no answer.
    data_centres_out : tuple of str
        Data centres that the plan in the store takes out.
    """

    store_revision: Revision | None
    store_error: str
    progress: Progress
    instances: tuple[InstanceStatus | Unknown, ...]
    data_centres_out: tuple[str, ...]


class RestoreReport(msgspec.Struct, frozen=True, kw_only=True):
    """A plan of an instance that was written back into the store.

    Parameters
    ----------
    instance, instance_revision
        Whose plan was taken, and its revision.
    store_revision : Revision
        What the store held.
    revision, write_id
        What was written.
    dropped : tuple of Write
        Writes in the store that no instance had taken, and that are lost now.
    """

    instance: InstanceId
    instance_revision: Revision
    store_revision: Revision
    revision: Revision
    write_id: WriteId
    dropped: tuple[Write, ...]


class FleetOperator:
    """Asks the fleet on behalf of the command line.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    fleet : FleetClient
        Asks instances.
    name : str
        Who makes changes.
    """

    def __init__(self, store: Store, fleet: FleetClient, name: str) -> None:
        self._repository = PlanRepository(store)
        self._fleet = fleet
        self._name = name

    async def status(self) -> FleetReport:
        """Ask the store and all listed instances for revisions, and some for all."""
        plan, error = await self._stored_plan()
        listed = await self._fleet.listed()
        told = await self._fleet.revisions(listed)
        known = [Revision(0) if plan is None else plan.revision]
        known += [t.revision for t in told if isinstance(t, InstanceRevision)]
        newest = max(known)
        detailed = await self._fleet.statuses(_to_detail(listed, told, newest))
        return FleetReport(
            store_revision=None if plan is None else plan.revision,
            store_error=error,
            progress=progress_of(newest, told),
            instances=tuple(detailed),
            data_centres_out=_data_centres_out(plan),
        )

    async def wait(
        self,
        revision: Revision,
        timeout_ms: int,
        on_progress: Callable[[Progress], None],
    ) -> Progress:
        """Ask until a revision is in force everywhere, or the time has run out.

        With no instance on the platform's list there is nothing to wait for.
        An instance that has told of the revision is not asked again.
        """
        deadline_ms = _monotonic_ms() + timeout_ms
        done: dict[InstanceId, InstanceRevision] = {}
        while True:
            listed = await self._fleet.listed()
            missing = [entry for entry in listed if entry.instance not in done]
            answers = await self._fleet.revisions(missing)
            for answer in answers:
                if isinstance(answer, InstanceRevision) and answer.revision >= revision:
                    done[answer.instance] = answer
            names = {entry.instance for entry in listed}
            kept = [answer for name, answer in done.items() if name in names]
            waiting = [answer for answer in answers if answer.instance not in done]
            progress = progress_of(revision, [*kept, *waiting])
            on_progress(progress)
            is_over = progress.is_complete or not listed
            if is_over or _monotonic_ms() >= deadline_ms:
                return progress
            await asyncio.sleep(POLL_MS / 1000)

    async def explain(self, query: Query) -> Explanation:
        """Gather what the listed instances decided about something."""
        return await gather(self._fleet, query, await self._fleet.listed())

    async def debug(self, instance: InstanceId) -> Any:
        """Return all that one instance knows: settings, status and decisions.

        Raises
        ------
        SapphirerailError
            ``instance.unknown`` if it is not on the platform's list, and another code
            if it gave no answer.
        """
        listed = {entry.instance: entry for entry in await self._fleet.listed()}
        if instance not in listed:
            known = ", ".join(sorted(listed)) or "none"
            text = f"{instance!r} is not on the platform's list; listed are: {known}"
            raise SapphirerailError("instance.unknown", text)
        return await self._fleet.get(listed[instance], "/debug", Any)

    async def highest_known(self) -> Revision:
        """Return the highest revision that a few instances have; 0 if none answers."""
        try:
            listed = list(await self._fleet.listed())
        except SapphirerailError:
            return Revision(0)
        sample = random.sample(listed, min(N_SAMPLED, len(listed)))
        answers = await self._fleet.revisions(sample)
        told = [a.revision for a in answers if isinstance(a, InstanceRevision)]
        return max(told, default=Revision(0))

    async def restore(self) -> RestoreReport:
        """Write the newest plan of any instance into the store, above both.

        Raises
        ------
        SapphirerailError
            ``plan.not_behind``: no instance has more than the store;
            ``plan.no_instance``: none answered.
        """
        entry, newest = await self._newest()
        plan = await self._fleet.plan(entry)
        bases: list[Plan] = []

        def decide(base: Plan) -> Change:
            bases.append(base)
            if base.revision >= plan.revision:
                text = f"the store has revision {base.revision}, instances {newest}"
                raise SapphirerailError("plan.not_behind", text)
            return restored_above(base, plan)

        write = Write(
            revision=Revision(0),
            write_id=WriteId(uuid.uuid4().hex),
            operator=self._name,
            at_ms=time.time_ns() // 1_000_000,
        )
        committed = await self._repository.commit(decide, write)
        return RestoreReport(
            instance=entry.instance,
            instance_revision=plan.revision,
            store_revision=bases[-1].revision,
            revision=committed.change.plan.revision,
            write_id=write.write_id,
            dropped=discarded_writes(bases[-1], plan),
        )

    async def _newest(self) -> tuple[ListedInstance, Revision]:
        listed = {entry.instance: entry for entry in await self._fleet.listed()}
        answers = await self._fleet.revisions(listed.values())
        told = [a for a in answers if isinstance(a, InstanceRevision)]
        if not told:
            text = "no instance answered; without one the plan is lost"
            raise SapphirerailError("plan.no_instance", text)
        newest = max(told, key=lambda answer: answer.revision)
        return listed[newest.instance], newest.revision

    async def _stored_plan(self) -> tuple[Plan | None, str]:
        try:
            return (await self._repository.read()).plan, ""
        except SapphirerailError as error:
            return None, error.code


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _to_detail(
    listed: Sequence[ListedInstance],
    told: Sequence[InstanceRevision | Unknown],
    newest: Revision,
) -> list[ListedInstance]:
    """Return whom to ask for all: a few, those first that lack the newest plan."""
    lacking = {
        answer.instance
        for answer in told
        if isinstance(answer, Unknown) or answer.revision < newest
    }
    order = sorted(listed, key=lambda entry: entry.instance not in lacking)
    return order[:N_DETAILED]


def _data_centres_out(plan: Plan | None) -> tuple[str, ...]:
    if plan is None:
        return ()
    return tuple(sorted(name for name in plan.data_centres if plan.is_evacuated(name)))
