import pytest

from sapphirerail_core.fleet.arbiter import N_VOTES_PER_TICK, Arbiter, select_arbiters
from sapphirerail_core.fleet.budget import TickBudget
from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.messages import Alive, Left, MemberRecord, TieRequest
from sapphirerail_core.fleet.roster import Roster

CONFIG = FleetConfig(vote_ms=600)
HOLD_MS = 700
STABLE_MS = 1000
TEMA = tuple(f"tema-{n}" for n in range(6))
VOTER = select_arbiters("osu", TEMA)[0]


def _record(name):
    return MemberRecord(name, name.split("-")[0], "", "", 1)


def _arbiter(name=VOTER, budget=None):
    roster = Roster(CONFIG, _record(name), 0, lambda member, now_ms: None)
    for other in (*TEMA, "osu-0", "osu-1"):
        roster.apply(Alive(_record(other)), 0)
    arbiter = Arbiter(CONFIG, roster, budget or TickBudget(1000), 0)
    arbiter.tick(0)
    return arbiter, roster


def _votes(arbiter, partition_side, now_ms, holds_lease=True):
    request = TieRequest(partition_side, now_ms)
    return len(arbiter.on_request("osu-0", request, holds_lease, now_ms))


def test_answer_contains_the_request_and_the_votes_needed():
    arbiter, _ = _arbiter()
    (effect,) = arbiter.on_request("osu-0", TieRequest(7, 900), True, STABLE_MS)
    answer = effect.message
    assert effect.instance == "osu-0"
    assert (answer.partition_side, answer.sent_ms, answer.n_needed) == (7, 900, 2)


def test_vote_is_exclusive_to_one_side_until_it_expires():
    arbiter, _ = _arbiter()
    assert _votes(arbiter, 1, STABLE_MS)
    assert not _votes(arbiter, 2, STABLE_MS + HOLD_MS)
    assert _votes(arbiter, 1, STABLE_MS + HOLD_MS)
    assert not _votes(arbiter, 2, STABLE_MS + 2 * HOLD_MS)
    assert _votes(arbiter, 2, STABLE_MS + 2 * HOLD_MS + 1)


@pytest.mark.parametrize(
    "change",
    [
        lambda arbiter, roster: roster.apply(Left("tema-5", 1), STABLE_MS),
        lambda arbiter, roster: arbiter.reset_timers(STABLE_MS),
    ],
)
def test_no_new_vote_within_hold_time_of_a_change_or_pause(change):
    arbiter, roster = _arbiter()
    change(arbiter, roster)
    arbiter.tick(STABLE_MS)
    assert not _votes(arbiter, 1, STABLE_MS + HOLD_MS)
    is_voter = VOTER in select_arbiters("osu", roster.live("tema"))
    assert _votes(arbiter, 1, STABLE_MS + HOLD_MS + 1) == is_voter


def test_only_arbiters_with_a_lease_vote():
    arbiter, _ = _arbiter()
    assert not _votes(arbiter, 1, STABLE_MS, holds_lease=False)
    other = next(name for name in TEMA if name not in select_arbiters("osu", TEMA))
    assert not _votes(_arbiter(other)[0], 1, STABLE_MS)


def test_votes_per_tick_are_limited_and_precede_pages():
    budget = TickBudget(1000)
    arbiter, _ = _arbiter(budget=budget)
    budget.spend(1000)
    assert sum(_votes(arbiter, 1, STABLE_MS) for _ in range(50)) == N_VOTES_PER_TICK
    budget.refill()
    assert budget.is_spent
    arbiter.tick(STABLE_MS)
    assert _votes(arbiter, 1, STABLE_MS)
