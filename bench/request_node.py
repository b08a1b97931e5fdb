"""One simulated instance of `RequestWorld`, and the faults of its network."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sapphirerail_core.effects import Effect
from sapphirerail_core.request import Dispatcher
from sapphirerail_core.types import DataCentreId

from .lagging_fleet import LaggingFleet
from .reports_only import ReportsOnlyDispatcher
from .request_plan import RendezvousFlows

__all__ = ["Faults", "Node"]


@dataclass
class Faults:
    """Faults that the simulated network applies to messages and datagrams."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_max_ms: int = 3
    isolated_data_centres: set[DataCentreId] = field(default_factory=set)


@dataclass
class Node:
    """One instance: its dispatcher, its view of the fleet and its simulated state."""

    dispatcher: Dispatcher | ReportsOnlyDispatcher
    fleet: LaggingFleet
    data_centre: DataCentreId
    flows: RendezvousFlows
    started_at_ms: int
    last_contact_ms: int
    is_paused: bool = False
    is_stopped: bool = False
    is_leaving: bool = False
    inbox: list[Callable[[int], list[Effect]]] = field(default_factory=list)
