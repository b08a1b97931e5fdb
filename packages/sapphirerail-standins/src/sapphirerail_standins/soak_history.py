"""Events that callers, servers and the operator record during a soak test."""

import msgspec

__all__ = [
    "Answered",
    "DataCentreChanged",
    "FaultInterval",
    "FlowReset",
    "History",
    "OpeningArrived",
    "Refused",
    "RequestExecuted",
    "RouteChanged",
    "ServerDrainChanged",
    "TimedOut",
]


class OpeningArrived(msgspec.Struct, frozen=True):
    """A server received an opening, possibly a retransmitted one."""

    at_ms: int
    server: str
    data_centre: str
    route_port: int
    instance_host: str


class RequestExecuted(msgspec.Struct, frozen=True):
    """A server ran a request."""

    at_ms: int
    server: str
    request: bytes


class Answered(msgspec.Struct, frozen=True):
    """A caller received an answer; `server` is the one its flow was opened at."""

    at_ms: int
    server: str
    request: bytes
    answer: bytes


class FlowReset(msgspec.Struct, frozen=True):
    """A caller's open flow was reset, by its server or by an instance."""

    at_ms: int
    server: str
    route_port: int
    is_by_server: bool


class TimedOut(msgspec.Struct, frozen=True):
    """A caller's request or opening got no answer in time."""

    began_ms: int
    at_ms: int
    server: str | None


class Refused(msgspec.Struct, frozen=True):
    """An opening was refused."""

    began_ms: int
    at_ms: int


class ServerDrainChanged(msgspec.Struct, frozen=True):
    """The store accepted that a server drains or is ready again."""

    at_ms: int
    server: str
    is_draining: bool


class DataCentreChanged(msgspec.Struct, frozen=True):
    """The store accepted that a data centre is evacuated or back in service."""

    at_ms: int
    data_centre: str
    is_evacuated: bool


class RouteChanged(msgspec.Struct, frozen=True):
    """The store accepted a configuration with or without a route."""

    at_ms: int
    route_port: int
    is_present: bool


class FaultInterval(msgspec.Struct, frozen=True):
    """The interval in which a fault affected a subject.

    Parameters
    ----------
    subject : str
        ``store``, a server's name or an instance's host.
    from_ms, until_ms : int
        When the fault began and ended.
    fault : str
        Description of the fault.
    """

    subject: str
    from_ms: int
    until_ms: int
    fault: str


Event = (
    OpeningArrived
    | RequestExecuted
    | Answered
    | FlowReset
    | TimedOut
    | Refused
    | ServerDrainChanged
    | DataCentreChanged
    | RouteChanged
    | FaultInterval
)


class History:
    """All events of a run in the order of recording."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def record(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)

    def of_type(self, kind: type[msgspec.Struct]) -> list:
        """Return the events of a type."""
        return [event for event in self.events if isinstance(event, kind)]

    def fault_intervals(self, subject: str | None = None) -> list[FaultInterval]:
        """Return the fault intervals, all or those of one subject."""
        return [
            event
            for event in self.of_type(FaultInterval)
            if subject is None or event.subject == subject
        ]

    def is_fault_free(
        self, from_ms: int, until_ms: int, subject: str | None = None
    ) -> bool:
        """Return whether no fault affected a subject, or any, during an interval."""
        return not any(
            event.from_ms <= until_ms and event.until_ms >= from_ms
            for event in self.fault_intervals(subject)
        )
