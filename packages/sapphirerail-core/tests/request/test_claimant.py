import random

import pytest

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan import DataCentre, Plan
from sapphirerail_core.request.claimant import Claimant, ClaimDecision
from sapphirerail_core.request.config import DispatcherConfig
from sapphirerail_core.request.context import Context
from sapphirerail_core.request.history import MembershipHistory
from sapphirerail_core.request.keeper import ClaimKeeper
from sapphirerail_core.request.keys import claim_data_centres
from sapphirerail_core.request.messages import Claim, Grant, Withdraw
from sapphirerail_core.types import InstanceState

_PLACES = ("osu", "madina", "tema", "kaneshie")
_MEMBERS = {f"{place}-{name}": place for place in _PLACES for name in "abcd"}
_KEY = 4711
_DEADLINE_MS = 3_000


@pytest.fixture
def made():
    """Return a claimant that is a keeper of nothing that it claims."""
    # Long enough ago to know the fleet, too lately to know all open claims.
    return _made(started_at_ms=-3_000)


def _made(started_at_ms):
    config = DispatcherConfig(n_claims_open_max=2)
    plan = Plan(revision=1, data_centres={name: DataCentre(name) for name in _PLACES})
    home = claim_data_centres(plan, _KEY)[0]
    self_id = next(name for name, place in _MEMBERS.items() if place != home)
    fleet = FixedFleet(self_id, _MEMBERS)
    context = Context(
        config, fleet, None, Journal(self_id), random.Random(1), plan=plan
    )
    history = MembershipHistory(context, started_at_ms)
    return Claimant(context, ClaimKeeper(1_000, 10), history)


def _asked(effects):
    return [e.instance for e in effects if isinstance(e.message, Claim)]


def _places(names):
    return {_MEMBERS[name] for name in names}


def _epoch(effects):
    return next(e.message.epoch for e in effects if isinstance(e.message, Claim))


def _start(made, *, is_first=False, key=_KEY):
    return made.start(key, is_first, _DEADLINE_MS, 0)


def test_retransmission_asks_the_keepers_at_home_first(made):
    effects = _start(made)
    assert len(_places(_asked(effects))) == 1


def test_denial_at_home_ends_a_claim_without_asking_elsewhere(made):
    effects = _start(made)
    asked = _asked(effects)
    answer = Grant(_KEY, _epoch(effects), "tema-x")
    later = made.on_grant(asked[0], answer, 1)
    (result,) = made.take_decided()
    assert (result.decision, result.holder) == (ClaimDecision.HELD, "tema-x")
    assert not _asked(later)
    withdrawn = [e.instance for e in later if isinstance(e.message, Withdraw)]
    assert _places(withdrawn) == _places(asked)


def test_other_data_centres_are_asked_once_home_has_granted(made):
    effects = _start(made)
    epoch = _epoch(effects)
    self_id = made._context.fleet.self_id
    pending, widened = _asked(effects), []
    asked_at_home = _places(pending)
    while pending and not widened:
        later = made.on_grant(pending.pop(), Grant(_KEY, epoch, self_id), 1)
        widened = _asked(later)
    assert asked_at_home.isdisjoint(_places(widened))
    assert not made.take_decided()


def test_other_data_centres_are_asked_when_home_is_silent(made):
    first = _places(_asked(_start(made)))
    again = _places(_asked(made.tick(100)))
    assert len(again) > len(first)


def test_partly_silent_home_is_asked_again_alone(made):
    effects = _start(made)
    self_id = made._context.fleet.self_id
    asked = _asked(effects)
    made.on_grant(asked[0], Grant(_KEY, _epoch(effects), self_id), 1)
    assert _places(_asked(made.tick(100))) == _places(asked)


def test_too_many_open_claims_fail_at_once_without_a_message(made):
    _start(made, key=1)
    _start(made, key=2)
    assert _start(made, key=3) == []
    (result,) = made.take_decided()
    assert (result.key, result.decision) == (3, ClaimDecision.FAILED)


@pytest.mark.parametrize("is_first", [True, False])
def test_young_instance_asks_only_once_its_view_has_settled(is_first):
    made = _made(started_at_ms=0)
    assert _start(made, is_first=is_first) == []
    assert made.tick(1_999) == []
    assert _asked(made.tick(2_000))
    assert made.take_decided() == []


def test_claim_that_cannot_wait_for_the_view_fails():
    made = _made(started_at_ms=0)
    made.start(_KEY, True, 1_000, 0)
    made.tick(1_000)
    (result,) = made.take_decided()
    assert result.decision is ClaimDecision.FAILED


def test_keepers_of_before_a_join_must_grant_as_well(made):
    home = claim_data_centres(made._context.plan, _KEY)[0]
    keepers = made._context.fleet.owners(_KEY, 4, home)
    newcomers = keepers[:3]
    for name in newcomers:
        made._history.on_state(name, InstanceState.ALIVE, 0)
    effects = _start(made, is_first=True)
    self_id, epoch = made._context.fleet.self_id, _epoch(effects)
    assert keepers[3] in _asked(effects)
    for name in newcomers:
        made.on_grant(name, Grant(_KEY, epoch, self_id), 1)
    assert made.take_decided() == []
    made.on_grant(keepers[3], Grant(_KEY, epoch, self_id), 1)
    (result,) = made.take_decided()
    assert result.decision is ClaimDecision.OWNED


def test_home_that_just_appeared_does_not_do_without_the_one_before(made):
    places = claim_data_centres(made._context.plan, _KEY)
    for name in made._context.fleet.live(places[0]):
        made._history.on_state(name, InstanceState.ALIVE, 0)
    asked = _places(_asked(_start(made, is_first=True)))
    assert asked - {_MEMBERS[made._context.fleet.self_id]} <= set(places[:2])
    assert places[0] in asked
    assert len(made._attempts[_KEY].panels) == 2


def test_denial_is_taken_back_by_a_keeper_that_is_none_any_longer(made):
    # Two claimants took each other for the holder until their deadlines.
    effects = _start(made, is_first=True)
    asked, epoch = _asked(effects), _epoch(effects)
    # The other claimant gives way, so this one waits for it to withdraw.
    other = next(name for name in _MEMBERS if made._goes_first(_KEY, name))
    made.on_grant(asked[0], Grant(_KEY, epoch, other), 1)
    made._context.fleet.members.pop(asked[0])
    made.tick(100)
    assert made._attempts[_KEY].denials() == [other]
    self_id = made._context.fleet.self_id
    made.on_grant(asked[0], Grant(_KEY, epoch, self_id), 101)
    assert made._attempts[_KEY].denials() == []
