"""What callers do over a flow: hold a slot, follow a feed, upload a sketch."""

from collections.abc import Callable

import msgspec

from sapphirerail_core.datagram import Datagram, Kind

from .answers import is_answer_to, read_answer
from .clock import Clock
from .conversation import RETRANSMIT_MS, Conversation
from .history import Answered, Corrupted, FlowEnding, FlowOpened, HistoryEvent

__all__ = ["Feed", "Hold", "Upload"]

SILENT_AFTER_MS = 1000
GIVEN_UP_AFTER_MS = 10_000
WINDOW_PARTS = 4


class _Answer:
    """Puts the parts of an answer together.

    Each part is kept as it came first; parts of different runs of a request are not
    told apart, just as a caller with no knowledge of the system would do.
    """

    def __init__(self) -> None:
        self._parts: dict[int, bytes] = {}

    def add(self, datagram: Datagram) -> bytes | None:
        """Keep a part; return the whole once no part is missing."""
        self._parts.setdefault(datagram.part, datagram.body)
        if len(self._parts) < datagram.n_parts:
            return None
        return b"".join(self._parts[part] for part in sorted(self._parts))


class Hold(Conversation):
    """A request that must run at most once, with retransmissions."""

    def __init__(
        self,
        opening: Datagram,
        clock: Clock,
        send: Callable[[Datagram], None],
        events: list[HistoryEvent],
        deadline_ms: int,
    ) -> None:
        super().__init__(opening, clock, send, events, deadline_ms)
        self._answer = _Answer()

    def on_datagram(self, datagram: Datagram) -> None:
        """Take a part of the answer or a refusal."""
        if self.is_done or datagram.request != self.opening.request:
            return
        if datagram.kind is Kind.REFUSAL:
            self._on_refusal(datagram)
        elif datagram.kind is Kind.ANSWER:
            whole = self._answer.add(datagram)
            if whole is not None:
                self._check_answer(whole)

    def cancel(self) -> None:
        """Tell that the answer is no longer wanted."""
        self._send_kind(Kind.CANCEL)

    def _check_answer(self, whole: bytes) -> None:
        event = check_answer(whole, self.opening, self.opening.body, self._clock)
        self.is_answered = isinstance(event, Answered)
        self._events.append(event)
        self.stop()


class Feed(Conversation):
    """A flow that the server sends events over, for as long as the caller wants.

    The caller sends nothing while events come; after `SILENT_AFTER_MS` without one
    it sends keepalives, and after `GIVEN_UP_AFTER_MS` it takes the flow for broken.
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
        self._seen: set[int] = set()

    def on_datagram(self, datagram: Datagram) -> None:
        """Take an acknowledgement, an event or the end of the flow."""
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
        """End the flow."""
        if not self.is_done:
            self._send_kind(Kind.CLOSE)
            self._end_flow(FlowEnding.CLOSED)

    def _on_opened(self) -> None:
        if self.is_open:
            return
        self.is_open = True
        self.last_event_ms = self._clock.now_ms()
        self._cancel("deadline")
        self._cancel("transmit")
        event = FlowOpened(
            at_ms=self._clock.now_ms(),
            flow=self.flow,
            traffic_class=self.opening.traffic_class,
        )
        self._events.append(event)
        self._later("silence", SILENT_AFTER_MS, self._on_silence)

    def _on_event(self, datagram: Datagram) -> None:
        now_ms = self._clock.now_ms()
        if datagram.body != b"%d:%d" % (self.flow, datagram.part):
            detail = f"event {datagram.part} has the body {datagram.body!r}"
            event = Corrupted(at_ms=now_ms, flow=self.flow, request=0, detail=detail)
            self._events.append(event)
        if datagram.part in self._seen:
            self.n_duplicates += 1
        self._seen.add(datagram.part)
        self.n_events = len(self._seen)
        self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_event_ms)
        self.last_event_ms = now_ms
        self._later("silence", SILENT_AFTER_MS, self._on_silence)

    def _on_silence(self) -> None:
        silent_ms = self._clock.now_ms() - self.last_event_ms
        self.longest_gap_ms = max(self.longest_gap_ms, silent_ms)
        if silent_ms >= GIVEN_UP_AFTER_MS:
            self._end_flow(FlowEnding.SILENT)
            return
        if self._sends_keepalives:
            self._send_kind(Kind.KEEPALIVE)
        self._later("silence", SILENT_AFTER_MS, self._on_silence)


class Upload(Conversation):
    """A body in parts that must arrive whole, over a flow of its own."""

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
        self._waiting = dict(self._parts)
        self._pause_ms = pause_ms
        self._answer = _Answer()

    def on_datagram(self, datagram: Datagram) -> None:
        """Take an acknowledgement, the answer or the end of the flow."""
        if self.is_done:
            return
        if datagram.kind is Kind.REFUSAL:
            self._on_refusal(datagram)
        elif datagram.kind is Kind.RESET:
            self._end_flow(FlowEnding.RESET, datagram)
        elif datagram.kind is Kind.ACK:
            self._on_acknowledged(datagram)
        elif datagram.kind is Kind.ANSWER:
            whole = self._answer.add(datagram)
            if whole is not None:
                self._finish(whole)

    def _on_acknowledged(self, datagram: Datagram) -> None:
        if not self.is_open:
            self._on_opened()
        if self._waiting.pop(datagram.part, None) is not None:
            self.n_acknowledged += 1
            self._later("parts", self._pause_ms, self._send_parts)

    def _on_opened(self) -> None:
        self.is_open = True
        self._cancel("transmit")
        event = FlowOpened(
            at_ms=self._clock.now_ms(),
            flow=self.flow,
            traffic_class=self.opening.traffic_class,
        )
        self._events.append(event)
        self._send_parts()

    def _send_parts(self) -> None:
        """Send the first parts that wait; the last one again if none does."""
        waiting = sorted(self._waiting)[:WINDOW_PARTS] or [len(self._parts)]
        for part in waiting:
            datagram = msgspec.structs.replace(
                self.opening,
                kind=Kind.DATA,
                part=part,
                n_parts=len(self._parts),
                body=self._parts[part],
            )
            self._send(datagram)
        self._later("parts", RETRANSMIT_MS, self._send_parts)

    def _finish(self, whole: bytes) -> None:
        event = check_answer(whole, self.opening, self._body, self._clock)
        self.is_answered = isinstance(event, Answered)
        self._events.append(event)
        self._send_kind(Kind.CLOSE)
        self._end_flow(FlowEnding.COMPLETE)


def check_answer(
    whole: bytes, request: Datagram, body: bytes, clock: Clock
) -> Answered | Corrupted:
    """Return whether an answer is whole and belongs to a request."""
    at_ms = clock.now_ms()
    content = read_answer(whole)
    if content is None:
        detail = f"{len(whole)} bytes do not match their digest"
    elif not is_answer_to(content, request, body):
        detail = f"the answer is for {content}"
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
