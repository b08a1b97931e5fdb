from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.messages import Alive, Left, MemberRecord, TieAnswer
from sapphirerail_core.fleet.roster import Roster
from sapphirerail_core.fleet.votes import RETRY_OFFSET_MS, Votes

CONFIG = FleetConfig()
NAMES = ("osu-1", "osu-2", "tema-0", "tema-1", "tema-2", "tema-3")
VALID_MS = CONFIG.vote_ms - CONFIG.pause_ms


def _record(name):
    return MemberRecord(name, name.split("-")[0], "", "", 1)


def _request_votes():
    roster = Roster(CONFIG, _record("osu-0"), 0, lambda member, now_ms: None)
    for name in NAMES:
        roster.apply(Alive(_record(name)), 0)
    votes = Votes(CONFIG, roster)
    return votes, roster, votes.request_votes("tema", 0)


def _grant(votes, effect, **changed):
    request = effect.message
    fields = {
        "partition_side": request.partition_side,
        "sent_ms": request.sent_ms,
        "n_needed": 2,
    }
    votes.on_answer(effect.instance, TieAnswer(**{**fields, **changed}))


def test_two_of_three_votes_win_until_they_expire():
    votes, _, effects = _request_votes()
    assert len(effects) == 3
    _grant(votes, effects[0])
    assert not votes.has_won(100)
    _grant(votes, effects[1])
    assert votes.has_won(VALID_MS)
    assert not votes.has_won(VALID_MS + 1)


def test_votes_for_older_requests_or_other_sides_are_ignored():
    votes, _, effects = _request_votes()
    _grant(votes, effects[0])
    _grant(votes, effects[1], partition_side=1)
    _grant(votes, effects[2], sent_ms=-CONFIG.vote_ms)
    assert not votes.has_won(100)


def test_votes_are_dropped_when_the_live_instances_change():
    votes, roster, effects = _request_votes()
    for effect in effects:
        _grant(votes, effect)
    roster.apply(Left("osu-2", 1), 100)
    assert not votes.has_won(100)
    renewed = votes.request_votes("tema", 100)
    assert renewed[0].message.partition_side != effects[0].message.partition_side


def test_unanswered_requests_are_retried_before_renewals():
    votes, _, effects = _request_votes()
    _grant(votes, effects[0])
    retry_ms = CONFIG.vote_renewal_ms // 2 + RETRY_OFFSET_MS
    assert votes.request_votes("tema", retry_ms - 1) == []
    again = votes.request_votes("tema", retry_ms)
    assert {e.instance for e in again} == {e.instance for e in effects[1:]}
    (renewed,) = votes.request_votes("tema", CONFIG.vote_renewal_ms)
    assert renewed.instance == effects[0].instance
