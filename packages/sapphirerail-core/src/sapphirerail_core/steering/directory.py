"""Directory of the known backend servers, indexed by name, service and tag."""

from collections.abc import Callable, Iterable, Sequence

from ..types import DataCentreId, ServerId, ServiceId
from .config import SteeringConfig
from .events import Event, StateChange
from .model import ServerEntry, UnreadableEntry
from .server_state import KnownServer
from .tag import ServerTag, server_tag

__all__ = ["Directory", "KnownServer"]


class Directory:
    """Indexes servers by name, service and tag; keeps the tags of departed ones.

    Parameters
    ----------
    config : SteeringConfig
        How long departed servers are kept, and when a missing one has departed.
    is_known_service : callable
        Returns whether the configuration defines a service. Entries of others name no
        server to use.
    """

    def __init__(
        self,
        config: SteeringConfig,
        is_known_service: Callable[[ServiceId], bool] = lambda _: True,
    ) -> None:
        self._config = config
        self._is_known_service = is_known_service
        self._servers: dict[ServerId, KnownServer] = {}
        self._by_service: dict[ServiceId, list[KnownServer]] = {}
        self._by_tag: dict[int, KnownServer] = {}
        # Returns the server of a tag, departed ones included, or None. Bound once
        # because every packet calls it.
        self.by_tag = self._by_tag.get
        self.entries: tuple[ServerEntry, ...] = ()
        self.unreadable: tuple[UnreadableEntry, ...] = ()
        self._unreadable_tags: frozenset[ServerTag] = frozenset()
        # Whether the same entries may lead to another result at the next read: servers
        # whose entries are missing may depart, and unknown services become known.
        self._is_unsettled = False

    def servers(self) -> Iterable[KnownServer]:
        """Return the announced servers, and missing ones that have not departed yet."""
        return self._servers.values()

    def of_service(self, service: ServiceId) -> Sequence[KnownServer]:
        """Return the servers of a service that accept new flows."""
        return self._by_service.get(service, ())

    def of_data_centre(self, data_centre: DataCentreId) -> list[KnownServer]:
        """Return the servers of a data centre."""
        return [
            server
            for server in self._servers.values()
            if server.entry.data_centre == data_centre
        ]

    def has_unreadable_entry(self, tag: int) -> bool:
        """Return whether an entry that cannot be decoded belongs to a tag's server."""
        return tag in self._unreadable_tags

    def apply(
        self,
        entries: Iterable[ServerEntry],
        steady_ms: int,
        now_ms: int,
        unreadable: tuple[UnreadableEntry, ...] = (),
    ) -> list[Event]:
        """Replace the known servers by a complete read of the store.

        Parameters
        ----------
        entries : iterable of ServerEntry
            All server entries in the store.
        steady_ms : int
            How long the store has answered without a failure. Entries that are missing
            soon after an outage may return.
        now_ms : int
            Time of the read.
        unreadable : tuple of UnreadableEntry
            Server entries in the store that cannot be decoded.

        Returns
        -------
        list of Event
            The detected changes.
        """
        entries = tuple(entries)
        is_unchanged = entries is self.entries or entries == self.entries
        if is_unchanged and unreadable == self.unreadable and not self._is_unsettled:
            return []
        events = []
        self.entries = entries
        self.unreadable = unreadable
        self._unreadable_tags = frozenset(server_tag(e.identity) for e in unreadable)
        for entry in entries:
            events += self._apply_entry(entry, now_ms)
        unreadable_names = {entry.server for entry in unreadable}
        for name in sorted(unreadable_names & self._servers.keys()):
            events += self._on_invalid_entry(self._servers[name])
        listed = unreadable_names | {entry.server for entry in entries}
        for server in list(self._servers.values()):
            if server.entry.server not in listed:
                events += self._on_missing(server, steady_ms, now_ms)
        self._is_unsettled = any(
            server.missing_since_ms is not None
            or (not server.has_valid_entry and name not in unreadable_names)
            for name, server in self._servers.items()
        )
        events += self._rebuild_indexes()
        return events

    def forget_departed(self, now_ms: int) -> None:
        """Drop departed servers that have outlived the longest flow."""
        keep_ms = self._config.departed_keep_ms
        for tag, server in list(self._by_tag.items()):
            departed_ms = server.departed_at_ms
            if departed_ms is not None and now_ms - departed_ms > keep_ms:
                del self._by_tag[tag]

    def _apply_entry(self, entry: ServerEntry, now_ms: int) -> list[Event]:
        known = self._servers.get(entry.server)
        if known is None:
            self._servers[entry.server] = KnownServer(entry, self._config, now_ms)
            return [_event(StateChange.SERVER_ADDED, entry)]
        if not self._is_own_entry(entry, known):
            return self._on_invalid_entry(known)
        if known.entry.started_at_ms != entry.started_at_ms:
            self._servers[entry.server] = KnownServer(entry, self._config, now_ms)
            return [_event(StateChange.SERVER_RESTARTED, entry)]
        is_changed = (
            known.entry.is_draining != entry.is_draining or not known.has_valid_entry
        )
        known.missing_since_ms = None
        known.has_valid_entry = True
        if known.entry != entry:
            known.update(entry, now_ms)
        return [_event(StateChange.SERVER_CHANGED, entry)] if is_changed else []

    def _is_own_entry(self, entry: ServerEntry, known: KnownServer) -> bool:
        """Return whether an entry under a known server's name may be its own.

        A server that publishes its start does so in each entry, and one whose service
        changes to an unknown one cannot be used.
        """
        has_lost_start = known.entry.started_at_ms > 0 and entry.started_at_ms == 0
        is_same_service = entry.service == known.entry.service
        is_usable = is_same_service or self._is_known_service(entry.service)
        return is_usable and not has_lost_start

    def _on_invalid_entry(self, server: KnownServer) -> list[Event]:
        """Keep a server, without new flows: it has an entry, so it has not departed."""
        server.missing_since_ms = None
        if not server.has_valid_entry:
            return []
        server.has_valid_entry = False
        return [_event(StateChange.SERVER_ENTRY_INVALID, server.entry)]

    def _on_missing(
        self, server: KnownServer, steady_ms: int, now_ms: int
    ) -> list[Event]:
        is_steady = steady_ms >= self._config.steady_ms
        if is_steady:
            del self._servers[server.entry.server]
            server.departed_at_ms = now_ms
            return [
                _event(StateChange.SERVER_DEPARTED, server.entry, steady_ms=steady_ms)
            ]
        if server.missing_since_ms is None:
            server.missing_since_ms = now_ms
            return [
                _event(StateChange.SERVER_MISSING, server.entry, steady_ms=steady_ms)
            ]
        return []

    def _rebuild_indexes(self) -> list[Event]:
        events = self._mark_superseded()
        self._by_service = {}
        # Of two servers with the same tag the older one keeps it, on every instance.
        ordered = sorted(self._servers.values(), key=_seniority)
        assigned: set[ServerTag] = set()
        for server in ordered:
            if server.tag in assigned:
                events.append(_event(StateChange.TAG_COLLISION, server.entry))
                continue
            assigned.add(server.tag)
            self._by_tag[server.tag] = server
            if _accepts_flows(server):
                self._by_service.setdefault(server.entry.service, []).append(server)
        return events

    def _mark_superseded(self) -> list[Event]:
        """Withhold new flows from servers whose address another one announces.

        A server that crashes is listed until its entry expires, and its address may be
        given to another one before: probes then reach that one. This is no evidence of
        a departure, since an entry tells about its own server only: its open flows stay
        until its own entry is gone.
        """
        events = []
        by_address: dict[str, KnownServer] = {}
        known = [
            server
            for server in self._servers.values()
            if self._is_known_service(server.entry.service)
        ]
        for server in sorted(known, key=_recency, reverse=True):
            latest = by_address.setdefault(server.entry.address, server)
            was_superseded = server.is_superseded
            server.is_superseded = latest is not server
            if server.is_superseded and not was_superseded:
                by = latest.entry.server
                events.append(
                    _event(StateChange.SERVER_SUPERSEDED, server.entry, by=by)
                )
        return events


def _accepts_flows(server: KnownServer) -> bool:
    return server.has_valid_entry and not (
        server.entry.is_draining or server.is_superseded
    )


def _seniority(server: KnownServer) -> tuple[bool, int, ServerId]:
    """Return a key that is lowest for the oldest server; unknown starts are last."""
    entry = server.entry
    return entry.started_at_ms == 0, entry.started_at_ms, entry.server


def _recency(server: KnownServer) -> tuple[bool, int, int]:
    """Return a key that is highest for the latest of the servers at one address."""
    # A server without a known start is not taken for the later one.
    started_at_ms = server.entry.started_at_ms
    return started_at_ms > 0, server.added_at_ms, started_at_ms


def _event(change: StateChange, entry: ServerEntry, **detail: object) -> Event:
    inputs: dict[str, object] = {
        "service": entry.service,
        "data_centre": entry.data_centre,
        "address": entry.address,
        "started_at_ms": entry.started_at_ms,
        "is_draining": entry.is_draining,
        "cold_ms": entry.cold_ms,
    }
    return Event(change, entry.server, inputs | detail)
