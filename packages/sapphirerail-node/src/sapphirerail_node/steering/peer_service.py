"""Datagrams between entry instances: load reports and changes read from the store."""

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
# Below the 1.2 s after which an unresponsive peer counts as failed.
REPORT_INTERVAL_MAX_MS = 750
# Failures detected within this time share a report, since a report goes to all peers:
# twenty reports, one per failed server, would fill a link of 10 Mbit/s for 0.3 s.
REPORT_DELAY_MS = 20
# Beyond this, reports are less frequent, so that an instance in a large data centre
# receives about 50 reports per second.
N_PEERS_AT_FULL_RATE = 12
# Each change is in this many updates, so that a receiver that misses one datagram need
# not read the store.
N_UPDATES_PER_CHANGE = 3
# Larger compressed changes are left out of the update, and the receivers read the store
# instead. A link of 5 Mbit/s carries changes of this size to 50 peers in 0.7 s.
CHANGES_MAX_BYTES = 8_000
# Bound on decompressed changes; enough for about 40,000 servers.
UNPACKED_MAX_BYTES = 4_000_000


class PeerService:
    """Exchanges load reports and store changes with the other instances.

    Parameters
    ----------
    engine : SteeringEngine
        Applies the messages of peers.
    metrics : SteeringMetrics
        Counts messages.
    """

    def __init__(self, engine: SteeringEngine, metrics: SteeringMetrics) -> None:
        self._engine = engine
        self._metrics = metrics
        self._local_entry = engine.peers.local
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        self._socket: UdpSocket | None = None
        self._changes_decoder = msgspec.msgpack.Decoder(SnapshotChanges)
        # The snapshots before each of the last reads by this instance, oldest first.
        self._earlier_snapshots: deque[StoreSnapshot] = deque(
            maxlen=N_UPDATES_PER_CHANGE
        )
        self._reported_at_ms = 0
        self._report_timer: asyncio.TimerHandle | None = None

    async def open(
        self, address: Address, after_batch: Callable[[], None] | None = None
    ) -> None:
        """Start to receive messages; `after_batch` is called after each batch."""
        self._socket = await UdpSocket.bind(address, self._on_datagram, after_batch)

    async def close(self) -> None:
        """Stop receiving and sending messages."""
        if self._report_timer is not None:
            self._report_timer.cancel()
        if self._socket is not None:
            self._socket.close()

    def report_interval_ms(self) -> int:
        """Return the time between two reports; it is longer in a large data centre."""
        n_peers = len(self._engine.peers.local_peers())
        interval_ms = REPORT_INTERVAL_MS * max(1, n_peers // N_PEERS_AT_FULL_RATE)
        return min(interval_ms, REPORT_INTERVAL_MAX_MS)

    def tick(self, now_ms: int) -> None:
        """Report if the next report is due within half a tick."""
        due_ms = self._reported_at_ms + self.report_interval_ms()
        if now_ms >= due_ms - REPORT_INTERVAL_MS // 2:
            self.report()

    def report(self) -> None:
        """Send this instance's load and its detected failures to the local peers."""
        self._reported_at_ms = monotonic_ms()
        loads = self._engine.report_loads(self._reported_at_ms)
        revision = self._engine.routes.state.change_revision
        self._broadcast(
            LoadReport(self._local_entry, revision, loads),
            self._engine.peers.local_peers(),
        )

    def schedule_report(self) -> None:
        """Send a report after a short delay, with all failures detected until then."""
        if self._report_timer is None:
            loop = asyncio.get_running_loop()
            self._report_timer = loop.call_later(
                REPORT_DELAY_MS / 1000, self._send_scheduled_report
            )

    def _send_scheduled_report(self) -> None:
        self._report_timer = None
        self.report()

    def publish_changes(self, previous: StoreSnapshot | None) -> None:
        """Send the changes of this instance's last reads of the store to all others.

        Parameters
        ----------
        previous : StoreSnapshot or None
            What was known before the last read, here and probably at the others; None
            after the first read, as the others get its result from their own reader.
        """
        if previous is None:
            self.report()
            return
        self._earlier_snapshots.append(previous)
        snapshot, peers = self._engine.store_snapshot(), self._engine.peers
        update = self._make_update(snapshot, 0, self._pack_changes(snapshot))
        self._broadcast(update, peers.local_peers() + peers.remote_relays())

    def stop(self) -> None:
        """Notify the local peers that this instance stops."""
        message = Stopped(self._local_entry.instance)
        self._broadcast(message, self._engine.peers.local_peers())

    def _pack_changes(self, snapshot: StoreSnapshot) -> bytes | None:
        """Return the compressed changes since the oldest of the earlier snapshots.

        Returns
        -------
        bytes or None
            None if nothing changed or the changes are too large.
        """
        changes = snapshot.changes_since(*self._earlier_snapshots)
        if changes.is_empty():
            return None
        packed = zlib.compress(self._encoder.encode(changes))
        if len(packed) > CHANGES_MAX_BYTES:
            self._metrics.count("peer_messages", "too_large")
            return None
        return packed

    def _make_update(
        self, snapshot: StoreSnapshot, age_ms: int, changes: bytes | None
    ) -> DirectoryUpdate:
        refresh = self._engine.refresh
        return DirectoryUpdate(
            sender=self._local_entry,
            store_revision=refresh.store_revision,
            age_ms=age_ms,
            steady_ms=refresh.steady_ms(monotonic_ms()),
            operator_revision=snapshot.operator_state.change_revision,
            digest=snapshot.digest(),
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
            changes = self._unpack_changes(message)
            # A peer with an invalid address would make each later message to it fail.
            for entry in _instances_in(message, changes):
                check_address(entry.address)
        except (msgspec.MsgspecError, ValueError, RecursionError, zlib.error):
            self._metrics.count("peer_messages", "malformed")
            return
        self._metrics.count("peer_messages", "received")
        now_ms = monotonic_ms()
        if isinstance(message, LoadReport):
            self._engine.apply_load_report(message, now_ms)
            self._check_operator_revision(message.operator_revision)
        elif isinstance(message, DirectoryUpdate):
            self._on_update(message, changes, now_ms)
        else:
            self._engine.peers.on_stopped(message.instance)

    def _unpack_changes(self, message: PeerMessage) -> SnapshotChanges | None:
        if not isinstance(message, DirectoryUpdate) or message.changes is None:
            return None
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(message.changes, UNPACKED_MAX_BYTES)
        return self._changes_decoder.decode(raw)

    def _on_update(
        self, message: DirectoryUpdate, changes: SnapshotChanges | None, now_ms: int
    ) -> None:
        engine = self._engine
        engine.peers.on_contact(message.sender, now_ms)
        snapshot = engine.store_snapshot()
        if changes is not None:
            snapshot = snapshot.with_changes(changes)
            # The engine ignores an older state, so this is safe in any order.
            engine.apply_operator_state(snapshot.operator_state, now_ms)
            if (operator := changes.operator) is not None:
                engine.apply_evacuations(
                    operator.evacuated, operator.store_revision, now_ms
                )
        self._check_operator_revision(message.operator_revision)
        refresh = engine.refresh
        if snapshot.digest() != message.digest:
            if message.store_revision >= refresh.store_revision:
                refresh.request_read()
            return
        is_newer = refresh.on_update(
            message.store_revision, message.age_ms, message.steady_ms, now_ms
        )
        if not is_newer:
            return
        engine.apply_store_snapshot(snapshot, now_ms)
        if message.sender.data_centre != self._local_entry.data_centre:
            update = self._make_update(
                engine.store_snapshot(), message.age_ms, message.changes
            )
            self._broadcast(update, engine.peers.local_peers())

    def _check_operator_revision(self, revision: int) -> None:
        """Request a read of the store if a peer knows a newer operator revision."""
        if revision > self._engine.routes.state.store_revision:
            self._engine.refresh.request_read()


def _instances_in(
    message: PeerMessage, changes: SnapshotChanges | None
) -> tuple[InstanceEntry, ...]:
    """Return the instances whose addresses a message contains."""
    if isinstance(message, Stopped):
        return ()
    return (message.sender, *(changes.instances if changes is not None else ()))
