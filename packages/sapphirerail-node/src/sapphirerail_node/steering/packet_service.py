"""The socket towards callers and backend servers, and what the engine decides."""

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
from .probe import is_reachable

__all__ = ["PacketService"]


class PacketService:
    """Carries out the engine's decisions.

    Parameters
    ----------
    engine : SteeringEngine
        Decides.
    codec : PacketCodec
        The platform's packets.
    log : DecisionLog
        One line for each opening, reset and change of belief.
    metrics : SteeringMetrics
        Counts packets by outcome.
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
        self._send: Callable[[bytes, Address], None] = _lose
        self._repeat_timer: asyncio.TimerHandle | None = None
        self.on_news: Callable[[], None] | None = None
        self._probes: set[asyncio.Task[None]] = set()
        self.last_packet_ms = 0
        # Time of the packets that are read together, a millisecond's worth at most; 0
        # between two batches.
        self._batch_ms = 0
        self.n_forwarded = 0
        self.n_opened = 0

    def bind(self, bound: socket.socket) -> None:
        """Take over a bound socket; packets wait in it until they are read."""
        self._bound = bound

    def read(self) -> None:
        """Start to read packets, if this was not done before."""
        if self._socket is None and self._bound is not None:
            self._socket = UdpSocket(self._bound, self._on_datagram, self._end_batch)
            self._send = self._socket.send

    async def close(self) -> None:
        """Stop taking packets."""
        if self._repeat_timer is not None:
            self._repeat_timer.cancel()
        for task in list(self._probes):
            task.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()
        elif self._bound is not None:
            self._bound.close()

    def n_sent(self) -> int:
        """Return how many packets went to servers, openings included."""
        return self.n_forwarded + self.n_opened

    def record_totals(self) -> None:
        """Bring the counters that packets do not count one by one up to date."""
        label = Reason.KNOWN_TAG.value
        self._metrics.record_total("packets", label, self.n_forwarded)

    def log_events(self) -> None:
        """Write, and tell peers, what the engine came to believe; probe suspects."""
        if self._engine.is_idle():
            return
        self._probe()
        if (
            self._engine.failure_detector.has_unreported_failures
            and self.on_news is not None
        ):
            self.on_news()
        for event in self._engine.take_events():
            self._metrics.count("beliefs", event.change.value)
            self._log.write(
                LogClass.BELIEF,
                event.change.value,
                subject=event.subject,
                **event.detail,
                **self._versions(),
            )

    def _probe(self) -> None:
        for server in self._engine.failure_detector.take_probes(monotonic_ms()):
            task = asyncio.create_task(self._probe_one(server))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)

    async def _probe_one(self, server: KnownServer) -> None:
        """Find out whether a suspected server can be reached, and tell the engine."""
        address = parse_address(server.entry.address)
        is_reached = await is_reachable(address, self._engine.config)
        self._metrics.count("probes", "reached" if is_reached else "unreached")
        self._engine.failure_detector.on_probe(server, is_reached, monotonic_ms())
        self.log_events()

    def _versions(self) -> dict[str, object]:
        """Return version and age of what decisions rest on."""
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
        now_ms = self._batch_ms
        if not now_ms:
            now_ms = self._batch_ms = self.last_packet_ms = monotonic_ms()
        action = self._engine.on_packet(packet, now_ms)
        if type(action) is Forward:
            # Nearly all packets: the dispatch would take longer than the decision.
            self._send(*self._codec.for_server(packet, action.server.entry, None))
            self.n_forwarded += 1
        else:
            self._carry_out(action, packet)
            self._schedule_repeats(now_ms)

    def _end_batch(self) -> None:
        self._batch_ms = 0
        self.log_events()

    @singledispatchmethod
    def _carry_out(self, action: Action, packet: Packet) -> None:
        raise TypeError(f"no way to carry out {type(action).__name__}")

    @_carry_out.register
    def _(self, action: Open, packet: Packet) -> None:
        server = action.server
        self._send(*self._codec.for_server(packet, server.entry, server.tag))
        self._note("flow_opening", action.reason, packet, server=server.entry.server)
        self.n_opened += 1

    @_carry_out.register
    def _(self, action: Reset, packet: Packet) -> None:
        self._send(*self._codec.reset(packet))
        server = action.server
        fields = {} if server is None else {"server": server.entry.server}
        self._note("flow_reset", action.reason, packet, **fields)

    @_carry_out.register
    def _(self, action: Drop, packet: Packet) -> None:
        self._note("packet_dropped", action.reason, packet)

    def _note(
        self, message: str, reason: Reason, packet: Packet, **fields: object
    ) -> None:
        self._metrics.count("packets", reason.value)
        self._log.write(
            LogClass.FLOW,
            message,
            flow=self._codec.describe(packet.flow),
            tag=packet.tag,
            reason=reason.value,
            **fields,
            **self._versions(),
        )

    def _schedule_repeats(self, now_ms: int) -> None:
        if self._repeat_timer is not None:
            return
        wait_ms = self._engine.retry_wait_ms(now_ms)
        if wait_ms is not None:
            loop = asyncio.get_running_loop()
            self._repeat_timer = loop.call_later(wait_ms / 1000, self._repeat)

    def _repeat(self) -> None:
        self._repeat_timer = None
        now_ms = monotonic_ms()
        for repeat in self._engine.retry_openings(now_ms):
            self._carry_out(repeat.action, repeat.packet)
        self.log_events()
        self._schedule_repeats(now_ms)


def _lose(datagram: bytes, address: Address) -> None:
    """Stand for the socket until there is one."""
