"""Snapshots of the store, and the changes between two of them."""

import zlib
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Generic, TypeVar

import msgspec

from ..types import DataCentreId, InstanceId, Revision, ServerId
from .model import (
    Configuration,
    InstanceEntry,
    OperatorState,
    Route,
    ServerEntry,
    ServiceEntry,
    UnreadableEntry,
)
from .packet import ServiceAddress

__all__ = [
    "ConfigurationChanges",
    "OperatorChanges",
    "SnapshotChanges",
    "StoreSnapshot",
]

EntryT = TypeVar("EntryT")
KeyT = TypeVar("KeyT")

# The snapshots of the last reads, and those being compared with them.
_N_CHECKSUMS_KEPT = 8


class ConfigurationChanges(msgspec.Struct, frozen=True, array_like=True):
    """Changes from one revision of the configuration to a later one.

    A configuration may have thousands of routes; a change affects few of them.

    Parameters
    ----------
    base_revision : Revision
        Revision that the changes apply to; 0 if there was no configuration.
    revision : Revision
        Revision that results.
    routes : tuple of Route
        New and changed routes.
    removed : tuple of ServiceAddress
        Addresses of removed routes.
    services : tuple of ServiceEntry
        All services.
    flow_idle_ms : int
        Idle timeout of flows.
    """

    base_revision: Revision
    revision: Revision
    routes: tuple[Route, ...]
    removed: tuple[ServiceAddress, ...]
    services: tuple[ServiceEntry, ...]
    flow_idle_ms: int

    @classmethod
    def between(
        cls, older: Configuration | None, newer: Configuration
    ) -> "ConfigurationChanges":
        """Return the changes that turn an older configuration into a newer one."""
        known = _routes_of(older)
        listed = {route.destination for route in newer.routes}
        return cls(
            base_revision=_revision_of(older),
            revision=newer.revision,
            routes=tuple(r for r in newer.routes if known.get(r.destination) != r),
            removed=tuple(known.keys() - listed),
            services=newer.services,
            flow_idle_ms=newer.flow_idle_ms,
        )

    def apply_to(self, configuration: Configuration | None) -> Configuration:
        """Return the configuration that results."""
        routes = _routes_of(configuration)
        for destination in self.removed:
            routes.pop(destination, None)
        routes |= {route.destination: route for route in self.routes}
        return Configuration(
            self.revision, tuple(routes.values()), self.services, self.flow_idle_ms
        )


class OperatorChanges(msgspec.Struct, frozen=True):
    """Changes of the operators' state.

    Parameters
    ----------
    store_revision : int
        Store revision of the newer state.
    change_revision : int
        Store revision of the newest change included.
    configurations : tuple of ConfigurationChanges
        One item for each configuration in between, oldest first, so that a receiver
        can start at any of them.
    evacuated : tuple of DataCentreId
        All evacuated data centres.
    configuration_revision : Revision or None
        Revision of the newer state's configuration, also if it is none of
        `configurations`; None from a sender that does not tell it.
    """

    store_revision: int
    change_revision: int
    configurations: tuple[ConfigurationChanges, ...]
    evacuated: tuple[DataCentreId, ...]
    configuration_revision: Revision | None = None


