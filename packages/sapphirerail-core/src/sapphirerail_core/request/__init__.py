"""Requests: outcome, deadline, retry and duplicates."""

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
