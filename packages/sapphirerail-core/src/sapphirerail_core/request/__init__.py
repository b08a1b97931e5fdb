"""Request handling: admission, deadlines, retries, duplicates and outcomes."""

from .config import DispatcherConfig
from .dispatcher import Dispatcher
from .outcome import Outcome, OutcomeKind
from .ports import FlowPort
from .status import DispatcherStatus

__all__ = [
    "Dispatcher",
    "DispatcherConfig",
    "DispatcherStatus",
    "FlowPort",
    "Outcome",
    "OutcomeKind",
]
