import pytest

from sapphirerail_core.steering import StateChange, SteeringConfig
from sapphirerail_core.steering.directory import Directory
from sapphirerail_core.steering.model import UnreadableEntry
from sapphirerail_core.steering.tag import server_tag
from sapphirerail_standins.steering_fleet import BOOKINGS, SKETCHES, server_entry

STEADY_MS = 10_000
CONFIG = SteeringConfig()


def directory_of(*entries):
    directory = Directory(CONFIG)
    directory.apply(entries, STEADY_MS, 0)
    return directory


def state_changes(events):
    return [event.change for event in events]


def test_a_draining_server_keeps_its_tag_without_new_flows():
    directory = directory_of(server_entry(1))
    events = directory.apply([server_entry(1, is_draining=True)], STEADY_MS, 500)
    assert state_changes(events) == [StateChange.SERVER_CHANGED]
    assert list(directory.of_service(BOOKINGS)) == []
    assert directory.by_tag(server_tag(1)).departed_at_ms is None


def test_a_departed_server_keeps_its_tag():
    directory = directory_of(server_entry(1))
    events = directory.apply([], STEADY_MS, 500)
    assert state_changes(events) == [StateChange.SERVER_DEPARTED]
    assert directory.by_tag(server_tag(1)).departed_at_ms == 500


def test_an_entry_that_expired_during_an_outage_is_not_a_departure():
    directory = directory_of(server_entry(1))
    soon_ms = CONFIG.steady_ms - 1
    assert state_changes(directory.apply([], soon_ms, 500)) == [
        StateChange.SERVER_MISSING
    ]
    assert directory.by_tag(server_tag(1)).departed_at_ms is None
    assert len(directory.of_service(BOOKINGS)) == 1
    directory.apply([server_entry(1)], soon_ms, 1_000)
    assert directory.by_tag(server_tag(1)).missing_since_ms is None


def test_an_entry_that_does_not_return_after_an_outage_departs():
    directory = directory_of(server_entry(1))
    directory.apply([], CONFIG.steady_ms - 1, 500)
    events = directory.apply([], CONFIG.steady_ms, 1_000)
    assert state_changes(events) == [StateChange.SERVER_DEPARTED]
    assert list(directory.of_service(BOOKINGS)) == []


def test_a_restart_with_the_same_name_is_a_new_incarnation():
    directory = directory_of(server_entry(1))
    before = directory.by_tag(server_tag(1))
    events = directory.apply([server_entry(1, started_at_ms=9_000)], STEADY_MS, 500)
    assert state_changes(events) == [StateChange.SERVER_RESTARTED]
    assert directory.by_tag(server_tag(1)) is not before


def test_a_reused_address_keeps_distinct_tags():
    directory = directory_of(server_entry(1, address="10.0.0.1:80"))
    directory.apply([server_entry(2, SKETCHES, address="10.0.0.1:80")], STEADY_MS, 500)
    assert directory.by_tag(server_tag(1)).entry.identity == 1
    assert directory.by_tag(server_tag(2)).entry.identity == 2


def test_on_a_tag_collision_only_the_older_server_gets_flows():
    # The tags of identities beyond 32 bits may collide.
    older = server_entry(7, started_at_ms=1)
    colliding = server_entry(
        7, started_at_ms=2, server="i-10000007", address="10.0.0.9:8080"
    )
    directory = directory_of(colliding, older)
    assert [s.entry for s in directory.of_service(BOOKINGS)] == [older]
    assert directory.by_tag(server_tag(7)).entry == older


def test_departed_servers_are_dropped_after_the_longest_flow():
    directory = directory_of(server_entry(1))
    directory.apply([], STEADY_MS, 500)
    directory.forget_departed(500 + CONFIG.departed_keep_ms)
    assert directory.by_tag(server_tag(1)) is not None
    directory.forget_departed(501 + CONFIG.departed_keep_ms)
    assert directory.by_tag(server_tag(1)) is None


def test_a_server_whose_address_a_later_one_has_gets_no_new_flows():
    # Guards against new flows to a server that crashed: its address was given to a
    # server of another service before its entry expired, probes reached that one, and
    # the crashed one counted as recovered (further-grown scale-1: 27 of 39 failures).
    crashed = server_entry(1, address="10.0.0.1:80")
    directory = directory_of(crashed, server_entry(2))
    later = server_entry(3, SKETCHES, address="10.0.0.1:80", started_at_ms=9_000)
    events = directory.apply([crashed, server_entry(2), later], STEADY_MS, 500)
    assert StateChange.SERVER_SUPERSEDED in state_changes(events)
    assert [s.entry.identity for s in directory.of_service(BOOKINGS)] == [2]
    assert [s.entry.identity for s in directory.of_service(SKETCHES)] == [3]
    server = directory.by_tag(server_tag(1))
    assert server.departed_at_ms is None
    assert server.is_failed(500)
    assert directory.by_tag(server_tag(3)).departed_at_ms is None


def test_of_two_servers_read_at_once_the_one_that_started_later_has_the_address():
    crashed = server_entry(1, address="10.0.0.1:80", started_at_ms=1_000)
    later = server_entry(2, address="10.0.0.1:80", started_at_ms=9_000)
    for entries in ((crashed, later), (later, crashed)):
        directory = directory_of(*entries)
        assert [s.entry.identity for s in directory.of_service(BOOKINGS)] == [2]


