from sapphirerail_core.steering import SteeringConfig
from sapphirerail_core.steering.server_state import Health, KnownServer
from sapphirerail_standins.steering_fleet import server_entry

CONFIG = SteeringConfig()


def answering_server():
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.on_progress(900, 1_000)
    return server


def failed_server():
    server = answering_server()
    server.on_no_response(1_100)
    assert server.needs_probe(1_200)
    server.is_probe_in_flight = True
    assert server.on_probe(False, 1_500) is Health.FAILED
    return server


def test_an_unresponsive_server_is_suspect_avoided_and_probed():
    server = answering_server()
    assert server.on_no_response(1_100)
    assert server.health is Health.SUSPECT
    assert server.is_avoided(1_200)
    assert server.needs_probe(1_200)
    assert not server.is_failed(1_200)


def test_missing_answers_alone_do_not_confirm_a_failure():
    server = answering_server()
    for n in range(50):
        server.on_no_response(1_100 + n)
    assert not server.is_failed(60_000)


def test_a_failed_probe_confirms_a_failure():
    assert failed_server().is_failed(1_500)


def test_a_probe_that_connects_clears_a_suspect():
    server = answering_server()
    server.on_no_response(1_100)
    assert server.on_probe(True, 1_200) is Health.ANSWERING
    assert not server.is_avoided(1_200)
    assert server.unresponsive_ms(1_200) == 0


def test_one_probe_at_a_time_is_in_flight():
    server = answering_server()
    server.on_no_response(1_100)
    server.is_probe_in_flight = True
    assert not server.needs_probe(5_000)


def test_probes_of_a_failed_server_back_off():
    server = failed_server()
    waits = []
    now_ms = 1_500
    for _ in range(5):
        began_ms = now_ms
        while not server.needs_probe(now_ms):
            now_ms += 100
        waits.append(now_ms - began_ms)
        server.on_probe(False, now_ms)
    assert waits == sorted(waits)
    assert waits[0] == CONFIG.probe_ms
    assert waits[-1] == CONFIG.probe_max_ms


def test_a_missing_answer_before_the_last_progress_is_ignored():
    server = answering_server()
    assert not server.on_no_response(990)
    assert server.health is Health.ANSWERING


def test_an_answer_to_earlier_data_does_not_clear_a_failure():
    server = failed_server()
    assert not server.on_progress(1_050, 2_001)
    assert server.health is Health.FAILED


def test_an_answer_to_later_data_clears_a_failure():
    server = failed_server()
    assert server.on_progress(1_600, 2_001)
    assert server.health is Health.ANSWERING


def test_a_late_probe_result_is_ignored_after_an_answer():
    server = answering_server()
    server.on_no_response(1_100)
    server.on_progress(1_150, 1_200)
    assert server.on_probe(False, 1_400) is None
    assert not server.is_failed(1_400)


def test_failures_reported_by_peers_count_until_progress_or_expiry():
    server = answering_server()
    assert not server.on_peer_failure_report("osu-2", 1_200, 2_000)
    assert not server.is_avoided(2_000)
    assert server.on_peer_failure_report("osu-2", 300, 2_000)
    assert not server.on_peer_failure_report("osu-2", 300, 2_000)
    assert server.is_avoided(2_000)
    assert not server.is_failed(2_000)
    server.on_peer_failure_report("osu-3", 300, 2_000)
    assert server.is_failed(2_000)
    assert not server.is_failed(2_000 + CONFIG.peer_failure_ttl_ms)
    server.on_progress(2_010, 2_050)
    assert not server.is_failed(2_060)
    assert not server.is_avoided(2_060)


def test_a_cold_server_warms_up_by_time_or_by_its_entry():
    server = KnownServer(server_entry(1, cold_ms=2_000), CONFIG, 0)
    assert server.is_cold(1_999)
    assert not server.is_cold(2_000)
    server.update(server_entry(1, cold_ms=0), 1_000)
    assert not server.is_cold(1_001)


def test_an_inconclusive_probe_leaves_the_server_suspect_and_is_repeated_soon():
    server = KnownServer(server_entry(1), CONFIG, 0)
    server.on_no_response(1_000)
    server.is_probe_in_flight = True
    server.on_inconclusive_probe(1_250)
    assert server.health is Health.SUSPECT
    assert not server.needs_probe(1_250)
    assert server.needs_probe(1_250 + CONFIG.probe_expedited_ms)
    assert server.on_probe(False, 1_800) is Health.FAILED
