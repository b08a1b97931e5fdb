"""Snapshots of the store, and the changes between two of them."""

import zlib

import msgspec

from ..types import InstanceId, ServerId
from .model import InstanceEntry, OperatorState, ServerEntry

__all__ = ["SnapshotChanges", "StoreSnapshot"]


class SnapshotChanges(msgspec.Struct, frozen=True):
    """Changes from one snapshot to a newer one.

    Parameters
    ----------
    operator_state : OperatorState or None
        The newer state; None if it is the same.
    servers : tuple of ServerEntry
        New and changed entries.
    gone_servers : tuple of ServerId
        Servers whose entries were removed.
    instances : tuple of InstanceEntry
        New and changed entries.
    gone_instances : tuple of InstanceId
        Instances that are no longer registered.
    """

    operator_state: OperatorState | None
    servers: tuple[ServerEntry, ...]
    gone_servers: tuple[ServerId, ...]
    instances: tuple[InstanceEntry, ...]
    gone_instances: tuple[InstanceId, ...]

    def is_empty(self) -> bool:
        """Return whether nothing changed."""
        lists = (self.servers, self.gone_servers, self.instances, self.gone_instances)
        return self.operator_state is None and not any(lists)


class StoreSnapshot(msgspec.Struct, frozen=True):
    """Contents of the store as of one read, or as received from other instances."""

    operator_state: OperatorState
    servers: tuple[ServerEntry, ...]
    instances: tuple[InstanceEntry, ...]

    def digest(self) -> int:
        """Return a checksum of the state that must agree on all instances."""
        state = self.operator_state
        revision = state.configuration.revision if state.configuration else 0
        parts = [
            (e.server, e.started_at_ms, e.address, e.is_draining, e.cold_ms > 0)
            for e in self.servers
        ]
        instances = sorted((e.instance, e.address) for e in self.instances)
        content = (revision, sorted(state.evacuated), sorted(parts), instances)
        return zlib.crc32(repr(content).encode())

    def changes_since(self, older: "StoreSnapshot") -> SnapshotChanges:
        """Return the changes that turn an older snapshot into this one."""
        servers = {entry.server: entry for entry in older.servers}
        instances = {entry.instance: entry for entry in older.instances}
        return SnapshotChanges(
            operator_state=self._changed_operator_state(older),
            servers=tuple(e for e in self.servers if servers.get(e.server) != e),
            gone_servers=tuple(servers.keys() - {e.server for e in self.servers}),
            instances=tuple(
                e for e in self.instances if instances.get(e.instance) != e
            ),
            gone_instances=tuple(
                instances.keys() - {e.instance for e in self.instances}
            ),
        )

    def with_changes(self, changes: SnapshotChanges) -> "StoreSnapshot":
        """Return a copy with changes applied; ignores an older operators' state."""
        servers = {entry.server: entry for entry in self.servers}
        servers |= {entry.server: entry for entry in changes.servers}
        instances = {entry.instance: entry for entry in self.instances}
        instances |= {entry.instance: entry for entry in changes.instances}
        for server in changes.gone_servers:
            servers.pop(server, None)
        for instance in changes.gone_instances:
            instances.pop(instance, None)
        state = changes.operator_state
        if state is None or state.store_revision < self.operator_state.store_revision:
            state = self.operator_state
        return StoreSnapshot(state, tuple(servers.values()), tuple(instances.values()))

    def _changed_operator_state(self, older: "StoreSnapshot") -> OperatorState | None:
        new, old = self.operator_state, older.operator_state
        is_same = new.configuration == old.configuration and set(new.evacuated) == set(
            old.evacuated
        )
        return None if is_same else new
