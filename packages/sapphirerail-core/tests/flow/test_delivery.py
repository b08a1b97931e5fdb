import pytest

from sapphirerail_core.datagram import Kind, RefusalCode
from sapphirerail_core.effects import Effect, SendToCaller, SendToServer
from sapphirerail_core.flow.table import FlowFlag
from sapphirerail_core.types import (
    DataCentreState,
    FlowId,
    InstanceId,
    ServerId,
    TrafficClass,
)
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import BOOKINGS, change_data_centre, first_plan

I0 = InstanceId("i0")
FLOW = FlowId(40)


@pytest.fixture
def server(fleet: FlowFleet) -> ServerId:
    """Return the server of a feed opened through the first instance."""
    fleet.run(12_000)
    server = fleet.open(I0, BOOKINGS, FLOW)
    assert server is not None
    fleet.run(100)
    return server


def send(fleet: FlowFleet, kind: Kind, caller: str = "10.9.0.1:7") -> list[Effect]:
    datagram = fleet.datagram(kind, BOOKINGS, FLOW, caller=caller)
    return fleet.nodes[I0].director.on_caller_datagram(datagram, fleet.now_ms)


def test_new_caller_address_is_stored_and_datagram_is_unchanged(
    fleet: FlowFleet, server: ServerId
) -> None:
    datagram = fleet.datagram(Kind.KEEPALIVE, BOOKINGS, FLOW, caller="10.9.0.1:7")
    assert send(fleet, Kind.KEEPALIVE) == [SendToServer(server, datagram)]
    context = fleet.nodes[I0].director._context
    row = context.table.find(BOOKINGS, FLOW)
    assert row is not None
    assert context.keepalive(row) == SendToServer(server, datagram)
    assert context.table.has_flag(row, FlowFlag.AWAITING_SERVER)


def test_close_is_forwarded_and_drops_the_records(
    fleet: FlowFleet, server: ServerId
) -> None:
    fleet.run(4_000)
    (sent,) = send(fleet, Kind.CLOSE)
    assert isinstance(sent, SendToServer)
    assert (sent.server, sent.datagram.kind) == (server, Kind.CLOSE)
    fleet.run(1_000)
    n_records = sum(n.director.status().n_records for n in fleet.nodes.values())
    assert n_records == 0


def test_flow_in_evacuated_data_centre_is_abandoned(
    fleet: FlowFleet, server: ServerId
) -> None:
    plan = first_plan()
    data_centre = plan.servers[server].data_centre
    out = change_data_centre(plan, data_centre, DataCentreState.OUT)
    fleet.nodes[I0].director.on_plan(out, fleet.now_ms)
    (sent,) = send(fleet, Kind.KEEPALIVE)
    assert isinstance(sent, SendToCaller)
    reset = sent.datagram
    assert (reset.kind, reset.code) == (Kind.RESET, RefusalCode.DATA_CENTRE_OUT)
    assert reset.caller == "10.9.0.1:7"
    assert fleet.nodes[I0].director.lookup(BOOKINGS, FLOW) is None


def test_unregistered_transaction_sends_no_forget(
    fleet: FlowFleet,
) -> None:
    fleet.run(12_000)
    flow = FlowId(41)
    fleet.open(I0, BOOKINGS, flow, TrafficClass.TRANSACTION)
    close = fleet.datagram(Kind.CLOSE, BOOKINGS, flow, TrafficClass.TRANSACTION)
    n_bytes = sum(n.n_control_bytes for n in fleet.nodes.values())
    fleet.send(I0, close)
    fleet.run(3_000)
    assert sum(n.n_control_bytes for n in fleet.nodes.values()) == n_bytes
