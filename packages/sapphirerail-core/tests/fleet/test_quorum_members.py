import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.listing import ListedInstance
from sapphirerail_core.fleet.messages import Alive, MemberRecord, Suspected, TieAnswer
from sapphirerail_core.fleet.quorum_members import QuorumMembers
from sapphirerail_core.fleet.roster import Roster
from sapphirerail_core.fleet.votes import Votes

CONFIG = FleetConfig()
FAILED_MS = 1000
OSU = [f"osu-{n}" for n in range(6)]


def _record(name):
    return MemberRecord(name, name.split("-")[0], "", "", 1)


class _Case:
    """One of six instances, some of them failed; arbiters are in `tema`."""

    def __init__(self, n_failed, others=("tema-0", "tema-1", "tema-2")):
        roster = Roster(CONFIG, _record("osu-0"), 0, lambda member, now_ms: None)
        for name in (*OSU, *others):
            roster.apply(Alive(_record(name)), 0)
        for name in OSU[6 - n_failed :]:
            for reporter in OSU[1:3]:
                roster.apply(Suspected(name, 1, reporter, 900), FAILED_MS)
        self.votes = Votes(CONFIG, roster)
        self.quorum_members = QuorumMembers(CONFIG, roster, self.votes)
        self.vote_requests = self.quorum_members.tick(FAILED_MS)

    def list_names(self, names, now_ms):
        entries = [ListedInstance(name, "osu", "", "") for name in names]
        self.quorum_members.on_listing(entries, now_ms)
        self.quorum_members.tick(now_ms)


@pytest.mark.parametrize(("n_failed", "majority"), [(2, True), (3, False), (4, False)])
def test_majority_needs_more_live_than_failed_instances(n_failed, majority):
    case = _Case(n_failed)
    assert case.quorum_members.counted_failed() == OSU[6 - n_failed :]
    assert case.quorum_members.has_majority(FAILED_MS) is majority


@pytest.mark.parametrize(("n_failed", "n_asked"), [(2, 0), (3, 3), (4, 0)])
def test_arbiters_are_asked_only_if_exactly_half_failed(n_failed, n_asked):
    assert len(_Case(n_failed).vote_requests) == n_asked


def test_votes_win_a_tie():
    case = _Case(3)
    for effect in case.vote_requests[:2]:
        answer = TieAnswer(effect.message.partition_side, effect.message.sent_ms, 2)
        case.votes.on_answer(effect.instance, answer)
    assert case.quorum_members.has_majority(FAILED_MS)


@pytest.mark.parametrize(
    ("others", "tie_breaker"),
    [(["axim-0", "tema-0"], "tema"), (["axim-0", "kumasi-0"], "axim"), ([], None)],
)
def test_the_next_data_centre_by_name_breaks_ties(others, tie_breaker):
    assert _Case(3, others).quorum_members.tie_breaker() == tie_breaker


def test_failed_instances_count_until_removed_from_the_list():
    case = _Case(4)
    case.list_names(OSU, FAILED_MS + 500)
    assert not case.quorum_members.has_majority(FAILED_MS + 500)
    case.list_names(OSU[:2], FAILED_MS + 1000)
    assert case.quorum_members.has_majority(FAILED_MS + 1000)


def test_failed_instances_count_longer_while_listed():
    unlisted, listed = _Case(4), _Case(4)
    listed.list_names(OSU, FAILED_MS)
    expired_ms = FAILED_MS + CONFIG.counted_unlisted_ms + 1
    for case in (unlisted, listed):
        case.quorum_members.tick(expired_ms)
    assert unlisted.quorum_members.has_majority(expired_ms)
    assert not listed.quorum_members.has_majority(expired_ms)


def test_listed_instance_without_any_contact_counts_as_failed():
    case = _Case(0)
    case.list_names([*OSU, "osu-new"], FAILED_MS)
    assert case.quorum_members.counted_failed() == ["osu-new"]
