import random

import pytest

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode
from sapphirerail_core.effects import SendToCaller, SendToServer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.config import FlowConfig
from sapphirerail_core.flow.context import FlowContext
from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.flow.table import FlowMark
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
    PLACES,
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
    fleet = FixedFleet(SELF, {SELF: PLACES[0]})
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


def test_a_flow_that_moves_is_not_taken_for_heard_at_its_new_server(
    context: FlowContext,
) -> None:
    row = context.add(datagram(1), SERVER, 0, FlowMark.CONFIRMED)
    context.table.mark(row, FlowMark.HEARD | FlowMark.ENDED)
    assert context.add(datagram(1), SERVER, 0) == row
    assert context.table.has(row, FlowMark.HEARD)
    assert not context.table.has(row, FlowMark.ENDED)
    context.add(datagram(1), ServerId("bookings-3"), 0)
    assert not context.table.has(row, FlowMark.HEARD)
    assert context.table.server(row) == "bookings-3"


def test_a_datagram_without_a_caller_leaves_the_known_one(context: FlowContext) -> None:
    row = context.add(datagram(1), SERVER, 0)
    context.add(datagram(1, caller=""), SERVER, 0)
    effect = context.keepalive(row)
    assert effect == SendToServer(SERVER, datagram(1))


def test_a_full_table_drops_the_longest_idle_flow_and_says_so(
    context: FlowContext,
) -> None:
    for number in range(N_FLOWS_MAX):
        context.add(datagram(number), SERVER, 1_000 * number)
    context.add(datagram(9), SERVER, 7_000)
    assert context.table.find(BOOKINGS, FlowId(0)) is None
    assert context.table.n_evicted == 1
    (entry,) = context.journal.entries()
    assert (entry.reason, entry.flow) == (Reason.FLOW_EVICTED, 0)
    assert entry.detail == "idle for 7000 ms"


def test_both_defaults_count_while_the_previous_plan_does(context: FlowContext) -> None:
    flow = FlowId(5)
    default = context.placement.default(BOOKINGS, flow)
    assert default is not None
    other = next(s for s in context.plan.servers if s != default)
    assert not context.needs_record(BOOKINGS, flow, default)
    assert context.needs_record(BOOKINGS, flow, other)
    left = change_servers(first_plan(), {default: ServerState.LEFT})
    context.previous_placement, context.placement = context.placement, Placement(left)
    following = context.placement.default(BOOKINGS, flow)
    assert following is not None
    assert context.needs_record(BOOKINGS, flow, following)
    context.previous_placement = None
    assert not context.needs_record(BOOKINGS, flow, following)


def test_the_reason_of_a_loss_tells_a_data_centre_from_a_server(
    context: FlowContext,
) -> None:
    place = context.plan.servers[SERVER].data_centre
    out = change_data_centre(first_plan(), place, DataCentreState.OUT)
    context.placement = Placement(out)
    assert context.loss_of(SERVER) == (
        RefusalCode.DATA_CENTRE_OUT,
        Reason.FLOW_GIVEN_UP,
    )
    gone = ServerId("nowhere")
    assert context.loss_of(gone) == (RefusalCode.FLOW_LOST, Reason.FLOW_LOST)


def test_giving_a_flow_up_tells_its_caller_if_there_is_one(
    context: FlowContext,
) -> None:
    row = context.add(datagram(1), SERVER, 0)
    code = RefusalCode.UNREACHABLE
    (told,) = context.give_up_row(row, code, Reason.FLOW_LOST, 0)
    assert isinstance(told, SendToCaller)
    reset = told.datagram
    assert (reset.kind, reset.code, reset.flow) == (Kind.RESET, code, 1)
    assert reset.caller == "10.0.0.1:4000"
    assert context.table.find(BOOKINGS, FlowId(1)) is None
    assert context.give_up(datagram(2, caller=""), code, Reason.FLOW_LOST, 0) == []
    assert context.n_lost == 2
