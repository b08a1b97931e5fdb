"""Datagrams between entry instances: load reports and relayed reads."""

import asyncio
import zlib
from collections import deque
from collections.abc import Callable

import msgspec

from sapphirerail_core.steering import SteeringEngine
from sapphirerail_core.steering.messages import (
    DirectoryUpdate,
    LoadReport,
    PeerMessage,
    Stopped,
)
from sapphirerail_core.steering.model import InstanceEntry
from sapphirerail_core.steering.peers import Peer
from sapphirerail_core.steering.store_snapshot import SnapshotChanges, StoreSnapshot
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
# Deaths that are found within this time are told together: each report goes to all
# peers, and one for each of twenty servers fills a link of 10 Mbit/s for 0.3 s.
NEWS_DELAY_MS = 20
# Keeps what an instance of a large data centre receives near 50 reports a second.
N_PEERS_AT_FULL_RATE = 12
# Updates that tell a change, so that one lost datagram costs none of the receivers a
# read of its own.
N_TOLD = 3
# Changes, packed, beyond which an update tells only that there are some, and whoever
# needs them reads the store: links of 5 Mbit/s carry it to 50 peers in 0.7 s.
CHANGES_MAX_BYTES = 8_000
# Longest changes that are unpacked: some 40,000 servers.
UNPACKED_MAX_BYTES = 4_000_000


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
        self._own = engine.peers.local
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        self._socket: UdpSocket | None = None
        self._changes_decoder = msgspec.msgpack.Decoder(SnapshotChanges)
        # What was known before each of the last own reads.
        self._before: deque[StoreSnapshot] = deque(maxlen=N_TOLD)
        self._reported_at_ms = 0
        self._news_timer: asyncio.TimerHandle | None = None

    async def open(
        self, address: Address, after_batch: Callable[[], None] | None = None
    ) -> None:
        """Start to take messages; a function is called after each batch of them."""
        self._socket = await UdpSocket.bind(address, self._on_datagram, after_batch)

    async def close(self) -> None:
        """Stop taking messages."""
        if self._news_timer is not None:
            self._news_timer.cancel()
        if self._socket is not None:
            self._socket.close()

    def report_interval_ms(self) -> int:
        """Return the time between two reports, longer in a large data centre."""
        n_peers = len(self._engine.peers.local_peers())
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
            LoadReport(self._own, revision, loads), self._engine.peers.local_peers()
        )

    def tell_news(self) -> None:
        """Report soon, with whatever else is found until then."""
        if self._news_timer is None:
            loop = asyncio.get_running_loop()
            self._news_timer = loop.call_later(NEWS_DELAY_MS / 1000, self._report_news)

    def _report_news(self) -> None:
        self._news_timer = None
        self.report()

    def relay_read(self, before: StoreSnapshot | None) -> None:
        """Tell all others what changed by the last own reads of the store.

        Parameters
        ----------
        before : StoreSnapshot or None
            What was known before the last one, here and probably at the others; None
            at the first, of which the others are told by their own reader.
        """
        if before is None:
            self.report()
            return
        self._before.append(before)
        picture, peers = self._engine.store_snapshot(), self._engine.peers
        update = self._update(picture, 0, self._packed(picture))
        self._broadcast(update, peers.local_peers() + peers.remote_relays())

    def stop(self) -> None:
        """Tell the peers of the own data centre that this instance stops."""
        message = Stopped(self._own.instance)
        self._broadcast(message, self._engine.peers.local_peers())

    def _packed(self, picture: StoreSnapshot) -> bytes | None:
        """Return the changes since the oldest picture kept, None without any."""
        changes = picture.changes_since(self._before[0])
        if changes.is_empty():
            return None
        packed = zlib.compress(self._encoder.encode(changes))
        if len(packed) > CHANGES_MAX_BYTES:
            self._metrics.count("peer_messages", "too_large")
            return None
        return packed

    def _update(
        self, picture: StoreSnapshot, age_ms: int, changes: bytes | None
    ) -> DirectoryUpdate:
        refresh = self._engine.refresh
        return DirectoryUpdate(
            sender=self._own,
            store_revision=refresh.store_revision,
            age_ms=age_ms,
            steady_ms=refresh.steady_ms(monotonic_ms()),
            operator_revision=picture.operator_state.change_revision,
            digest=picture.digest(),
            changes=changes,
        )

    def _broadcast(self, message: PeerMessage, peers: list[Peer]) -> None:
        payload = self._encoder.encode(message)
        for peer in peers:
            if self._socket is not None:
                self._socket.send(payload, parse_address(peer.entry.address))
        self._metrics.count("peer_messages", "sent", len(peers))

    def _on_datagram(self, payload: bytes, _: Address) -> None:
        try:
            message = self._decoder.decode(payload)
            changes = self._unpacked(message)
            # Every later message to such a peer would fail otherwise.
            for entry in _named_in(message, changes):
                check_address(entry.address)
        except (msgspec.MsgspecError, ValueError, zlib.error):
            self._metrics.count("peer_messages", "malformed")
            return
        self._metrics.count("peer_messages", "received")
        now_ms = monotonic_ms()
        if isinstance(message, LoadReport):
            self._engine.apply_load_report(message, now_ms)
            self._compare_operator_state(message.operator_revision)
        elif isinstance(message, DirectoryUpdate):
            self._on_update(message, changes, now_ms)
        else:
            self._engine.peers.on_stopped(message.instance)

    def _unpacked(self, message: PeerMessage) -> SnapshotChanges | None:
        if not isinstance(message, DirectoryUpdate) or message.changes is None:
            return None
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(message.changes, UNPACKED_MAX_BYTES)
        return self._changes_decoder.decode(raw)

    def _on_update(
        self, message: DirectoryUpdate, changes: SnapshotChanges | None, now_ms: int
    ) -> None:
        engine = self._engine
        engine.peers.on_contact(message.sender, now_ms)
        picture = engine.store_snapshot()
        if changes is not None:
            picture = picture.with_changes(changes)
            # An older one changes nothing, whichever way it came.
            engine.apply_operator_state(picture.operator_state, now_ms)
        self._compare_operator_state(message.operator_revision)
        refresh = engine.refresh
        if picture.digest() != message.digest:
            if message.store_revision >= refresh.store_revision:
                refresh.request_read()
            return
        is_newer = refresh.on_update(
            message.store_revision, message.age_ms, message.steady_ms, now_ms
        )
        if not is_newer:
            return
        engine.apply_store_snapshot(picture, now_ms)
        if message.sender.data_centre != self._own.data_centre:
            update = self._update(
                engine.store_snapshot(), message.age_ms, message.changes
            )
            self._broadcast(update, engine.peers.local_peers())

    def _compare_operator_state(self, revision: int) -> None:
        """Ask for a read if a peer knows a change that is not known here."""
        if revision > self._engine.routes.state.store_revision:
            self._engine.refresh.request_read()


def _named_in(
    message: PeerMessage, changes: SnapshotChanges | None
) -> tuple[InstanceEntry, ...]:
    """Return the instances that a message makes known."""
    if isinstance(message, Stopped):
        return ()
    return (message.sender, *(changes.instances if changes is not None else ()))
