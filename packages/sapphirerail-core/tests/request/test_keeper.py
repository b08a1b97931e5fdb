from sapphirerail_core.request.keeper import NOBODY, ClaimKeeper
from sapphirerail_core.request.messages import Claim, Withdraw


def keeper(n_claims_max=10):
    return ClaimKeeper(margin_ms=1_000, n_claims_max=n_claims_max)


def test_the_same_attempt_is_granted_again_after_a_lost_grant():
    kept = keeper()
    claim = Claim(7, 500, epoch=1)
    assert kept.claim("a", claim, 0).holder == "a"
    assert kept.claim("a", claim, 10).holder == "a"


def test_a_restarted_holder_is_granted_nothing():
    kept = keeper()
    kept.claim("a", Claim(7, 500, epoch=1), 0)
    assert kept.claim("a", Claim(7, 500, epoch=2), 10).holder == NOBODY


def test_a_late_withdrawal_of_an_earlier_attempt_changes_nothing():
    kept = keeper()
    kept.claim("a", Claim(7, 500, epoch=2), 0)
    kept.withdraw("a", Withdraw(7, epoch=1))
    assert kept.claim("b", Claim(7, 500, epoch=3), 1).holder == "a"


def test_a_withdrawn_claim_is_free():
    kept = keeper()
    kept.claim("a", Claim(7, 500, epoch=2), 0)
    kept.withdraw("a", Withdraw(7, epoch=2))
    assert kept.claim("b", Claim(7, 500, epoch=3), 1).holder == "b"


def test_a_full_memory_grants_nothing_new():
    kept = keeper(n_claims_max=1)
    kept.claim("a", Claim(7, 500, epoch=1), 0)
    assert kept.claim("a", Claim(8, 500, epoch=1), 0).holder == NOBODY


def test_claims_are_remembered_beyond_the_deadline_while_anybody_asks():
    kept = keeper()
    kept.claim("a", Claim(7, 500, epoch=1), 0)
    kept.claim("b", Claim(7, 500, epoch=2), 1_400)
    kept.forget_expired(1_600)
    assert kept.claim("b", Claim(7, 500, epoch=3), 1_600).holder == "a"
    kept.forget_expired(10_000)
    assert len(kept) == 0


def test_handed_over_claims_do_not_replace_own_ones():
    old, new = keeper(), keeper()
    old.claim("a", Claim(7, 500, epoch=1), 0)
    new.claim("b", Claim(7, 500, epoch=2), 0)
    for entry in old.entries(0):
        new.restore(entry, 0)
    assert new.claim("a", Claim(7, 500, epoch=1), 1).holder == "b"
