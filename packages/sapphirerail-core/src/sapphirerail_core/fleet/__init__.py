"""The fleet: which instances are alive, and which of them own what."""

from .config import FleetConfig
from .listing import InstanceList, ListedInstance, ListedState
from .membership import Membership
from .view import FixedFleet, FleetView

__all__ = [
    "FixedFleet",
    "FleetConfig",
    "FleetView",
    "InstanceList",
    "ListedInstance",
    "ListedState",
    "Membership",
]
