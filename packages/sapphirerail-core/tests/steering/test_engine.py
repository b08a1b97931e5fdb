import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.steering import (
    Drop,
    Forward,
    Open,
    Reason,
    Reset,
    StateChange,
    SteeringConfig,
)
from sapphirerail_core.steering.model import (
    RequestKind,
    Route,
    Share,
    UnreadableEntry,
)
from sapphirerail_core.steering.tag import server_tag
from sapphirerail_standins.steering_fleet import (
    BOOKINGS,
    FEED,
    HOLD,
    PEER_TIMEOUT_MS,
    SKETCHES,
    UPLOAD,
    SteeringFleet,
    configuration,
    later_packet,
    opening,
    server_entry,
)

CONFIG = SteeringConfig()


def reset_reason(action) -> Reason:
    assert isinstance(action, Reset), action
    return action.reason


def test_an_opening_carries_the_tag_of_a_server_of_its_service(fleet):
    action = fleet.send(opening(1))
    assert isinstance(action, Open)
    assert action.server.entry.service == BOOKINGS
    assert action.server.tag == server_tag(action.server.entry.identity)


def test_any_instance_steers_a_flow_by_its_tag_alone():
    fleet = SteeringFleet({"osu-1": "osu", "tema-1": "tema"})
    fleet.configure()
    fleet.announce(*(server_entry(n) for n in range(1, 6)))
    tag = fleet.open(1)
    action = fleet.send(later_packet(1, tag), "tema-1")
    assert isinstance(action, Forward)
    assert action.server.tag == tag


def test_without_a_route_an_opening_is_refused_at_once(fleet):
    assert fleet.send(opening(1, 77 << 16)) == Reset(Reason.NO_ROUTE)


def test_a_route_without_a_valid_service_is_refused_as_such(fleet):
    invalid = Route(FEED, "feed", RequestKind.SAFE, ())
    hold = Route(HOLD, "hold", RequestKind.UNSAFE, (Share(BOOKINGS, 1),))
    fleet.configure(configuration(2, routes=(invalid, hold)))
    assert fleet.send(opening(1)) == Reset(Reason.ROUTE_INVALID)
    assert isinstance(fleet.send(opening(2, HOLD)), Open)


def test_an_opening_is_not_repeated_once_its_route_has_become_invalid(fleet):
    fleet.send(opening(1))
    fleet.configure(
        configuration(2, routes=(Route(FEED, "feed", RequestKind.SAFE, ()),))
    )
    fleet.advance(25)
    assert fleet.engine.retry_openings(fleet.now_ms) == []


@pytest.mark.parametrize("kind", list(RequestKind))
def test_only_flows_of_idempotent_requests_are_reset(fleet, kind):
    # A caller repeats a request after a reset; only an idempotent one may run again.
    fleet.configure(
        configuration(2, routes=(Route(FEED, "feed", kind, (Share(BOOKINGS, 1),)),))
    )
    tag = failed_server(fleet)
    action = fleet.send(later_packet(1, tag, sequence=2_000, n_data_bytes=10))
    if kind in (RequestKind.SAFE, RequestKind.DOWNLOAD):
        assert action.reason is Reason.SERVER_FAILED
    else:
        assert isinstance(action, Forward)


def test_before_configuration_and_servers_are_read_nothing_is_refused():
    fleet = SteeringFleet()
    assert fleet.send(opening(1)) == Drop(Reason.NOT_READY)
    # Guards against a restarted instance refusing flows before it has read the servers.
    fleet.configure()
    assert fleet.send(opening(1)) == Drop(Reason.NOT_READY)
    fleet.announce(server_entry(1))
    assert isinstance(fleet.send(opening(1)), Open)


def test_without_a_server_an_opening_is_refused_at_once(fleet):
    assert fleet.send(opening(1, UPLOAD)) == Reset(Reason.NO_SERVER)


