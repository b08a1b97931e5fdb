import pytest

from sapphirerail_core.types import InstanceId
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import DATA_CENTRES, first_plan


@pytest.fixture
def fleet() -> FlowFleet:
    """Return a fleet of fourteen instances that have applied the first plan."""
    places = {InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(14)}
    fleet = FlowFleet(places)
    fleet.set_plan(first_plan())
    return fleet
