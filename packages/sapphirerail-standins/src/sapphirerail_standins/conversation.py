"""Base class of the conversations that a caller has over one flow."""

from collections.abc import Callable

import msgspec

from sapphirerail_core.datagram import Datagram, Kind

from .clock import Clock, Timer
from .history import FlowEnded, FlowEnding, HistoryEvent, Refused, Sent, TimedOut

__all__ = ["Conversation", "RETRANSMIT_MS"]

RETRANSMIT_MS = 200


class Conversation:
    """One flow from its caller's side: opening, retransmissions and outcome.

    Parameters
    ----------
    opening : Datagram
        First datagram; retransmitted with a higher attempt until it is answered.
    clock : Clock
        Time and timers.
    send : callable
        Sends a datagram to the fabric.
    events : list of HistoryEvent
        List that events are appended to.
    deadline_ms : int
        Time until the complete answer, or until the opening of a feed is
        acknowledged.
    """

    def __init__(
        self,
        opening: Datagram,
        clock: Clock,
        send: Callable[[Datagram], None],
        events: list[HistoryEvent],
        deadline_ms: int,
    ) -> None:
        self.opening = opening
        self.is_done = False
        self.is_answered = False
        self.n_attempts = 0
        self._clock = clock
        self._send = send
        self._events = events
        self._deadline_ms = clock.now_ms() + deadline_ms
        self._timers: dict[str, Timer] = {}

    @property
    def flow(self) -> int:
        """The flow's number."""
        return self.opening.flow

    def done(self) -> bool:
        """Return whether the outcome is known."""
        return self.is_done

    def timeline(self) -> list[HistoryEvent]:
        """Return the events that this caller recorded for the flow, oldest first."""
        return [
            event for event in self._events if getattr(event, "flow", 0) == self.flow
        ]

    def start(self) -> None:
        """Send the opening until it is answered or the deadline expires."""
        remaining_ms = self._deadline_ms - self._clock.now_ms()
        self._set_timer("deadline", remaining_ms, self._on_deadline)
        self._transmit()

    def on_datagram(self, datagram: Datagram) -> None:
        """Handle a datagram of this flow."""
        raise NotImplementedError

    def stop(self) -> None:
        """End the conversation without sending anything."""
        self.is_done = True
        for timer in self._timers.values():
            timer.cancel()

    def _transmit(self) -> None:
        remaining_ms = max(1, self._deadline_ms - self._clock.now_ms())
        datagram = msgspec.structs.replace(
            self.opening, attempt=self.n_attempts, deadline_ms=remaining_ms
        )
        self.n_attempts += 1
        event = Sent(
            at_ms=self._clock.now_ms(),
            kind=datagram.kind,
            service=datagram.service,
            flow=datagram.flow,
            request=datagram.request,
            attempt=datagram.attempt,
            idempotent=datagram.idempotent,
            deadline_ms=remaining_ms,
        )
        self._events.append(event)
        self._send(datagram)
        self._set_timer("transmit", RETRANSMIT_MS, self._transmit)

    def _on_deadline(self) -> None:
        event = TimedOut(
            at_ms=self._clock.now_ms(), flow=self.flow, request=self.opening.request
        )
        self._events.append(event)
        self.stop()

    def _on_refusal(self, datagram: Datagram) -> None:
        event = Refused(
            at_ms=self._clock.now_ms(),
            flow=self.flow,
            request=datagram.request,
            code=datagram.code,
            run=datagram.run,
        )
        self._events.append(event)
        self.stop()

    def _end_flow(self, ending: FlowEnding, datagram: Datagram | None = None) -> None:
        code = self.opening.code if datagram is None else datagram.code
        event = FlowEnded(
            at_ms=self._clock.now_ms(), flow=self.flow, ending=ending, code=code
        )
        self._events.append(event)
        self.stop()

    def _send_kind(self, kind: Kind) -> None:
        self._send(msgspec.structs.replace(self.opening, kind=kind, body=b""))

    def _set_timer(self, name: str, delay_ms: float, call: Callable[[], None]) -> None:
        """Set a named timer; replaces an earlier one of that name."""
        self._cancel_timer(name)
        self._timers[name] = self._clock.call_later(delay_ms, call)

    def _cancel_timer(self, name: str) -> None:
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()
