"""Invariants of a soak test, checked on the history of the system's users."""

from collections import Counter
from collections.abc import Callable, Iterator

from .soak_history import (
    Answered,
    DataCentreChanged,
    FlowReset,
    History,
    OpeningArrived,
    Refused,
    RequestExecuted,
    RouteChanged,
    ServerDrainChanged,
    TimedOut,
)

__all__ = ["CHECKS", "find_violations"]

# The users' time limits: recovery after a fault, and the effect of draining a server,
# evacuating a data centre and removing a route.
CONTACT_MS = 4_000
DRAIN_MS = 3_000
EVACUATE_MS = 5_000
CONFIGURE_MS = 3_000

Check = Callable[[History], Iterator[str]]


def own_answers(history: History) -> Iterator[str]:
    """Yield answers that are not the whole answer to the caller's own request."""
    for event in history.of_type(Answered):
        expected = event.server.encode() + b":" + event.request
        if event.answer != expected:
            yield f"{event.at_ms}: answer {event.answer!r}, expected {expected!r}"


def at_most_once(history: History) -> Iterator[str]:
    """Yield requests that ran more than once."""
    runs = Counter(event.request for event in history.of_type(RequestExecuted))
    for request, n_runs in runs.items():
        if n_runs > 1:
            yield f"{request!r} ran {n_runs} times"


def open_flows(history: History) -> Iterator[str]:
    """Yield flows that were reset though no fault affected their server."""
    for event in history.of_type(FlowReset):
        since_ms = event.at_ms - CONTACT_MS
        if event.is_by_server:
            is_violation = history.is_fault_free(0, event.at_ms, event.server)
        else:
            is_violation = history.is_fault_free(
                since_ms, event.at_ms, event.server
            ) and not _was_removed(history, event)
        if is_violation:
            yield f"{event.at_ms}: a flow of {event.server} was reset ({event})"


def _was_removed(history: History, reset: FlowReset) -> bool:
    """Return whether a flow's route is removed, or was within the contact time."""
    changes = [
        event
        for event in history.of_type(RouteChanged)
        if event.route_port == reset.route_port and event.at_ms <= reset.at_ms
    ]
    recent = [e for e in changes if e.at_ms >= reset.at_ms - CONTACT_MS]
    return any(not event.is_present for event in (*changes[-1:], *recent))


def draining_servers(history: History) -> Iterator[str]:
    """Yield openings that reached a server too long after it began to drain."""
    left = [
        (e.at_ms, e.server, e.is_draining) for e in history.of_type(ServerDrainChanged)
    ]
    yield from _late_openings(history, left, lambda e: e.server, DRAIN_MS)


def data_centres_out(history: History) -> Iterator[str]:
    """Yield openings that reached a data centre too long after its evacuation."""
    out = [
        (e.at_ms, e.data_centre, e.is_evacuated)
        for e in history.of_type(DataCentreChanged)
    ]
    yield from _late_openings(history, out, lambda e: e.data_centre, EVACUATE_MS)


def removed_routes(history: History) -> Iterator[str]:
    """Yield openings over a route too long after its removal."""
    removed = [
        (e.at_ms, str(e.route_port), not e.is_present)
        for e in history.of_type(RouteChanged)
    ]
    yield from _late_openings(
        history, removed, lambda e: str(e.route_port), CONFIGURE_MS
    )


def _late_openings(
    history: History,
    changes: list[tuple[int, str, bool]],
    subject_of: Callable[[OpeningArrived], str],
    limit_ms: int,
) -> Iterator[str]:
    """Yield openings for a subject that was out of service for too long.

    Parameters
    ----------
    history : History
        All events.
    changes : list of tuple
        Time, subject, and whether it went out of service or came back.
    subject_of : callable
        Returns the subject of an opening.
    limit_ms : int
        Time after which openings must have stopped.
    """
    for event in history.of_type(OpeningArrived):
        subject = subject_of(event)
        last = [c for c in changes if c[1] == subject and c[0] <= event.at_ms][-1:]
        for at_ms, _, is_out_of_service in last:
            is_late = is_out_of_service and event.at_ms - at_ms > limit_ms
            if is_late and _was_connected(history, at_ms - CONTACT_MS, event):
                yield f"{event}, {event.at_ms - at_ms} ms after the end of {subject}"


def _was_connected(history: History, since_ms: int, event: OpeningArrived) -> bool:
    """Return whether no fault affected the instance or the store since a time."""
    return history.is_fault_free(
        since_ms, event.at_ms, "store"
    ) and history.is_fault_free(since_ms, event.at_ms, event.instance_host)


def calm_service(history: History) -> Iterator[str]:
    """Yield requests that were not served though no fault was active recently."""
    for event in history.of_type(TimedOut) + history.of_type(Refused):
        if history.is_fault_free(event.began_ms - CONTACT_MS, event.at_ms):
            yield f"not served though no fault was active: {event}"


CHECKS: tuple[Check, ...] = (
    own_answers,
    at_most_once,
    open_flows,
    draining_servers,
    data_centres_out,
    removed_routes,
    calm_service,
)


def find_violations(history: History) -> list[str]:
    """Return all violations, each prefixed with the name of its check."""
    return [
        f"{check.__name__}: {detail}" for check in CHECKS for detail in check(history)
    ]
