from sapphirerail_core.request.claim_replica import NO_INSTANCE, ClaimReplica
from sapphirerail_core.request.messages import Claim, Withdraw


def make_replica(n_claims_max=10):
    return ClaimReplica(margin_ms=1_000, n_claims_max=n_claims_max)


def test_the_same_attempt_is_granted_again_after_a_lost_grant():
    replica = make_replica()
    claim = Claim(7, 500, epoch=1)
    assert replica.claim("a", claim, 0).holder == "a"
    assert replica.claim("a", claim, 10).holder == "a"


def test_a_restarted_holder_is_granted_nothing():
    replica = make_replica()
    replica.claim("a", Claim(7, 500, epoch=1), 0)
    assert replica.claim("a", Claim(7, 500, epoch=2), 10).holder == NO_INSTANCE


def test_a_late_withdrawal_of_an_earlier_attempt_changes_nothing():
    replica = make_replica()
    replica.claim("a", Claim(7, 500, epoch=2), 0)
    replica.withdraw("a", Withdraw(7, epoch=1))
    assert replica.claim("b", Claim(7, 500, epoch=3), 1).holder == "a"


def test_a_withdrawn_claim_is_free():
    replica = make_replica()
    replica.claim("a", Claim(7, 500, epoch=2), 0)
    replica.withdraw("a", Withdraw(7, epoch=2))
    assert replica.claim("b", Claim(7, 500, epoch=3), 1).holder == "b"


def test_a_full_replica_grants_no_further_claims():
    replica = make_replica(n_claims_max=1)
    replica.claim("a", Claim(7, 500, epoch=1), 0)
    assert replica.claim("a", Claim(8, 500, epoch=1), 0).holder == NO_INSTANCE


def test_claims_are_stored_beyond_the_deadline_while_attempts_continue():
    replica = make_replica()
    replica.claim("a", Claim(7, 500, epoch=1), 0)
    replica.claim("b", Claim(7, 500, epoch=2), 1_400)
    replica.drop_expired(1_600)
    assert replica.claim("b", Claim(7, 500, epoch=3), 1_600).holder == "a"
    replica.drop_expired(10_000)
    assert len(replica) == 0


def test_handed_over_claims_do_not_replace_local_ones():
    old, new = make_replica(), make_replica()
    old.claim("a", Claim(7, 500, epoch=1), 0)
    new.claim("b", Claim(7, 500, epoch=2), 0)
    for entry in old.entries(0):
        new.restore(entry, 0)
    assert new.claim("a", Claim(7, 500, epoch=1), 1).holder == "b"
