"""Violations of invariants, with the events that led to them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .history import (
    Arrived,
    HistoryEvent,
    InstanceStopped,
    Partitioned,
    PlanChanged,
    ServerFailed,
)

__all__ = ["Limits", "Violation", "events_of_flow", "with_context"]

TRACE_LINES = 40
SURROUNDINGS = (PlanChanged, InstanceStopped, ServerFailed, Partitioned)


@dataclass(frozen=True)
class Limits:
    """Time limits of the invariants.

    Parameters
    ----------
    traffic_stop_ms : int
        Time after which an evacuated data centre receives no more packets and a
        leaving backend server no new work.
    in_force_ms : int
        Time after which an accepted sheet line is in force on all instances.
    cold_notice_ms : int
        Time within which an unannounced cold start must be detected; one overload
        within it is unavoidable.
    """

    traffic_stop_ms: int = 5000
    in_force_ms: int = 4000
    cold_notice_ms: int = 3000


@dataclass(frozen=True)
class Violation:
    """A violated invariant.

    Parameters
    ----------
    name : str
        Name of the check.
    detail : str
        What was observed.
    trace : tuple of HistoryEvent
        The events that led to it, in chronological order.
    """

    name: str
    detail: str
    trace: tuple[HistoryEvent, ...]

    def __str__(self) -> str:
        lines = [f"{self.name}: {self.detail}"]
        first_ms = self.trace[0].at_ms if self.trace else 0
        for event in self.trace[-TRACE_LINES:]:
            lines.append(f"  +{event.at_ms - first_ms} ms  {event}")
        return "\n".join(lines)


def events_of_flow(events: Iterable[HistoryEvent], flow: int) -> list[HistoryEvent]:
    """Return the events of a flow."""
    return [event for event in events if getattr(event, "flow", None) == flow]


def with_context(
    events: Sequence[HistoryEvent], about: Sequence[HistoryEvent]
) -> tuple[HistoryEvent, ...]:
    """Return events together with all changes and faults up to the last of them."""
    if not about:
        return ()
    end_ms = max(event.at_ms for event in about)
    changes = [
        event
        for event in events
        if isinstance(event, SURROUNDINGS) and event.at_ms <= end_ms
    ]
    chosen = [event for event in about if not _is_noise(event)]
    return tuple(sorted(chosen + changes, key=lambda event: event.at_ms))


def _is_noise(event: HistoryEvent) -> bool:
    """Return whether an event is the arrival of one of many parts of an upload."""
    return isinstance(event, Arrived) and event.kind.name == "DATA"
