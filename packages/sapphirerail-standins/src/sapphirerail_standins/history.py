"""Typed events that callers, backend servers and operators record."""

from enum import Enum

import msgspec

from sapphirerail_core.datagram import Kind, RefusalCode, Run
from sapphirerail_core.types import TrafficClass

__all__ = [
    "PLATFORM",
    "Answered",
    "Arrived",
    "ColdOverload",
    "Corrupted",
    "Event",
    "FlowEnded",
    "FlowEnding",
    "FlowOpened",
    "HistoryEvent",
    "InstanceStopped",
    "Misdelivered",
    "Partitioned",
    "PlanChanged",
    "Refused",
    "RevisionSeen",
    "RunEnded",
    "RunStarted",
    "Sent",
    "ServerFailed",
    "ServerPlaced",
    "SheetAccepted",
    "TimedOut",
    "merge_by_time",
]

PLATFORM = "platform"


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Something that happened at a time of the machine's monotonic clock."""

    at_ms: int


class Sent(Event, frozen=True, kw_only=True, tag=True):
    """A caller sent or retransmitted an opening or a request."""

    kind: Kind
    service: str
    flow: int
    request: int = 0
    attempt: int = 0
    idempotent: bool = False
    deadline_ms: int = 0


class Answered(Event, frozen=True, kw_only=True, tag=True):
    """A caller received a complete answer that belongs to its request."""

    flow: int
    request: int
    server: str


class Corrupted(Event, frozen=True, kw_only=True, tag=True):
    """A caller received a corrupted answer, or one that belongs to another request."""

    flow: int
    request: int
    detail: str


class Refused(Event, frozen=True, kw_only=True, tag=True):
    """A caller received a refusal of a request or of an opening."""

    flow: int
    request: int
    code: RefusalCode
    run: Run


class TimedOut(Event, frozen=True, kw_only=True, tag=True):
    """A caller received no complete answer by its deadline."""

    flow: int
    request: int


class Misdelivered(Event, frozen=True, kw_only=True, tag=True):
    """A caller received a datagram of an unknown flow or of the wrong service."""

    flow: int
    request: int
    detail: str


class FlowOpened(Event, frozen=True, kw_only=True, tag=True):
    """A caller's opening was acknowledged."""

    flow: int
    traffic_class: TrafficClass


class FlowEnding(Enum):
    """How a flow ended for its caller."""

    CLOSED = "closed"
    COMPLETE = "complete"
    UNRESPONSIVE = "silent"
    RESET = "reset"


class FlowEnded(Event, frozen=True, kw_only=True, tag=True):
    """A flow ended for its caller."""

    flow: int
    ending: FlowEnding
    code: RefusalCode = RefusalCode.NONE


class Arrived(Event, frozen=True, kw_only=True, tag=True):
    """A backend server received a datagram."""

    server: str
    served: str
    service: str
    kind: Kind
    flow: int
    request: int
    attempt: int
    is_new_work: bool


class RunStarted(Event, frozen=True, kw_only=True, tag=True):
    """A backend server started to run a request."""

    server: str
    flow: int
    request: int
    attempt: int
    idempotent: bool


class RunEnded(Event, frozen=True, kw_only=True, tag=True):
    """A backend server completed or abandoned the run of a request."""

    server: str
    flow: int
    request: int
    is_complete: bool


class ColdOverload(Event, frozen=True, kw_only=True, tag=True):
    """A cold backend server was overloaded and became unresponsive."""

    server: str
    n_in_flight: int
    n_bearable: int
    cold_since_ms: int
    is_announced: bool


class ServerPlaced(Event, frozen=True, kw_only=True, tag=True):
    """A backend server was started in a data centre."""

    server: str
    service: str
    data_centre: str


class ServerFailed(Event, frozen=True, kw_only=True, tag=True):
    """A backend server was made to fail by the test; its flows may be lost."""

    server: str


class InstanceStopped(Event, frozen=True, kw_only=True, tag=True):
    """An instance was stopped or killed."""

    instance: str
    is_planned: bool
    ended_ms: int
    exit_code: int = 0


class PlanChanged(Event, frozen=True, kw_only=True, tag=True):
    """An accepted line of a sheet changed a backend server or a data centre.

    Parameters
    ----------
    subject : str
        Name of the backend server or of the data centre.
    state : str
        Its new state: of a server ``entering``, ``active``, ``draining`` or
        ``left``; of a data centre ``in`` or ``out``.
    asked_ms : int
        When the sheet was submitted; the change may have taken effect at any time
        from then on.
    """

    subject: str
    state: str
    asked_ms: int


class RevisionSeen(Event, frozen=True, kw_only=True, tag=True):
    """A revision that an instance had applied, or that the store's root contained.

    Parameters
    ----------
    where : str
        Name of the instance, or `PLATFORM`.
    data_centre : str
        Data centre of the instance; empty for the platform.
    revision : int
        The revision.
    """

    where: str
    revision: int
    data_centre: str = ""


class SheetAccepted(Event, frozen=True, kw_only=True, tag=True):
    """The command reported lines of a sheet as accepted at a revision."""

    revision: int
    n_lines: int


class Partitioned(Event, frozen=True, kw_only=True, tag=True):
    """A data centre was partitioned, or reconnected if ``is_healed``."""

    data_centre: str
    is_healed: bool


HistoryEvent = (
    Sent
    | Answered
    | Corrupted
    | Refused
    | TimedOut
    | Misdelivered
    | FlowOpened
    | FlowEnded
    | Arrived
    | RunStarted
    | RunEnded
    | ColdOverload
    | ServerFailed
    | InstanceStopped
    | PlanChanged
    | RevisionSeen
    | ServerPlaced
    | SheetAccepted
    | Partitioned
)


def merge_by_time(*records: list[HistoryEvent]) -> list[HistoryEvent]:
    """Return the events of several records, sorted by time."""
    merged = [event for record in records for event in record]
    return sorted(merged, key=lambda event: event.at_ms)
