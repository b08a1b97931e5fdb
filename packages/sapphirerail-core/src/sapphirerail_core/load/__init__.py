"""Load control: concurrency limits, slow start and load shedding."""

from .config import LimitConfig
from .gate import ServerGate
from .limit import LimitState, ServerLimit
from .queue import AdmissionQueue, QueueItem

__all__ = [
    "AdmissionQueue",
    "LimitConfig",
    "LimitState",
    "QueueItem",
    "ServerGate",
    "ServerLimit",
]
