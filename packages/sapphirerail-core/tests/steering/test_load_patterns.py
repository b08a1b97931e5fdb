"""Patterns of load, played without a network by bench/steering_load.py."""

import statistics

import pytest
from bench.steering_load import WAYS, play

SEEDS = range(1, 9)


def in_aim(way, pattern):
    return statistics.mean(play(way, pattern, seed).in_aim for seed in SEEDS)


@pytest.mark.parametrize(
    ("pattern", "share_min"),
    [
        # All instances chose the same server between two reports of their loads: 0.993.
        ("steady", 0.997),
        # 1.3 times what a data centre runs, with room elsewhere.
        ("burst", 0.72),
        # Two of four servers leave at 0.7 of the capacity.
        ("scale_in", 0.87),
        # Cold servers in place of warm ones, one after the other: 0.961 before openings
        # counted as work and servers were drawn.
        ("release", 0.975),
        # One server takes four times as long.
        ("slow_server", 0.965),
    ],
)
def test_requests_are_answered_in_time_under(pattern, share_min):
    assert in_aim("drawn", pattern) >= share_min


@pytest.mark.parametrize("way", sorted(set(WAYS) - {"drawn", "two_of_all"}))
@pytest.mark.parametrize("pattern", ["steady", "burst", "scale_in", "release"])
def test_no_way_that_keeps_to_its_data_centre_as_well_does_better(way, pattern):
    assert in_aim("drawn", pattern) > in_aim(way, pattern)


def test_few_requests_leave_a_data_centre_without_need():
    far = [
        statistics.mean(play(way, "steady", seed).far for seed in SEEDS)
        for way in ("drawn", "two_of_all")
    ]
    assert far[0] < far[1]


def test_nothing_is_refused_while_any_server_has_room():
    assert (
        sum(play("drawn", pattern).n_refused for pattern in ("burst", "release")) == 0
    )
