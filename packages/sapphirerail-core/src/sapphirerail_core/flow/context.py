"""State shared by the components of flow handling."""

import random
from dataclasses import dataclass, field

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect, SendToCaller, SendToServer
from ..fleet.view import FleetView
from ..journal import Journal, Reason
from ..plan.model import EMPTY_PLAN, Plan
from ..types import FlowId, InstanceId, ServerId, ServiceId
from .address import pack_address, unpack_address
from .config import FlowConfig
from .owners import OwnerHistory, eligible_owners
from .placement import Placement, flow_key
from .record_codec import FlowRecord, ServerCodes
from .table import FlowFlag, FlowTable

__all__ = ["FlowContext", "keepalive_for"]


def keepalive_for(record: FlowRecord, service: ServiceId) -> Datagram:
    """Return a keepalive for the flow of a record."""
    return Datagram(
        kind=Kind.KEEPALIVE,
        service=service,
        flow=record.flow,
        traffic_class=record.traffic_class,
        caller=unpack_address(record.caller),
    )


@dataclass
class FlowContext:
    """Flow table, record table and plan of one instance.

    Parameters
    ----------
    config : FlowConfig
        Limits, periods and rate limits.
    fleet : FleetView
        Fleet membership as this instance sees it.
    journal : Journal
        Decision journal.
    random_state : random.Random
        Random numbers for jitter.
    """

    config: FlowConfig
    fleet: FleetView
    journal: Journal
    random_state: random.Random
    placement: Placement = field(default_factory=lambda: Placement(EMPTY_PLAN))
    previous_placement: Placement | None = None
    plan_changed_ms: int = 0
    codes: ServerCodes = field(default_factory=lambda: ServerCodes(EMPTY_PLAN))
    n_lost: int = 0
    is_draining: bool = False

    def __post_init__(self) -> None:
        self.table = FlowTable(self.config.n_flows_max)
        self.records = FlowTable(self.config.n_records_max)
        self.owners = OwnerHistory(self.config.owner_grace_ms)
        self.owners.current.update(eligible_owners(self.fleet, EMPTY_PLAN))

    @property
    def self_id(self) -> InstanceId:
        """Identifier of this instance."""
        return self.fleet.self_id

    @property
    def plan(self) -> Plan:
        """The plan in force."""
        return self.placement.plan

    def owners_of(self, row: int) -> tuple[InstanceId, ...]:
        """Return the current owners of a flow in the table."""
        key = flow_key(self.table.service(row), self.table.flow(row))
        return self.owners.current.owners(key)

    def needs_record(self, service: ServiceId, flow: FlowId, server: ServerId) -> bool:
        """Return whether a flow is not on the default server of its key.

        Such a flow is a placement exception and needs a record at its owners. For
        a grace period after a change of plan, the previous plan's default is checked
        too, because other instances may still use that plan.
        """
        if self.placement.default(service, flow) != server:
            return True
        previous = self.previous_placement
        return previous is not None and previous.default(service, flow) != server

    def put(
        self, datagram: Datagram, server: ServerId, now_ms: int, flags: int = 0
    ) -> int:
        """Insert a flow into the table, or update its server, and return its row."""
        row = self.table.find(datagram.service, datagram.flow)
        if row is None:
            self._evict_if_full(now_ms)
            row = self.table.insert(datagram.service, datagram.flow, server, now_ms)
        else:
            if self.table.server(row) != server:
                self.table.clear_flags(row, FlowFlag.SERVER_RESPONDED)
            self.table.set_server(row, server)
            self.table.clear_flags(row, FlowFlag.COMPLETED)
        self.table.set_traffic_class(row, datagram.traffic_class)
        caller = pack_address(datagram.caller)
        if caller:
            self.table.set_caller(row, caller)
        self.table.set_flags(row, flags)
        return row

    def record(self, row: int) -> FlowRecord:
        """Return the record of a flow in the table."""
        table = self.table
        return FlowRecord(
            table.flow(row),
            table.server(row),
            table.caller(row),
            table.traffic_class(row),
        )

    def keepalive(self, row: int) -> Effect:
        """Return the sending of a keepalive for a flow in the table."""
        datagram = keepalive_for(self.record(row), self.table.service(row))
        return SendToServer(self.table.server(row), datagram)

    def abandon_flow(
        self, datagram: Datagram, code: RefusalCode, reason: Reason, now_ms: int
    ) -> list[Effect]:
        """Send the caller a reset for a lost flow, and record the reason."""
        self.n_lost += 1
        self.journal.record(now_ms, reason, flow=datagram.flow, detail=code.name)
        if not datagram.caller:
            return []
        reset = Datagram(
            kind=Kind.RESET,
            service=datagram.service,
            flow=datagram.flow,
            traffic_class=datagram.traffic_class,
            caller=datagram.caller,
            code=code,
        )
        return [SendToCaller(reset)]

    def abandon_row(
        self, row: int, code: RefusalCode, reason: Reason, now_ms: int
    ) -> list[Effect]:
        """Remove a flow from the table and send its caller a reset."""
        stub = keepalive_for(self.record(row), self.table.service(row))
        self.table.remove(row)
        return self.abandon_flow(stub, code, reason, now_ms)

    def loss_reason(self, server: ServerId) -> tuple[RefusalCode, Reason]:
        """Return the refusal code and reason for flows of an unreachable server."""
        if self.placement.is_evacuated(server) and self.placement.is_known(server):
            return RefusalCode.DATA_CENTRE_OUT, Reason.FLOW_GIVEN_UP
        return RefusalCode.FLOW_LOST, Reason.FLOW_LOST

    def _evict_if_full(self, now_ms: int) -> None:
        if not self.table.is_full():
            return
        oldest = self.table.oldest()
        if oldest is None:
            return
        self.table.n_evicted += 1
        self.journal.record(
            now_ms,
            Reason.FLOW_EVICTED,
            flow=self.table.flow(oldest),
            server=self.table.server(oldest),
            detail=f"idle for {self.table.idle_ms(oldest, now_ms)} ms",
        )
        self.table.remove(oldest)
