import random

import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.detector import FailureDetector
from sapphirerail_core.fleet.messages import Alive, MemberRecord, Ping, ProbeRequest
from sapphirerail_core.fleet.roster import Roster

CONFIG = FleetConfig(suspect_after_ms=650, probe_ms=500, n_helpers=3)
UNRESPONSIVE = "osu-1"
PROBED_MS = 700
TIMED_OUT_MS = PROBED_MS + 500


def _record(name):
    return MemberRecord(name, name.split("-")[0], "", "", 1)


@pytest.fixture
def roster():
    roster = Roster(CONFIG, _record("osu-0"), 0, lambda member, now_ms: None)
    for name in ("osu-1", "osu-2", "osu-3", "tema-0", "tema-1"):
        roster.apply(Alive(_record(name)), 0)
    return roster


@pytest.fixture
def detector(roster):
    detector = FailureDetector(CONFIG, roster, random.Random(1))
    detector.tick(0)
    return detector


def _tick(detector, roster, now_ms, contacts=("osu-2", "osu-3")):
    for name in contacts:
        roster.record_contact(name, 1, now_ms)
    return detector.tick(now_ms)


def _unresponsive(detector):
    return [member.instance for member in detector.unresponsive]


def test_neighbours_of_the_local_data_centre_are_monitored(detector):
    assert set(detector.monitored()) == {"osu-1", "osu-2", "osu-3"}
    assert not detector.is_monitored("tema-0")


def test_unresponsive_neighbour_is_probed_directly_and_indirectly(detector, roster):
    assert _tick(detector, roster, 650) == []
    effects = _tick(detector, roster, PROBED_MS)
    assert detector.probing() == [UNRESPONSIVE]
    assert effects[0].instance == UNRESPONSIVE
    assert effects[0].message == Ping("osu-0")
    helpers = [effect.instance for effect in effects[1:]]
    assert {effect.message for effect in effects[1:]} == {ProbeRequest(UNRESPONSIVE)}
    assert len(helpers) == CONFIG.n_helpers
    assert UNRESPONSIVE not in helpers
    assert set(helpers) & {"tema-0", "tema-1"}


def test_neighbour_is_unresponsive_after_two_unanswered_probe_rounds(detector, roster):
    sent = [
        bool(_tick(detector, roster, now_ms))
        for now_ms in range(PROBED_MS, TIMED_OUT_MS, 100)
    ]
    assert sum(sent) == 2
    assert _unresponsive(detector) == []
    _tick(detector, roster, TIMED_OUT_MS)
    assert _unresponsive(detector) == [UNRESPONSIVE]


def test_answer_stops_the_probes(detector, roster):
    _tick(detector, roster, PROBED_MS)
    roster.record_contact(UNRESPONSIVE, 1, PROBED_MS + 100)
    _tick(detector, roster, PROBED_MS + 200)
    assert detector.probing() == []
    _tick(detector, roster, TIMED_OUT_MS)
    assert _unresponsive(detector) == []


def test_neighbour_already_suspected_is_not_reported_again(detector, roster):
    _tick(detector, roster, PROBED_MS)
    roster.add_suspicion(roster.get(UNRESPONSIVE), "osu-0", 0, TIMED_OUT_MS)
    _tick(detector, roster, TIMED_OUT_MS)
    assert _unresponsive(detector) == []


def test_pause_restarts_the_contact_timeouts(detector, roster):
    _tick(detector, roster, PROBED_MS)
    detector.reset_timers(5000)
    _tick(detector, roster, 5600)
    assert detector.probing() == []
    assert detector.last_contact_ms(roster.get(UNRESPONSIVE)) == 5000
