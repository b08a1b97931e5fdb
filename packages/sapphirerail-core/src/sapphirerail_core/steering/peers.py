"""The other entry instances: where they are and what they report."""

from collections.abc import Iterable

from ..rendezvous import rank
from ..types import DataCentreId, InstanceId
from .messages import LoadReport
from .model import InstanceEntry

__all__ = ["Peer", "Peers"]

_NEVER_MS = -1_000_000_000


class Peer:
    """One other instance."""

    __slots__ = ("entry", "heard_at_ms", "report")

    def __init__(self, entry: InstanceEntry) -> None:
        self.entry = entry
        self.heard_at_ms = _NEVER_MS
        self.report: LoadReport | None = None


class Peers:
    """Registered instances, and which of them were heard lately.

    Parameters
    ----------
    own : InstanceEntry
        This instance.
    live_ms : int
        How long an instance counts as live after it was heard.
    now_ms : int
        Start of this instance.
    """

    def __init__(self, own: InstanceEntry, live_ms: int, now_ms: int) -> None:
        self.own = own
        self._live_ms = live_ms
        self._began_ms = now_ms
        self._peers: dict[InstanceId, Peer] = {}
        # As the last read of the store showed them, without those that were only heard.
        self.registered: tuple[InstanceEntry, ...] = ()

    def apply(self, entries: Iterable[InstanceEntry], now_ms: int) -> None:
        """Replace the registered instances by one complete read.

        One that is live stays known: the store may refuse its registration.
        """
        self.registered = tuple(entries)
        known = self._peers
        self._peers = {
            name: peer for name, peer in known.items() if self._is_live(peer, now_ms)
        }
        for entry in self.registered:
            if entry.instance == self.own.instance:
                continue
            peer = known.get(entry.instance)
            if peer is None or peer.entry.address != entry.address:
                peer = Peer(entry)
            peer.entry = entry
            self._peers[entry.instance] = peer

    def entries(self) -> list[InstanceEntry]:
        """Return all instances that are registered or live, this one included."""
        return [self.own, *(peer.entry for peer in self._peers.values())]

    def add(self, entries: Iterable[InstanceEntry]) -> None:
        """Make instances known that another one knows, as if they were registered."""
        for entry in entries:
            if entry.instance != self.own.instance:
                self._peers.setdefault(entry.instance, Peer(entry))

    def on_heard(self, entry: InstanceEntry, now_ms: int) -> Peer:
        """Note a message of an instance; one that is not registered yet is added."""
        peer = self._peers.get(entry.instance)
        if peer is None or peer.entry.address != entry.address:
            peer = Peer(entry)
            self._peers[entry.instance] = peer
        peer.heard_at_ms = now_ms
        return peer

    def on_stopped(self, instance: InstanceId) -> None:
        """Forget an instance that said that it stops."""
        self._peers.pop(instance, None)

    def near(self) -> list[Peer]:
        """Return the peers of the own data centre."""
        own = self.own.data_centre
        return [p for p in self._peers.values() if p.entry.data_centre == own]

    def live_near(self, now_ms: int) -> list[InstanceId]:
        """Return the live instances of the own data centre, this one included."""
        live = [
            peer.entry.instance for peer in self.near() if self._is_live(peer, now_ms)
        ]
        return [self.own.instance, *live]

    def _is_live(self, peer: Peer, now_ms: int) -> bool:
        return now_ms - peer.heard_at_ms <= self._live_ms

    def far_first(self) -> list[Peer]:
        """Return one peer of each other data centre: the one that ranks first."""
        found: dict[DataCentreId, Peer] = {}
        for _, peer in sorted(self._peers.items()):
            data_centre = peer.entry.data_centre
            if data_centre != self.own.data_centre:
                found.setdefault(data_centre, peer)
        return list(found.values())

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that have registered instances."""
        return sorted({entry.data_centre for entry in self.entries()})

    def own_rank(self, now_ms: int) -> int:
        """Return how many live instances of the own data centre rank before this."""
        live = sorted(self.live_near(now_ms))
        return live.index(self.own.instance)

    def is_sender(
        self, server_key: int, data_centre: DataCentreId, now_ms: int
    ) -> bool:
        """Return whether this instance is the one that sends to a cold server.

        Only instances of the server's data centre send to it. A data centre without
        registered instances is served by the first of all registered ones. An instance
        that has just started has not heard the others yet and sends nothing: all may
        have started together.
        """
        if now_ms - self._began_ms < self._live_ms:
            return False
        if data_centre == self.own.data_centre:
            names = self.live_near(now_ms)
        elif any(e.data_centre == data_centre for e in self.entries()):
            return False
        else:
            names = [entry.instance for entry in self.entries()]
        return rank(server_key, names)[0] == self.own.instance
