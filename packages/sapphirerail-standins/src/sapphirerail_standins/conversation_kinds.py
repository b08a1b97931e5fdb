"""Conversations of the three traffic classes: transactions, feeds and uploads."""

from collections.abc import Callable

import msgspec

from sapphirerail_core.datagram import Datagram, Kind

from .answers import decode_answer, is_answer_to
from .clock import Clock
from .conversation import RETRANSMIT_MS, Conversation
from .history import Answered, Corrupted, FlowEnding, FlowOpened, HistoryEvent

__all__ = ["Feed", "Transaction", "Upload"]

KEEPALIVE_AFTER_MS = 1000
FEED_TIMEOUT_MS = 10_000
WINDOW_PARTS = 4


class _AnswerAssembler:
    """Reassembles the parts of an answer.

    The first copy of each part is kept. Parts from different runs of a request are
    not distinguished, because a caller that knows nothing of the system would not
    distinguish them either.
    """

    def __init__(self) -> None:
        self._parts: dict[int, bytes] = {}

    def add(self, datagram: Datagram) -> bytes | None:
        """Store a part; return the complete answer once no part is missing."""
        self._parts.setdefault(datagram.part, datagram.body)
        if len(self._parts) < datagram.n_parts:
            return None
        return b"".join(self._parts[part] for part in sorted(self._parts))


class Transaction(Conversation):
    """A request of the transaction class that is retransmitted until its deadline."""

    def __init__(
        self,
        opening: Datagram,
        clock: Clock,
        send: Callable[[Datagram], None],
        events: list[HistoryEvent],
        deadline_ms: int,
    ) -> None:
        super().__init__(opening, clock, send, events, deadline_ms)
        self._answer = _AnswerAssembler()

    def on_datagram(self, datagram: Datagram) -> None:
        """Handle a part of the answer or a refusal."""
        if self.is_done or datagram.request != self.opening.request:
            return
        if datagram.kind is Kind.REFUSAL:
            self._on_refusal(datagram)
        elif datagram.kind is Kind.ANSWER:
            answer = self._answer.add(datagram)
            if answer is not None:
                self._check_answer(answer)

    def cancel(self) -> None:
        """Notify the server that the answer is no longer wanted."""
        self._send_kind(Kind.CANCEL)

    def _check_answer(self, answer: bytes) -> None:
        event = check_answer(answer, self.opening, self.opening.body, self._clock)
        self.is_answered = isinstance(event, Answered)
        self._events.append(event)
        self.stop()


class Feed(Conversation):
    """A long-lived flow over which the server sends events until the caller closes it.

    The caller sends nothing while events arrive. After `KEEPALIVE_AFTER_MS` without an
    event it sends keepalives; after `FEED_TIMEOUT_MS` it ends the flow as
    unresponsive.
    """

    def __init__(
        self,
        opening: Datagram,
        clock: Clock,
        send: Callable[[Datagram], None],
        events: list[HistoryEvent],
        deadline_ms: int,
        *,
        sends_keepalives: bool = True,
    ) -> None:
        super().__init__(opening, clock, send, events, deadline_ms)
        self.is_open = False
        self.n_events = 0
        self.n_duplicates = 0
        self.longest_gap_ms = 0
        self.last_event_ms = 0
        self._sends_keepalives = sends_keepalives
        self._received_parts: set[int] = set()

    def on_datagram(self, datagram: Datagram) -> None:
        """Handle an acknowledgement, an event or the end of the flow."""
        if self.is_done:
            return
        if datagram.kind is Kind.REFUSAL:
            self._on_refusal(datagram)
        elif datagram.kind is Kind.RESET:
            self._end_flow(FlowEnding.RESET, datagram)
        elif datagram.kind is Kind.CLOSE:
            self._end_flow(FlowEnding.CLOSED)
        elif datagram.kind is Kind.ACK:
            self._on_opened()
        elif datagram.kind is Kind.DATA:
            self._on_opened()
            self._on_event(datagram)

    def close(self) -> None:
        """Close the flow."""
        if not self.is_done:
            self._send_kind(Kind.CLOSE)
            self._end_flow(FlowEnding.CLOSED)

    def _on_opened(self) -> None:
        if self.is_open:
            return
        self.is_open = True
        self.last_event_ms = self._clock.now_ms()
        self._cancel_timer("deadline")
        self._cancel_timer("transmit")
        event = FlowOpened(
            at_ms=self._clock.now_ms(),
            flow=self.flow,
            traffic_class=self.opening.traffic_class,
        )
        self._events.append(event)
        self._set_timer("idle", KEEPALIVE_AFTER_MS, self._on_idle)

    def _on_event(self, datagram: Datagram) -> None:
        now_ms = self._clock.now_ms()
        if datagram.body != b"%d:%d" % (self.flow, datagram.part):
            detail = f"event {datagram.part} has an unexpected body: {datagram.body!r}"
            event = Corrupted(at_ms=now_ms, flow=self.flow, request=0, detail=detail)
            self._events.append(event)
        if datagram.part in self._received_parts:
            self.n_duplicates += 1
        self._received_parts.add(datagram.part)
        self.n_events = len(self._received_parts)
        self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        self.last_event_ms = now_ms
        self._set_timer("idle", KEEPALIVE_AFTER_MS, self._on_idle)

    def _on_idle(self) -> None:
        idle_ms = self._clock.now_ms() - self.last_event_ms
        self.longest_gap_ms = max(self.longest_gap_ms, idle_ms)
        if idle_ms >= FEED_TIMEOUT_MS:
            self._end_flow(FlowEnding.UNRESPONSIVE)
            return
        if self._sends_keepalives:
            self._send_kind(Kind.KEEPALIVE)
        self._set_timer("idle", KEEPALIVE_AFTER_MS, self._on_idle)