def test_a_changed_route_does_not_move_open_flows(fleet):
    fleet.announce(server_entry(1), server_entry(9, SKETCHES))
    tag = fleet.open(1)
    moved = Route(FEED, "feed", RequestKind.SAFE, (Share(SKETCHES, 1),))
    fleet.configure(configuration(2, routes=(moved,)))
    assert fleet.send(later_packet(1, tag)).server.entry.identity == 1
    assert fleet.send(opening(2)).server.entry.identity == 9


def test_flows_of_a_removed_route_are_reset(fleet):
    tag = fleet.open(1, HOLD)
    feed = Route(FEED, "feed", RequestKind.SAFE, (Share(BOOKINGS, 1),))
    fleet.configure(configuration(2, routes=(feed,)))
    assert fleet.send(later_packet(1, tag, HOLD)) == Reset(Reason.ROUTE_REMOVED)


def test_a_retransmitted_answered_opening_goes_to_the_same_server(fleet):
    first = fleet.send(opening(1))
    fleet.advance(7)
    fleet.send(later_packet(1, first.server.tag))
    retransmitted = fleet.send(opening(1))
    assert retransmitted.server is first.server


def test_a_retransmitted_unanswered_opening_goes_to_another_server(fleet):
    first = fleet.send(opening(1))
    fleet.advance(200)
    retransmitted = fleet.send(opening(1))
    assert isinstance(retransmitted, Open)
    assert retransmitted.server is not first.server


def test_an_opening_retransmitted_through_another_instance_is_opened_there(fleet):
    fleet = SteeringFleet({"osu-1": "osu", "osu-2": "osu"})
    fleet.configure()
    fleet.announce(server_entry(1), server_entry(2))
    first = fleet.send(opening(1), "osu-1")
    retransmitted = fleet.send(opening(1), "osu-2")
    # The caller's next packet carries the tag of the server whose answer it accepted.
    for action in (first, retransmitted):
        packet = later_packet(1, action.server.tag)
        assert fleet.send(packet, "osu-2").server.tag == action.server.tag


def test_a_new_flow_from_the_same_port_is_not_a_retransmission(fleet):
    fleet.open(1)
    action = fleet.send(opening(1, sequence=77_777))
    assert action.reason is Reason.NEW_FLOW


def test_an_unanswered_opening_is_retried_at_another_server(fleet):
    first = fleet.send(opening(1))
    fleet.advance(CONFIG.opening_timeout_ms - 1)
    assert fleet.engine.retry_openings(fleet.now_ms) == []
    fleet.advance(1)
    (retry,) = fleet.engine.retry_openings(fleet.now_ms)
    assert retry.action.reason is Reason.UNANSWERED_OPENING
    assert retry.action.server is not first.server


def test_an_answered_opening_is_not_retried(fleet):
    fleet.open(1)
    fleet.advance(1_000)
    assert fleet.engine.retry_openings(fleet.now_ms) == []


def test_retries_of_an_opening_are_limited(fleet):
    fleet.send(opening(1))
    n_retries = 0
    for _ in range(50):
        fleet.advance(20)
        n_retries += len(fleet.engine.retry_openings(fleet.now_ms))
    assert n_retries == CONFIG.n_opening_retries


def test_new_flows_avoid_an_unresponsive_server(fleet):
    unresponsive = fleet.send(opening(1)).server
    fleet.advance(CONFIG.opening_timeout_ms)
    fleet.engine.retry_openings(fleet.now_ms)
    chosen = {fleet.send(opening(n)).server for n in range(2, 40)}
    assert unresponsive not in chosen
    assert len(chosen) == 2


def test_new_flows_are_opened_even_if_all_servers_are_suspect(fleet):
    for n in range(1, 30):
        fleet.send(opening(n))
    fleet.advance(100)
    fleet.engine.retry_openings(fleet.now_ms)
    assert isinstance(fleet.send(opening(99)), Open)


def suspect_server(fleet, instance=None):
    """Make the only server suspect by an unanswered opening; return its tag."""
    fleet.announce(server_entry(1))
    tag = fleet.open(1)
    fleet.advance(5)
    fleet.send(opening(70))
    fleet.advance(CONFIG.opening_timeout_ms)
    fleet.engine.retry_openings(fleet.now_ms)
    return tag


