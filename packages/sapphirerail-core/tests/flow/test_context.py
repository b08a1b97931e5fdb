import random

import pytest

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode
from sapphirerail_core.effects import SendToCaller, SendToServer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.config import FlowConfig
from sapphirerail_core.flow.context import FlowContext
from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.flow.table import FlowFlag
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_core.types import (
    DataCentreState,
    FlowId,
    InstanceId,
    ServerId,
    ServerState,
    TrafficClass,
)
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    DATA_CENTRES,
    change_data_centre,
    change_servers,
    first_plan,
)

SELF = InstanceId("i0")
SERVER = ServerId("bookings-2")
N_FLOWS_MAX = 3


@pytest.fixture
def context() -> FlowContext:
    config = FlowConfig(n_flows_max=N_FLOWS_MAX)
    fleet = FixedFleet(SELF, {SELF: DATA_CENTRES[0]})
    context = FlowContext(config, fleet, Journal(SELF), random.Random(1))
    context.placement = Placement(first_plan())
    return context


def datagram(number: int, caller: str = "10.0.0.1:4000") -> Datagram:
    return Datagram(
        kind=Kind.KEEPALIVE,
        service=BOOKINGS,
        flow=FlowId(number),
        traffic_class=TrafficClass.FEED,
        caller=caller,
    )


def test_moved_flow_has_no_response_from_its_new_server(
    context: FlowContext,
) -> None:
    row = context.put(datagram(1), SERVER, 0, FlowFlag.CONFIRMED)
    context.table.set_flags(row, FlowFlag.SERVER_RESPONDED | FlowFlag.COMPLETED)
    assert context.put(datagram(1), SERVER, 0) == row
    assert context.table.has_flag(row, FlowFlag.SERVER_RESPONDED)
    assert not context.table.has_flag(row, FlowFlag.COMPLETED)
    context.put(datagram(1), ServerId("bookings-3"), 0)
    assert not context.table.has_flag(row, FlowFlag.SERVER_RESPONDED)
    assert context.table.server(row) == "bookings-3"


def test_datagram_without_caller_keeps_the_known_address(context: FlowContext) -> None:
    row = context.put(datagram(1), SERVER, 0)
    context.put(datagram(1, caller=""), SERVER, 0)
    effect = context.keepalive(row)
    assert effect == SendToServer(SERVER, datagram(1))


def test_full_table_evicts_the_least_recently_used_flow(
    context: FlowContext,
) -> None:
    for number in range(N_FLOWS_MAX):
        context.put(datagram(number), SERVER, 1_000 * number)
    context.put(datagram(9), SERVER, 7_000)
    assert context.table.find(BOOKINGS, FlowId(0)) is None
    assert context.table.n_evicted == 1
    (entry,) = context.journal.entries()
    assert (entry.reason, entry.flow) == (Reason.FLOW_EVICTED, 0)
    assert entry.detail == "idle for 7000 ms"


def test_previous_default_counts_during_the_grace_period(context: FlowContext) -> None:
    flow = FlowId(5)
    default = context.placement.default(BOOKINGS, flow)
    assert default is not None
    other = next(s for s in context.plan.servers if s != default)
    assert not context.needs_record(BOOKINGS, flow, default)
    assert context.needs_record(BOOKINGS, flow, other)
    left = change_servers(first_plan(), {default: ServerState.LEFT})
    context.previous_placement, context.placement = context.placement, Placement(left)
    new_default = context.placement.default(BOOKINGS, flow)
    assert new_default is not None
    assert context.needs_record(BOOKINGS, flow, new_default)
    context.previous_placement = None
    assert not context.needs_record(BOOKINGS, flow, new_default)


def test_loss_reason_distinguishes_evacuation_from_a_lost_server(
    context: FlowContext,
) -> None:
    data_centre = context.plan.servers[SERVER].data_centre
    out = change_data_centre(first_plan(), data_centre, DataCentreState.OUT)
    context.placement = Placement(out)
    assert context.loss_reason(SERVER) == (
        RefusalCode.DATA_CENTRE_OUT,
        Reason.FLOW_GIVEN_UP,
    )
    unknown = ServerId("nowhere")
    assert context.loss_reason(unknown) == (RefusalCode.FLOW_LOST, Reason.FLOW_LOST)


def test_abandoned_flow_is_reset_if_its_caller_is_known(
    context: FlowContext,
) -> None:
    row = context.put(datagram(1), SERVER, 0)
    code = RefusalCode.UNREACHABLE
    (sent,) = context.abandon_row(row, code, Reason.FLOW_LOST, 0)
    assert isinstance(sent, SendToCaller)
    reset = sent.datagram
    assert (reset.kind, reset.code, reset.flow) == (Kind.RESET, code, 1)
    assert reset.caller == "10.0.0.1:4000"
    assert context.table.find(BOOKINGS, FlowId(1)) is None
    assert context.abandon_flow(datagram(2, caller=""), code, Reason.FLOW_LOST, 0) == []
    assert context.n_lost == 2
