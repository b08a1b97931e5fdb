"""Short runs of the randomized soak; by hand: ``sapphirerail_standins.soak``."""

import asyncio

import pytest

from sapphirerail_standins.soak import soak

# Seeds for each run of CI.
SHORT_SEEDS = (2, 3)
FAULTS_S = 6.0


@pytest.mark.parametrize("seed", SHORT_SEEDS)
def test_random_faults_break_no_promise(seed):
    result = asyncio.run(soak(seed, faults_s=FAULTS_S))
    assert result.broken == [], result.faults
    assert result.n_answers > 500