def failed_server(fleet):
    """Have a probe confirm that the only server failed; return its tag."""
    tag = suspect_server(fleet)
    (server,) = fleet.engine.failure_detector.take_probes(fleet.now_ms)
    fleet.advance(CONFIG.probe_timeout_ms)
    fleet.engine.failure_detector.on_probe(server, False, fleet.now_ms)
    return tag


def test_retryable_flows_of_a_failed_server_are_reset(fleet):
    tag = failed_server(fleet)
    packet = later_packet(1, tag, sequence=2_000, n_data_bytes=10)
    assert reset_reason(fleet.send(packet)) is Reason.SERVER_FAILED


def test_flows_of_a_server_whose_address_another_one_has_stay_until_its_entry_goes(
    fleet,
):
    # Guards against resets of a live server's flows by an entry of somebody else; only
    # the end of its own entry shows that a server has departed.
    server = server_entry(1, address="10.0.0.1:80")
    fleet.announce(server)
    tags = {fleet.open(1, HOLD), fleet.open(2)}
    assert tags == {server_tag(1)}
    later = server_entry(9, SKETCHES, address="10.0.0.1:80", started_at_ms=9_000)

    def send_to_both():
        return [
            fleet.send(
                later_packet(
                    flow, server_tag(1), destination, sequence=2_000, n_data_bytes=10
                )
            )
            for flow, destination in ((1, HOLD), (2, FEED))
        ]

    fleet.announce(server, later)
    fleet.advance(CONFIG.departed_grace_ms)
    for action in send_to_both():
        assert isinstance(action, Forward)
        assert action.server.entry == server
    assert fleet.send(opening(3)) == Reset(Reason.NO_SERVER)
    fleet.announce(later)
    fleet.advance(CONFIG.departed_grace_ms)
    for action in send_to_both():
        assert reset_reason(action) is Reason.SERVER_DEPARTED
    assert fleet.send(opening(4)) == Reset(Reason.NO_SERVER)


def test_unsafe_flows_of_a_failed_server_are_not_reset(fleet):
    fleet.announce(server_entry(1))
    tag = fleet.open(3, HOLD)
    failed_server(fleet)
    packet = later_packet(3, tag, HOLD, sequence=2_000, n_data_bytes=10)
    assert isinstance(fleet.send(packet), Forward)


def test_a_loaded_server_that_answers_late_keeps_its_open_flows(fleet):
    # Guards against resetting flows of loaded servers: after two servers had crashed,
    # the others took 25 ms and more to answer openings.
    tag = suspect_server(fleet)
    for _ in range(6):
        fleet.advance(200)
        packet = later_packet(1, tag, sequence=2_000, n_data_bytes=10)
        assert isinstance(fleet.send(packet), Forward)
    (server,) = fleet.engine.failure_detector.take_probes(fleet.now_ms)
    fleet.engine.failure_detector.on_probe(server, True, fleet.now_ms)
    assert isinstance(fleet.send(packet), Forward)
    assert not server.is_avoided(fleet.now_ms)


def test_a_suspect_has_one_probe_in_flight(fleet):
    suspect_server(fleet)
    assert len(fleet.engine.failure_detector.take_probes(fleet.now_ms)) == 1
    assert fleet.engine.failure_detector.take_probes(fleet.now_ms + 10_000) == []


def test_packets_that_overtake_each_other_are_no_silence(fleet):
    tag = fleet.open(1)
    for sequence in (2_000, 4_400, 3_200):
        fleet.send(later_packet(1, tag, sequence=sequence, n_data_bytes=1_200))
        fleet.advance(1)
    assert all(
        s.unresponsive_ms(fleet.now_ms) == 0 for s in fleet.engine.directory.servers()
    )


