"""Invariant checks on the load of backend servers."""

from collections.abc import Sequence

from .history import Arrived, ColdOverload, HistoryEvent, RunEnded, RunStarted
from .violation import Limits, Violation, with_context

__all__ = ["cold_server_is_not_overloaded"]

TRACED_MS = 500


def cold_server_is_not_overloaded(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that cold servers receive no more requests than they can handle.

    A server that turned cold unannounced may be overloaded once, within the time
    limit for detecting it.
    """
    violations = []
    for event in events:
        if not isinstance(event, ColdOverload) or _is_unavoidable(
            event, events, limits
        ):
            continue
        detail = f"{event.server} had {event.n_in_flight} requests in flight"
        detail += f" but can handle only {event.n_bearable}"
        trace = with_context(events, _shortly_before(events, event))
        violations.append(Violation("cold_server_is_not_overloaded", detail, trace))
    return violations


def _is_unavoidable(
    event: ColdOverload, events: Sequence[HistoryEvent], limits: Limits
) -> bool:
    if event.is_announced:
        return False
    if event.at_ms - event.cold_since_ms > limits.cold_notice_ms:
        return False
    earlier = [
        other
        for other in events
        if isinstance(other, ColdOverload)
        and other.server == event.server
        and other.cold_since_ms == event.cold_since_ms
        and other.at_ms < event.at_ms
    ]
    return not earlier


def _shortly_before(
    events: Sequence[HistoryEvent], overload: ColdOverload
) -> list[HistoryEvent]:
    kinds = (Arrived, RunStarted, RunEnded, ColdOverload)
    return [
        event
        for event in events
        if isinstance(event, kinds)
        and event.server == overload.server
        and overload.at_ms - TRACED_MS <= event.at_ms <= overload.at_ms
    ]
