import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.dissemination import ALIVE_BYTES, DisseminationQueue
from sapphirerail_core.fleet.messages import Alive, MemberRecord, Suspected
from sapphirerail_core.fleet.roster import Roster

CONFIG = FleetConfig()
N_MEMBERS = 7
N_SENDS = 2 * 3
"""Two sends per doubling of the members; seven members are three doublings."""


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


def _suspect(roster, reporter, now_ms=0):
    update = Suspected("osu-1", 1, reporter, 500)
    roster.apply(update, now_ms)
    return update


def test_update_is_sent_a_limited_number_of_times(queue):
    queue.add(_alive(1))
    sent = [queue.next_updates(5, 0) for _ in range(N_SENDS + 3)]
    assert sent == [(_alive(1),)] * N_SENDS + [()] * 3
    assert len(queue) == 0


def test_least_sent_update_is_sent_first(queue):
    queue.add(_alive(1))
    queue.next_updates(1, 0)
    queue.add(_alive(2))
    assert queue.next_updates(1, 0) == (_alive(2),)


def test_bytes_per_tick_are_limited(roster):
    queue = DisseminationQueue(roster, 2 * ALIVE_BYTES)
    for n in range(1, 6):
        queue.add(_alive(n))
    assert len(queue.next_updates(5, 0)) == 2
    assert queue.next_updates(5, 0) == ()
    queue.refill()
    assert len(queue.next_updates(5, 0)) == 2


def test_age_of_a_suspicion_is_computed_at_send_time(queue, roster):
    queue.add(_suspect(roster, "osu-2", 1000))
    (update,) = queue.next_updates(1, 1300)
    assert update == Suspected("osu-1", 1, "osu-2", 800)


def test_refuted_suspicion_is_not_sent(queue, roster):
    queue.add(_suspect(roster, "osu-2"))
    roster.apply(Alive(MemberRecord("osu-1", "osu", "", "", 2)), 100)
    assert queue.next_updates(5, 200) == ()
    assert len(queue) == 0


def test_third_reporter_is_not_disseminated(queue, roster):
    for reporter in ("osu-2", "osu-3"):
        queue.add(_suspect(roster, reporter))
    queue.add(Suspected("osu-1", 1, "osu-4", 500))
    assert {update.reporter for update in queue.next_updates(5, 0)} == {
        "osu-2",
        "osu-3",
    }