def fleet_with_failed_server(n_instances):
    """Return a fleet whose first instance confirmed the failure of the only server.

    Also returns the last instance's engine and the next packet of its open flow.
    """
    names = [f"osu-{n + 1}" for n in range(n_instances)]
    fleet = SteeringFleet(dict.fromkeys(names, "osu"))
    fleet.configure()
    fleet.announce(server_entry(1))
    fleet.send(opening(5), names[-1])
    fleet.advance(7)
    fleet.send(later_packet(5, server_tag(1)), names[-1])
    fleet.advance(100)
    tag = failed_server(fleet)
    assert fleet.engine.failure_detector.has_unreported_failures
    packet = later_packet(5, tag, sequence=2_000, n_data_bytes=10)
    return fleet, fleet.engines[names[-1]], packet


def test_one_peers_proof_of_a_death_has_the_server_probed_here_and_resets_nothing():
    # Guards against one instance's saturated link: its probes failed, and its whole
    # data centre reset the flows of healthy servers.
    fleet, other, packet = fleet_with_failed_server(2)
    fleet.exchange_reports()
    assert isinstance(fleet.send(packet, "osu-2"), Forward)
    (server,) = other.failure_detector.take_probes(fleet.now_ms)
    assert server.is_avoided(fleet.now_ms)
    assert not server.is_failed(fleet.now_ms)
    assert isinstance(fleet.send(opening(6), "osu-2"), Open)
    other.failure_detector.on_probe(server, True, fleet.now_ms)
    fleet.exchange_reports()
    assert not server.is_avoided(fleet.now_ms)


def test_own_proof_alone_resets_nothing_while_a_peer_can_confirm_it():
    # Guards against packet loss: both connects of one instance's probe were lost while
    # its peers reached the server, and it reset an open flow before its next probe.
    fleet, _, _ = fleet_with_failed_server(2)
    (server,) = fleet.engine.directory.servers()
    fleet.send(opening(7), "osu-1")
    packet = later_packet(7, server.tag, sequence=2_000, n_data_bytes=10)
    assert isinstance(fleet.send(packet, "osu-1"), Forward)
    # No peer is live any more.
    fleet.advance(PEER_TIMEOUT_MS + 1)
    assert reset_reason(fleet.send(packet, "osu-1")) is Reason.SERVER_FAILED


def test_a_local_confirmation_after_a_peers_resets_the_flows():
    fleet, other, packet = fleet_with_failed_server(2)
    fleet.exchange_reports()
    (server,) = other.failure_detector.take_probes(fleet.now_ms)
    fleet.advance(CONFIG.probe_timeout_ms)
    other.failure_detector.on_probe(server, False, fleet.now_ms)
    assert reset_reason(fleet.send(packet, "osu-2")) is Reason.SERVER_FAILED


def test_confirmations_by_two_peers_reset_the_flows_at_once():
    fleet, _, packet = fleet_with_failed_server(3)
    second = fleet.engines["osu-2"]
    (server,) = second.directory.servers()
    second.failure_detector.on_no_response(server, fleet.now_ms, fleet.now_ms)
    second.failure_detector.on_probe(server, False, fleet.now_ms)
    fleet.advance(1)
    fleet.exchange_reports()
    assert reset_reason(fleet.send(packet, "osu-3")) is Reason.SERVER_FAILED


def test_openings_are_refused_at_once_if_all_servers_failed(fleet):
    failed_server(fleet)
    assert fleet.send(opening(80, HOLD)) == Reset(Reason.SERVERS_FAILED)
    # The next probe is brought forward, as callers are waiting.
    fleet.advance(CONFIG.probe_expedited_ms)
    (server,) = fleet.engine.failure_detector.take_probes(fleet.now_ms)
    fleet.engine.failure_detector.on_probe(server, True, fleet.now_ms)
    assert isinstance(fleet.send(opening(81, HOLD)), Open)


def test_a_suspicion_of_a_peer_has_no_effect():
    fleet = SteeringFleet({"osu-1": "osu", "osu-2": "osu"})
    fleet.configure()
    suspect_server(fleet)
    fleet.exchange_reports()
    (server,) = fleet.engines["osu-2"].directory.servers()
    assert not server.is_avoided(fleet.now_ms)


