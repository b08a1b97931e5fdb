"""Invariant checks on flows and on the destinations of packets."""

from collections.abc import Sequence

from sapphirerail_core.datagram import Kind

from .history import (
    Arrived,
    FlowEnded,
    FlowEnding,
    FlowOpened,
    HistoryEvent,
    PlanChanged,
    ServerFailed,
    ServerPlaced,
    TimedOut,
)
from .violation import Limits, Violation, events_of_flow, with_context

__all__ = [
    "broken_flows",
    "established_flow_survives",
    "no_packet_to_another_service",
]

BROKEN_ENDINGS = (FlowEnding.UNRESPONSIVE, FlowEnding.RESET)


def broken_flows(events: Sequence[HistoryEvent]) -> list[FlowEnded | TimedOut]:
    """Return the end event of each broken established flow, whatever the reason."""
    opened = {event.flow for event in events if isinstance(event, FlowOpened)}
    return [
        event
        for event in events
        if (isinstance(event, FlowEnded) and event.ending in BROKEN_ENDINGS)
        or (isinstance(event, TimedOut) and event.request == 0)
        if event.flow in opened
    ]


def established_flow_survives(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that flows break only with a failed server or evacuated data centre."""
    violations = []
    for end in broken_flows(events):
        if _is_break_allowed(events, end):
            continue
        trace = with_context(events, events_of_flow(events, end.flow))
        detail = f"flow {end.flow} broke: {end}"
        violations.append(Violation("established_flow_survives", detail, trace))
    return violations


def no_packet_to_another_service(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that servers receive only datagrams of their own service."""
    violations = []
    for event in events:
        if isinstance(event, Arrived) and event.service != event.served:
            trace = with_context(events, events_of_flow(events, event.flow))
            detail = f"{event.server} received a packet of service {event.service!r}"
            violations.append(Violation("no_packet_to_another_service", detail, trace))
    return violations


def _is_break_allowed(
    events: Sequence[HistoryEvent], end: FlowEnded | TimedOut
) -> bool:
    """Return whether the flow's server failed or its data centre was evacuated."""
    servers = {
        event.server
        for event in events
        if isinstance(event, Arrived)
        and event.flow == end.flow
        and event.kind is Kind.OPEN
    }
    data_centres = {
        event.data_centre
        for event in events
        if isinstance(event, ServerPlaced) and event.server in servers
    }
    for event in events:
        if isinstance(event, ServerFailed) and event.server in servers:
            if event.at_ms <= end.at_ms:
                return True
        if isinstance(event, PlanChanged) and event.state == "out":
            if event.subject in data_centres and event.asked_ms <= end.at_ms:
                return True
    return False
