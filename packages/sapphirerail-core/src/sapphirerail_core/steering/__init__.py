"""Stateless steering: each packet carries the tag of its backend server."""

from .actions import Action, Drop, Forward, Open, Reset
from .config import SteeringConfig
from .engine import Repeat, SteeringEngine
from .events import Belief, Event, Reason
from .peers import Peers
from .refresh import Refresh, RefreshConfig

__all__ = [
    "Action",
    "Belief",
    "Drop",
    "Event",
    "Forward",
    "Open",
    "Peers",
    "Reason",
    "Refresh",
    "RefreshConfig",
    "Repeat",
    "Reset",
    "SteeringConfig",
    "SteeringEngine",
]
