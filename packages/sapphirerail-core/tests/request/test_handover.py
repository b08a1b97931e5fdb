import random

import pytest

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.request.claim_replica import ClaimReplica
from sapphirerail_core.request.config import DispatcherConfig
from sapphirerail_core.request.context import Context
from sapphirerail_core.request.handover import ClaimTransfer, claim_handovers
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
def replica():
    replica = ClaimReplica(margin_ms=10_000, n_claims_max=10_000)
    for key in range(N_CLAIMS):
        replica.claim("osu-b", Claim(key, remaining_ms=5_000, epoch=1), 0)
    return replica


def _sent_keys(effects):
    return {e.key for effect in effects for e in effect.message.entries}


def _keys_of_replica(context, name):
    n_replicas = context.config.n_claim_replicas
    return {
        key
        for key in range(N_CLAIMS)
        if name in context.fleet.owners(key, n_replicas, "osu")
    }


def test_new_replica_is_sent_its_claims(context, replica):
    transfer = ClaimTransfer(context, replica)
    transfer.on_joined("osu-f", 0)
    effects = transfer.tick(0)
    assert {effect.instance for effect in effects} == {"osu-f"}
    assert _sent_keys(effects) == _keys_of_replica(context, "osu-f")
    assert 0 < len(_sent_keys(effects)) < N_CLAIMS


def test_new_replica_is_sent_its_claims_exactly_twice(context, replica):
    transfer = ClaimTransfer(context, replica)
    transfer.on_joined("osu-f", 0)
    transfer.tick(0)
    assert transfer.tick(SETTLE_MS // 2 - 1) == []
    # Granted by replicas that did not know the new instance yet.
    late = min(set(range(N_CLAIMS, 2 * N_CLAIMS)) & _later_keys(context, "osu-f"))
    replica.claim("osu-b", Claim(late, remaining_ms=5_000, epoch=1), 500)
    assert late in _sent_keys(transfer.tick(SETTLE_MS // 2))
    assert transfer.tick(10 * SETTLE_MS) == []


def _later_keys(context, name):
    n_replicas = context.config.n_claim_replicas
    keys = range(N_CLAIMS, 2 * N_CLAIMS)
    return {key for key in keys if name in context.fleet.owners(key, n_replicas, "osu")}


def test_new_instance_in_another_data_centre_is_sent_no_claims(context, replica):
    transfer = ClaimTransfer(context, replica)
    transfer.on_joined("tema-a", 0)
    assert transfer.tick(0) == []


def test_new_instance_that_failed_is_sent_no_claims(context, replica):
    transfer = ClaimTransfer(context, replica)
    transfer.on_joined("osu-f", 0)
    transfer.on_departed("osu-f")
    assert transfer.tick(0) == []


def test_many_claims_are_sent_in_batches(context):
    replica = ClaimReplica(margin_ms=10_000, n_claims_max=10_000)
    for key in range(2_500):
        replica.claim("osu-b", Claim(key, remaining_ms=5_000, epoch=1), 0)
    transfer = ClaimTransfer(context, replica)
    transfer.on_joined("osu-f", 0)
    batches = [_sent_keys(transfer.tick(20 * i)) for i in range(4)]
    assert [bool(sent) for sent in batches] == [True, True, True, False]
    assert not batches[0] & batches[1]


def test_leaving_replica_hands_over_all_claims(context, replica):
    effects = claim_handovers(context, replica.entries(0))
    assert _sent_keys(effects) == set(range(N_CLAIMS))
    assert "osu-a" not in {effect.instance for effect in effects}
