"""The fleet: which instances are alive, and which of them own what."""

from .view import FixedFleet, FleetView

__all__ = ["FixedFleet", "FleetView"]
