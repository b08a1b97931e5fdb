import msgspec
import pytest

from sapphirerail_core.datagram import Kind
from sapphirerail_core.effects import SendToPeer, SendToServer
from sapphirerail_core.flow.messages import Locate, Located, NotLocated
from sapphirerail_core.flow.placement import flow_key
from sapphirerail_core.journal import Reason
from sapphirerail_core.types import FlowId, InstanceId, Revision, ServerId, ServerState
from sapphirerail_standins.flow_fleet import FlowFleet, FlowNode
from sapphirerail_standins.flow_plans import BOOKINGS, change_servers, first_plan

DRAINING = ServerId("bookings-0")


@pytest.fixture
def flow(fleet: FlowFleet) -> FlowId:
    """Return a flow for which the layers differ, because its default drains."""
    fleet.set_plan(change_servers(first_plan(), {DRAINING: ServerState.DRAINING}))
    placement = next(iter(fleet.nodes.values())).director._context.placement
    return next(
        FlowId(number)
        for number in range(1, 1_000)
        if placement.default(BOOKINGS, FlowId(number)) == DRAINING
    )


def owners(fleet: FlowFleet, flow: FlowId) -> tuple[InstanceId, ...]:
    context = next(iter(fleet.nodes.values())).director._context
    return context.owners.current.owners(flow_key(BOOKINGS, flow))


def non_owner(fleet: FlowFleet, flow: FlowId) -> FlowNode:
    name = next(name for name in fleet.nodes if name not in owners(fleet, flow))
    return fleet.nodes[name]


def send_unknown(
    fleet: FlowFleet, flow: FlowId, attempt: int = 0
) -> tuple[Locate, str]:
    datagram = fleet.datagram(Kind.DATA, BOOKINGS, flow, attempt=attempt)
    node = non_owner(fleet, flow)
    (sent,) = node.director.on_caller_datagram(datagram, fleet.now_ms)
    assert isinstance(sent, SendToPeer)
    assert isinstance(sent.message, Locate)
    return sent.message, sent.instance


def test_datagram_of_unknown_flow_travels_through_the_owners(
    fleet: FlowFleet, flow: FlowId
) -> None:
    first, second = owners(fleet, flow)
    message, target = send_unknown(fleet, flow)
    assert (target, message.path) == (first, (second,))
    (forwarded,) = fleet.nodes[first].director.on_message(
        message.origin, message, fleet.now_ms
    )
    assert isinstance(forwarded, SendToPeer)
    expected = msgspec.structs.replace(message, path=(), n_hops=message.n_hops + 1)
    assert forwarded == SendToPeer(second, expected)


def test_retransmission_starts_at_the_second_owner(
    fleet: FlowFleet, flow: FlowId
) -> None:
    first, second = owners(fleet, flow)
    message, target = send_unknown(fleet, flow, attempt=1)
    assert (target, message.path) == (second, (first,))


def test_owner_with_record_forwards_and_reports_to_origin(
    fleet: FlowFleet, flow: FlowId
) -> None:
    opener = non_owner(fleet, flow).fleet.self_id
    server = fleet.open(opener, BOOKINGS, flow)
    assert server is not None
    fleet.run(50)
    name = owners(fleet, flow)[0]
    datagram = fleet.datagram(Kind.DATA, BOOKINGS, flow)
    origin = InstanceId("i-origin")
    message = Locate(origin, Revision(1), (), (), datagram)
    effects = fleet.nodes[name].director.on_message(origin, message, fleet.now_ms)
    located = Located(BOOKINGS, flow, server)
    assert effects == [SendToServer(server, datagram), SendToPeer(origin, located)]


def test_last_owner_without_record_uses_the_default(
    fleet: FlowFleet, flow: FlowId
) -> None:
    message, _ = send_unknown(fleet, flow)
    last = msgspec.structs.replace(message, path=())
    node = fleet.nodes[owners(fleet, flow)[1]]
    effects = node.director.on_message(message.origin, last, fleet.now_ms)
    unconfirmed = Located(BOOKINGS, flow, DRAINING, confirmed=False)
    assert effects == [
        SendToServer(DRAINING, message.datagram),
        SendToPeer(message.origin, unconfirmed),
    ]
    assert node.journal.entries()[-1].reason is Reason.FLOW_UNRECORDED


def test_owner_with_older_plan_returns_the_datagram(
    fleet: FlowFleet, flow: FlowId
) -> None:
    message, _ = send_unknown(fleet, flow)
    newer = msgspec.structs.replace(message, path=(), revision=Revision(99))
    owner = fleet.nodes[owners(fleet, flow)[0]].director
    returned = NotLocated((), message.datagram)
    assert owner.on_message(message.origin, newer, fleet.now_ms) == [
        SendToPeer(message.origin, returned)
    ]
    origin = non_owner(fleet, flow).director
    effects = origin.on_message(owners(fleet, flow)[0], returned, fleet.now_ms)
    assert effects == [SendToServer(DRAINING, message.datagram)]


def test_datagram_is_dropped_at_the_hop_limit(fleet: FlowFleet, flow: FlowId) -> None:
    message, _ = send_unknown(fleet, flow)
    last_hop = msgspec.structs.replace(message, n_hops=8)
    node = fleet.nodes[owners(fleet, flow)[0]]
    assert node.director.on_message(message.origin, last_hop, fleet.now_ms) == []
    assert node.journal.entries()[-1].reason is Reason.DATAGRAM_DROPPED


def test_located_does_not_replace_a_confirmed_server(
    fleet: FlowFleet, flow: FlowId
) -> None:
    node = non_owner(fleet, flow)
    server = fleet.open(node.fleet.self_id, BOOKINGS, flow)
    assert server is not None
    fleet.run(50)
    other = ServerId("bookings-5" if server != "bookings-5" else "bookings-4")
    late = Located(BOOKINGS, flow, other)
    node.director.on_message(owners(fleet, flow)[0], late, fleet.now_ms)
    assert node.director.lookup(BOOKINGS, flow) == server
