"""Requests while instances learn of each other at different times."""

import pytest
from bench.growing_fleet import fleet_start, mass_join

from sapphirerail_core.request import DispatcherConfig

SEEDS = range(8)
UNSETTLED = DispatcherConfig(view_settle_ms=0)


@pytest.mark.parametrize("scenario", [fleet_start, mass_join])
@pytest.mark.parametrize("seed", SEEDS)
def test_duplicated_request_runs_once(scenario, seed):
    result = scenario(seed)
    assert result.n_double_runs == 0
    assert result.n_false_refusals == 0
    assert result.n_without_outcome == 0
    assert result.n_answered > result.n_requests / 2


@pytest.mark.parametrize("scenario", [fleet_start, mass_join])
def test_duplicated_requests_run_twice_without_the_settling_time(scenario):
    assert sum(scenario(seed, UNSETTLED).n_double_runs for seed in SEEDS) > 0
