"""What a read of the store shows, and how one read differs from another."""

import zlib

import msgspec

from ..types import InstanceId, ServerId
from .model import InstanceEntry, OperatorState, ServerEntry

__all__ = ["Changes", "Picture"]


class Changes(msgspec.Struct, frozen=True):
    """What became of one picture until another one.

    Parameters
    ----------
    operator_state : OperatorState or None
        The newer state, if operators wrote something.
    servers : tuple of ServerEntry
        Entries that are new or differ.
    gone_servers : tuple of ServerId
        Servers whose entries are gone.
    instances : tuple of InstanceEntry
        Entries that are new or differ.
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


class Picture(msgspec.Struct, frozen=True):
    """All that a read of the store showed, or that an instance knows from others."""

    operator_state: OperatorState
    servers: tuple[ServerEntry, ...]
    instances: tuple[InstanceEntry, ...]

    def digest(self) -> int:
        """Return a checksum of all that each instance must know alike."""
        state = self.operator_state
        revision = state.configuration.revision if state.configuration else 0
        parts = [
            (e.server, e.started_at_ms, e.address, e.is_draining, e.cold_ms > 0)
            for e in self.servers
        ]
        instances = sorted((e.instance, e.address) for e in self.instances)
        told = (revision, sorted(state.evacuated), sorted(parts), instances)
        return zlib.crc32(repr(told).encode())

    def changes_since(self, older: "Picture") -> Changes:
        """Return what has to be told to those who know an older picture."""
        servers = {entry.server: entry for entry in older.servers}
        instances = {entry.instance: entry for entry in older.instances}
        return Changes(
            operator_state=self._newer_operator_state(older),
            servers=tuple(e for e in self.servers if servers.get(e.server) != e),
            gone_servers=tuple(servers.keys() - {e.server for e in self.servers}),
            instances=tuple(
                e for e in self.instances if instances.get(e.instance) != e
            ),
            gone_instances=tuple(
                instances.keys() - {e.instance for e in self.instances}
            ),
        )

    def with_changes(self, changes: Changes) -> "Picture":
        """Return the picture after changes that were made to one like it."""
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
        return Picture(state, tuple(servers.values()), tuple(instances.values()))

    def _newer_operator_state(self, older: "Picture") -> OperatorState | None:
        new, old = self.operator_state, older.operator_state
        is_same = new.configuration == old.configuration and set(new.evacuated) == set(
            old.evacuated
        )
        return None if is_same else new
