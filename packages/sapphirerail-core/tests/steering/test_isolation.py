"""A data centre that is cut off: who serves its callers."""

import pytest

from sapphirerail_core.steering import Belief, SteeringConfig
from sapphirerail_standins.steering_fleet import (
    BOOKINGS,
    SKETCHES,
    SteeringFleet,
    server_entry,
)

CONFIG = SteeringConfig()
FAR = [server_entry(n, data_centre="tema") for n in (1, 2, 3)]
NEAR_SKETCHES = server_entry(9, SKETCHES)


def fleet_of(*entries):
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(*entries)
    return fleet


def lose(fleet, *identities):
    """Have probes show that servers are dead."""
    evidence = fleet.engine.evidence
    for server in fleet.engine.directory.servers():
        if server.entry.identity in identities:
            evidence.on_silence(server, fleet.now_ms, fleet.now_ms)
            evidence.on_probe(server, False, fleet.now_ms)


def probe_store(fleet, *, is_reached):
    """Probe the store as the instance asks for, and return what it believes then."""
    assert fleet.engine.check_isolation(fleet.now_ms)
    fleet.engine.isolation.on_store_probe(is_reached, fleet.now_ms)
    return decide(fleet)


def decide(fleet):
    """Have the instance decide, and return what it came to believe of itself."""
    fleet.engine.check_isolation(fleet.now_ms)
    events = fleet.engine.take_events()
    return [event.belief for event in events if event.subject == "osu-1"]


def stranded_fleet():
    fleet = fleet_of(*FAR, NEAR_SKETCHES)
    lose(fleet, 1, 2, 3)
    assert probe_store(fleet, is_reached=False) == [Belief.INSTANCE_STRANDED]
    return fleet


def test_a_cut_data_centre_without_servers_of_its_own_leaves_its_callers_to_others():
    # Condor's trouble-1: a data centre was cut off after its only server had left, and
    # refused its callers for six seconds that others could have served.
    fleet = stranded_fleet()
    assert fleet.engine.isolation.is_stranded


def test_while_the_store_answers_the_servers_are_at_fault_and_the_instance_stays():
    fleet = fleet_of(*FAR, NEAR_SKETCHES)
    lose(fleet, 1, 2, 3)
    assert probe_store(fleet, is_reached=True) == []
    assert not fleet.engine.isolation.is_stranded


@pytest.mark.parametrize(
    ("entries", "dead"),
    [
        # One server elsewhere lives.
        ((*FAR, NEAR_SKETCHES), (1, 2)),
        # The service has a server here.
        ((*FAR, server_entry(8, BOOKINGS)), (1, 2, 3)),
        # Most slots are here.
        (
            (*FAR, NEAR_SKETCHES, *(server_entry(n, SKETCHES) for n in (10, 11, 12))),
            (1, 2, 3),
        ),
        # There is nothing elsewhere.
        ((server_entry(8, BOOKINGS),), (8,)),
    ],
)
def test_what_can_serve_most_is_not_asked_to_leave(entries, dead):
    fleet = fleet_of(*entries)
    lose(fleet, *dead)
    fleet.engine.isolation.on_store_probe(False, fleet.now_ms)
    fleet.engine.check_isolation(fleet.now_ms)
    assert not fleet.engine.isolation.is_stranded


def test_servers_elsewhere_that_get_little_work_are_probed_once_the_store_is_away():
    # An incident of Adwinsa's: a data centre with servers of the smaller service only
    # was taken for alive for 2.5 s, until the next opening for that service.
    quiet = server_entry(5, SKETCHES, data_centre="kaneshie")
    fleet = fleet_of(*FAR, NEAR_SKETCHES, quiet)
    lose(fleet, 1, 2, 3)
    evidence = fleet.engine.evidence
    assert evidence.take_probes(fleet.now_ms) == []
    assert probe_store(fleet, is_reached=False) == []
    (probed,) = evidence.take_probes(fleet.now_ms)
    assert probed.entry.identity == 5
    evidence.on_probe(probed, False, fleet.now_ms)
    fleet.engine.check_isolation(fleet.now_ms)
    assert fleet.engine.isolation.is_stranded


def test_while_the_store_answers_no_server_elsewhere_is_probed_for_others():
    quiet = server_entry(5, SKETCHES, data_centre="kaneshie")
    fleet = fleet_of(*FAR, NEAR_SKETCHES, quiet)
    lose(fleet, 1, 2, 3)
    probe_store(fleet, is_reached=True)
    assert fleet.engine.evidence.take_probes(fleet.now_ms) == []


def test_a_server_elsewhere_that_answers_again_ends_it():
    fleet = stranded_fleet()
    first = next(iter(fleet.engine.directory.servers()))
    fleet.engine.evidence.on_probe(first, True, fleet.now_ms)
    assert decide(fleet) == [Belief.INSTANCE_REJOINED]


def test_the_store_in_reach_ends_it_and_has_all_servers_probed_at_once():
    fleet = stranded_fleet()
    assert not fleet.engine.isolation.needs_store_probe(fleet.now_ms)
    fleet.advance(CONFIG.store_probe_ms)
    assert probe_store(fleet, is_reached=True) == [Belief.INSTANCE_REJOINED]
    fleet.advance(CONFIG.probe_hurried_ms)
    assert len(fleet.engine.evidence.take_probes(fleet.now_ms)) == 3


def test_an_old_probe_of_the_store_says_nothing_of_a_later_trouble():
    fleet = fleet_of(
        *FAR, NEAR_SKETCHES, server_entry(5, SKETCHES, data_centre="accra")
    )
    lose(fleet, 1, 2, 3)
    probe_store(fleet, is_reached=False)
    evidence = fleet.engine.evidence
    for server in fleet.engine.directory.servers():
        evidence.on_probe(server, True, fleet.now_ms)
    assert evidence.take_probes(fleet.now_ms) == []
    assert not fleet.engine.check_isolation(fleet.now_ms)
    fleet.advance(10_000)
    lose(fleet, 1, 2, 3, 5)
    assert fleet.engine.check_isolation(fleet.now_ms)
    assert not fleet.engine.isolation.is_stranded
