from sapphirerail_core.steering import SteeringConfig
from sapphirerail_core.steering.server_state import Health, KnownServer
from sapphirerail_standins.steering_fleet import server_entry

CONFIG = SteeringConfig()


def silent_server(n_flows, until_ms, *, is_opening=True):
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.on_progress(900, 1_000)
    for n in range(n_flows):
        server.on_silence(bytes([n]), 1_100 + n, until_ms, is_opening=is_opening)
    return server


def test_one_silent_flow_makes_a_suspect_never_a_dead_server():
    server = silent_server(1, 60_000)
    assert server.health is Health.SUSPECT
    assert server.is_avoided(60_000)


def test_two_silent_flows_and_time_make_a_dead_server():
    assert silent_server(2, 1_100 + CONFIG.dead_after_ms - 1).health is Health.SUSPECT
    assert silent_server(2, 1_100 + CONFIG.dead_after_ms).health is Health.DEAD


def test_the_same_flow_is_one_witness_only():
    server = KnownServer(server_entry(1), CONFIG, 0)
    for n in range(5):
        server.on_silence(b"flow", 1_100, 1_200 + 500 * n, is_opening=True)
    assert server.health is Health.SUSPECT


def test_silence_before_the_last_answer_is_no_evidence():
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.on_progress(900, 1_000)
    assert server.on_silence(b"a", 990, 1_300, is_opening=True) is None
    assert server.health is Health.ANSWERING


def test_an_answer_that_was_on_its_way_does_not_clear_a_later_silence():
    server = silent_server(2, 2_000)
    assert not server.on_progress(1_050, 2_001)
    assert server.health is Health.DEAD


def test_an_answer_to_something_later_clears_the_silence():
    server = silent_server(2, 2_000)
    assert server.on_progress(1_500, 2_001)
    assert server.health is Health.ANSWERING
    assert server.silence_ms(2_001) == 0


def test_a_peers_progress_keeps_a_silent_server_from_being_dead():
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.peer_progress_at_ms = 1_500
    for n in range(4):
        server.on_silence(bytes([n]), 1_100, 2_000, is_opening=True)
    assert server.health is Health.SUSPECT


def test_trials_of_a_suspect_become_rarer():
    server = silent_server(1, 2_000)
    waits = []
    now_ms = 2_000
    for _ in range(5):
        began_ms = now_ms
        while server.is_avoided(now_ms):
            now_ms += 100
        waits.append(now_ms - began_ms)
        server.on_trial(now_ms)
    assert waits == sorted(waits)
    assert waits[-1] == CONFIG.trial_max_ms


def test_a_peers_suspicion_counts_for_a_while_and_less_than_own_progress():
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.peer_suspected_at_ms = 5_000
    assert server.is_avoided(5_000 + CONFIG.peer_suspicion_ms - 1)
    assert not server.is_avoided(5_000 + CONFIG.peer_suspicion_ms)
    server.on_progress(5_050, 5_100)
    assert not server.is_avoided(5_200)


def test_a_cold_server_warms_up_by_time_or_by_its_own_word():
    server = KnownServer(server_entry(1, cold_ms=2_000), CONFIG, 0)
    assert server.is_cold(1_999)
    assert not server.is_cold(2_000)
    server.update(server_entry(1, cold_ms=0), 1_000)
    assert not server.is_cold(1_001)


def test_unanswered_requests_alone_never_make_a_dead_server():
    server = silent_server(20, 60_000, is_opening=False)
    assert server.health is Health.SUSPECT
    # The next opening shows at once whether it lives.
    assert not server.is_avoided(60_000)


def test_a_peers_proof_of_death_counts_until_own_progress_or_for_a_while():
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.on_progress(900, 1_000)
    server.on_peer_silence(300, 1_200, is_dead=True)
    assert not server.is_dead(1_200)
    server.on_peer_silence(300, 2_000, is_dead=True)
    assert server.is_dead(2_000)
    assert not server.is_dead(2_000 + CONFIG.peer_suspicion_ms)
    server.on_progress(2_010, 2_050)
    assert not server.is_dead(2_060)
