"""Packet forwarding between callers and backend servers, as the engine decides."""

import asyncio
import socket
from collections.abc import Callable
from functools import singledispatchmethod

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering import (
    Action,
    Drop,
    Forward,
    Open,
    Reason,
    Reset,
    SteeringEngine,
)
from sapphirerail_core.steering.packet import Packet
from sapphirerail_core.steering.server_state import KnownServer
from sapphirerail_transport.udp import Address, UdpSocket, parse_address

from ..clock import monotonic_ms
from .decision_log import DecisionLog, LogClass
from .metrics import SteeringMetrics
from .ports import PacketCodec
from .probe import Reach, is_any_answering, probe

__all__ = ["PacketService"]


class PacketService:
    """Receives packets and executes the decisions of the engine about them.

    Parameters
    ----------
    engine : SteeringEngine
        Decides about each packet.
    codec : PacketCodec
        Encodes and decodes the platform's packets.
    log : DecisionLog
        Gets a line for each opening, reset, drop and detected state change.
    metrics : SteeringMetrics
        Counts packets by reason, state changes and probes.
    """

    def __init__(
        self,
        engine: SteeringEngine,
        codec: PacketCodec,
        log: DecisionLog,
        metrics: SteeringMetrics,
    ) -> None:
        self._engine = engine
        self._codec = codec
        self._log = log
        self._metrics = metrics
        self._bound: socket.socket | None = None
        self._socket: UdpSocket | None = None
        self._send: Callable[[bytes, Address], None] = _discard
        self._retry_timer: asyncio.TimerHandle | None = None
        self.on_state_change: Callable[[], None] | None = None
        # Addresses of live peers that this instance connects to, to check its own link.
        self.link_check_addresses: Callable[[], list[Address]] = list
        self._probe_tasks: set[asyncio.Task[None]] = set()
        self.last_packet_ms = 0
        # Arrival time of the packets in a batch, which spans a millisecond at most; 0
        # between two batches.
        self._batch_at_ms = 0
        self.n_forwarded = 0
        self.n_opened = 0

    def bind(self, bound: socket.socket) -> None:
        """Take ownership of a bound socket; packets wait in it until reading starts."""
        self._bound = bound

    def start_reading(self) -> None:
        """Start to read packets; does nothing if reading has started."""
        if self._socket is None and self._bound is not None:
            self._socket = UdpSocket(self._bound, self._on_datagram, self._end_batch)
            self._send = self._socket.send

    async def close(self) -> None:
        """Stop the timer, the probes and the socket."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        for task in list(self._probe_tasks):
            task.cancel()
        await asyncio.gather(*self._probe_tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()
        elif self._bound is not None:
            self._bound.close()

    def n_sent(self) -> int:
        """Return how many packets were sent to servers, including openings."""
        return self.n_forwarded + self.n_opened

    def record_totals(self) -> None:
        """Update the metric of forwarded packets, which is not counted per packet."""
        label = Reason.KNOWN_TAG.value
        self._metrics.record_total("packets", label, self.n_forwarded)

    def log_events(self) -> None:
        """Log detected state changes, report failures to peers and probe suspects."""
        if self._engine.is_idle():
            return
        self._start_probes()
        if (
            self._engine.failure_detector.has_unreported_failures
            and self.on_state_change is not None
        ):
            self.on_state_change()
        for event in self._engine.take_events():
            self._metrics.count("beliefs", event.change.value)
            self._log.write(
                LogClass.STATE_CHANGE,
                event.change.value,
                subject=event.subject,
                **event.detail,
                **self._versions(),
            )

    def _start_probes(self) -> None:
        for server in self._engine.failure_detector.take_probes(monotonic_ms()):
            task = asyncio.create_task(self._probe_server(server))
            self._probe_tasks.add(task)
            task.add_done_callback(self._probe_tasks.discard)

    async def _probe_server(self, server: KnownServer) -> None:
        """Probe a suspected server and pass the result to the engine."""
        detector = self._engine.failure_detector
        reach = await self._probe(parse_address(server.entry.address))
        if reach is None:
            self._metrics.count("probes", "inconclusive")
            detector.on_inconclusive_probe(server, monotonic_ms())
        else:
            self._metrics.count("probes", reach.value)
            detector.on_probe(server, reach is Reach.REACHED, monotonic_ms())
        self.log_events()

    async def _probe(self, address: Address) -> Reach | None:
        """Return how an address answers; None if the probe says nothing about it."""
        config = self._engine.config
        began_ms = monotonic_ms()
        link_check = asyncio.create_task(self._is_link_up())
        try:
            reach = await probe(address, config)
            if reach is not Reach.UNANSWERED:
                return reach
            delay_ms = monotonic_ms() - began_ms - config.probe_timeout_ms
            if delay_ms > config.probe_delay_max_ms:
                # The timeout was handled late, and so would an answer have been.
                return None
            return reach if await link_check else None
        finally:
            link_check.cancel()

    async def _is_link_up(self) -> bool:
        """Return whether an unanswered probe tells something about its server.

        It does if a live peer answers a connection in the same time. If no peer does,
        the link of this instance may be full; but if nothing is received either, this
        instance is cut off, and the server is out of its reach.
        """
        config, peers = self._engine.config, self._engine.peers
        began_ms = monotonic_ms()
        await asyncio.sleep(config.probe_repeat_ms / 1000)
        addresses = self.link_check_addresses()
        timeout_ms = config.probe_timeout_ms - config.probe_repeat_ms
        if not addresses or await is_any_answering(addresses, timeout_ms):
            return True
        return peers.last_contact_ms < began_ms

    def _versions(self) -> dict[str, object]:
        """Return the version and age of the data that decisions depend on."""
        refresh = self._engine.refresh
        return {
            "configuration": self._engine.routes.revision,
            "store_revision": refresh.store_revision,
            "directory_age_ms": refresh.age_ms(monotonic_ms()),
        }

    def _on_datagram(self, datagram: bytes, _: Address) -> None:
        try:
            packet = self._codec.decode(datagram)
        except InputError as error:
            self._metrics.count("packets", "malformed")
            self._log.write(
                LogClass.FLOW, "packet_malformed", code=error.code, why=error.message
            )
            return
        now_ms = self._batch_at_ms
        if not now_ms:
            now_ms = self._batch_at_ms = self.last_packet_ms = monotonic_ms()
        action = self._engine.on_packet(packet, now_ms)
        if type(action) is Forward:
            # Nearly all packets take this path: dispatching by the type of the action
            # would take longer than the decision.
            self._send(
                *self._codec.encode_for_server(packet, action.server.entry, None)
            )
            self.n_forwarded += 1
        else:
            self._execute(action, packet)
            self._schedule_retries(now_ms)

    def _end_batch(self) -> None:
        self._batch_at_ms = 0
        self.log_events()

    @singledispatchmethod
    def _execute(self, action: Action, packet: Packet) -> None:
        raise TypeError(f"cannot execute an action of type {type(action).__name__}")

    @_execute.register
    def _(self, action: Open, packet: Packet) -> None:
        server = action.server
        self._send(*self._codec.encode_for_server(packet, server.entry, server.tag))
        self._record("flow_opening", action.reason, packet, server=server.entry.server)
        self.n_opened += 1

    @_execute.register
    def _(self, action: Reset, packet: Packet) -> None:
        self._send(*self._codec.encode_reset(packet))
        server = action.server
        fields = {} if server is None else {"server": server.entry.server}
        self._record("flow_reset", action.reason, packet, **fields)

    @_execute.register
    def _(self, action: Drop, packet: Packet) -> None:
        self._record("packet_dropped", action.reason, packet)

    def _record(
        self, message: str, reason: Reason, packet: Packet, **fields: object
    ) -> None:
        self._metrics.count("packets", reason.value)
        self._log.write(
            LogClass.FLOW,
            message,
            flow=self._codec.format_flow(packet.flow),
            tag=packet.tag,
            reason=reason.value,
            **fields,
            **self._versions(),
        )

    def _schedule_retries(self, now_ms: int) -> None:
        if self._retry_timer is not None:
            return
        wait_ms = self._engine.retry_wait_ms(now_ms)
        if wait_ms is not None:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(wait_ms / 1000, self._retry_openings)

    def _retry_openings(self) -> None:
        self._retry_timer = None
        now_ms = monotonic_ms()
        for retry in self._engine.retry_openings(now_ms):
            self._execute(retry.action, retry.packet)
        self.log_events()
        self._schedule_retries(now_ms)


def _discard(datagram: bytes, address: Address) -> None:
    """Drop a datagram; replaces the send method until the socket exists."""
