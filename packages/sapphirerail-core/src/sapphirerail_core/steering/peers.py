"""The other entry instances: addresses, liveness and load reports."""

from collections.abc import Iterable

from ..rendezvous import rank
from ..types import DataCentreId, InstanceId
from .messages import LoadReport
from .model import InstanceEntry

__all__ = ["Peer", "Peers"]

_NEVER_MS = -1_000_000_000


class Peer:
    """Another instance: its entry, last contact and last load report."""

    __slots__ = ("entry", "last_contact_ms", "report")

    def __init__(self, entry: InstanceEntry) -> None:
        self.entry = entry
        self.last_contact_ms = _NEVER_MS
        self.report: LoadReport | None = None


class Peers:
    """Registered and live instances of the fleet.

    Parameters
    ----------
    local : InstanceEntry
        This instance.
    live_ms : int
        How long an instance counts as live after its last message.
    now_ms : int
        Start time of this instance.
    """

    def __init__(self, local: InstanceEntry, live_ms: int, now_ms: int) -> None:
        self.local = local
        self._live_ms = live_ms
        self._started_at_ms = now_ms
        self._peers: dict[InstanceId, Peer] = {}
        # Time of the last message from any instance.
        self.last_contact_ms = _NEVER_MS
        # Entries of the last read of the store; instances that are known only by their
        # messages are not included.
        self.registered: tuple[InstanceEntry, ...] = ()
        self._unregistered: set[InstanceId] = set()

    def apply(self, entries: Iterable[InstanceEntry], now_ms: int) -> None:
        """Replace the registered instances by a complete read of the store.

        Live instances without an entry are kept: the store may refuse their
        registration.
        """
        registered = tuple(entries)
        if registered is self.registered or registered == self.registered:
            self._discard_lost(now_ms)
            return
        self.registered = registered
        known = self._peers
        self._peers = {
            name: peer for name, peer in known.items() if self._is_live(peer, now_ms)
        }
        for entry in self.registered:
            if entry.instance == self.local.instance:
                continue
            peer = known.get(entry.instance)
            if peer is None or peer.entry.address != entry.address:
                peer = Peer(entry)
            peer.entry = entry
            self._peers[entry.instance] = peer
        registered_names = {entry.instance for entry in registered}
        self._unregistered = self._peers.keys() - registered_names

    def _discard_lost(self, now_ms: int) -> None:
        """Drop instances that are neither registered nor live."""
        for name in list(self._unregistered):
            peer = self._peers.get(name)
            if peer is None or not self._is_live(peer, now_ms):
                self._unregistered.discard(name)
                self._peers.pop(name, None)

    def entries(self) -> list[InstanceEntry]:
        """Return the known instances, registered or live, including this one."""
        return [self.local, *(peer.entry for peer in self._peers.values())]

    def add(self, entries: Iterable[InstanceEntry]) -> None:
        """Add instances that another one knows, as if they were registered."""
        for entry in entries:
            name = entry.instance
            if name != self.local.instance and name not in self._peers:
                self._peers[name] = Peer(entry)
                self._unregistered.add(name)

    def on_contact(self, entry: InstanceEntry, now_ms: int) -> Peer:
        """Record a message from an instance; adds one that is not registered yet."""
        peer = self._peers.get(entry.instance)
        if peer is None or peer.entry.address != entry.address:
            if peer is None:
                self._unregistered.add(entry.instance)
            peer = Peer(entry)
            self._peers[entry.instance] = peer
        peer.last_contact_ms = self.last_contact_ms = now_ms
        return peer

    def on_stopped(self, instance: InstanceId) -> None:
        """Remove an instance that announced its stop."""
        self._peers.pop(instance, None)

    def local_peers(self) -> list[Peer]:
        """Return the peers in the local data centre."""
        local = self.local.data_centre
        return [p for p in self._peers.values() if p.entry.data_centre == local]

    def live_local_instances(self, now_ms: int) -> list[InstanceId]:
        """Return the live instances of the local data centre, including this one."""
        live = [peer.entry.instance for peer in self.live_local_peers(now_ms)]
        return [self.local.instance, *live]

    def live_local_peers(self, now_ms: int) -> list[Peer]:
        """Return the live peers in the local data centre."""
        return [peer for peer in self.local_peers() if self._is_live(peer, now_ms)]

    def _is_live(self, peer: Peer, now_ms: int) -> bool:
        return now_ms - peer.last_contact_ms <= self._live_ms

    def remote_relays(self) -> list[Peer]:
        """Return the lowest-named peer of each remote data centre, to relay updates."""
        found: dict[DataCentreId, Peer] = {}
        for _, peer in sorted(self._peers.items()):
            data_centre = peer.entry.data_centre
            if data_centre != self.local.data_centre:
                found.setdefault(data_centre, peer)
        return list(found.values())

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that have known instances, sorted."""
        return sorted({entry.data_centre for entry in self.entries()})

    def local_rank(self, now_ms: int) -> int:
        """Return this instance's rank among the live local ones; 0 is the first."""
        live = sorted(self.live_local_instances(now_ms))
        return live.index(self.local.instance)

    def is_sender(
        self, server_key: int, data_centre: DataCentreId, now_ms: int
    ) -> bool:
        """Return whether this instance is the one that sends to a cold server.

        Rendezvous hashing selects the sender among the live instances of the server's
        data centre. For a data centre without known instances it selects among all
        known ones. An instance that has just started sends nothing, as it has not
        received messages of the others yet: all may have started together.
        """
        if now_ms - self._started_at_ms < self._live_ms:
            return False
        if data_centre == self.local.data_centre:
            names = self.live_local_instances(now_ms)
        elif any(e.data_centre == data_centre for e in self.entries()):
            return False
        else:
            names = [entry.instance for entry in self.entries()]
        return rank(server_key, names)[0] == self.local.instance
