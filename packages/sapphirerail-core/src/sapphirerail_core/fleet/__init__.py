"""Fleet membership: failure detection, gossip, peer leases and key ownership."""

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
