"""Asks the instances on the platform's list what they have."""

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
    "GivenInstances",
    "InstanceRevision",
    "InstanceStatus",
    "PlanPart",
    "Unknown",
]

CALL_TIMEOUT_MS = 1500
PLAN_TIMEOUT_MS = 15_000
N_CALLS_MAX = 64
NOTHING_NEWER = 1 << 53
"""A revision that no plan has: the answer to it is only the revision in force."""

NO_DATA_CENTRE = DataCentreId("(not known)")

AnswerT = TypeVar("AnswerT")


class InstanceRevision(msgspec.Struct, frozen=True):
    """The plan in force at one instance, as it says itself.

    Parameters
    ----------
    instance, data_centre
        Who and where.
    revision : Revision
        The plan in force there.
    contact_age_ms : int
        Time since that instance knows the store to have held nothing newer; -1 if
        never.
    """

    instance: InstanceId
    data_centre: DataCentreId
    revision: Revision
    contact_age_ms: int


class Unknown(msgspec.Struct, frozen=True):
    """An instance on the platform's list that gave no answer."""

    instance: InstanceId
    data_centre: DataCentreId
    code: str
    reason: str


class PlanPart(msgspec.Struct, frozen=True):
    """What an instance says of its plan."""

    source: str = ""
    taken_age_ms: int | None = None
    is_reader: bool = False
    contact_age_ms: int = -1
    store_revision: Revision | None = None
    is_store_behind: bool = False
    store_error: str = ""


class FlowPart(msgspec.Struct, frozen=True):
    """What an instance says of its flows."""

    n_flows: int = 0
    n_lost: int = 0
    draining: dict[str, int] = {}


class InstanceStatus(msgspec.Struct, frozen=True):
    """The parts of an instance's status that the command shows."""

    instance: InstanceId
    data_centre: DataCentreId
    phase: str
    revision: Revision
    uptime_ms: int
    plan: PlanPart = PlanPart()
    flows: FlowPart = FlowPart()


class GivenInstances:
    """Instances that the operator names, for when the platform can't be asked.

    Parameters
    ----------
    addresses : sequence of str
        ``address:port`` of their signed interfaces.
    signer : Signer
        Signs the calls.
    """

    def __init__(self, addresses: Sequence[str], signer: Signer) -> None:
        self._addresses = addresses
        self._signer = signer

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the instances by the names that they give themselves."""
        return await asyncio.gather(*(self._entry(text) for text in self._addresses))

    async def _entry(self, address: str) -> ListedInstance:
        client = HttpClient(parse_address(address), self._signer)
        try:
            told = await client.call_json(
                InstanceStatus, "GET", "/status", timeout_ms=CALL_TIMEOUT_MS
            )
        except SapphirerailError:
            unnamed = InstanceId(address)
            return ListedInstance(unnamed, NO_DATA_CENTRE, "", address)
        return ListedInstance(told.instance, told.data_centre, "", address)


class FleetClient:
    """Asks instances over their signed interface.

    Parameters
    ----------
    listing : InstanceList
        The platform's list, which lags.
    signer : Signer
        Signs the calls.
    """

    def __init__(self, listing: InstanceList, signer: Signer) -> None:
        self._listing = listing
        self._signer = signer
        self._calls = asyncio.Semaphore(N_CALLS_MAX)

    async def listed(self) -> Sequence[ListedInstance]:
        """Return the platform's list."""
        return await self._listing.fetch()

    async def revisions(
        self, listed: Iterable[ListedInstance]
    ) -> list[InstanceRevision | Unknown]:
        """Ask each instance for its revision."""
        return await asyncio.gather(*(self._revision(entry) for entry in listed))

    async def statuses(
        self, listed: Iterable[ListedInstance]
    ) -> list[InstanceStatus | Unknown]:
        """Ask each instance for its status."""
        return await asyncio.gather(*(self._status(entry) for entry in listed))

    async def plan(self, entry: ListedInstance) -> Plan:
        """Return the whole plan of an instance.

        Raises
        ------
        SapphirerailError
            It gave no answer, or has no plan.
        """
        answer = await self._call(entry, "/plan?since=0", PlanAnswer, PLAN_TIMEOUT_MS)
        if answer.full is None:
            raise SapphirerailError("plan.none", f"{entry.instance} has no plan")
        return answer.full.plan()

    async def get(self, entry: ListedInstance, target: str, kind: Any) -> Any:
        """Return a decoded answer of one instance."""
        return await self._call(entry, target, kind, CALL_TIMEOUT_MS)

    async def _revision(self, entry: ListedInstance) -> InstanceRevision | Unknown:
        target = f"/plan?since={NOTHING_NEWER}"
        try:
            answer = await self._call(entry, target, PlanAnswer, CALL_TIMEOUT_MS)
        except SapphirerailError as error:
            return _unknown(entry, error)
        return InstanceRevision(
            entry.instance, entry.data_centre, answer.revision, answer.contact_age_ms
        )

    async def _status(self, entry: ListedInstance) -> InstanceStatus | Unknown:
        try:
            return await self._call(entry, "/status", InstanceStatus, CALL_TIMEOUT_MS)
        except SapphirerailError as error:
            return _unknown(entry, error)

    async def _call(
        self,
        entry: ListedInstance,
        target: str,
        kind: type[AnswerT],
        timeout_ms: int,
    ) -> AnswerT:
        client = HttpClient(parse_address(entry.api_address), self._signer)
        async with self._calls:
            return await client.call_json(kind, "GET", target, timeout_ms=timeout_ms)


def _unknown(entry: ListedInstance, error: SapphirerailError) -> Unknown:
    return Unknown(entry.instance, entry.data_centre, error.code, error.message)
