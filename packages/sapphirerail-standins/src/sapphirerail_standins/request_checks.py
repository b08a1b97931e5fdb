"""Invariant checks on requests: callers' outcomes against runs on servers."""

from collections import defaultdict
from collections.abc import Iterator, Sequence

from sapphirerail_core.datagram import Kind, RefusalCode, Run

from .history import (
    Answered,
    ColdOverload,
    Corrupted,
    HistoryEvent,
    InstanceStopped,
    Misdelivered,
    Refused,
    RunEnded,
    RunStarted,
    Sent,
    ServerFailed,
    TimedOut,
)
from .violation import Limits, Violation, events_of_flow, with_context

__all__ = [
    "answer_is_whole_and_own",
    "non_idempotent_runs_at_most_once",
    "planned_stop_cuts_no_request",
    "refusal_not_run_is_true",
]

RequestKey = tuple[int, int]
Outcome = Answered | Refused | TimedOut | Corrupted

_REPLY_RESERVE_SHARE = 0.1
"""Largest share of a deadline that instances reserve for the reply."""
_ANSWER_DELAY_MAX_MS = 100
"""Maximum time of an answer from a server to its instance."""


def answer_is_whole_and_own(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that callers receive whole answers to their own requests only."""
    return [
        _violation("answer_is_whole_and_own", events, event.flow, event.detail)
        for event in events
        if isinstance(event, Corrupted | Misdelivered)
    ]


def refusal_not_run_is_true(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that no server ran a request that was refused as not run."""
    runs = _runs(events)
    violations = []
    for event in events:
        if not isinstance(event, Refused) or event.run is not Run.NO:
            continue
        servers = [run.server for run in runs[event.flow, event.request]]
        if servers:
            detail = f"request {event.request} was refused as not run, but ran on "
            detail += ", ".join(servers)
            violations.append(
                _violation("refusal_not_run_is_true", events, event.flow, detail)
            )
    return violations


def non_idempotent_runs_at_most_once(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that no non-idempotent request was started twice."""
    violations = []
    for (flow, request), runs in _runs(events).items():
        if len(runs) > 1 and not all(run.idempotent for run in runs):
            servers = ", ".join(run.server for run in runs)
            detail = f"request {request} ran {len(runs)} times: {servers}"
            violations.append(
                _violation("non_idempotent_runs_at_most_once", events, flow, detail)
            )
    return violations


def planned_stop_cuts_no_request(
    events: Sequence[HistoryEvent], limits: Limits
) -> list[Violation]:
    """Check that requests in flight during a planned stop have a definite outcome.

    Requests that also overlap a fault (a crashed instance, a failed or unresponsive
    server) are left to the other checks. So are requests that their server completed
    past the deadline and that were refused for that reason: in overload this happens
    without any stop.
    """
    violations = []
    for stop in events:
        if not isinstance(stop, InstanceStopped) or not stop.is_planned:
            continue
        if stop.exit_code != 0:
            detail = (
                f"{stop.instance} stopped with exit code {stop.exit_code}, expected 0"
            )
            trace = with_context(events, [stop])
            violations.append(Violation("planned_stop_cuts_no_request", detail, trace))
        for outcome in _indefinite_outcomes(events, stop):
            detail = f"request {outcome.request} has no definite outcome: {outcome}"
            violations.append(
                _violation("planned_stop_cuts_no_request", events, outcome.flow, detail)
            )
    return violations


def _indefinite_outcomes(
    events: Sequence[HistoryEvent], stop: InstanceStopped
) -> Iterator[Outcome]:
    first_sent: dict[RequestKey, Sent] = {}
    for event in events:
        if isinstance(event, Sent) and event.kind is Kind.REQUEST:
            first_sent.setdefault((event.flow, event.request), event)
        elif isinstance(event, Refused | TimedOut) and _is_indefinite(event):
            sent = first_sent.get((event.flow, event.request))
            if sent is None:
                continue
            overlaps = sent.at_ms <= stop.ended_ms and event.at_ms >= stop.at_ms
            if not overlaps or _overlaps_fault(events, sent.at_ms, event.at_ms):
                continue
            if not _ran_past_deadline(events, sent, event):
                yield event


def _ran_past_deadline(
    events: Sequence[HistoryEvent], sent: Sent, outcome: Refused | TimedOut
) -> bool:
    """Return whether a server completed a request too late for its deadline."""
    if not isinstance(outcome, Refused):
        return False
    if outcome.code is not RefusalCode.DEADLINE_EXCEEDED or not sent.deadline_ms:
        return False
    late_from_ms = sent.at_ms + sent.deadline_ms * (1 - _REPLY_RESERVE_SHARE)
    if outcome.at_ms < late_from_ms:
        return False
    return any(
        event.is_complete and event.at_ms >= outcome.at_ms - _ANSWER_DELAY_MAX_MS
        for event in events
        if isinstance(event, RunEnded)
        and (event.flow, event.request) == (outcome.flow, outcome.request)
    )


def _is_indefinite(event: Refused | TimedOut) -> bool:
    return isinstance(event, TimedOut) or event.run is not Run.NO


def _overlaps_fault(events: Sequence[HistoryEvent], from_ms: int, to_ms: int) -> bool:
    return any(
        from_ms <= event.at_ms <= to_ms
        for event in events
        if isinstance(event, ServerFailed | ColdOverload)
        or (isinstance(event, InstanceStopped) and not event.is_planned)
    )


def _runs(events: Sequence[HistoryEvent]) -> dict[RequestKey, list[RunStarted]]:
    runs: dict[RequestKey, list[RunStarted]] = defaultdict(list)
    for event in events:
        if isinstance(event, RunStarted):
            runs[event.flow, event.request].append(event)
    return runs


def _violation(
    name: str, events: Sequence[HistoryEvent], flow: int, detail: str
) -> Violation:
    return Violation(name, detail, with_context(events, events_of_flow(events, flow)))
