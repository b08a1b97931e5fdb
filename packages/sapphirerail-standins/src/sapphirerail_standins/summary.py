"""Summary statistics of a recorded history."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from .flow_checks import broken_flows
from .history import (
    Answered,
    Arrived,
    Corrupted,
    FlowOpened,
    HistoryEvent,
    Misdelivered,
    PlanChanged,
    Refused,
    ServerPlaced,
    TimedOut,
)

__all__ = ["Summary"]


@dataclass
class Summary:
    """Outcomes for callers and load of servers.

    Parameters
    ----------
    n_flows, n_broken_flows : int
        Flows that were established, and those of them that broke.
    n_answers, n_timed_out : int
        Requests and uploads with a complete answer, and those without an outcome by
        their deadline.
    n_corrupted, n_misdirected : int
        Corrupted answers, and packets that reached a wrong caller or service.
    n_refusals : dict of str to int
        Refusals by code and whether the request was run.
    n_new_work : dict of str to int
        Openings and requests by server.
    imbalance : dict of str to float
        By service, new work of the busiest server divided by the mean over all
        servers that were never asked to drain or leave.
    """

    n_flows: int = 0
    n_broken_flows: int = 0
    n_answers: int = 0
    n_timed_out: int = 0
    n_corrupted: int = 0
    n_misdirected: int = 0
    n_refusals: dict[str, int] = field(default_factory=dict)
    n_new_work: dict[str, int] = field(default_factory=dict)
    imbalance: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_events(cls, events: Sequence[HistoryEvent]) -> "Summary":
        """Return the summary of a history."""
        counts = Counter(type(event) for event in events)
        refusals = Counter(
            f"{event.code.name}, run {event.run.name}"
            for event in events
            if isinstance(event, Refused)
        )
        new_work = _new_work_by_server(events)
        return cls(
            n_flows=counts[FlowOpened],
            n_broken_flows=len(broken_flows(events)),
            n_answers=counts[Answered],
            n_timed_out=counts[TimedOut],
            n_corrupted=counts[Corrupted],
            n_misdirected=counts[Misdelivered] + _n_wrong_service(events),
            n_refusals=dict(refusals),
            n_new_work=dict(new_work),
            imbalance=_imbalance(events, new_work),
        )

    def lines(self) -> list[str]:
        """Return the summary as lines of text."""
        refusals = sum(self.n_refusals.values())
        texts = [
            f"flows established    {self.n_flows}",
            f"flows broken         {self.n_broken_flows}",
            f"complete answers     {self.n_answers}",
            f"corrupted answers    {self.n_corrupted}",
            f"no outcome in time   {self.n_timed_out}",
            f"misdirected packets  {self.n_misdirected}",
            f"refusals             {refusals}",
        ]
        texts += [f"  {code}: {n}" for code, n in sorted(self.n_refusals.items())]
        for service, ratio in sorted(self.imbalance.items()):
            texts.append(f"imbalance of {service}: {ratio:.2f} (busiest over mean)")
        texts += [f"  {name}: {n}" for name, n in sorted(self.n_new_work.items())]
        return texts


def _new_work_by_server(events: Sequence[HistoryEvent]) -> Counter[str]:
    servers = [event.server for event in events if isinstance(event, ServerPlaced)]
    new_work = Counter(dict.fromkeys(servers, 0))
    for event in events:
        if isinstance(event, Arrived) and event.is_new_work:
            new_work[event.server] += 1
    return new_work


def _n_wrong_service(events: Sequence[HistoryEvent]) -> int:
    return sum(
        1
        for event in events
        if isinstance(event, Arrived) and event.service != event.served
    )


def _imbalance(
    events: Sequence[HistoryEvent], new_work: Counter[str]
) -> dict[str, float]:
    leaving = {
        event.subject
        for event in events
        if isinstance(event, PlanChanged) and event.state in ("draining", "left")
    }
    by_service: dict[str, list[int]] = {}
    for event in events:
        if isinstance(event, ServerPlaced) and event.server not in leaving:
            by_service.setdefault(event.service, []).append(new_work[event.server])
    return {
        service: max(counts) * len(counts) / sum(counts)
        for service, counts in by_service.items()
        if sum(counts)
    }
