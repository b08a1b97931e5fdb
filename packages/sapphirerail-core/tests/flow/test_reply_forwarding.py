import msgspec
import pytest

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode
from sapphirerail_core.effects import Effect, SendToCaller, SendToPeer, SendToServer
from sapphirerail_core.flow.messages import Register
from sapphirerail_core.journal import Reason
from sapphirerail_core.types import FlowId, InstanceId, ServerId, TrafficClass
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import BOOKINGS

I0, I4 = InstanceId("i0"), InstanceId("i4")
FLOW = FlowId(40)


@pytest.fixture
def server(fleet: FlowFleet) -> ServerId:
    """Return the server of a feed opened through the first instance."""
    fleet.run(12_000)
    server = fleet.open(I0, BOOKINGS, FLOW)
    assert server is not None
    fleet.run(4_000)
    return server


def server_datagram(
    fleet: FlowFleet, kind: Kind = Kind.DATA, caller: str = "10.9.0.1:7"
) -> Datagram:
    return fleet.datagram(kind, BOOKINGS, FLOW, part=3, caller=caller)


def receive(
    fleet: FlowFleet, server: ServerId, datagram: Datagram, at: InstanceId = I0
) -> list[Effect]:
    return fleet.nodes[at].director.on_server_datagram(server, datagram, fleet.now_ms)


def test_datagram_is_sent_to_its_caller(fleet: FlowFleet, server: ServerId) -> None:
    datagram = server_datagram(fleet)
    assert receive(fleet, server, datagram) == [SendToCaller(datagram)]


def test_datagram_without_caller_is_sent_to_the_known_caller(
    fleet: FlowFleet, server: ServerId
) -> None:
    (sent,) = receive(fleet, server, server_datagram(fleet, caller=""))
    assert sent == SendToCaller(server_datagram(fleet, caller="10.0.0.40:4000"))


def test_datagram_of_another_services_server_is_dropped(
    fleet: FlowFleet, server: ServerId
) -> None:
    assert receive(fleet, ServerId("sketches-1"), server_datagram(fleet)) == []
    entry = fleet.nodes[I0].journal.entries()[-1]
    assert (entry.reason, entry.server) == (Reason.DATAGRAM_DROPPED, "sketches-1")


def test_answer_to_own_probe_is_not_forwarded(
    fleet: FlowFleet, server: ServerId
) -> None:
    director = fleet.nodes[I0].director
    row = director._context.table.find(BOOKINGS, FLOW)
    assert row is not None
    director._monitor.probe(row, fleet.now_ms)
    answer = server_datagram(fleet, Kind.KEEPALIVE)
    assert receive(fleet, server, answer) == []
    assert receive(fleet, server, answer) == [SendToCaller(answer)]


def test_answer_through_another_instance_registers_feed_immediately(
    fleet: FlowFleet, server: ServerId
) -> None:
    keepalive = server_datagram(fleet, Kind.KEEPALIVE)
    director = fleet.nodes[I4].director
    (sent,) = director.on_caller_datagram(keepalive, fleet.now_ms)
    assert sent == SendToServer(server, keepalive)
    effects = receive(fleet, server, keepalive, at=I4)
    registrations = [e for e in effects if isinstance(e, SendToPeer)]
    assert [type(registration.message) for registration in registrations] == [Register]
    assert SendToCaller(keepalive) in effects
    assert receive(fleet, server, keepalive, at=I4) == [SendToCaller(keepalive)]


def test_reset_by_a_server_that_had_responded_loses_the_flow(
    fleet: FlowFleet, server: ServerId
) -> None:
    receive(fleet, server, server_datagram(fleet))
    reset = msgspec.structs.replace(
        server_datagram(fleet, Kind.RESET), code=RefusalCode.FLOW_LOST
    )
    assert receive(fleet, server, reset) == [SendToCaller(reset)]
    status = fleet.nodes[I0].director.status()
    assert (status.n_flows, status.n_lost) == (0, 1)


def test_reset_by_another_server_is_ignored(fleet: FlowFleet, server: ServerId) -> None:
    other = next(
        name
        for name, known in fleet.servers.items()
        if known.service == BOOKINGS and name != server
    )
    assert receive(fleet, other, server_datagram(fleet, Kind.RESET)) == []
    assert fleet.nodes[I0].director.lookup(BOOKINGS, FLOW) == server


def test_answer_completes_an_upload(fleet: FlowFleet) -> None:
    flow = FlowId(41)
    server = fleet.open(I0, BOOKINGS, flow, TrafficClass.UPLOAD)
    assert server is not None
    fleet.run(4_000)
    answer = fleet.datagram(Kind.ANSWER, BOOKINGS, flow, TrafficClass.UPLOAD)
    assert receive(fleet, server, answer) == [SendToCaller(answer)]
    fleet.run(1_000)
    n_records = sum(n.director.status().n_records for n in fleet.nodes.values())
    assert n_records == 0
