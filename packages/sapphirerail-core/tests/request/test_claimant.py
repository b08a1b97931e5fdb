import random

import pytest

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan import DataCentre, Plan
from sapphirerail_core.request.claim_replica import ClaimReplica
from sapphirerail_core.request.claimant import Claimant, ClaimDecision
from sapphirerail_core.request.config import DispatcherConfig
from sapphirerail_core.request.context import Context
from sapphirerail_core.request.history import MembershipHistory
from sapphirerail_core.request.keys import claim_data_centres
from sapphirerail_core.request.messages import Claim, Grant, Withdraw
from sapphirerail_core.types import InstanceState

_DATA_CENTRES = ("osu", "madina", "tema", "kaneshie")
_MEMBERS = {
    f"{data_centre}-{name}": data_centre
    for data_centre in _DATA_CENTRES
    for name in "abcd"
}
_KEY = 4711
_DEADLINE_MS = 3_000


@pytest.fixture
def claimant():
    """Return a claimant that is not a replica of the claims that it makes."""
    # Started early enough to know the fleet, too late to know all open claims.
    return _make_claimant(started_at_ms=-3_000)


def _make_claimant(started_at_ms):
    config = DispatcherConfig(n_claims_open_max=2)
    plan = Plan(
        revision=1, data_centres={name: DataCentre(name) for name in _DATA_CENTRES}
    )
    home = claim_data_centres(plan, _KEY)[0]
    self_id = next(
        name for name, data_centre in _MEMBERS.items() if data_centre != home
    )
    fleet = FixedFleet(self_id, _MEMBERS)
    context = Context(
        config, fleet, None, Journal(self_id), random.Random(1), plan=plan
    )
    history = MembershipHistory(context, started_at_ms)
    return Claimant(context, ClaimReplica(1_000, 10), history)


def _asked(effects):
    return [e.instance for e in effects if isinstance(e.message, Claim)]


def _data_centres(names):
    return {_MEMBERS[name] for name in names}


def _epoch(effects):
    return next(e.message.epoch for e in effects if isinstance(e.message, Claim))


def _start(claimant, *, is_first=False, key=_KEY):
    return claimant.start(key, is_first, _DEADLINE_MS, 0)


def test_retransmission_asks_the_home_replicas_first(claimant):
    effects = _start(claimant)
    assert len(_data_centres(_asked(effects))) == 1


def test_denial_at_home_decides_a_claim_without_asking_elsewhere(claimant):
    effects = _start(claimant)
    asked = _asked(effects)
    answer = Grant(_KEY, _epoch(effects), "tema-x")
    later = claimant.on_grant(asked[0], answer, 1)
    (result,) = claimant.take_decided()
    assert (result.decision, result.holder) == (ClaimDecision.HELD, "tema-x")
    assert not _asked(later)
    withdrawn = [e.instance for e in later if isinstance(e.message, Withdraw)]
    assert _data_centres(withdrawn) == _data_centres(asked)


def test_other_data_centres_are_asked_once_home_has_granted(claimant):
    effects = _start(claimant)
    epoch = _epoch(effects)
    self_id = claimant._context.fleet.self_id
    pending, widened = _asked(effects), []
    asked_at_home = _data_centres(pending)
    while pending and not widened:
        later = claimant.on_grant(pending.pop(), Grant(_KEY, epoch, self_id), 1)
        widened = _asked(later)
    assert asked_at_home.isdisjoint(_data_centres(widened))
    assert not claimant.take_decided()


def test_other_data_centres_are_asked_when_home_is_unresponsive(claimant):
    first = _data_centres(_asked(_start(claimant)))
    again = _data_centres(_asked(claimant.tick(100)))
    assert len(again) > len(first)


def test_only_home_is_asked_again_when_it_partly_responded(claimant):
    effects = _start(claimant)
    self_id = claimant._context.fleet.self_id
    asked = _asked(effects)
    claimant.on_grant(asked[0], Grant(_KEY, _epoch(effects), self_id), 1)
    assert _data_centres(_asked(claimant.tick(100))) == _data_centres(asked)


def test_claims_beyond_the_open_limit_fail_without_a_message(claimant):
    _start(claimant, key=1)
    _start(claimant, key=2)
    assert _start(claimant, key=3) == []
    (result,) = claimant.take_decided()
    assert (result.key, result.decision) == (3, ClaimDecision.FAILED)


@pytest.mark.parametrize("is_first", [True, False])
def test_new_instance_claims_only_after_its_view_has_settled(is_first):
    claimant = _make_claimant(started_at_ms=0)
    assert _start(claimant, is_first=is_first) == []
    assert claimant.tick(1_999) == []
    assert _asked(claimant.tick(2_000))
    assert claimant.take_decided() == []


def test_claim_that_cannot_wait_for_the_view_fails():
    claimant = _make_claimant(started_at_ms=0)
    claimant.start(_KEY, True, 1_000, 0)
    claimant.tick(1_000)
    (result,) = claimant.take_decided()
    assert result.decision is ClaimDecision.FAILED


def test_replicas_from_before_a_join_must_also_grant(claimant):
    home = claim_data_centres(claimant._context.plan, _KEY)[0]
    replicas = claimant._context.fleet.owners(_KEY, 4, home)
    recently_joined = replicas[:3]
    for name in recently_joined:
        claimant._history.on_state(name, InstanceState.ALIVE, 0)
    effects = _start(claimant, is_first=True)
    self_id, epoch = claimant._context.fleet.self_id, _epoch(effects)
    assert replicas[3] in _asked(effects)
    for name in recently_joined:
        claimant.on_grant(name, Grant(_KEY, epoch, self_id), 1)
    assert claimant.take_decided() == []
    claimant.on_grant(replicas[3], Grant(_KEY, epoch, self_id), 1)
    (result,) = claimant.take_decided()
    assert result.decision is ClaimDecision.OWNED


def test_new_home_data_centre_also_needs_the_previous_home(claimant):
    data_centres = claim_data_centres(claimant._context.plan, _KEY)
    for name in claimant._context.fleet.live(data_centres[0]):
        claimant._history.on_state(name, InstanceState.ALIVE, 0)
    asked = _data_centres(_asked(_start(claimant, is_first=True)))
    assert asked - {_MEMBERS[claimant._context.fleet.self_id]} <= set(data_centres[:2])
    assert data_centres[0] in asked
    assert len(claimant._attempts[_KEY].groups) == 2


def test_grant_of_a_former_replica_revokes_its_denial(claimant):
    # Otherwise two claimants consider each other the holder until their deadlines.
    effects = _start(claimant, is_first=True)
    asked, epoch = _asked(effects), _epoch(effects)
    # This claimant has priority, so it waits for the other one to withdraw.
    other = next(name for name in _MEMBERS if claimant._has_priority(_KEY, name))
    claimant.on_grant(asked[0], Grant(_KEY, epoch, other), 1)
    claimant._context.fleet.members.pop(asked[0])
    claimant.tick(100)
    assert claimant._attempts[_KEY].denials() == [other]
    self_id = claimant._context.fleet.self_id
    claimant.on_grant(asked[0], Grant(_KEY, epoch, self_id), 101)
    assert claimant._attempts[_KEY].denials() == []
