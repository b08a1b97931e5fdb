"""Promises that hold during a soak, as callers, servers and the operator see them."""

from collections import Counter
from collections.abc import Callable, Iterator

from .soak_history import (
    Answered,
    DataCentreChanged,
    FlowWasReset,
    History,
    Lost,
    OpeningArrived,
    Refused,
    RequestRan,
    RouteChanged,
    ServerLeft,
)

__all__ = ["CHECKS", "broken_promises"]

# The users' bounds: when things are as usual after a fault, and when the end of a
# server, a data centre or a route binds.
CONTACT_MS = 4_000
DRAIN_MS = 3_000
EVACUATE_MS = 5_000
CONFIGURE_MS = 3_000

Check = Callable[[History], Iterator[str]]


def own_answers(history: History) -> Iterator[str]:
    """Yield answers that are not the whole answer to the caller's own request."""
    for event in history.of(Answered):
        expected = event.server.encode() + b":" + event.request
        if event.answer != expected:
            yield f"{event.at_ms}: {event.answer!r} in place of {expected!r}"


def at_most_once(history: History) -> Iterator[str]:
    """Yield requests that ran more than once."""
    runs = Counter(event.request for event in history.of(RequestRan))
    for request, n_runs in runs.items():
        if n_runs > 1:
            yield f"{request!r} ran {n_runs} times"


def open_flows(history: History) -> Iterator[str]:
    """Yield flows that the system reset while their server served undisturbed."""
    for event in history.of(FlowWasReset):
        since_ms = event.at_ms - CONTACT_MS
        if event.is_by_server:
            is_broken = history.is_calm(0, event.at_ms, event.server)
        else:
            is_broken = history.is_calm(
                since_ms, event.at_ms, event.server
            ) and not _was_removed(history, event)
        if is_broken:
            yield f"{event.at_ms}: a flow of {event.server} was reset ({event})"


def _was_removed(history: History, reset: FlowWasReset) -> bool:
    """Return whether a flow's route is removed, or was until a moment ago."""
    changes = [
        event
        for event in history.of(RouteChanged)
        if event.route_port == reset.route_port and event.at_ms <= reset.at_ms
    ]
    recent = [e for e in changes if e.at_ms >= reset.at_ms - CONTACT_MS]
    return any(not event.is_there for event in (*changes[-1:], *recent))


def draining_servers(history: History) -> Iterator[str]:
    """Yield openings that reached a server long after it had said that it drains."""
    left = [(e.at_ms, e.server, e.is_draining) for e in history.of(ServerLeft)]
    yield from _late_openings(history, left, lambda e: e.server, DRAIN_MS)


def data_centres_out(history: History) -> Iterator[str]:
    """Yield openings that reached a data centre long after it was taken out."""
    out = [(e.at_ms, e.data_centre, e.is_out) for e in history.of(DataCentreChanged)]
    yield from _late_openings(history, out, lambda e: e.data_centre, EVACUATE_MS)


def removed_routes(history: History) -> Iterator[str]:
    """Yield openings over a route long after it was removed."""
    removed = [
        (e.at_ms, str(e.route_port), not e.is_there) for e in history.of(RouteChanged)
    ]
    yield from _late_openings(
        history, removed, lambda e: str(e.route_port), CONFIGURE_MS
    )


def _late_openings(
    history: History,
    changes: list[tuple[int, str, bool]],
    subject_of: Callable[[OpeningArrived], str],
    bound_ms: int,
) -> Iterator[str]:
    """Yield openings of what had ended for longer than a bound.

    Parameters
    ----------
    history : History
        All events.
    changes : list of tuple
        When what changed, and whether it ended then or is back.
    subject_of : callable
        What an opening belongs to.
    bound_ms : int
        Time after which an end binds.
    """
    for event in history.of(OpeningArrived):
        subject = subject_of(event)
        last = [c for c in changes if c[1] == subject and c[0] <= event.at_ms][-1:]
        for at_ms, _, is_end in last:
            is_late = is_end and event.at_ms - at_ms > bound_ms
            if is_late and _in_touch(history, at_ms - CONTACT_MS, event):
                yield f"{event}, {event.at_ms - at_ms} ms after the end of {subject}"


def _in_touch(history: History, since_ms: int, event: OpeningArrived) -> bool:
    """Return whether the instance and the store were well all the while."""
    return history.is_calm(since_ms, event.at_ms, "store") and history.is_calm(
        since_ms, event.at_ms, event.instance_host
    )


def calm_service(history: History) -> Iterator[str]:
    """Yield requests that were not served though nothing had been wrong for long."""
    for event in history.of(Lost) + history.of(Refused):
        if history.is_calm(event.began_ms - CONTACT_MS, event.at_ms):
            yield f"not served in calm time: {event}"


CHECKS: tuple[Check, ...] = (
    own_answers,
    at_most_once,
    open_flows,
    draining_servers,
    data_centres_out,
    removed_routes,
    calm_service,
)


def broken_promises(history: History) -> list[str]:
    """Return what was broken, each with the name of its check."""
    return [
        f"{check.__name__}: {detail}" for check in CHECKS for detail in check(history)
    ]
