"""Server selection among warm servers, and the load that it is based on."""

import random
from collections import Counter

import pytest

from sapphirerail_standins.steering_fleet import (
    FEED,
    HOLD,
    SteeringFleet,
    later_packet,
    opening,
    server_entry,
)


def test_flows_stay_local_while_local_servers_have_capacity():
    fleet = SteeringFleet()
    fleet.configure()
    local = [server_entry(n) for n in (1, 2)]
    remote = [server_entry(n, data_centre="tema") for n in (3, 4)]
    fleet.announce(*local, *remote)
    by_tag = fleet.engine.directory.by_tag
    by_data_centre = Counter(by_tag(fleet.open(n)).entry.data_centre for n in range(20))
    assert by_data_centre["osu"] == 20


def test_openings_count_as_load_before_their_requests_arrive():
    # Guards against a burst: all openings within a few milliseconds selected the same
    # idle server.
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1), server_entry(2))
    for flow in range(4):
        fleet.send(opening(flow))
    loads = [server.n_in_flight for server in fleet.engine.directory.servers()]
    assert loads == [2, 2]
    fleet.advance(7)
    first = fleet.engine.directory.servers()
    for flow in range(4):
        flow_key = opening(flow).flow
        server = fleet.engine.flows.get(flow_key).server
        fleet.send(later_packet(flow, server.tag))
    assert [server.n_in_flight for server in first] == [0, 0]


def test_a_server_that_takes_openings_but_answers_no_request_is_suspected():
    # Guards against taking the time of the opening for the time of the request.
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1), server_entry(2))
    tag = fleet.open(1, HOLD)
    request = later_packet(1, tag, HOLD, n_data_bytes=300)
    fleet.send(request)
    fleet.advance(200)
    fleet.send(request)
    assert fleet.engine.directory.by_tag(tag).unresponsive_ms(fleet.now_ms) > 0


def test_flows_spill_over_when_local_servers_are_busy():
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1), server_entry(2, data_centre="tema"))
    by_location = Counter()
    for flow in range(6):
        tag = fleet.open(flow, HOLD)
        packet = later_packet(flow, tag, HOLD, sequence=2_000, n_data_bytes=900)
        fleet.send(packet)
        by_location[fleet.engine.directory.by_tag(tag).entry.data_centre] += 1
    # The servers have two slots each; the local one is a little more occupied.
    assert by_location["osu"] >= by_location["tema"] >= 2


def test_equal_servers_get_equal_numbers_of_flows():
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(*(server_entry(n) for n in range(1, 8)))
    counts = Counter(fleet.open(flow) for flow in range(294))
    assert max(counts.values()) / (294 / 7) <= 1.25


def test_load_reported_by_peers_counts():
    fleet = SteeringFleet({"osu-1": "osu", "osu-2": "osu"})
    fleet.configure()
    fleet.announce(server_entry(1), server_entry(2))
    for flow in range(6):
        tag = fleet.open(flow, HOLD)
        fleet.send(later_packet(flow, tag, HOLD, sequence=2_000, n_data_bytes=900))
    busy = {s.entry.identity: s.n_in_flight for s in fleet.engine.directory.servers()}
    assert sum(busy.values()) == 6
    before = fleet.engines["osu-2"]
    assert all(server.occupancy() == 0.0 for server in before.directory.servers())
    fleet.exchange_reports()
    reported = {s.entry.identity: s.peer_load for s in before.directory.servers()}
    assert all(reported[number] >= busy[number] for number in busy)


def test_load_reported_by_a_failed_peer_expires():
    fleet = SteeringFleet({"osu-1": "osu", "osu-2": "osu"})
    fleet.configure()
    fleet.announce(server_entry(1))
    tag = fleet.open(1, HOLD)
    fleet.send(later_packet(1, tag, HOLD, sequence=2_000, n_data_bytes=900))
    fleet.exchange_reports()
    other = fleet.engines["osu-2"]
    (server,) = other.directory.servers()
    assert server.peer_load > 0.9
    fleet.advance(2_000)
    other.sweep(fleet.now_ms)
    assert server.peer_load == 0.0


def test_an_acknowledged_answer_ends_the_request_in_flight():
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1))
    tag = fleet.open(1, FEED)
    (server,) = fleet.engine.directory.servers()
    fleet.send(later_packet(1, tag, sequence=2_000, n_data_bytes=200))
    assert server.n_in_flight == 1
    fleet.send(later_packet(1, tag, sequence=2_200, acknowledged=1_500))
    assert server.n_in_flight == 0


def test_loads_added_report_by_report_are_those_of_a_sum_over_all():
    # Each report adds its difference only; a report that replaces another one, a peer
    # that is lost and a server that left must not leave a remainder.
    names = [f"osu-{n}" for n in range(1, 5)]
    fleet = SteeringFleet(dict.fromkeys(names, "osu"))
    fleet.configure()
    fleet.announce(*(server_entry(n) for n in range(1, 6)))
    rng = random.Random(5)
    receiver = fleet.engines["osu-1"]
    for step in range(60):
        fleet.advance(rng.choice([50, 250, 1_600]))
        for flow in range(3):
            name = rng.choice(names)
            fleet.send(opening(1_000 * step + flow, HOLD), name)
        if step == 30:
            fleet.announce(*(server_entry(n) for n in range(1, 5)))
        fleet.exchange_reports()
        added = {s.entry.server: s.peer_load for s in receiver.directory.servers()}
        receiver.sweep(fleet.now_ms)
        summed = {s.entry.server: s.peer_load for s in receiver.directory.servers()}
        assert added == pytest.approx(summed, abs=1e-6)
