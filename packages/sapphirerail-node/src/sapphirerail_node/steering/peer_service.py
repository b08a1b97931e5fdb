"""Datagrams between entry instances: load reports and relayed reads."""

import zlib

import msgspec

from sapphirerail_core.steering import SteeringEngine
from sapphirerail_core.steering.messages import (
    DirectoryUpdate,
    LoadReport,
    PeerMessage,
    Picture,
    Stopped,
)
from sapphirerail_core.steering.model import InstanceEntry
from sapphirerail_core.steering.peers import Peer
from sapphirerail_transport.udp import (
    Address,
    UdpSocket,
    check_address,
    parse_address,
)

from ..clock import monotonic_ms
from .metrics import SteeringMetrics

__all__ = ["REPORT_INTERVAL_MS", "PeerService"]

REPORT_INTERVAL_MS = 250
# Below the 1.2 s after which a silent peer counts as lost.
REPORT_INTERVAL_MAX_MS = 750
# Keeps what an instance of a large data centre receives near 50 reports a second.
N_PEERS_AT_FULL_RATE = 12
# Updates after a change that carry the whole picture, so that one lost datagram costs
# none of the receivers a read of its own.
N_FULL_UPDATES = 3
# What a UDP datagram takes; whoever needs a larger picture reads the store itself.
DATAGRAM_MAX_BYTES = 60_000


class PeerService:
    """Sends and receives the messages between instances.

    Parameters
    ----------
    engine : SteeringEngine
        Takes in what peers tell.
    metrics : SteeringMetrics
        Counts messages.
    """

    def __init__(self, engine: SteeringEngine, metrics: SteeringMetrics) -> None:
        self._engine = engine
        self._metrics = metrics
        self._own = engine.peers.own
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        self._socket: UdpSocket | None = None
        self._told: tuple[object, ...] = ()
        self._n_full_left = 0
        self._reported_at_ms = 0

    async def open(self, address: Address) -> None:
        """Start to take messages."""
        self._socket = await UdpSocket.bind(address, self._on_datagram)

    async def close(self) -> None:
        """Stop taking messages."""
        if self._socket is not None:
            self._socket.close()

    def report_interval_ms(self) -> int:
        """Return the time between two reports, longer in a large data centre."""
        n_peers = len(self._engine.peers.near())
        interval_ms = REPORT_INTERVAL_MS * max(1, n_peers // N_PEERS_AT_FULL_RATE)
        return min(interval_ms, REPORT_INTERVAL_MAX_MS)

    def tick(self, now_ms: int) -> None:
        """Report if it is time, give or take half of a tick."""
        due_ms = self._reported_at_ms + self.report_interval_ms()
        if now_ms >= due_ms - REPORT_INTERVAL_MS // 2:
            self.report()

    def report(self) -> None:
        """Tell the peers of the own data centre what this instance has and saw."""
        self._reported_at_ms = monotonic_ms()
        loads = self._engine.report_loads(self._reported_at_ms)
        revision = self._engine.routes.state.change_revision
        self._broadcast(
            LoadReport(self._own, revision, loads), self._engine.peers.near()
        )

    def relay_read(self) -> None:
        """Tell all others of an own read of the store."""
        self._relay(0)

    def stop(self) -> None:
        """Tell the peers of the own data centre that this instance stops."""
        message = Stopped(self._own.instance)
        self._broadcast(message, self._engine.peers.near())

    def _relay(self, age_ms: int, *, is_near_only: bool = False) -> None:
        engine = self._engine
        picture = engine.picture()
        digest = _digest(picture)
        told = (digest, picture.instances)
        if told != self._told:
            self._told = told
            self._n_full_left = N_FULL_UPDATES
        is_full = self._n_full_left > 0
        self._n_full_left = max(0, self._n_full_left - 1)
        refresh = engine.refresh
        message = DirectoryUpdate(
            sender=self._own,
            store_revision=refresh.store_revision,
            age_ms=age_ms,
            steady_ms=refresh.steady_ms(monotonic_ms()),
            operator_revision=picture.operator_state.change_revision,
            digest=digest,
            picture=picture if is_full else None,
        )
        peers = self._engine.peers.near()
        if not is_near_only:
            peers += self._engine.peers.far_first()
        self._broadcast(message, peers)

    def _broadcast(self, message: PeerMessage, peers: list[Peer]) -> None:
        payload = self._encoder.encode(message)
        if len(payload) > DATAGRAM_MAX_BYTES and isinstance(message, DirectoryUpdate):
            self._metrics.count("peer_messages", "too_large")
            payload = self._encoder.encode(
                msgspec.structs.replace(message, picture=None)
            )
        for peer in peers:
            if self._socket is not None:
                self._socket.send(payload, parse_address(peer.entry.address))
        self._metrics.count("peer_messages", "sent", len(peers))

    def _on_datagram(self, payload: bytes, _: Address) -> None:
        try:
            message = self._decoder.decode(payload)
            # Every later message to such a peer would fail otherwise.
            for entry in _named_in(message):
                check_address(entry.address)
        except (msgspec.MsgspecError, ValueError):
            self._metrics.count("peer_messages", "malformed")
            return
        self._metrics.count("peer_messages", "received")
        now_ms = monotonic_ms()
        if isinstance(message, LoadReport):
            self._engine.apply_report(message, now_ms)
            self._compare_operator_state(message.operator_revision)
        elif isinstance(message, DirectoryUpdate):
            self._on_update(message, now_ms)
        else:
            self._engine.peers.on_stopped(message.instance)

    def _on_update(self, message: DirectoryUpdate, now_ms: int) -> None:
        self._engine.peers.on_heard(message.sender, now_ms)
        picture = message.picture
        if picture is not None:
            # An older one changes nothing, whichever way it came.
            self._engine.apply_operator_state(picture.operator_state, now_ms)
        self._compare_operator_state(message.operator_revision)
        is_known = message.digest == _digest(self._engine.picture())
        refresh = self._engine.refresh
        if not is_known and picture is None:
            if message.store_revision >= refresh.store_revision:
                refresh.want()
            return
        is_newer = refresh.on_update(
            message.store_revision, message.age_ms, message.steady_ms, now_ms
        )
        if not is_newer:
            return
        if picture is not None:
            self._engine.apply_picture(picture, now_ms)
            self._engine.peers.on_heard(message.sender, now_ms)
        else:
            self._engine.apply_servers(self._engine.directory.entries, now_ms)
        if message.sender.data_centre != self._own.data_centre:
            self._relay(message.age_ms, is_near_only=True)

    def _compare_operator_state(self, revision: int) -> None:
        """Ask for a read if a peer knows a change that is not known here."""
        if revision > self._engine.routes.state.store_revision:
            self._engine.refresh.want()


def _named_in(message: PeerMessage) -> tuple[InstanceEntry, ...]:
    """Return the instances that a message makes known."""
    if isinstance(message, Stopped):
        return ()
    if isinstance(message, DirectoryUpdate) and message.picture is not None:
        return (message.sender, *message.picture.instances)
    return (message.sender,)


def _digest(picture: Picture) -> int:
    """Return a checksum of all in a picture that each instance must have alike."""
    state = picture.operator_state
    revision = state.configuration.revision if state.configuration else 0
    parts = [
        (e.server, e.started_at_ms, e.address, e.is_draining, e.cold_ms > 0)
        for e in picture.servers
    ]
    return zlib.crc32(repr((revision, sorted(state.evacuated), sorted(parts))).encode())
