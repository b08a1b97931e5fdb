import pytest

from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.mass_failure import MassFailure

CONFIG = FleetConfig()
N_LIVE = 60


def _after(n_failed, n_live=N_LIVE, now_ms=10_000):
    mass_failure = MassFailure(CONFIG)
    mass_failure.tick([10_000] * n_failed, n_live, now_ms)
    return mass_failure


@pytest.mark.parametrize(("n_failed", "is_in_progress"), [(18, False), (19, True)])
def test_mass_failure_lasts_until_no_more_failures_are_detected(
    n_failed, is_in_progress
):
    mass_failure = _after(n_failed)
    assert mass_failure.is_in_progress is is_in_progress
    quiet_ms = 10_000 + CONFIG.mass_quiet_ms
    mass_failure.tick([10_000] * n_failed, N_LIVE, quiet_ms)
    assert mass_failure.is_in_progress is is_in_progress
    mass_failure.tick([10_000] * n_failed, N_LIVE, quiet_ms + 1)
    assert not mass_failure.is_in_progress


def test_three_of_five_are_not_a_mass_failure():
    mass_failure = _after(3, n_live=2)
    assert not mass_failure.is_in_progress
    assert mass_failure.roles_from_ms(10_000, 11_000) == 11_000


def test_roles_of_a_single_failure_wait_for_updates_about_others():
    one = _after(1)
    assert one.roles_from_ms(10_000, 10_200) == 10_000 + CONFIG.mass_dissemination_ms
    assert one.roles_from_ms(10_000, 11_500) == 11_500


def test_roles_of_a_mass_failure_wait_longer():
    many = _after(2)
    assert many.roles_from_ms(10_000, 11_500) == 11_500 + CONFIG.mass_wait_ms
    assert many.roles_from_ms(20_000, 21_500) == 21_500
