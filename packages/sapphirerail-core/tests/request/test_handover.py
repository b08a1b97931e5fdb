import random

import pytest

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.request.config import DispatcherConfig
from sapphirerail_core.request.context import Context
from sapphirerail_core.request.handover import ClaimTransfer, claim_handovers
from sapphirerail_core.request.keeper import ClaimKeeper
from sapphirerail_core.request.messages import Claim

SETTLE_MS = 2_000
MEMBERS = {f"osu-{name}": "osu" for name in "abcdef"} | {"tema-a": "tema"}
N_CLAIMS = 200


@pytest.fixture
def context():
    config = DispatcherConfig(view_settle_ms=SETTLE_MS)
    fleet = FixedFleet("osu-a", MEMBERS)
    return Context(config, fleet, None, Journal("osu-a"), random.Random(1))


@pytest.fixture
def keeper():
    keeper = ClaimKeeper(margin_ms=10_000, n_claims_max=10_000)
    for key in range(N_CLAIMS):
        keeper.claim("osu-b", Claim(key, remaining_ms=5_000, epoch=1), 0)
    return keeper


def _told(effects):
    return {e.key for effect in effects for e in effect.message.entries}


def _kept_by(context, name):
    n_keepers = context.config.n_keepers
    return {
        key
        for key in range(N_CLAIMS)
        if name in context.fleet.owners(key, n_keepers, "osu")
    }


def test_newcomer_is_told_the_claims_that_it_keeps_now(context, keeper):
    transfer = ClaimTransfer(context, keeper)
    transfer.on_joined("osu-f", 0)
    effects = transfer.tick(0)
    assert {effect.instance for effect in effects} == {"osu-f"}
    assert _told(effects) == _kept_by(context, "osu-f")
    assert 0 < len(_told(effects)) < N_CLAIMS


def test_newcomer_is_told_a_second_time_and_then_no_more(context, keeper):
    transfer = ClaimTransfer(context, keeper)
    transfer.on_joined("osu-f", 0)
    transfer.tick(0)
    assert transfer.tick(SETTLE_MS // 2 - 1) == []
    # Granted by those who did not know the newcomer yet.
    late = min(set(range(N_CLAIMS, 2 * N_CLAIMS)) & _later_keys(context, "osu-f"))
    keeper.claim("osu-b", Claim(late, remaining_ms=5_000, epoch=1), 500)
    assert late in _told(transfer.tick(SETTLE_MS // 2))
    assert transfer.tick(10 * SETTLE_MS) == []


def _later_keys(context, name):
    n_keepers = context.config.n_keepers
    keys = range(N_CLAIMS, 2 * N_CLAIMS)
    return {key for key in keys if name in context.fleet.owners(key, n_keepers, "osu")}


def test_newcomer_of_another_data_centre_is_told_nothing(context, keeper):
    transfer = ClaimTransfer(context, keeper)
    transfer.on_joined("tema-a", 0)
    assert transfer.tick(0) == []


def test_newcomer_that_died_again_is_told_nothing(context, keeper):
    transfer = ClaimTransfer(context, keeper)
    transfer.on_joined("osu-f", 0)
    transfer.on_lost("osu-f")
    assert transfer.tick(0) == []


def test_many_claims_are_told_in_slices(context):
    keeper = ClaimKeeper(margin_ms=10_000, n_claims_max=10_000)
    for key in range(2_500):
        keeper.claim("osu-b", Claim(key, remaining_ms=5_000, epoch=1), 0)
    transfer = ClaimTransfer(context, keeper)
    transfer.on_joined("osu-f", 0)
    slices = [_told(transfer.tick(20 * i)) for i in range(4)]
    assert [bool(told) for told in slices] == [True, True, True, False]
    assert not slices[0] & slices[1]


def test_leaving_keeper_tells_all_who_are_next(context, keeper):
    effects = claim_handovers(context, keeper.entries(0))
    assert _told(effects) == set(range(N_CLAIMS))
    assert "osu-a" not in {effect.instance for effect in effects}
