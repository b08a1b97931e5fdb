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

_PLACES = ("osu", "madina", "tema", "kaneshie")
_MEMBERS = {f"{place}-{name}": place for place in _PLACES for name in "abcd"}
_KEY = 4711
_DEADLINE_MS = 3_000


@pytest.fixture
def made():
    """Return a claimant that is a keeper of nothing that it claims."""
    config = DispatcherConfig(n_claims_open_max=2)
    plan = Plan(revision=1, data_centres={name: DataCentre(name) for name in _PLACES})
    home = claim_data_centres(plan, _KEY)[0]
    self_id = next(name for name, place in _MEMBERS.items() if place != home)
    fleet = FixedFleet(self_id, _MEMBERS)
    context = Context(
        config, fleet, None, Journal(self_id), random.Random(1), plan=plan
    )
    history = MembershipHistory(context, 0)
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
