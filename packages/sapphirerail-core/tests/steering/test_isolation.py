"""Isolation of an instance whose data centre is partitioned."""

import pytest

from sapphirerail_core.steering import StateChange, SteeringConfig
from sapphirerail_standins.steering_fleet import (
    BOOKINGS,
    SKETCHES,
    SteeringFleet,
    server_entry,
)

CONFIG = SteeringConfig()
REMOTE = [server_entry(n, data_centre="tema") for n in (1, 2, 3)]
LOCAL_SKETCHES = server_entry(9, SKETCHES)


def fleet_of(*entries):
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(*entries)
    return fleet


def fail_servers(fleet, *identities):
    """Have probes confirm that servers failed."""
    failure_detector = fleet.engine.failure_detector
    for server in fleet.engine.directory.servers():
        if server.entry.identity in identities:
            failure_detector.on_no_response(server, fleet.now_ms, fleet.now_ms)
            failure_detector.on_probe(server, False, fleet.now_ms)


def probe_store(fleet, *, is_reached):
    """Probe the store as the instance requests, and return its state changes."""
    assert fleet.engine.check_isolation(fleet.now_ms)
    fleet.engine.isolation.on_store_probe(is_reached, fleet.now_ms)
    return check_isolation_state(fleet)


def check_isolation_state(fleet):
    """Check for isolation, and return the state changes of the instance itself."""
    fleet.engine.check_isolation(fleet.now_ms)
    events = fleet.engine.take_events()
    return [event.change for event in events if event.subject == "osu-1"]


def isolated_fleet():
    fleet = fleet_of(*REMOTE, LOCAL_SKETCHES)
    fail_servers(fleet, 1, 2, 3)
    assert probe_store(fleet, is_reached=False) == [StateChange.INSTANCE_ISOLATED]
    return fleet


def test_a_cut_data_centre_without_servers_of_its_own_leaves_its_callers_to_others():
    # Guards against an outage: a data centre was partitioned after its only server had
    # left, and refused callers for six seconds that others could have served.
    fleet = isolated_fleet()
    assert fleet.engine.isolation.is_isolated


def test_an_instance_that_reaches_the_store_is_not_isolated():
    fleet = fleet_of(*REMOTE, LOCAL_SKETCHES)
    fail_servers(fleet, 1, 2, 3)
    assert probe_store(fleet, is_reached=True) == []
    assert not fleet.engine.isolation.is_isolated


@pytest.mark.parametrize(
    ("entries", "failed"),
    [
        # One remote server is alive.
        ((*REMOTE, LOCAL_SKETCHES), (1, 2)),
        # The service has a local server.
        ((*REMOTE, server_entry(8, BOOKINGS)), (1, 2, 3)),
        # Most slots are local.
        (
            (
                *REMOTE,
                LOCAL_SKETCHES,
                *(server_entry(n, SKETCHES) for n in (10, 11, 12)),
            ),
            (1, 2, 3),
        ),
        # There are no remote servers.
        ((server_entry(8, BOOKINGS),), (8,)),
    ],
)
def test_an_instance_that_can_serve_most_slots_is_not_isolated(entries, failed):
    fleet = fleet_of(*entries)
    fail_servers(fleet, *failed)
    fleet.engine.isolation.on_store_probe(False, fleet.now_ms)
    fleet.engine.check_isolation(fleet.now_ms)
    assert not fleet.engine.isolation.is_isolated


def test_servers_elsewhere_that_get_little_work_are_probed_once_the_store_is_away():
    # Guards against late detection: a data centre with servers of a small service only
    # counted as alive for 2.5 s, until the next opening for that service.
    idle_server = server_entry(5, SKETCHES, data_centre="kaneshie")
    fleet = fleet_of(*REMOTE, LOCAL_SKETCHES, idle_server)
    fail_servers(fleet, 1, 2, 3)
    failure_detector = fleet.engine.failure_detector
    assert failure_detector.take_probes(fleet.now_ms) == []
    assert probe_store(fleet, is_reached=False) == []
    (probed,) = failure_detector.take_probes(fleet.now_ms)
    assert probed.entry.identity == 5
    failure_detector.on_probe(probed, False, fleet.now_ms)
    fleet.engine.check_isolation(fleet.now_ms)
    assert fleet.engine.isolation.is_isolated


def test_no_extra_remote_probes_while_the_store_answers():
    idle_server = server_entry(5, SKETCHES, data_centre="kaneshie")
    fleet = fleet_of(*REMOTE, LOCAL_SKETCHES, idle_server)
    fail_servers(fleet, 1, 2, 3)
    probe_store(fleet, is_reached=True)
    assert fleet.engine.failure_detector.take_probes(fleet.now_ms) == []


def test_a_recovered_remote_server_ends_the_isolation():
    fleet = isolated_fleet()
    first = next(iter(fleet.engine.directory.servers()))
    fleet.engine.failure_detector.on_probe(first, True, fleet.now_ms)
    assert check_isolation_state(fleet) == [StateChange.INSTANCE_REJOINED]


def test_a_reachable_store_ends_the_isolation_and_expedites_probes():
    fleet = isolated_fleet()
    assert not fleet.engine.isolation.needs_store_probe(fleet.now_ms)
    fleet.advance(CONFIG.store_probe_ms)
    assert probe_store(fleet, is_reached=True) == [StateChange.INSTANCE_REJOINED]
    fleet.advance(CONFIG.probe_expedited_ms)
    assert len(fleet.engine.failure_detector.take_probes(fleet.now_ms)) == 3


def test_an_old_store_probe_does_not_count_in_a_later_failure():
    fleet = fleet_of(
        *REMOTE, LOCAL_SKETCHES, server_entry(5, SKETCHES, data_centre="accra")
    )
    fail_servers(fleet, 1, 2, 3)
    probe_store(fleet, is_reached=False)
    failure_detector = fleet.engine.failure_detector
    for server in fleet.engine.directory.servers():
        failure_detector.on_probe(server, True, fleet.now_ms)
    assert failure_detector.take_probes(fleet.now_ms) == []
    assert not fleet.engine.check_isolation(fleet.now_ms)
    fleet.advance(10_000)
    fail_servers(fleet, 1, 2, 3, 5)
    assert fleet.engine.check_isolation(fleet.now_ms)
    assert not fleet.engine.isolation.is_isolated
