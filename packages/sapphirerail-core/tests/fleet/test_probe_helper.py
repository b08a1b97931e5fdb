from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.messages import Ping, Pong, ProbeAnswer
from sapphirerail_core.fleet.probe_helper import N_PENDING_MAX, ProbeHelper

CONFIG = FleetConfig(probe_ms=500)
WAIT_MS = 400


def _helper():
    helper = ProbeHelper(CONFIG, "helper")
    (ping,) = helper.on_request("origin", "subject", 0)
    return helper, ping


def test_subject_is_pinged_for_the_origin():
    _, ping = _helper()
    assert (ping.instance, ping.message) == ("subject", Ping("origin"))


def test_answer_is_forwarded_once():
    helper, _ = _helper()
    (effect,) = helper.on_pong("subject", Pong("origin", 7))
    assert effect.instance == "origin"
    assert effect.message == ProbeAnswer("subject", 7, True)
    assert helper.on_pong("subject", Pong("origin", 7)) == []
    assert helper.tick(WAIT_MS) == []


def test_unrelated_pongs_are_ignored():
    helper, _ = _helper()
    assert helper.on_pong("other", Pong("origin", 7)) == []
    assert helper.on_pong("subject", Pong("other", 7)) == []


def test_timeout_is_reported_before_the_origin_stops_waiting():
    helper, _ = _helper()
    assert helper.tick(WAIT_MS - 1) == []
    (effect,) = helper.tick(WAIT_MS)
    assert effect.message == ProbeAnswer("subject", 0, False)
    assert helper.tick(WAIT_MS + 100) == []


def test_repeated_request_does_not_delay_the_answer():
    helper, _ = _helper()
    assert helper.on_request("origin", "subject", WAIT_MS - 100)
    assert len(helper.tick(WAIT_MS)) == 1


def test_probes_in_flight_are_limited():
    helper, _ = _helper()
    for n in range(2 * N_PENDING_MAX):
        helper.on_request("origin", f"subject-{n}", 0)
    assert len(helper.tick(WAIT_MS)) == N_PENDING_MAX
