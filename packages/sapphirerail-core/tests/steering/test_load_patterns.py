"""Load patterns, simulated without a network by bench/steering_load.py."""

import statistics

import pytest
from bench.steering_load import STRATEGIES, run_pattern

SEEDS = range(1, 9)


def mean_share_in_time(strategy, pattern):
    return statistics.mean(
        run_pattern(strategy, pattern, seed).share_in_time for seed in SEEDS
    )


@pytest.mark.parametrize(
    ("pattern", "share_min"),
    [
        # 0.993 when all instances selected the same server between two load reports.
        ("steady", 0.997),
        # 1.3 times the capacity of a data centre, with spare capacity in others.
        ("burst", 0.72),
        # Two of four servers leave at a load of 0.7 of the capacity.
        ("scale_in", 0.87),
        # Cold servers replace warm ones in turn: 0.961 before openings counted as load
        # and servers were sampled at random.
        ("release", 0.975),
        # One server is four times as slow.
        ("slow_server", 0.965),
    ],
)
def test_requests_are_answered_in_time_under(pattern, share_min):
    assert mean_share_in_time("drawn", pattern) >= share_min


@pytest.mark.parametrize("strategy", sorted(set(STRATEGIES) - {"drawn", "two_of_all"}))
@pytest.mark.parametrize("pattern", ["steady", "burst", "scale_in", "release"])
def test_no_alternative_that_prefers_local_servers_does_better(strategy, pattern):
    assert mean_share_in_time("drawn", pattern) > mean_share_in_time(strategy, pattern)


def test_few_requests_leave_a_data_centre_unnecessarily():
    remote_shares = [
        statistics.mean(
            run_pattern(strategy, "steady", seed).remote_share for seed in SEEDS
        )
        for strategy in ("drawn", "two_of_all")
    ]
    assert remote_shares[0] < remote_shares[1]


def test_nothing_is_refused_while_any_server_has_capacity():
    assert (
        sum(run_pattern("drawn", pattern).n_refused for pattern in ("burst", "release"))
        == 0
    )
