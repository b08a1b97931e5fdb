"""One instance of the virtual world of requests, and the faults of its network."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sapphirerail_core.effects import Effect
from sapphirerail_core.request import Dispatcher
from sapphirerail_core.types import DataCentreId

from .lagging_fleet import LaggingFleet
from .reports_only import ReportsOnlyDispatcher
from .request_plan import Flows

__all__ = ["Faults", "Node"]


@dataclass
class Faults:
    """What the network does to messages and datagrams."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_max_ms: int = 3
    cut: set[DataCentreId] = field(default_factory=set)


@dataclass
class Node:
    """One instance and what the world does to it."""

    dispatcher: Dispatcher | ReportsOnlyDispatcher
    fleet: LaggingFleet
    place: DataCentreId
    flows: Flows
    started_at_ms: int
    heard_at_ms: int
    is_paused: bool = False
    is_dead: bool = False
    is_leaving: bool = False
    inbox: list[Callable[[int], list[Effect]]] = field(default_factory=list)