class SnapshotChanges(msgspec.Struct, frozen=True):
    """Changes from one snapshot to a newer one.

    Parameters
    ----------
    operator : OperatorChanges or None
        Changes of the operators' state; None if it is the same.
    servers : tuple of ServerEntry
        New and changed entries.
    gone_servers : tuple of ServerId
        Servers whose entries were removed.
    instances : tuple of InstanceEntry
        New and changed entries.
    gone_instances : tuple of InstanceId
        Instances that are no longer registered.
    unreadable_servers : tuple of UnreadableEntry
        Entries that can no longer be decoded.
    """

    operator: OperatorChanges | None = None
    servers: tuple[ServerEntry, ...] = ()
    gone_servers: tuple[ServerId, ...] = ()
    instances: tuple[InstanceEntry, ...] = ()
    gone_instances: tuple[InstanceId, ...] = ()
    unreadable_servers: tuple[UnreadableEntry, ...] = ()

    def is_empty(self) -> bool:
        """Return whether nothing changed."""
        return self == SnapshotChanges()


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Contents of the store as of one read, or as received from other instances.

    A server has at most one entry, in `servers` or in `unreadable_servers`.
    """

    operator_state: OperatorState
    servers: tuple[ServerEntry, ...]
    instances: tuple[InstanceEntry, ...]
    unreadable_servers: tuple[UnreadableEntry, ...] = ()

    def digest(self) -> int:
        """Return a checksum of the state that must agree on all instances."""
        state = self.operator_state
        content = (
            _revision_of(state.configuration),
            sorted(state.evacuated),
            _sum_servers(self.servers),
            _sum_instances(self.instances),
            sorted(entry.server for entry in self.unreadable_servers),
        )
        return zlib.crc32(repr(content).encode())

    def changes_since(self, *older: "StoreSnapshot") -> SnapshotChanges:
        """Return the changes that turn any of some older snapshots into this one.

        Parameters
        ----------
        *older : StoreSnapshot
            Consecutive snapshots before this one, oldest first.
        """
        servers, gone_servers = _difference(
            self.servers, [snapshot.servers for snapshot in older], _server_of
        )
        instances, gone_instances = _difference(
            self.instances, [snapshot.instances for snapshot in older], _instance_of
        )
        unreadable, not_unreadable = _difference(
            self.unreadable_servers,
            [snapshot.unreadable_servers for snapshot in older],
            _server_of,
        )
        if not_unreadable:
            listed = {entry.server for entry in self.servers}
            gone_servers = tuple({*gone_servers, *not_unreadable} - listed)
        return SnapshotChanges(
            self._operator_changes(older),
            servers,
            gone_servers,
            instances,
            gone_instances,
            unreadable,
        )

    def with_changes(self, changes: SnapshotChanges) -> "StoreSnapshot":
        """Return a copy with changes applied.

        An older operators' state is ignored, and one whose configuration cannot be
        derived from this snapshot's: the result would claim a store revision without
        everything up to it. The entries are the same object if none of them changed.
        """
        # The entry of a server may be gone from one list and listed in the other one.
        readable = [entry.server for entry in changes.servers]
        unreadable = [entry.server for entry in changes.unreadable_servers]
        return StoreSnapshot(
            self._changed_operator_state(changes.operator),
            _apply(
                self.servers,
                changes.servers,
                (*changes.gone_servers, *unreadable),
                _server_of,
            ),
            _apply(
                self.instances,
                changes.instances,
                changes.gone_instances,
                _instance_of,
            ),
            _apply(
                self.unreadable_servers,
                changes.unreadable_servers,
                (*changes.gone_servers, *readable),
                _server_of,
            ),
        )

    def _changed_operator_state(self, changes: OperatorChanges | None) -> OperatorState:
        state = self.operator_state
        if changes is None or changes.store_revision < state.store_revision:
            return state
        configuration = state.configuration
        for step in changes.configurations:
            if step.base_revision == _revision_of(configuration):
                configuration = step.apply_to(configuration)
        newest = changes.configuration_revision
        if newest is None or newest > _revision_of(configuration):
            return state
        return OperatorState(
            changes.store_revision,
            changes.change_revision,
            configuration,
            changes.evacuated,
        )

    def _operator_changes(
        self, older: Sequence["StoreSnapshot"]
    ) -> OperatorChanges | None:
        states = [snapshot.operator_state for snapshot in (*older, self)]
        last = states[-1]
        steps = tuple(
            ConfigurationChanges.between(before.configuration, after.configuration)
            for before, after in zip(states, states[1:], strict=False)
            if after.configuration is not None
            and _revision_of(before.configuration) != after.configuration.revision
        )
        evacuated = set(last.evacuated)
        if not steps and all(set(state.evacuated) == evacuated for state in states):
            return None
        return OperatorChanges(
            last.store_revision,
            last.change_revision,
            steps,
            last.evacuated,
            _revision_of(last.configuration),
        )


def _difference(
    newer: tuple[EntryT, ...],
    older: Iterable[tuple[EntryT, ...]],
    key_of: Callable[[EntryT], KeyT],
) -> tuple[tuple[EntryT, ...], tuple[KeyT, ...]]:
    """Return the entries that any older tuple lacks, and the keys of removed ones."""
    changed: dict[KeyT, EntryT] = {}
    gone: set[KeyT] = set()
    for entries in older:
        if entries == newer:
            continue
        known = {key_of(entry): entry for entry in entries}
        changed |= {key_of(e): e for e in newer if known.get(key_of(e)) != e}
        gone |= known.keys()
    if gone:
        gone -= {key_of(entry) for entry in newer}
    return tuple(changed.values()), tuple(gone)


def _apply(
    entries: tuple[EntryT, ...],
    changed: Sequence[EntryT],
    gone: Sequence[KeyT],
    key_of: Callable[[EntryT], KeyT],
) -> tuple[EntryT, ...]:
    """Return the entries with changes applied; the same object if none changed."""
    if not (changed or gone):
        return entries
    by_key = {key_of(entry): entry for entry in entries}
    newer = {key_of(entry): entry for entry in changed}
    by_key |= newer
    for key in gone:
        if key not in newer:
            by_key.pop(key, None)
    result = tuple(by_key.values())
    return entries if result == entries else result


def _server_of(entry: ServerEntry | UnreadableEntry) -> ServerId:
    return entry.server


def _instance_of(entry: InstanceEntry) -> InstanceId:
    return entry.instance


def _revision_of(configuration: Configuration | None) -> Revision:
    return Revision(0) if configuration is None else configuration.revision


def _routes_of(configuration: Configuration | None) -> dict[ServiceAddress, Route]:
    routes = () if configuration is None else configuration.routes
    return {route.destination: route for route in routes}


class _Checksum(Generic[EntryT]):
    """Checksum of entries; remembers those of the last tuples.

    Nearly all reads find the same entries, and then keep the same tuple.
    """

    def __init__(self, part_of: Callable[[EntryT], tuple[object, ...]]) -> None:
        self._part_of = part_of
        self._known: deque[tuple[tuple[EntryT, ...], int]] = deque(
            maxlen=_N_CHECKSUMS_KEPT
        )

    def __call__(self, entries: tuple[EntryT, ...]) -> int:
        for known, checksum in self._known:
            if known is entries:
                return checksum
        parts = sorted(self._part_of(entry) for entry in entries)
        checksum = zlib.crc32(repr(parts).encode())
        self._known.append((entries, checksum))
        return checksum


# All that steering uses: a receiver whose checksum matches takes the sender's revision.
# The time that a server stays cold runs down in between.
_sum_servers: _Checksum[ServerEntry] = _Checksum(
    lambda e: (
        e.server,
        e.service,
        e.data_centre,
        e.address,
        e.started_at_ms,
        e.n_slots,
        e.is_draining,
        e.cold_ms > 0,
    )
)
_sum_instances: _Checksum[InstanceEntry] = _Checksum(lambda e: (e.instance, e.address))
