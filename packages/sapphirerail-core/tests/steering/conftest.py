import pytest

from sapphirerail_standins.steering_fleet import SteeringFleet, server_entry


@pytest.fixture
def fleet() -> SteeringFleet:
    """Return a fleet of one instance and three servers of one service."""
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(*(server_entry(number) for number in (1, 2, 3)))
    return fleet
