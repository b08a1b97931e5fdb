import random

import pytest

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow import FlowConfig, FlowDirector
from sapphirerail_core.flow.monitor import _N_COMPARED_PER_TICK
from sapphirerail_core.flow.table import FlowFlag
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import FlowId, InstanceId, ServerId, TrafficClass
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import BOOKINGS, DATA_CENTRES, first_plan

I0 = InstanceId("i0")
FLOW = FlowId(40)
# Response timeout, probe, probe timeout, hand-over and second probe.
RESOLVED_WITHIN_MS = 6_000


@pytest.fixture
def server(fleet: FlowFleet) -> ServerId:
    """Return the server of a feed that was opened through the first instance."""
    server = fleet.open(I0, BOOKINGS, FLOW)
    assert server is not None
    fleet.run(100)
    return server


def send(fleet: FlowFleet, kind: Kind = Kind.KEEPALIVE) -> None:
    fleet.send(I0, fleet.datagram(kind, BOOKINGS, FLOW, part=5))


def test_unresponsive_flow_is_detoured(fleet: FlowFleet, server: ServerId) -> None:
    fleet.servers[server].ignored_instances.add(I0)
    send(fleet)
    fleet.run(RESOLVED_WITHIN_MS)
    assert not fleet.resets
    holder, _ = fleet.servers[server].flows[FLOW]
    assert holder != I0
    send(fleet, Kind.DATA)
    fleet.run(100)
    assert any(
        a.kind is Kind.ACK and a.part == 5 for a in fleet.received[BOOKINGS, FLOW]
    )
    assert fleet.nodes[I0].director.status().n_handed_over == 1


def test_flow_unresponsive_to_all_instances_is_reset(
    fleet: FlowFleet, server: ServerId
) -> None:
    fleet.servers[server].ignored_instances.update(fleet.nodes)
    send(fleet)
    fleet.run(RESOLVED_WITHIN_MS)
    assert fleet.resets == {RefusalCode.UNREACHABLE: 1}


def test_idle_feed_is_probed(fleet: FlowFleet, server: ServerId) -> None:
    before = fleet.servers[server].n_received
    fleet.run(60_000)
    assert fleet.servers[server].n_received > before
    assert not fleet.resets


def test_idle_feed_unknown_to_its_server_is_reset(
    fleet: FlowFleet, server: ServerId
) -> None:
    fleet.servers[server].flows.clear()
    fleet.run(60_000)
    assert fleet.resets == {RefusalCode.FLOW_LOST: 1}


def test_active_feed_is_not_probed(fleet: FlowFleet, server: ServerId) -> None:
    fleet.run(3_000)
    before = fleet.servers[server].n_received
    for part in range(1, 60):
        fleet.send_feed_event(server, FLOW, part)
        fleet.run(1_000)
    assert fleet.servers[server].n_received == before


def test_probes_keep_to_their_rate_limit(fleet: FlowFleet) -> None:
    n_per_s = fleet.config.n_probes_per_s
    for number in range(1_000, 1_000 + 20 * n_per_s):
        fleet.open(I0, BOOKINGS, FlowId(number), TrafficClass.FEED)
    fleet.run(3_000)
    probed = fleet.nodes[I0].director.status().n_probes
    for _ in range(40):
        fleet.run(1_000)
        now_probed = fleet.nodes[I0].director.status().n_probes
        assert now_probed - probed <= 2 * n_per_s
        probed = now_probed
    assert probed > 0


def test_completed_flow_is_not_probed(fleet: FlowFleet, server: ServerId) -> None:
    send(fleet, Kind.CLOSE)
    fleet.run(100)
    before = fleet.servers[server].n_received
    fleet.run(60_000)
    assert fleet.servers[server].n_received == before
    assert not fleet.resets


def test_close_through_another_instance_stops_the_probes(
    fleet: FlowFleet, server: ServerId
) -> None:
    fleet.run(4_000)
    fleet.send(InstanceId("i9"), fleet.datagram(Kind.CLOSE, BOOKINGS, FLOW))
    fleet.run(1_500)
    assert n_records(fleet) == 0
    before = fleet.servers[server].n_received
    fleet.run(90_000)
    assert fleet.servers[server].n_received == before
    assert not fleet.resets


def test_upload_through_many_instances_leaves_no_record(fleet: FlowFleet) -> None:
    flow, n_parts = FlowId(71), 40
    server = fleet.open(I0, BOOKINGS, flow, TrafficClass.UPLOAD)
    assert server is not None
    names = list(fleet.nodes)
    for part in range(1, n_parts + 1):
        datagram = fleet.datagram(
            Kind.DATA, BOOKINGS, flow, TrafficClass.UPLOAD, part, n_parts=n_parts
        )
        fleet.send(names[part * 5 % len(names)], datagram)
        fleet.run(100)
    fleet.run(4_000)
    assert n_records(fleet) <= 2
    close = fleet.datagram(Kind.CLOSE, BOOKINGS, flow, TrafficClass.UPLOAD)
    fleet.send(I0, close)
    fleet.run(1_500)
    assert n_records(fleet) == 0
    fleet.run(90_000)
    assert not fleet.resets


def n_records(fleet: FlowFleet) -> int:
    return sum(node.director.status().n_records for node in fleet.nodes.values())


def test_ranking_work_per_tick_is_bounded() -> None:
    n_instances, n_flows = 1_000, 400
    places = {InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(n_instances)}
    journal = Journal(I0)
    director = FlowDirector.from_config(
        FlowConfig(n_early_registrations_per_s=0),
        FixedFleet(I0, places),
        journal,
        random.Random(1),
    )
    director.on_plan(first_plan(), 0)
    director.tick(12_000)
    for number in range(n_flows):
        flow = FlowId(number * 0x9E3779B97F4A7C15 % 2**64)
        feed = Datagram(
            kind=Kind.OPEN,
            service=BOOKINGS,
            flow=flow,
            traffic_class=TrafficClass.FEED,
            caller="10.0.0.1:5",
        )
        director.opened(feed, director.candidates(BOOKINGS, flow)[0], 12_000)
    owners = director._context.owners.current
    n_ticks = 0
    registered = [False]
    while not all(registered):
        n_before = owners.n_compared
        director.tick(14_000 + 100 * n_ticks)
        assert owners.n_compared - n_before <= _N_COMPARED_PER_TICK + n_instances
        table = director._context.table
        registered = [
            table.has_flag(row, FlowFlag.REGISTERED) for row in range(n_flows)
        ]
        n_ticks += 1
    assert 1 < n_ticks <= 5
