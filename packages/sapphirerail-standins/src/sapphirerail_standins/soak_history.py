"""What callers, servers and the operator saw during a soak."""

import msgspec

__all__ = [
    "Answered",
    "Disturbed",
    "FlowWasReset",
    "History",
    "Lost",
    "OpeningArrived",
    "Refused",
    "RequestRan",
    "RouteChanged",
    "ServerLeft",
    "DataCentreChanged",
]


class OpeningArrived(msgspec.Struct, frozen=True):
    """A server got an opening that it had not seen before."""

    at_ms: int
    server: str
    data_centre: str
    route_port: int
    instance_host: str


class RequestRan(msgspec.Struct, frozen=True):
    """A server ran a request."""

    at_ms: int
    server: str
    request: bytes


class Answered(msgspec.Struct, frozen=True):
    """A caller got an answer; `server` is the one that its flow opened at."""

    at_ms: int
    server: str
    request: bytes
    answer: bytes


class FlowWasReset(msgspec.Struct, frozen=True):
    """A caller's open flow was reset, by its server or by the system."""

    at_ms: int
    server: str
    route_port: int
    is_by_server: bool


class Lost(msgspec.Struct, frozen=True):
    """A caller's request or opening got no answer in time."""

    began_ms: int
    at_ms: int
    server: str | None


class Refused(msgspec.Struct, frozen=True):
    """An opening was refused."""

    began_ms: int
    at_ms: int


class ServerLeft(msgspec.Struct, frozen=True):
    """The store accepted that a server drains, or is ready again."""

    at_ms: int
    server: str
    is_draining: bool


class DataCentreChanged(msgspec.Struct, frozen=True):
    """The store accepted that a data centre is taken out, or back."""

    at_ms: int
    data_centre: str
    is_out: bool


class RouteChanged(msgspec.Struct, frozen=True):
    """The store accepted a configuration with or without a route."""

    at_ms: int
    route_port: int
    is_there: bool


class Disturbed(msgspec.Struct, frozen=True):
    """A fault had hold of something.

    Parameters
    ----------
    subject : str
        ``store``, a server or an instance.
    from_ms, until_ms : int
        When it began and when it was lifted.
    fault : str
        What it was.
    """

    subject: str
    from_ms: int
    until_ms: int
    fault: str


Event = (
    OpeningArrived
    | RequestRan
    | Answered
    | FlowWasReset
    | Lost
    | Refused
    | ServerLeft
    | DataCentreChanged
    | RouteChanged
    | Disturbed
)


class History:
    """All events of a run, in the order in which they were noted."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def note(self, event: Event) -> None:
        """Keep an event."""
        self.events.append(event)

    def of(self, kind: type[msgspec.Struct]) -> list:
        """Return the events of a kind."""
        return [event for event in self.events if isinstance(event, kind)]

    def disturbances(self, subject: str | None = None) -> list[Disturbed]:
        """Return the faults, all or those that had hold of one subject."""
        return [
            event
            for event in self.of(Disturbed)
            if subject is None or event.subject == subject
        ]

    def is_calm(self, from_ms: int, until_ms: int, subject: str | None = None) -> bool:
        """Return whether no fault had hold of a subject, or of any, in a span."""
        return not any(
            event.from_ms <= until_ms and event.until_ms >= from_ms
            for event in self.disturbances(subject)
        )
