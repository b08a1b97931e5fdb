from itertools import combinations

import pytest

from sapphirerail_core.request.panel import (
    Panel,
    n_missing_allowed,
    quorum_first,
    quorum_retransmission,
)

N_KEEPERS = 4


def subsets(names, n_names):
    return [set(chosen) for chosen in combinations(names, n_names)]


@pytest.mark.parametrize("n_members", [1, 2, 3, 4])
def test_two_first_quorums_of_one_view_meet(n_members):
    quorums = subsets(range(n_members), quorum_first(n_members))
    assert all(one & other for one in quorums for other in quorums)


def test_quorums_of_four_whose_views_differ_by_one_meet():
    ours = subsets((1, 2, 3, 4), quorum_first(4))
    theirs = subsets((0, 1, 2, 3), quorum_first(4))
    assert all(one & other for one in ours for other in theirs)


@pytest.mark.parametrize("n_members", [1, 2, 3, 4, 5])
def test_a_retransmission_hears_of_the_claim_whoever_died(n_members):
    members = range(n_members)
    first_panel = members[:N_KEEPERS]
    for n_dead in range(n_members):
        for dead in subsets(members, n_dead):
            check_heard(set(members), set(first_panel), dead)


def check_heard(members, first_panel, dead):
    live = members - dead
    n_dead_keepers = len(first_panel & dead)
    n_missing = n_missing_allowed(len(live), n_dead_keepers, N_KEEPERS)
    for knowing in subsets(first_panel, quorum_first(len(first_panel))):
        if n_missing < 0:
            continue
        for heard in subsets(live, max(0, len(live) - n_missing)):
            assert heard & knowing


def test_all_who_knew_may_be_dead():
    assert n_missing_allowed(1, 2, N_KEEPERS) < 0


def test_little_known_fleets_ask_nearly_all():
    assert [quorum_retransmission(n) for n in (1, 2, 3, 4, 8)] == [1, 2, 3, 3, 7]


def test_grants_of_newcomers_do_not_count_as_seasoned():
    panel = Panel("dc", ("a", "b", "c", "d"), 3, {"a", "b"}, 2)
    panel.grants = {"a", "c", "d"}
    assert not panel.has_quorum()
    panel.grants.add("b")
    assert panel.has_quorum()


def test_a_panel_without_keepers_never_has_a_quorum():
    assert not Panel("dc", (), 0).has_quorum()
