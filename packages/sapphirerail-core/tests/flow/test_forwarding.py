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
    """Return a flow whose layers differ, because its default is draining."""
    fleet.set_plan(change_servers(first_plan(), {DRAINING: ServerState.DRAINING}))
    placement = next(iter(fleet.nodes.values())).director._context.placement
    return next(
        FlowId(number)
        for number in range(1, 1_000)
        if placement.default(BOOKINGS, FlowId(number)) == DRAINING
    )


def owners(fleet: FlowFleet, flow: FlowId) -> tuple[InstanceId, ...]:
    context = next(iter(fleet.nodes.values())).director._context
    return context.owners.now.of(flow_key(BOOKINGS, flow))


def stranger(fleet: FlowFleet, flow: FlowId) -> FlowNode:
    name = next(name for name in fleet.nodes if name not in owners(fleet, flow))
    return fleet.nodes[name]


def asked(fleet: FlowFleet, flow: FlowId, attempt: int = 0) -> tuple[Locate, str]:
    datagram = fleet.datagram(Kind.DATA, BOOKINGS, flow, attempt=attempt)
    node = stranger(fleet, flow)
    (sent,) = node.director.on_caller_datagram(datagram, fleet.now_ms)
    assert isinstance(sent, SendToPeer)
    assert isinstance(sent.message, Locate)
    return sent.message, sent.instance


def test_an_unknown_packet_travels_through_the_owners(
    fleet: FlowFleet, flow: FlowId
) -> None:
    first, second = owners(fleet, flow)
    message, target = asked(fleet, flow)
    assert (target, message.path) == (first, (second,))
    (passed,) = fleet.nodes[first].director.on_message(
        message.asker, message, fleet.now_ms
    )
    assert isinstance(passed, SendToPeer)
    following = msgspec.structs.replace(message, path=(), n_hops=message.n_hops + 1)
    assert passed == SendToPeer(second, following)


def test_a_retransmission_starts_at_the_second_owner(
    fleet: FlowFleet, flow: FlowId
) -> None:
    first, second = owners(fleet, flow)
    message, target = asked(fleet, flow, attempt=1)
    assert (target, message.path) == (second, (first,))


def test_an_owner_that_knows_sends_it_on_and_tells_the_asker(
    fleet: FlowFleet, flow: FlowId
) -> None:
    opener = stranger(fleet, flow).fleet.self_id
    server = fleet.open(opener, BOOKINGS, flow)
    assert server is not None
    fleet.run(50)
    name = owners(fleet, flow)[0]
    datagram = fleet.datagram(Kind.DATA, BOOKINGS, flow)
    asker = InstanceId("i-asker")
    message = Locate(asker, Revision(1), (), (), datagram)
    effects = fleet.nodes[name].director.on_message(asker, message, fleet.now_ms)
    located = Located(BOOKINGS, flow, server)
    assert effects == [SendToServer(server, datagram), SendToPeer(asker, located)]


def test_nobody_knows_so_that_the_default_is_tried(
    fleet: FlowFleet, flow: FlowId
) -> None:
    message, _ = asked(fleet, flow)
    last = msgspec.structs.replace(message, path=())
    node = fleet.nodes[owners(fleet, flow)[1]]
    effects = node.director.on_message(message.asker, last, fleet.now_ms)
    guess = Located(BOOKINGS, flow, DRAINING, confirmed=False)
    assert effects == [
        SendToServer(DRAINING, message.datagram),
        SendToPeer(message.asker, guess),
    ]
    assert node.journal.entries()[-1].reason is Reason.FLOW_UNRECORDED


def test_an_owner_with_an_older_plan_gives_the_packet_back(
    fleet: FlowFleet, flow: FlowId
) -> None:
    message, _ = asked(fleet, flow)
    newer = msgspec.structs.replace(message, path=(), revision=Revision(99))
    owner = fleet.nodes[owners(fleet, flow)[0]].director
    back = NotLocated((), message.datagram)
    assert owner.on_message(message.asker, newer, fleet.now_ms) == [
        SendToPeer(message.asker, back)
    ]
    asker = stranger(fleet, flow).director
    effects = asker.on_message(owners(fleet, flow)[0], back, fleet.now_ms)
    assert effects == [SendToServer(DRAINING, message.datagram)]


def test_a_packet_does_not_go_round_for_ever(fleet: FlowFleet, flow: FlowId) -> None:
    message, _ = asked(fleet, flow)
    tired = msgspec.structs.replace(message, n_hops=8)
    node = fleet.nodes[owners(fleet, flow)[0]]
    assert node.director.on_message(message.asker, tired, fleet.now_ms) == []
    assert node.journal.entries()[-1].reason is Reason.DATAGRAM_DROPPED


def test_an_owners_word_does_not_replace_what_the_server_confirmed(
    fleet: FlowFleet, flow: FlowId
) -> None:
    node = stranger(fleet, flow)
    server = fleet.open(node.fleet.self_id, BOOKINGS, flow)
    assert server is not None
    fleet.run(50)
    other = ServerId("bookings-5" if server != "bookings-5" else "bookings-4")
    late = Located(BOOKINGS, flow, other)
    node.director.on_message(owners(fleet, flow)[0], late, fleet.now_ms)
    assert node.director.lookup(BOOKINGS, flow) == server
