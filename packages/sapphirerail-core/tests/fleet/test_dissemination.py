import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.dissemination import ALIVE_BYTES, DisseminationQueue
from sapphirerail_core.fleet.messages import Alive, MemberRecord, Suspected
from sapphirerail_core.fleet.roster import Roster

CONFIG = FleetConfig()
N_MEMBERS = 7
N_SENDS = 2 * 3
"""Twice per doubling: seven members are three doublings."""


def _record(name):
    return MemberRecord(name, "osu", "", "", 1)


@pytest.fixture
def roster():
    roster = Roster(CONFIG, _record("osu-0"), 0, lambda member, now_ms: None)
    for n in range(1, N_MEMBERS):
        roster.apply(Alive(_record(f"osu-{n}")), 0)
    return roster


@pytest.fixture
def queue(roster):
    return DisseminationQueue(roster, 100_000)


def _alive(n):
    return Alive(_record(f"osu-{n}"))


def _accuse(roster, reporter, now_ms=0):
    update = Suspected("osu-1", 1, reporter, 500)
    roster.apply(update, now_ms)
    return update


def test_news_is_passed_on_a_bounded_number_of_times(queue):
    queue.add(_alive(1))
    taken = [queue.next_updates(5, 0) for _ in range(N_SENDS + 3)]
    assert taken == [(_alive(1),)] * N_SENDS + [()] * 3
    assert len(queue) == 0


def test_what_was_passed_on_least_often_goes_first(queue):
    queue.add(_alive(1))
    queue.next_updates(1, 0)
    queue.add(_alive(2))
    assert queue.next_updates(1, 0) == (_alive(2),)


def test_bytes_between_two_ticks_are_bounded(roster):
    queue = DisseminationQueue(roster, 2 * ALIVE_BYTES)
    for n in range(1, 6):
        queue.add(_alive(n))
    assert len(queue.next_updates(5, 0)) == 2
    assert queue.next_updates(5, 0) == ()
    queue.refill()
    assert len(queue.next_updates(5, 0)) == 2


def test_age_of_an_accusation_is_that_of_the_moment_of_sending(queue, roster):
    queue.add(_accuse(roster, "osu-2", 1000))
    (told,) = queue.next_updates(1, 1300)
    assert told == Suspected("osu-1", 1, "osu-2", 800)


def test_a_refuted_accusation_is_not_passed_on(queue, roster):
    queue.add(_accuse(roster, "osu-2"))
    roster.apply(Alive(MemberRecord("osu-1", "osu", "", "", 2)), 100)
    assert queue.next_updates(5, 200) == ()
    assert len(queue) == 0


def test_a_third_accuser_is_no_news(queue, roster):
    for reporter in ("osu-2", "osu-3"):
        queue.add(_accuse(roster, reporter))
    queue.add(Suspected("osu-1", 1, "osu-4", 500))
    assert {update.reporter for update in queue.next_updates(5, 0)} == {
        "osu-2",
        "osu-3",
    }