def test_a_server_is_used_again_once_nobody_else_has_its_address():
    first = server_entry(1, address="10.0.0.1:80")
    directory = directory_of(first)
    other = server_entry(2, SKETCHES, address="10.0.0.1:80")
    directory.apply([first, other], STEADY_MS, 500)
    directory.apply([first], STEADY_MS, 1_000)
    assert [s.entry.identity for s in directory.of_service(BOOKINGS)] == [1]
    assert directory.by_tag(server_tag(1)).departed_at_ms is None


def test_an_entry_of_an_unknown_service_supersedes_nothing():
    # It was written by somebody else, and must not cost a live server its flows.
    directory = Directory(CONFIG, lambda service: service == BOOKINGS)
    live = server_entry(1, address="10.0.0.1:80")
    stray = server_entry(2, SKETCHES, address="10.0.0.1:80", started_at_ms=9_000)
    directory.apply([live], STEADY_MS, 0)
    directory.apply([live, stray], STEADY_MS, 500)
    assert [s.entry.identity for s in directory.of_service(BOOKINGS)] == [1]
    assert directory.by_tag(server_tag(1)).departed_at_ms is None


@pytest.mark.parametrize("started_at_ms", [0, 9_000])
def test_an_entry_with_the_address_of_another_server_is_no_departure(started_at_ms):
    # Guards against resets of all open flows of a live server, whose address stood in
    # an entry that somebody else wrote.
    live = server_entry(1, address="10.0.0.1:80")
    stray = server_entry(9, address="10.0.0.1:80", started_at_ms=started_at_ms)
    directory = directory_of(live)
    for now_ms in (500, 1_000):
        events = directory.apply([live, stray], STEADY_MS, now_ms)
        assert StateChange.SERVER_DEPARTED not in state_changes(events)
        assert directory.by_tag(server_tag(1)).departed_at_ms is None
    directory.apply([stray], STEADY_MS, 1_500)
    assert directory.by_tag(server_tag(1)).departed_at_ms == 1_500


def test_an_entry_without_a_start_takes_neither_address_nor_tag_of_another_server():
    # Guards against packets of open flows that go to the address of an incomplete
    # entry, which counted as the oldest server with that tag.
    live = server_entry(7, address="10.0.0.1:80")
    directory = directory_of(live)
    same_address = server_entry(9, address="10.0.0.1:80", started_at_ms=0)
    same_tag = server_entry(
        7, server="x-00000007", address="10.0.0.2:80", started_at_ms=0
    )
    directory.apply([same_tag, live, same_address], STEADY_MS, 500)
    assert directory.by_tag(server_tag(7)).entry == live
    assert [s.entry for s in directory.of_service(BOOKINGS)] == [live]


def test_a_server_whose_entry_is_unreadable_keeps_its_flows_and_gets_no_new_ones():
    # Guards against resets of a live server's flows while bytes of somebody else stand
    # in place of its entry, as an unreadable entry counted as a deleted one.
    live = server_entry(1)
    unreadable = (UnreadableEntry(live.server, live.identity),)
    directory = directory_of(live, server_entry(2))
    for now_ms in (500, 1_000):
        events = directory.apply([server_entry(2)], STEADY_MS, now_ms, unreadable)
        is_first = now_ms == 500
        assert state_changes(events) == [StateChange.SERVER_ENTRY_INVALID] * is_first
        assert directory.by_tag(server_tag(1)).entry == live
        assert directory.by_tag(server_tag(1)).departed_at_ms is None
        assert [s.entry.identity for s in directory.of_service(BOOKINGS)] == [2]
    events = directory.apply([live, server_entry(2)], STEADY_MS, 1_500)
    assert state_changes(events) == [StateChange.SERVER_CHANGED]
    assert len(directory.of_service(BOOKINGS)) == 2


def test_a_server_with_an_unreadable_entry_departs_once_that_is_removed():
    live = server_entry(1)
    directory = directory_of(live)
    directory.apply([], STEADY_MS, 500, (UnreadableEntry(live.server, live.identity),))
    events = directory.apply([], STEADY_MS, 1_000)
    assert state_changes(events) == [StateChange.SERVER_DEPARTED]


@pytest.mark.parametrize(
    "changes",
    [{"service": SKETCHES}, {"started_at_ms": 0}, {"service": SKETCHES, "n_slots": 9}],
)
def test_an_entry_that_is_not_its_own_leaves_a_server_at_its_address(changes):
    # Guards against packets of open flows that go to the address in an entry that
    # somebody else wrote under the name of a live server.
    known_services = {BOOKINGS}
    directory = Directory(CONFIG, known_services.__contains__)
    live = server_entry(1, address="10.0.0.1:80")
    stray = server_entry(1, **({"address": "10.0.0.2:80"} | changes))
    directory.apply([live], STEADY_MS, 0)
    for now_ms in (500, 1_000):
        directory.apply([stray], STEADY_MS, now_ms)
        assert directory.by_tag(server_tag(1)).entry == live
        assert list(directory.of_service(BOOKINGS)) == []
    directory.apply([live], STEADY_MS, 1_500)
    assert [s.entry for s in directory.of_service(BOOKINGS)] == [live]


def test_a_server_of_a_service_that_becomes_known_later_is_used_from_then_on():
    known_services = {BOOKINGS}
    directory = Directory(CONFIG, known_services.__contains__)
    directory.apply([server_entry(1)], STEADY_MS, 0)
    moved = server_entry(1, SKETCHES, started_at_ms=9_000)
    directory.apply([moved], STEADY_MS, 500)
    known_services.add(SKETCHES)
    directory.apply([moved], STEADY_MS, 1_000)
    assert [s.entry for s in directory.of_service(SKETCHES)] == [moved]