def test_a_failed_remote_server_has_its_data_centre_probed(fleet):
    remote = [server_entry(n, data_centre="tema") for n in (4, 5, 6)]
    local = [server_entry(n) for n in (1, 2)]
    fleet.announce(*local, *remote)
    first = fleet.engine.directory.by_tag(server_tag(4))
    fleet.engine.failure_detector.on_no_response(first, fleet.now_ms, fleet.now_ms)
    assert fleet.engine.failure_detector.take_probes(fleet.now_ms) == [first]
    fleet.advance(CONFIG.probe_timeout_ms)
    fleet.engine.failure_detector.on_probe(first, False, fleet.now_ms)
    probed = {
        s.entry.identity
        for s in fleet.engine.failure_detector.take_probes(fleet.now_ms)
    }
    assert probed == {5, 6}


def test_a_failed_local_server_triggers_no_other_probes(fleet):
    fleet.announce(server_entry(1), server_entry(2))
    first = fleet.engine.directory.by_tag(server_tag(1))
    fleet.engine.failure_detector.on_no_response(first, fleet.now_ms, fleet.now_ms)
    fleet.engine.failure_detector.take_probes(fleet.now_ms)
    fleet.engine.failure_detector.on_probe(first, False, fleet.now_ms + 300)
    assert fleet.engine.failure_detector.take_probes(fleet.now_ms + 300) == []


def test_a_slow_request_alone_does_not_fail_a_server(fleet):
    fleet.announce(server_entry(1))
    tag = fleet.open(1)
    fleet.open(2)
    for attempt in range(4):
        fleet.send(later_packet(1, tag, sequence=2_000, n_data_bytes=10))
        # Another flow of the server makes progress.
        fleet.send(later_packet(2, tag, sequence=2_000 + attempt, n_data_bytes=1))
        fleet.advance(200)
        fleet.send(later_packet(2, tag, sequence=9_000, acknowledged=600 + attempt))
    packet = later_packet(1, tag, sequence=2_000, n_data_bytes=10)
    assert isinstance(fleet.send(packet), Forward)


def test_flows_of_a_recovered_server_are_forwarded_again(fleet):
    tag = failed_server(fleet)
    fleet.engine.take_events()
    fleet.advance(CONFIG.probe_ms)
    (server,) = fleet.engine.failure_detector.take_probes(fleet.now_ms)
    fleet.engine.failure_detector.on_probe(server, True, fleet.now_ms)
    state_changes = [event.change for event in fleet.engine.take_events()]
    assert StateChange.SERVER_RECOVERED in state_changes
    packet = later_packet(1, tag, sequence=2_000, n_data_bytes=10)
    assert isinstance(fleet.send(packet), Forward)


def test_flows_of_a_departed_server_are_reset_after_a_grace_period(fleet):
    tag = fleet.open(1)
    fleet.announce()
    assert isinstance(fleet.send(later_packet(1, tag)), Forward)
    fleet.advance(CONFIG.departed_grace_ms)
    assert reset_reason(fleet.send(later_packet(1, tag))) is Reason.SERVER_DEPARTED


def test_a_tag_that_is_not_in_the_directory_yet_is_not_reset(fleet):
    tag = server_tag(0xABCDEF)
    assert fleet.send(later_packet(1, tag)) == Drop(Reason.UNCONFIRMED_TAG)
    soon_ms = fleet.engine.refresh.wait_ms(0, 3, fleet.now_ms)
    assert soon_ms <= fleet.engine.refresh.config.min_interval_ms
    fleet.advance(100)
    assert fleet.send(later_packet(1, tag)) == Drop(Reason.UNCONFIRMED_TAG)
    fleet.announce(server_entry(0xABCDEF))
    assert isinstance(fleet.send(later_packet(1, tag)), Forward)


def test_a_tag_that_is_missing_from_a_later_read_is_reset(fleet):
    tag = server_tag(0xABCDEF)
    fleet.send(later_packet(1, tag))
    fleet.advance(100)
    fleet.announce(server_entry(1))
    assert fleet.send(later_packet(1, tag)) == Reset(Reason.UNKNOWN_TAG)


