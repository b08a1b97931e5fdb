"""Invariant checks on accepted plan changes and the traffic after them."""

from collections import defaultdict
from collections.abc import Sequence

from .history import (
    Arrived,
    HistoryEvent,
    Partitioned,
    PlanChanged,
    RevisionSeen,
    ServerPlaced,
    SheetAccepted,
)
from .violation import Limits, Violation, with_context

__all__ = [
    "accepted_line_stays_in_force",
    "leaving_server_gets_no_new_work",
    "no_packet_to_data_centre_out",
]

LEAVING = ("draining", "left")
EVACUATED = ("out",)


def no_packet_to_data_centre_out(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that servers of an evacuated data centre receive no packets.

    Instances partitioned together with their data centre can't learn of the
    evacuation: for them the time limit starts when the partition heals.
    """
    data_centre_of = {
        event.server: event.data_centre
        for event in events
        if isinstance(event, ServerPlaced)
    }
    changes = _changes_by_subject(events)
    violations = []
    for event in events:
        if not isinstance(event, Arrived):
            continue
        data_centre = data_centre_of.get(event.server, "")
        if _was_partitioned(events, data_centre, event.at_ms, limits.traffic_stop_ms):
            continue
        late_ms = _time_since(changes[data_centre], EVACUATED, event.at_ms)
        if late_ms > limits.traffic_stop_ms:
            detail = (
                f"{event.server} received a packet {late_ms} ms after "
                f"{data_centre} was out"
            )
            trace = with_context(events, [event])
            violations.append(Violation("no_packet_to_data_centre_out", detail, trace))
    return violations


def leaving_server_gets_no_new_work(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that draining and departed servers receive no openings or requests."""
    changes = _changes_by_subject(events)
    violations = []
    for event in events:
        if not isinstance(event, Arrived) or not event.is_new_work:
            continue
        late_ms = _time_since(changes[event.server], LEAVING, event.at_ms)
        if late_ms > limits.traffic_stop_ms:
            detail = (
                f"{event.server} received new work {late_ms} ms after it began to leave"
            )
            trace = with_context(events, [event])
            violations.append(
                Violation("leaving_server_gets_no_new_work", detail, trace)
            )
    return violations


def accepted_line_stays_in_force(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that revisions never decrease and that accepted ones apply in time."""
    return _decreasing_revisions(events) + _late_revisions(events, limits)


def _decreasing_revisions(events: Sequence[HistoryEvent]) -> list[Violation]:
    highest: dict[str, RevisionSeen] = {}
    violations = []
    for event in events:
        if not isinstance(event, RevisionSeen):
            continue
        before = highest.get(event.where)
        if before is None or event.revision >= before.revision:
            highest[event.where] = event
            continue
        detail = f"{event.where} went from revision {before.revision}"
        detail += f" to {event.revision}"
        trace = with_context(events, [before, event])
        violations.append(Violation("accepted_line_stays_in_force", detail, trace))
    return violations


def _late_revisions(events: Sequence[HistoryEvent], limits: Limits) -> list[Violation]:
    """Return where an accepted revision was not in force in time.

    For an instance that starts, the same limit counts from its first observation.
    """
    accepted = [event for event in events if isinstance(event, SheetAccepted)]
    first_ms: dict[str, int] = {}
    violations = []
    for event in events:
        if not isinstance(event, RevisionSeen):
            continue
        began_ms = first_ms.setdefault(event.where, event.at_ms)
        due = [
            sheet
            for sheet in accepted
            if max(began_ms, sheet.at_ms) + limits.in_force_ms < event.at_ms
            and sheet.revision > event.revision
        ]
        if due and not _was_partitioned(
            events, event.data_centre, event.at_ms, limits.in_force_ms
        ):
            detail = f"{event.where} is at revision {event.revision}, but"
            detail += (
                f" {due[0].revision} was accepted over {limits.in_force_ms} ms earlier"
            )
            trace = with_context(events, [due[0], event])
            violations.append(Violation("accepted_line_stays_in_force", detail, trace))
    return violations


def _was_partitioned(
    events: Sequence[HistoryEvent], data_centre: str, at_ms: int, settle_ms: int
) -> bool:
    """Return whether a data centre was partitioned until shortly before a time."""
    last: Partitioned | None = None
    for event in events:
        if not isinstance(event, Partitioned) or event.at_ms > at_ms:
            continue
        if event.data_centre == data_centre:
            last = event
    if last is None:
        return False
    return not last.is_healed or at_ms - last.at_ms <= settle_ms


def _changes_by_subject(
    events: Sequence[HistoryEvent],
) -> dict[str, list[PlanChanged]]:
    changes: dict[str, list[PlanChanged]] = defaultdict(list)
    for event in events:
        if isinstance(event, PlanChanged):
            changes[event.subject].append(event)
    return changes


def _time_since(
    changes: Sequence[PlanChanged], states: Sequence[str], at_ms: int
) -> int:
    """Return how long a subject has been in one of some states; 0 if it is not.

    A change must hold from its acceptance on, but may already have been applied
    since it was requested.
    """
    since_ms: int | None = None
    for event in changes:
        if event.state not in states:
            since_ms = None if event.asked_ms <= at_ms else since_ms
        elif since_ms is None and event.at_ms <= at_ms:
            since_ms = event.at_ms
    return 0 if since_ms is None else at_ms - since_ms
