import random

import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.detector import FailureDetector
from sapphirerail_core.fleet.messages import Alive, MemberRecord, Ping, ProbeRequest
from sapphirerail_core.fleet.roster import Roster

CONFIG = FleetConfig(suspect_after_ms=650, probe_ms=500, n_helpers=3)
SILENT = "osu-1"
PROBED_MS = 700
LATE_MS = PROBED_MS + 500


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


def _silent(detector):
    return [member.instance for member in detector.unresponsive]


def test_neighbours_of_the_own_data_centre_are_watched(detector):
    assert set(detector.monitored()) == {"osu-1", "osu-2", "osu-3"}
    assert not detector.is_monitored("tema-0")


def test_silence_is_probed_directly_and_by_helpers(detector, roster):
    assert _tick(detector, roster, 650) == []
    effects = _tick(detector, roster, PROBED_MS)
    assert detector.probing() == [SILENT]
    assert effects[0].instance == SILENT
    assert effects[0].message == Ping("osu-0")
    asked = [effect.instance for effect in effects[1:]]
    assert {effect.message for effect in effects[1:]} == {ProbeRequest(SILENT)}
    assert len(asked) == CONFIG.n_helpers
    assert SILENT not in asked
    assert set(asked) & {"tema-0", "tema-1"}


def test_two_rounds_of_probes_without_an_answer_end_in_silence(detector, roster):
    sent = [
        bool(_tick(detector, roster, now_ms))
        for now_ms in range(PROBED_MS, LATE_MS, 100)
    ]
    assert sum(sent) == 2
    assert _silent(detector) == []
    _tick(detector, roster, LATE_MS)
    assert _silent(detector) == [SILENT]


def test_an_answer_ends_the_probes(detector, roster):
    _tick(detector, roster, PROBED_MS)
    roster.record_contact(SILENT, 1, PROBED_MS + 100)
    _tick(detector, roster, PROBED_MS + 200)
    assert detector.probing() == []
    _tick(detector, roster, LATE_MS)
    assert _silent(detector) == []


def test_one_that_is_accused_already_is_not_named_again(detector, roster):
    _tick(detector, roster, PROBED_MS)
    roster.add_suspicion(roster.get(SILENT), "osu-0", 0, LATE_MS)
    _tick(detector, roster, LATE_MS)
    assert _silent(detector) == []


def test_after_a_pause_silence_counts_from_then_on(detector, roster):
    _tick(detector, roster, PROBED_MS)
    detector.reset_timers(5000)
    _tick(detector, roster, 5600)
    assert detector.probing() == []
    assert detector.last_contact_ms(roster.get(SILENT)) == 5000
