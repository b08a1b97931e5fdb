"""Client for the signed HTTP interface of the listed instances."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from sapphirerail_core.errors import SapphirerailError
from sapphirerail_core.fleet.listing import InstanceList, ListedInstance
from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.delta import PlanAnswer
from sapphirerail_core.types import DataCentreId, InstanceId, Revision
from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import parse_address

__all__ = [
    "FleetClient",
    "InstanceRevision",
    "InstanceStatus",
    "PlanStatus",
    "StaticInstanceList",
    "UnreachableInstance",
]

CALL_TIMEOUT_MS = 1500
PLAN_TIMEOUT_MS = 15_000
N_CALLS_MAX = 64
SINCE_ABOVE_ALL = 1 << 53
"""`since` value above every revision: the answer has the revision in force only."""

UNKNOWN_DATA_CENTRE = DataCentreId("(not known)")

AnswerT = TypeVar("AnswerT")


class InstanceRevision(msgspec.Struct, frozen=True):
    """The plan revision in force at one instance, as that instance reports it.

    Parameters
    ----------
    instance, data_centre
        Name of the instance and its data centre.
    revision : Revision
        Revision of the plan in force.
    contact_age_ms : int
        Time since the instance last confirmed that the store held nothing newer; -1
        if it never did.
    """

    instance: InstanceId
    data_centre: DataCentreId
    revision: Revision
    contact_age_ms: int


class UnreachableInstance(msgspec.Struct, frozen=True):
    """A listed instance that gave no usable answer, and why."""

    instance: InstanceId
    data_centre: DataCentreId
    code: str
    reason: str


class PlanStatus(msgspec.Struct, frozen=True):
    """Plan section of an instance's status."""

    source: str = ""
    taken_age_ms: int | None = None
    is_reader: bool = False
    contact_age_ms: int = -1
    store_revision: Revision | None = None
    is_store_behind: bool = False
    store_error: str = ""


class FlowStatus(msgspec.Struct, frozen=True):
    """Flow section of an instance's status."""

    n_flows: int = 0
    n_lost: int = 0
    draining: dict[str, int] = {}


class InstanceStatus(msgspec.Struct, frozen=True):
    """The fields of an instance's status that the command shows."""

    instance: InstanceId
    data_centre: DataCentreId
    phase: str
    revision: Revision
    uptime_ms: int
    plan: PlanStatus = PlanStatus()
    flows: FlowStatus = FlowStatus()


class StaticInstanceList:
    """Instance list given by the operator, for when the platform is unreachable.

    Parameters
    ----------
    addresses : sequence of str
        ``address:port`` of the instances' signed HTTP interfaces.
    signer : Signer
        Signs the calls.
    """

    def __init__(self, addresses: Sequence[str], signer: Signer) -> None:
        self._addresses = addresses
        self._signer = signer

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the instances, each under the name that it reports."""
        return await asyncio.gather(*(self._identify(text) for text in self._addresses))

    async def _identify(self, address: str) -> ListedInstance:
        client = HttpClient(parse_address(address), self._signer)
        try:
            status = await client.call_json(
                InstanceStatus, "GET", "/status", timeout_ms=CALL_TIMEOUT_MS
            )
        except SapphirerailError:
            unnamed = InstanceId(address)
            return ListedInstance(unnamed, UNKNOWN_DATA_CENTRE, "", address)
        return ListedInstance(status.instance, status.data_centre, "", address)


class FleetClient:
    """Calls instances over their signed HTTP interface.

    Parameters
    ----------
    listing : InstanceList
        Source of the instance list, which may be out of date.
    signer : Signer
        Signs the calls.
    """

    def __init__(self, listing: InstanceList, signer: Signer) -> None:
        self._listing = listing
        self._signer = signer
        self._call_slots = asyncio.Semaphore(N_CALLS_MAX)

    async def list_instances(self) -> Sequence[ListedInstance]:
        """Return the listed instances."""
        return await self._listing.fetch()

    async def fetch_revisions(
        self, listed: Iterable[ListedInstance]
    ) -> list[InstanceRevision | UnreachableInstance]:
        """Return the plan revision of each instance, or why it gave none."""
        return await asyncio.gather(*(self._revision(entry) for entry in listed))

    async def fetch_statuses(
        self, listed: Iterable[ListedInstance]
    ) -> list[InstanceStatus | UnreachableInstance]:
        """Return the status of each instance, or why it gave none."""
        return await asyncio.gather(*(self._status(entry) for entry in listed))

    async def fetch_plan(self, entry: ListedInstance) -> Plan:
        """Return the whole plan of an instance.

        Raises
        ------
        SapphirerailError
            The instance gave no answer, or has no plan.
        """
        answer = await self._call(entry, "/plan?since=0", PlanAnswer, PLAN_TIMEOUT_MS)
        if answer.full is None:
            raise SapphirerailError("plan.none", f"{entry.instance} has no plan")
        return answer.full.plan()

    async def get(self, entry: ListedInstance, target: str, kind: Any) -> Any:
        """Return the decoded answer of one instance to a GET request."""
        return await self._call(entry, target, kind, CALL_TIMEOUT_MS)

    async def _revision(
        self, entry: ListedInstance
    ) -> InstanceRevision | UnreachableInstance:
        target = f"/plan?since={SINCE_ABOVE_ALL}"
        try:
            answer = await self._call(entry, target, PlanAnswer, CALL_TIMEOUT_MS)
        except SapphirerailError as error:
            return _unreachable(entry, error)
        return InstanceRevision(
            entry.instance, entry.data_centre, answer.revision, answer.contact_age_ms
        )

    async def _status(
        self, entry: ListedInstance
    ) -> InstanceStatus | UnreachableInstance:
        try:
            return await self._call(entry, "/status", InstanceStatus, CALL_TIMEOUT_MS)
        except SapphirerailError as error:
            return _unreachable(entry, error)

    async def _call(
        self,
        entry: ListedInstance,
        target: str,
        kind: type[AnswerT],
        timeout_ms: int,
    ) -> AnswerT:
        client = HttpClient(parse_address(entry.api_address), self._signer)
        async with self._call_slots:
            return await client.call_json(kind, "GET", target, timeout_ms=timeout_ms)


def _unreachable(
    entry: ListedInstance, error: SapphirerailError
) -> UnreachableInstance:
    return UnreachableInstance(
        entry.instance, entry.data_centre, error.code, error.message
    )
