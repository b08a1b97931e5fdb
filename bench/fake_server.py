"""Simulated backend server on a virtual clock, for benchmarks and tests."""

from collections import Counter
from dataclasses import dataclass

import msgspec

from sapphirerail_core.datagram import (
    Datagram,
    HealthReport,
    Kind,
    RefusalCode,
    Run,
)
from sapphirerail_core.plan.model import Server

__all__ = ["FakeServer", "RunKey", "run_key"]

RunKey = tuple[int, int]


def run_key(datagram: Datagram) -> RunKey:
    """Return the key that identifies a request at a server."""
    return datagram.flow, datagram.request


@dataclass
class _PendingRequest:
    """Running or queued request; of a queued one, `completes_at_ms` is the deadline."""

    datagram: Datagram
    completes_at_ms: int
    deadline_at_ms: int = 0


class FakeServer:
    """Runs requests and counts the runs of each.

    A cold server whose capacity is exceeded drops all its requests and stays
    unresponsive for 3 s; `n_overruns` counts how often.

    Parameters
    ----------
    plan_entry : Server
        The server's entry in the plan.
    runs : Counter
        Number of runs of each request, shared by all servers.
    work_ms : int
        Processing time of a request.
    """

    def __init__(self, plan_entry: Server, runs: Counter[RunKey], work_ms: int = 50):
        self.plan_entry = plan_entry
        self.runs = runs
        self.work_ms = work_ms
        self.cold_capacity = 1
        self.cold_until_ms = 0
        self.unresponsive_until_ms = 0
        self.answers_probes_only = False
        self.is_unreachable = False
        self.stops_at_deadline = False
        self.n_parts = 1
        self.n_queue_max = 2
        self.n_overruns = 0
        self.n_in_flight_max = 0
        self.n_answered = 0
        self._running: list[_PendingRequest] = []
        self._queue: list[_PendingRequest] = []

    def turn_cold(self, now_ms: int, for_ms: int) -> None:
        """Become cold without announcing it."""
        self.cold_until_ms = now_ms + for_ms

    def on_datagram(self, datagram: Datagram, now_ms: int) -> list[Datagram]:
        """Process a datagram; return the immediate answers."""
        if self.is_unreachable:
            return []
        if datagram.kind is Kind.PROBE:
            return [self._health(datagram)]
        if self.answers_probes_only or now_ms < self.unresponsive_until_ms:
            return []
        if datagram.kind is Kind.CANCEL:
            return self._cancel(datagram)
        self._abort_expired(now_ms)
        deadline_at_ms = now_ms + datagram.deadline_ms
        if now_ms < self.cold_until_ms and self._n_in_flight() >= self.cold_capacity:
            self._fail_on_overrun(now_ms)
            return []
        if len(self._running) < self.plan_entry.n_slots:
            self._start(datagram, now_ms)
        elif len(self._queue) < self.n_queue_max:
            self._queue.append(_PendingRequest(datagram, deadline_at_ms))
        else:
            return [_refuse(datagram, RefusalCode.SERVER_SHED, Run.NO)]
        self.n_in_flight_max = max(self.n_in_flight_max, self._n_in_flight())
        return []

    def tick(self, now_ms: int) -> list[Datagram]:
        """Return the answers that are complete."""
        if now_ms < self.unresponsive_until_ms:
            return []
        self._abort_expired(now_ms)
        completed = [r for r in self._running if r.completes_at_ms <= now_ms]
        self._running = [r for r in self._running if r.completes_at_ms > now_ms]
        answers = [part for r in completed for part in self._answer(r.datagram)]
        self.n_answered += len(completed)
        while self._queue and len(self._running) < self.plan_entry.n_slots:
            waiting = self._queue.pop(0)
            if waiting.completes_at_ms <= now_ms:
                answers.append(
                    _refuse(waiting.datagram, RefusalCode.DEADLINE_EXCEEDED, Run.NO)
                )
                continue
            self._start(waiting.datagram, now_ms)
        return answers

    def _abort_expired(self, now_ms: int) -> None:
        if self.stops_at_deadline:
            self._running = [
                r
                for r in self._running
                if r.completes_at_ms <= now_ms or r.deadline_at_ms > now_ms
            ]

    def is_busy(self) -> bool:
        """Return whether a request is running or queued."""
        return bool(self._running or self._queue)

    def next_completion_ms(self) -> int:
        """Return when the next request completes."""
        ends = [r.completes_at_ms for r in self._running] or [
            self.unresponsive_until_ms
        ]
        return max(min(ends), self.unresponsive_until_ms)

    def _n_in_flight(self) -> int:
        return len(self._running) + len(self._queue)

    def _start(self, datagram: Datagram, now_ms: int) -> None:
        self.runs[run_key(datagram)] += 1
        completes_at_ms = now_ms + self.work_ms
        deadline_at_ms = now_ms + datagram.deadline_ms
        self._running.append(_PendingRequest(datagram, completes_at_ms, deadline_at_ms))

    def _fail_on_overrun(self, now_ms: int) -> None:
        self.n_overruns += 1
        self.unresponsive_until_ms = now_ms + 3_000
        self._running = []
        self._queue = []

    def _cancel(self, datagram: Datagram) -> list[Datagram]:
        key = run_key(datagram)
        waiting = [r for r in self._queue if run_key(r.datagram) == key]
        running = [r for r in self._running if run_key(r.datagram) == key]
        self._queue = [r for r in self._queue if r not in waiting]
        self._running = [r for r in self._running if r not in running]
        refused = [_refuse(r.datagram, RefusalCode.CANCELLED, Run.NO) for r in waiting]
        return refused + [
            _refuse(r.datagram, RefusalCode.CANCELLED, Run.UNKNOWN) for r in running
        ]

    def _answer(self, datagram: Datagram) -> list[Datagram]:
        if datagram.kind is Kind.OPEN:
            return [msgspec.structs.replace(datagram, kind=Kind.ACK, body=b"")]
        return [
            msgspec.structs.replace(
                datagram,
                kind=Kind.ANSWER,
                part=part,
                n_parts=self.n_parts,
                body=b"answer " + datagram.body,
            )
            for part in range(self.n_parts)
        ]

    def _health(self, datagram: Datagram) -> Datagram:
        report = HealthReport(len(self._running), len(self._queue), 0)
        body = msgspec.msgpack.encode(report)
        return msgspec.structs.replace(datagram, kind=Kind.HEALTH, body=body)


def _refuse(datagram: Datagram, code: RefusalCode, run: Run) -> Datagram:
    return msgspec.structs.replace(
        datagram, kind=Kind.REFUSAL, code=code, run=run, body=b""
    )
