import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.mass_failure import MassFailure

CONFIG = FleetConfig()
N_LIVE = 60


def _after(n_dead, n_live=N_LIVE, now_ms=10_000):
    mass_failure = MassFailure(CONFIG)
    mass_failure.tick([10_000] * n_dead, n_live, now_ms)
    return mass_failure


@pytest.mark.parametrize(("n_dead", "counts"), [(18, False), (19, True)])
def test_a_quarter_lost_is_counted_until_no_more_deaths_come(n_dead, counts):
    mass_failure = _after(n_dead)
    assert mass_failure.is_counting is counts
    quiet_ms = 10_000 + CONFIG.mass_quiet_ms
    mass_failure.tick([10_000] * n_dead, N_LIVE, quiet_ms)
    assert mass_failure.is_counting is counts
    mass_failure.tick([10_000] * n_dead, N_LIVE, quiet_ms + 1)
    assert not mass_failure.is_counting


def test_three_of_five_are_not_counted_as_a_large_loss():
    mass_failure = _after(3, n_live=2)
    assert not mass_failure.is_counting
    assert mass_failure.roles_from_ms(10_000, 11_000) == 11_000


def test_roles_of_one_rest_until_news_of_others_would_have_come():
    one = _after(1)
    assert one.roles_from_ms(10_000, 10_200) == 10_000 + CONFIG.mass_dissemination_ms
    assert one.roles_from_ms(10_000, 11_500) == 11_500


def test_roles_of_many_rest_for_longer():
    many = _after(2)
    assert many.roles_from_ms(10_000, 11_500) == 11_500 + CONFIG.mass_wait_ms
    assert many.roles_from_ms(20_000, 21_500) == 21_500
