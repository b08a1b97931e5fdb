"""Load control: concurrency limits, slow start and load shedding."""

from .config import LimitConfig
from .gate import ServerGate
from .limit import ConcurrencyLimit, LimitState
from .queue import AdmissionQueue, QueueItem

__all__ = [
    "AdmissionQueue",
    "ConcurrencyLimit",
    "LimitConfig",
    "LimitState",
    "QueueItem",
    "ServerGate",
]