class Upload(Conversation):
    """A body that is sent in parts over a flow of its own and answered as a whole."""

    def __init__(
        self,
        opening: Datagram,
        clock: Clock,
        send: Callable[[Datagram], None],
        events: list[HistoryEvent],
        deadline_ms: int,
        *,
        parts: list[bytes],
        pause_ms: float = 0.0,
    ) -> None:
        super().__init__(opening, clock, send, events, deadline_ms)
        self.is_open = False
        self.n_acknowledged = 0
        self._parts = dict(enumerate(parts, start=1))
        self._body = b"".join(parts)
        self._unacknowledged = dict(self._parts)
        self._pause_ms = pause_ms
        self._answer = _AnswerAssembler()

    def on_datagram(self, datagram: Datagram) -> None:
        """Handle an acknowledgement, a part of the answer or the end of the flow."""
        if self.is_done:
            return
        if datagram.kind is Kind.REFUSAL:
            self._on_refusal(datagram)
        elif datagram.kind is Kind.RESET:
            self._end_flow(FlowEnding.RESET, datagram)
        elif datagram.kind is Kind.ACK:
            self._on_acknowledged(datagram)
        elif datagram.kind is Kind.ANSWER:
            answer = self._answer.add(datagram)
            if answer is not None:
                self._finish(answer)

    def _on_acknowledged(self, datagram: Datagram) -> None:
        if not self.is_open:
            self._on_opened()
        if self._unacknowledged.pop(datagram.part, None) is not None:
            self.n_acknowledged += 1
            self._set_timer("parts", self._pause_ms, self._send_parts)

    def _on_opened(self) -> None:
        self.is_open = True
        self._cancel_timer("transmit")
        event = FlowOpened(
            at_ms=self._clock.now_ms(),
            flow=self.flow,
            traffic_class=self.opening.traffic_class,
        )
        self._events.append(event)
        self._send_parts()

    def _send_parts(self) -> None:
        """Send the first unacknowledged parts, or the last part if there is none.

        Sending the last part again makes the server repeat a lost answer.
        """
        parts_to_send = sorted(self._unacknowledged)[:WINDOW_PARTS] or [
            len(self._parts)
        ]
        for part in parts_to_send:
            datagram = msgspec.structs.replace(
                self.opening,
                kind=Kind.DATA,
                part=part,
                n_parts=len(self._parts),
                body=self._parts[part],
            )
            self._send(datagram)
        self._set_timer("parts", RETRANSMIT_MS, self._send_parts)

    def _finish(self, answer: bytes) -> None:
        event = check_answer(answer, self.opening, self._body, self._clock)
        self.is_answered = isinstance(event, Answered)
        self._events.append(event)
        self._send_kind(Kind.CLOSE)
        self._end_flow(FlowEnding.COMPLETE)


def check_answer(
    answer: bytes, request: Datagram, body: bytes, clock: Clock
) -> Answered | Corrupted:
    """Return the event for an answer: `Answered`, or `Corrupted` if it is wrong."""
    at_ms = clock.now_ms()
    content = decode_answer(answer)
    if content is None:
        detail = f"{len(answer)} bytes do not match their digest"
    elif not is_answer_to(content, request, body):
        detail = f"the answer belongs to another request: {content}"
    else:
        return Answered(
            at_ms=at_ms,
            flow=request.flow,
            request=request.request,
            server=content.server,
        )
    return Corrupted(
        at_ms=at_ms, flow=request.flow, request=request.request, detail=detail
    )
