"""Model of a backend server: slots, queue, cold start and flows."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from sapphirerail_core.datagram import (
    Datagram,
    HealthReport,
    Kind,
    RefusalCode,
    Run,
)

from .answers import AnswerContent, digest, encode_answer, split_parts
from .clock import Clock, Timer
from .history import Arrived, ColdOverload, HistoryEvent, RunEnded, RunStarted
from .server_flows import ServerFlows
from .server_settings import ServerSettings

__all__ = ["ServerModel"]

NEW_WORK_KINDS = frozenset({Kind.REQUEST, Kind.OPEN})
Send = Callable[[Datagram, str], None]


@dataclass
class _Job:
    """A queued or running request."""

    datagram: Datagram
    sender: str
    arrived_ms: int
    timer: Timer | None = None

    @property
    def key(self) -> tuple[int, int]:
        """The flow and the request, which a cancellation refers to."""
        return self.datagram.flow, self.datagram.request


class ServerModel:
    """One backend server, driven by datagrams and timers.

    It doesn't deduplicate requests: a request that arrives twice is run twice.

    Parameters
    ----------
    settings : ServerSettings
        Name, service and behaviour of the server.
    clock : Clock
        Time and timers.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(self, settings: ServerSettings, clock: Clock, send: Send) -> None:
        self.settings = settings
        self.events: list[HistoryEvent] = []
        self.cold_since_ms: int | None = None
        self.is_draining = False
        self._clock = clock
        self._send = send
        self._flows = ServerFlows(settings, clock, send)
        self._queue: deque[_Job] = deque()
        self._running: list[_Job] = []
        self._reports: deque[tuple[int, HealthReport]] = deque([(0, HealthReport())])
        self._unresponsive_until_ms = 0
        self._handlers: dict[Kind, Callable[[Datagram, str], None]] = {
            Kind.REQUEST: self._on_request,
            Kind.CANCEL: self._on_cancel,
            Kind.PROBE: self._on_probe,
            Kind.OPEN: self._flows.on_open,
            Kind.DATA: self._flows.on_data,
            Kind.KEEPALIVE: self._flows.on_keepalive,
            Kind.CLOSE: self._flows.on_close,
        }
        self._is_cold_announced = settings.starts_cold
        if settings.starts_cold:
            self.cold_since_ms = clock.now_ms()

    @property
    def n_flows(self) -> int:
        """Number of open flows."""
        return self._flows.n_flows

    @property
    def n_in_flight(self) -> int:
        """Number of queued and running requests."""
        return len(self._queue) + len(self._running)

    def on_datagram(self, datagram: Datagram, sender: str) -> None:
        """Handle a datagram from an instance."""
        self._record_arrival(datagram)
        if self._clock.now_ms() < self._unresponsive_until_ms:
            return
        handler = self._handlers.get(datagram.kind)
        if self.settings.ignores_requests and datagram.kind in NEW_WORK_KINDS:
            return
        if handler is not None and datagram.service == self.settings.service:
            handler(datagram, sender)
        self._record_report()

    def turn_cold(self) -> None:
        """Become cold without announcing it."""
        self.cold_since_ms = self._clock.now_ms()
        self._is_cold_announced = False

    def drop_state(self) -> None:
        """Drop all flows and requests, as a restart does."""
        self._flows.drop_state()
        self._drop_requests()

    def is_cold(self) -> bool:
        """Return whether the server can handle only `n_bearable_cold` requests."""
        if self.cold_since_ms is None:
            return False
        warm_at_ms = self.cold_since_ms + self.settings.warm_up_ms
        return self._clock.now_ms() < warm_at_ms

    def close(self) -> None:
        """Cancel all timers."""
        self.drop_state()

    def _record_arrival(self, datagram: Datagram) -> None:
        is_new_flow = datagram.kind is Kind.OPEN and not self._flows.is_open(datagram)
        event = Arrived(
            at_ms=self._clock.now_ms(),
            server=self.settings.server,
            served=self.settings.service,
            service=datagram.service,
            kind=datagram.kind,
            flow=datagram.flow,
            request=datagram.request,
            attempt=datagram.attempt,
            is_new_work=is_new_flow or datagram.kind is Kind.REQUEST,
        )
        self.events.append(event)

    def _on_request(self, datagram: Datagram, sender: str) -> None:
        job = _Job(datagram, sender, self._clock.now_ms())
        if self.is_cold() and self.n_in_flight >= self.settings.n_bearable_cold:
            self._overload()
        elif self.is_draining or len(self._queue) >= self.settings.n_queue_max:
            self._refuse(job, RefusalCode.SERVER_SHED, Run.NO)
        else:
            self._queue.append(job)
            self._start_queued()

    def _overload(self) -> None:
        now_ms = self._clock.now_ms()
        event = ColdOverload(
            at_ms=now_ms,
            server=self.settings.server,
            n_in_flight=self.n_in_flight + 1,
            n_bearable=self.settings.n_bearable_cold,
            cold_since_ms=self.cold_since_ms or 0,
            is_announced=self._is_cold_announced,
        )
        self.events.append(event)
        self._drop_requests()
        self._unresponsive_until_ms = now_ms + self.settings.silent_ms

    def _drop_requests(self) -> None:
        for job in list(self._running):
            self._end(job, is_complete=False)
        self._queue.clear()

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.settings.n_slots:
            self._start(self._queue.popleft())

    def _start(self, job: _Job) -> None:
        now_ms = self._clock.now_ms()
        deadline_ms = job.datagram.deadline_ms
        if deadline_ms and now_ms >= job.arrived_ms + deadline_ms:
            self._refuse(job, RefusalCode.DEADLINE_EXCEEDED, Run.NO)
            return
        event = RunStarted(
            at_ms=now_ms,
            server=self.settings.server,
            flow=job.datagram.flow,
            request=job.datagram.request,
            attempt=job.datagram.attempt,
            idempotent=job.datagram.idempotent,
        )
        self.events.append(event)
        self._running.append(job)
        service_ms = self.settings.service_ms
        if self.is_cold():
            service_ms *= self.settings.cold_slowdown
        job.timer = self._clock.call_later(service_ms, lambda: self._finish(job))

    def _finish(self, job: _Job) -> None:
        self._end(job, is_complete=True)
        request = job.datagram
        content = AnswerContent(
            server=self.settings.server,
            service=request.service,
            flow=request.flow,
            request=request.request,
            body_digest=digest(request.body),
            filler="." * self.settings.answer_bytes,
        )
        n_parts = self.settings.n_answer_parts
        for part, body in enumerate(split_parts(encode_answer(content), n_parts)):
            answer = msgspec.structs.replace(
                request, kind=Kind.ANSWER, part=part, n_parts=n_parts, body=body
            )
            self._send(answer, job.sender)
        self._start_queued()
        self._record_report()

    def _end(self, job: _Job, is_complete: bool) -> None:
        self._running.remove(job)
        if job.timer is not None:
            job.timer.cancel()
        event = RunEnded(
            at_ms=self._clock.now_ms(),
            server=self.settings.server,
            flow=job.datagram.flow,
            request=job.datagram.request,
            is_complete=is_complete,
        )
        self.events.append(event)

    def _on_cancel(self, datagram: Datagram, sender: str) -> None:
        key = datagram.flow, datagram.request
        for job in [job for job in self._queue if job.key == key]:
            self._queue.remove(job)
            self._refuse(job, RefusalCode.CANCELLED, Run.NO)
        for job in [job for job in self._running if job.key == key]:
            self._end(job, is_complete=False)
            self._refuse(job, RefusalCode.CANCELLED, Run.UNKNOWN)
        self._start_queued()

    def _refuse(self, job: _Job, code: RefusalCode, run: Run) -> None:
        refusal = msgspec.structs.replace(
            job.datagram, kind=Kind.REFUSAL, code=code, run=run, body=b""
        )
        self._send(refusal, job.sender)

    def _on_probe(self, datagram: Datagram, sender: str) -> None:
        body = msgspec.msgpack.encode(self._report_to_send())
        self._send(
            msgspec.structs.replace(datagram, kind=Kind.HEALTH, body=body), sender
        )

    def _record_report(self) -> None:
        now_ms = self._clock.now_ms()
        report = HealthReport(len(self._running), len(self._queue), self.n_flows)
        self._reports.append((now_ms, report))
        oldest_ms = now_ms - self.settings.report_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= oldest_ms:
            self._reports.popleft()

    def _report_to_send(self) -> HealthReport:
        if self.settings.reports_lie:
            return HealthReport()
        self._record_report()
        return self._reports[0][1]
