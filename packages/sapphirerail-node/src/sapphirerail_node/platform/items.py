"""Applies items of the platform's store to a snapshot, as far as they are readable."""

import base64
import contextlib
import logging
import time
from collections import Counter
from typing import TypeVar

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import (
    Configuration,
    InstanceEntry,
    OperatorState,
    ServerEntry,
    UnreadableEntry,
)
from sapphirerail_core.steering.store_snapshot import SnapshotChanges, StoreSnapshot
from sapphirerail_core.types import DataCentreId, InstanceId, ServerId
from sapphirerail_transport.udp import check_address

from .entries import decode_configuration, decode_server, parse_identity

__all__ = ["INSTANCE_PREFIX", "ItemReader", "StoreItem"]

_log = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
SERVER_PREFIX = "servers/"
INSTANCE_PREFIX = "sapphirerail/instances/"
# A malformed part is logged once per interval; the time is kept for this many parts.
MALFORMED_INTERVAL_S = 10
N_MALFORMED_MAX = 1_024
# Messages of log lines, by the kind of what is malformed.
_MESSAGES = {
    "configuration": "configuration_skipped",
    "instance": "instance_entry_skipped",
    "server": "server_entry_skipped",
}

EntryT = TypeVar("EntryT")


class StoreItem(msgspec.Struct):
    """An item as it was written, or the deletion of a key.

    Parameters
    ----------
    key : str
        Path of the item.
    revision : int
        Store revision of the write or deletion.
    value : str
        The written bytes, in base64.
    deleted : bool
        Whether the key was deleted.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class ItemReader:
    """Applies items to a snapshot; logs and counts those that are malformed.

    Parameters
    ----------
    known : StoreSnapshot
        Contents of the store before the changes.
    """

    def __init__(self, known: StoreSnapshot) -> None:
        state = known.operator_state
        self._change_revision = state.change_revision
        self._configuration = state.configuration
        self._evacuated = dict.fromkeys(state.evacuated)
        self._known = known
        self._servers: dict[str, ServerEntry | UnreadableEntry | None] = {}
        self._instances: dict[str, InstanceEntry | None] = {}
        self.n_malformed: Counter[str] = Counter()

    def apply(self, item: StoreItem) -> None:
        """Apply the newest item of a key."""
        if item.key.startswith(SERVER_PREFIX):
            name = item.key.removeprefix(SERVER_PREFIX)
            self._servers[name] = self._decode_server(name, item)
        elif item.key.startswith(INSTANCE_PREFIX):
            name = item.key.removeprefix(INSTANCE_PREFIX)
            self._instances[name] = self._decode_instance(item)
        elif item.key.startswith(OPERATOR_PREFIX):
            self._change_revision = max(self._change_revision, item.revision)
            self._apply_operator_item(item)

    def _apply_operator_item(self, item: StoreItem) -> None:
        if item.key == CONFIGURATION_KEY and not item.deleted:
            self._configuration = self._decode_configuration(item)
        elif item.key.startswith(EVACUATION_PREFIX):
            data_centre = DataCentreId(item.key.removeprefix(EVACUATION_PREFIX))
            if item.deleted:
                self._evacuated.pop(data_centre, None)
            else:
                self._evacuated[data_centre] = None

    def snapshot(self, store_revision: int) -> StoreSnapshot:
        """Return the contents of the store after the changes."""
        listed, gone_servers = _split(self._servers)
        instances, gone_instances = _split(self._instances)
        changed = self._known.with_changes(
            SnapshotChanges(
                servers=tuple(e for e in listed if isinstance(e, ServerEntry)),
                gone_servers=tuple(ServerId(name) for name in gone_servers),
                instances=tuple(instances),
                gone_instances=tuple(InstanceId(name) for name in gone_instances),
                unreadable_servers=tuple(
                    e for e in listed if isinstance(e, UnreadableEntry)
                ),
            )
        )
        state = OperatorState(
            store_revision,
            self._change_revision,
            self._configuration,
            tuple(self._evacuated),
        )
        return msgspec.structs.replace(changed, operator_state=state)

    def _decode_server(
        self, name: str, item: StoreItem
    ) -> ServerEntry | UnreadableEntry | None:
        if item.deleted:
            return None
        try:
            return decode_server(name, _decode_value(item))
        except InputError as error:
            self._on_malformed("server", item.key, str(error), "nothing")
        with contextlib.suppress(ValueError):
            return UnreadableEntry(ServerId(name), parse_identity(name))
        # Without an identity in its name, it belongs to no server.
        return None

    def _decode_instance(self, item: StoreItem) -> InstanceEntry | None:
        if item.deleted:
            return None
        try:
            entry = msgspec.json.decode(_decode_value(item), type=InstanceEntry)
            check_address(entry.address)
            if item.key != INSTANCE_PREFIX + entry.instance:
                raise ValueError(f"it names another instance, {entry.instance}")
        except (InputError, ValueError, RecursionError, msgspec.MsgspecError) as error:
            self._on_malformed("instance", item.key, str(error), "nothing")
            return None
        return entry

    def _decode_configuration(self, item: StoreItem) -> Configuration | None:
        """Decode a configuration; one that is unreadable keeps the one in force."""
        in_force = self._configuration
        try:
            decoded = decode_configuration(_decode_value(item), in_force)
        except InputError as error:
            served = "none" if in_force is None else f"version {in_force.revision}"
            self._on_malformed("configuration", item.key, str(error), served)
            return in_force
        version = decoded.configuration.revision
        for part in decoded.malformed:
            key = f"{item.key} version {version} {part.kind} {part.name}"
            self._on_malformed(part.kind, key, part.why, part.served_instead)
        return decoded.configuration

    def _on_malformed(self, kind: str, key: str, why: str, served: str) -> None:
        self.n_malformed[kind] += 1
        _log_malformed(kind, key, why, served)


def _split(
    changes: dict[str, EntryT | None],
) -> tuple[list[EntryT], list[str]]:
    """Split changes by name into the new entries, and the names without an entry."""
    entries = [entry for entry in changes.values() if entry is not None]
    return entries, [name for name, entry in changes.items() if entry is None]


# When each malformed part was last logged, by its key.
_malformed_at_s: dict[str, float] = {}


def _log_malformed(kind: str, key: str, why: str, served_instead: str) -> None:
    """Log a malformed entry or part of one, once per interval."""
    now_s = time.monotonic()
    if now_s - _malformed_at_s.get(key, -MALFORMED_INTERVAL_S) < MALFORMED_INTERVAL_S:
        return
    if len(_malformed_at_s) >= N_MALFORMED_MAX:
        _malformed_at_s.clear()
    _malformed_at_s[key] = now_s
    message = _MESSAGES.get(kind, "configuration_part_skipped")
    detail = {"kind": kind, "key": key, "why": why, "served_instead": served_instead}
    _log.warning(message, extra=detail)


def _decode_value(item: StoreItem) -> bytes:
    """Decode the value of an item, or raise `InputError`."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise InputError("store.bad_value", f"{item.key}: {error}") from error
