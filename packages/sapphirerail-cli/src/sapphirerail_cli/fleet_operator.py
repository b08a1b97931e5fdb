"""Facade for queries about the fleet and for restoring the plan."""

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

from .explain import gather_explanation
from .fleet_client import (
    FleetClient,
    InstanceRevision,
    InstanceStatus,
    UnreachableInstance,
)
from .progress import Progress, compute_progress

__all__ = ["FleetOperator", "FleetReport", "RestoreReport"]

POLL_MS = 250
N_INSTANCES_SAMPLED = 8
N_INSTANCES_DETAILED = 64


class FleetReport(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the fleet.

    Parameters
    ----------
    store_revision : Revision or None
        Revision in the store; None if the store gave no answer.
    store_error : str
        Error code if the store gave no answer, else empty.
    progress : Progress
        Rollout of the highest known revision.
    instances : tuple
        Status of at most `N_INSTANCES_DETAILED` instances; those that are behind or
        give no answer come first.
    data_centres_out : tuple of str
        Data centres that are evacuated by the plan in the store.
    """

    store_revision: Revision | None
    store_error: str
    progress: Progress
    instances: tuple[InstanceStatus | UnreachableInstance, ...]
    data_centres_out: tuple[str, ...]


class RestoreReport(msgspec.Struct, frozen=True, kw_only=True):
    """The plan of an instance that was written back to the store.

    Parameters
    ----------
    instance, instance_revision
        Instance that supplied the plan, and the plan's revision there.
    store_revision : Revision
        Revision in the store before.
    revision, write_id
        Revision and name of the write.
    dropped : tuple of Write
        Writes in the store that no instance had applied; the restore discarded them.
    """

    instance: InstanceId
    instance_revision: Revision
    store_revision: Revision
    revision: Revision
    write_id: WriteId
    dropped: tuple[Write, ...]


class FleetOperator:
    """Queries the store and the fleet for the command line.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    fleet : FleetClient
        Calls the instances.
    name : str
        Operator's name in the plan's history.
    """

    def __init__(self, store: Store, fleet: FleetClient, name: str) -> None:
        self._repository = PlanRepository(store)
        self._fleet = fleet
        self._name = name

    async def status(self) -> FleetReport:
        """Return revisions of the store and all instances, and statuses of some."""
        plan, error = await self._read_stored_plan()
        listed = await self._fleet.list_instances()
        answers = await self._fleet.fetch_revisions(listed)
        known = [Revision(0) if plan is None else plan.revision]
        known += [a.revision for a in answers if isinstance(a, InstanceRevision)]
        newest = max(known)
        detailed = await self._fleet.fetch_statuses(
            _select_detailed(listed, answers, newest)
        )
        return FleetReport(
            store_revision=None if plan is None else plan.revision,
            store_error=error,
            progress=compute_progress(newest, answers),
            instances=tuple(detailed),
            data_centres_out=_evacuated_data_centres(plan),
        )

    async def wait(
        self,
        revision: Revision,
        timeout_ms: int,
        on_progress: Callable[[Progress], None],
    ) -> Progress:
        """Poll until a revision is in force in every listed instance, or time is up.

        Returns at once if no instance is listed. An instance that has reported the
        revision is not asked again.
        """
        deadline_ms = _monotonic_ms() + timeout_ms
        done: dict[InstanceId, InstanceRevision] = {}
        while True:
            listed = await self._fleet.list_instances()
            pending = [entry for entry in listed if entry.instance not in done]
            answers = await self._fleet.fetch_revisions(pending)
            for answer in answers:
                if isinstance(answer, InstanceRevision) and answer.revision >= revision:
                    done[answer.instance] = answer
            names = {entry.instance for entry in listed}
            kept = [answer for name, answer in done.items() if name in names]
            waiting = [answer for answer in answers if answer.instance not in done]
            progress = compute_progress(revision, [*kept, *waiting])
            on_progress(progress)
            is_done = progress.is_complete or not listed
            if is_done or _monotonic_ms() >= deadline_ms:
                return progress
            await asyncio.sleep(POLL_MS / 1000)

    async def explain(self, query: Query) -> Explanation:
        """Return the decisions of the listed instances about one subject."""
        return await gather_explanation(
            self._fleet, query, await self._fleet.list_instances()
        )

    async def debug(self, instance: InstanceId) -> Any:
        """Return the settings, status and decisions of one instance.

        Raises
        ------
        SapphirerailError
            ``instance.unknown`` if it is not on the platform's list; another code if
            it gave no answer.
        """
        listed = {entry.instance: entry for entry in await self._fleet.list_instances()}
        if instance not in listed:
            known = ", ".join(sorted(listed)) or "none"
            text = (
                f"{instance!r} is not on the platform's list; listed instances: {known}"
            )
            raise SapphirerailError("instance.unknown", text)
        return await self._fleet.get(listed[instance], "/debug", Any)

    async def highest_sampled_revision(self) -> Revision:
        """Return the highest revision in a sample of instances; 0 if none answers."""
        try:
            listed = list(await self._fleet.list_instances())
        except SapphirerailError:
            return Revision(0)
        sample = random.sample(listed, min(N_INSTANCES_SAMPLED, len(listed)))
        answers = await self._fleet.fetch_revisions(sample)
        revisions = [a.revision for a in answers if isinstance(a, InstanceRevision)]
        return max(revisions, default=Revision(0))

    async def restore(self) -> RestoreReport:
        """Write the newest plan of any instance to the store.

        The new revision is above those of the store and of the instance.

        Raises
        ------
        SapphirerailError
            ``plan.not_behind``: no instance has a higher revision than the store;
            ``plan.no_instance``: none answered.
        """
        entry, newest = await self._find_newest()
        plan = await self._fleet.fetch_plan(entry)
        bases: list[Plan] = []

        def decide(base: Plan) -> Change:
            bases.append(base)
            if base.revision >= plan.revision:
                text = (
                    f"nothing to restore: the store has revision {base.revision}, "
                    f"instances have {newest} at most"
                )
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

    async def _find_newest(self) -> tuple[ListedInstance, Revision]:
        listed = {entry.instance: entry for entry in await self._fleet.list_instances()}
        answers = await self._fleet.fetch_revisions(listed.values())
        revisions = [a for a in answers if isinstance(a, InstanceRevision)]
        if not revisions:
            text = "no instance answered; a plan can be restored from an instance only"
            raise SapphirerailError("plan.no_instance", text)
        newest = max(revisions, key=lambda answer: answer.revision)
        return listed[newest.instance], newest.revision

    async def _read_stored_plan(self) -> tuple[Plan | None, str]:
        try:
            return (await self._repository.read()).plan, ""
        except SapphirerailError as error:
            return None, error.code


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def _select_detailed(
    listed: Sequence[ListedInstance],
    answers: Sequence[InstanceRevision | UnreachableInstance],
    newest: Revision,
) -> list[ListedInstance]:
    """Return the instances to ask for a status; those without the newest plan first."""
    behind = {
        answer.instance
        for answer in answers
        if isinstance(answer, UnreachableInstance) or answer.revision < newest
    }
    order = sorted(listed, key=lambda entry: entry.instance not in behind)
    return order[:N_INSTANCES_DETAILED]


def _evacuated_data_centres(plan: Plan | None) -> tuple[str, ...]:
    if plan is None:
        return ()
    return tuple(sorted(name for name in plan.data_centres if plan.is_evacuated(name)))