def test_a_tag_whose_server_has_an_unreadable_entry_is_not_reset(fleet):
    # Guards against resets of a live server's flows by an instance that started while
    # the server's entry was unreadable, and so has never known its address.
    fleet.announce()
    unreadable = (UnreadableEntry(server_entry(9).server, 9),)
    packet = later_packet(1, server_tag(9))
    for _ in range(3):
        fleet.advance(CONFIG.steady_ms)
        fleet.engine.refresh.on_read(fleet.now_ms, fleet.now_ms)
        fleet.engine.apply_servers([], fleet.now_ms, unreadable)
        assert fleet.send(packet) == Drop(Reason.UNCONFIRMED_TAG)
    fleet.announce(server_entry(9))
    assert isinstance(fleet.send(packet), Forward)


def test_after_an_outage_of_the_store_an_unknown_tag_is_not_reset(fleet):
    tag = server_tag(0xABCDEF)
    fleet.send(later_packet(1, tag))
    fleet.engine.refresh.on_failure(fleet.now_ms)
    fleet.advance(100)
    fleet.announce(server_entry(1))
    assert fleet.send(later_packet(1, tag)) == Drop(Reason.UNCONFIRMED_TAG)


def test_a_packet_without_a_tag_is_dropped(fleet):
    assert fleet.send(later_packet(1, 0)) == Drop(Reason.NO_TAG)


def test_no_new_flow_enters_an_evacuated_data_centre(fleet):
    fleet.announce(server_entry(1), server_entry(2, data_centre="tema"))
    fleet.configure(evacuated=("osu",))
    chosen = {fleet.send(opening(n)).server.entry.identity for n in range(30)}
    assert chosen == {2}
    fleet.configure(evacuated=("osu", "tema"))
    assert fleet.send(opening(99)) == Reset(Reason.NO_SERVER)


def test_packets_to_an_evacuated_data_centre_are_dropped_after_the_grace_period(fleet):
    fleet.announce(server_entry(1))
    tag = fleet.open(1)
    fleet.configure(evacuated=("osu",))
    assert isinstance(fleet.send(later_packet(1, tag)), Forward)
    fleet.advance(CONFIG.evacuation_grace_ms)
    # The server is alive: a reset would wrongly report its failure.
    assert fleet.send(later_packet(1, tag)) == Drop(Reason.DATA_CENTRE_OUT)
    fleet.configure()
    assert isinstance(fleet.send(later_packet(1, tag)), Forward)


packets = st.builds(
    later_packet,
    st.integers(0, 5),
    st.sampled_from([0, server_tag(1), server_tag(2), server_tag(50)]),
    sequence=st.integers(0, 2**32 - 1),
    acknowledged=st.integers(0, 2**32 - 1),
    n_data_bytes=st.integers(0, 1_200),
    is_finish=st.booleans(),
    is_reset=st.booleans(),
) | st.builds(
    opening,
    st.integers(0, 5),
    st.sampled_from([FEED, HOLD, UPLOAD, 5]),
    st.integers(0, 3),
)
steps = st.lists(st.tuples(packets, st.integers(0, 400)), max_size=60)


@settings(max_examples=100, deadline=None)
@given(steps)
def test_counts_of_flows_and_requests_stay_consistent(steps):
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1), server_entry(2), server_entry(3, SKETCHES))
    engine = fleet.engine
    for packet, step_ms in steps:
        fleet.send(packet)
        fleet.advance(step_ms)
        engine.retry_openings(fleet.now_ms)
    servers = list(engine.directory.servers())
    assert sum(s.n_flows for s in servers) == len(engine.flows)
    assert all(0 <= s.n_in_flight <= s.n_flows for s in servers)
    fleet.advance(engine.routes.state.configuration.flow_idle_ms + 1)
    engine.sweep(fleet.now_ms)
    assert len(engine.flows) == 0
    assert all(s.n_flows == s.n_in_flight == 0 for s in servers)
