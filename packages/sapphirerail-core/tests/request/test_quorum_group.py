from itertools import combinations

import pytest

from sapphirerail_core.request.quorum_group import (
    QuorumGroup,
    n_missing_allowed,
    quorum_first,
    quorum_retransmission,
)

N_REPLICAS = 4


def subsets(names, n_names):
    return [set(chosen) for chosen in combinations(names, n_names)]


@pytest.mark.parametrize("n_members", [1, 2, 3, 4])
def test_two_first_quorums_of_one_view_intersect(n_members):
    quorums = subsets(range(n_members), quorum_first(n_members))
    assert all(one & other for one in quorums for other in quorums)


def test_quorums_of_four_whose_views_differ_by_one_intersect():
    ours = subsets((1, 2, 3, 4), quorum_first(4))
    theirs = subsets((0, 1, 2, 3), quorum_first(4))
    assert all(one & other for one in ours for other in theirs)


@pytest.mark.parametrize("n_members", [1, 2, 3, 4, 5])
def test_a_retransmission_finds_the_claim_whichever_replicas_failed(n_members):
    members = range(n_members)
    first_replicas = members[:N_REPLICAS]
    for n_failed in range(n_members):
        for failed in subsets(members, n_failed):
            check_claim_is_found(set(members), set(first_replicas), failed)


def check_claim_is_found(members, first_replicas, failed):
    live = members - failed
    n_failed_replicas = len(first_replicas & failed)
    n_missing = n_missing_allowed(len(live), n_failed_replicas, N_REPLICAS)
    for storing in subsets(first_replicas, quorum_first(len(first_replicas))):
        if n_missing < 0:
            continue
        for responding in subsets(live, max(0, len(live) - n_missing)):
            assert responding & storing


def test_all_replicas_that_stored_the_claim_may_have_failed():
    assert n_missing_allowed(1, 2, N_REPLICAS) < 0


def test_incomplete_history_requires_grants_of_nearly_all():
    assert [quorum_retransmission(n) for n in (1, 2, 3, 4, 8)] == [1, 2, 3, 3, 7]


def test_grants_of_new_replicas_do_not_count_as_established():
    group = QuorumGroup("dc", ("a", "b", "c", "d"), 3, {"a", "b"}, 2)
    group.grants = {"a", "c", "d"}
    assert not group.has_quorum()
    group.grants.add("b")
    assert group.has_quorum()


def test_a_group_without_replicas_never_has_a_quorum():
    assert not QuorumGroup("dc", (), 0).has_quorum()
