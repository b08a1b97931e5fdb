"""State shared by the components of the dispatcher."""

import random
from dataclasses import dataclass

from ..fleet.view import FleetView
from ..journal import Journal
from ..plan.model import EMPTY_PLAN, Plan
from .config import DispatcherConfig
from .ports import FlowPort

__all__ = ["Context"]


@dataclass(slots=True)
class Context:
    """Settings, collaborators and the plan in force.

    `resumed_at_ms` is when this instance last resumed after a pause of its process.
    """

    config: DispatcherConfig
    fleet: FleetView
    flows: FlowPort
    journal: Journal
    random_state: random.Random
    plan: Plan = EMPTY_PLAN
    is_draining: bool = False
    resumed_at_ms: int | None = None
