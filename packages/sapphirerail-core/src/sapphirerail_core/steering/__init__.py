"""Stateless steering: each packet carries the tag of its backend server."""

from .actions import Action, Drop, Forward, Open, Reset
from .config import SteeringConfig
from .engine import OpeningRetry, SteeringEngine
from .events import Event, Reason, StateChange
from .peers import Peers
from .refresh import Refresh, RefreshConfig

__all__ = [
    "Action",
    "Drop",
    "Event",
    "Forward",
    "Open",
    "OpeningRetry",
    "Peers",
    "Reason",
    "Refresh",
    "RefreshConfig",
    "Reset",
    "StateChange",
    "SteeringConfig",
    "SteeringEngine",
]
