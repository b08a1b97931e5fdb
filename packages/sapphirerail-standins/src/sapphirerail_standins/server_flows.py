"""The open flows of a backend server: feeds and uploads."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode
from sapphirerail_core.types import TrafficClass

from .answers import AnswerContent, digest, encode_answer
from .clock import Clock, Timer
from .server_settings import ServerSettings

__all__ = ["ServerFlows"]

Send = Callable[[Datagram, str], None]


@dataclass
class _Flow:
    """One open flow and the address that its datagrams are sent to."""

    opening: Datagram
    sender: str
    n_events: int = 0
    parts: dict[int, bytes] = field(default_factory=dict)
    n_parts: int = 0
    timer: Timer | None = None


class ServerFlows:
    """Serves the flows of one backend server.

    Parameters
    ----------
    settings : ServerSettings
        How the server behaves.
    clock : Clock
        Time and timers.
    send : callable
        Sends a datagram to an address.
    """

    def __init__(self, settings: ServerSettings, clock: Clock, send: Send) -> None:
        self._settings = settings
        self._clock = clock
        self._send = send
        self._flows: dict[int, _Flow] = {}

    @property
    def n_flows(self) -> int:
        """Number of open flows."""
        return len(self._flows)

    def is_open(self, datagram: Datagram) -> bool:
        """Return whether the flow of a datagram is open."""
        return datagram.flow in self._flows

    def drop_state(self) -> None:
        """Drop all flows without notifying their callers."""
        for flow in self._flows.values():
            if flow.timer is not None:
                flow.timer.cancel()
        self._flows.clear()

    def on_open(self, datagram: Datagram, sender: str) -> None:
        """Open a flow, or repeat the acknowledgement of an open one."""
        flow = self._flows.get(datagram.flow)
        if flow is None:
            flow = _Flow(datagram, sender)
            self._flows[datagram.flow] = flow
            if datagram.traffic_class is TrafficClass.FEED:
                self._schedule_event(flow)
        flow.sender = sender
        self._reply(datagram, Kind.ACK, sender, part=0)

    def on_data(self, datagram: Datagram, sender: str) -> None:
        """Handle a part of an upload."""
        flow = self._find_flow(datagram, sender)
        if flow is None:
            return
        flow.parts[datagram.part] = datagram.body
        flow.n_parts = datagram.n_parts
        self._reply(datagram, Kind.ACK, sender, part=datagram.part)
        if len(flow.parts) == flow.n_parts:
            self._answer_upload(flow, datagram)

    def on_keepalive(self, datagram: Datagram, sender: str) -> None:
        """Answer a keepalive; the flow is sent to its sender from now on."""
        if self._find_flow(datagram, sender) is not None:
            self._reply(datagram, Kind.KEEPALIVE, sender, part=datagram.part)

    def on_close(self, datagram: Datagram, sender: str) -> None:
        """Close a flow."""
        flow = self._flows.pop(datagram.flow, None)
        if flow is not None and flow.timer is not None:
            flow.timer.cancel()

    def _find_flow(self, datagram: Datagram, sender: str) -> _Flow | None:
        """Return the open flow and update its address; reset an unknown flow."""
        flow = self._flows.get(datagram.flow)
        if flow is None:
            reset = msgspec.structs.replace(
                datagram, kind=Kind.RESET, code=RefusalCode.FLOW_LOST, body=b""
            )
            self._send(reset, sender)
            return None
        flow.sender = sender
        return flow

    def _reply(
        self, datagram: Datagram, kind: Kind, sender: str, part: int, body: bytes = b""
    ) -> None:
        reply = msgspec.structs.replace(datagram, kind=kind, part=part, body=body)
        self._send(reply, sender)

    def _schedule_event(self, flow: _Flow) -> None:
        interval_ms = self._settings.feed_interval_ms
        flow.timer = self._clock.call_later(interval_ms, lambda: self._send_event(flow))

    def _send_event(self, flow: _Flow) -> None:
        flow.n_events += 1
        event = msgspec.structs.replace(
            flow.opening,
            kind=Kind.DATA,
            part=flow.n_events,
            n_parts=0,
            body=b"%d:%d" % (flow.opening.flow, flow.n_events),
        )
        self._send(event, flow.sender)
        self._schedule_event(flow)

    def _answer_upload(self, flow: _Flow, datagram: Datagram) -> None:
        upload = b"".join(flow.parts[part] for part in sorted(flow.parts))
        content = AnswerContent(
            server=self._settings.server,
            service=datagram.service,
            flow=datagram.flow,
            request=datagram.request,
            body_digest=digest(upload),
        )
        answer = msgspec.structs.replace(
            datagram, kind=Kind.ANSWER, part=0, n_parts=1, body=encode_answer(content)
        )
        self._send(answer, flow.sender)
