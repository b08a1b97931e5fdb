"""A broken promise with the events that led to it."""

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

__all__ = ["Limits", "Violation", "of_flow", "with_surroundings"]

TRACE_LINES = 40
SURROUNDINGS = (PlanChanged, InstanceStopped, ServerFailed, Partitioned)


@dataclass(frozen=True)
class Limits:
    """Times that the promises leave open.

    Parameters
    ----------
    few_seconds_ms : int
        Time after which a data centre that is out gets no more packets, and a
        leaving backend server no new work.
    in_force_ms : int
        Time after which an accepted line is in force everywhere.
    cold_notice_ms : int
        Time in which an unannounced cold start has to be noticed; one overload
        within it can't be avoided.
    """

    few_seconds_ms: int = 5000
    in_force_ms: int = 4000
    cold_notice_ms: int = 3000


@dataclass(frozen=True)
class Violation:
    """A promise that was not kept.

    Parameters
    ----------
    name : str
        Name of the check.
    detail : str
        What was seen.
    trace : tuple of HistoryEvent
        The events that led to it, in order of time.
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


def of_flow(events: Iterable[HistoryEvent], flow: int) -> list[HistoryEvent]:
    """Return the events of a flow."""
    return [event for event in events if getattr(event, "flow", None) == flow]


def with_surroundings(
    events: Sequence[HistoryEvent], about: Sequence[HistoryEvent]
) -> tuple[HistoryEvent, ...]:
    """Return events with the changes and faults that came before their end."""
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
    """Return whether an arrival is one of many parts of an upload."""
    return isinstance(event, Arrived) and event.kind.name == "DATA"
