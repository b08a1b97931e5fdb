"""HTTP client of the platform's store."""

import base64
import logging
import time
from collections import Counter
from typing import Any, TypeVar

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import (
    Configuration,
    InstanceEntry,
    OperatorState,
    ServerEntry,
)
from sapphirerail_core.steering.store_snapshot import SnapshotChanges, StoreSnapshot
from sapphirerail_core.types import DataCentreId, InstanceId, ServerId
from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.udp import Address, check_address

from ..steering.ports import (
    LeaseExpiredError,
    RegistrationId,
    StoreCallError,
    StoreRead,
)
from .entries import decode_configuration, decode_server

__all__ = ["HttpPlatformStore"]

_log = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1_000
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
SERVER_PREFIX = "servers/"
INSTANCE_PREFIX = "sapphirerail/instances/"
# A malformed part is logged once per interval; the time is kept for this many parts.
MALFORMED_INTERVAL_S = 10
N_MALFORMED_MAX = 1_024
# A watch with the shortest wait answers at once with the changes since a revision.
WATCH_WAIT_MS = 0
STATUS_NOT_FOUND = 404
# The store refuses a revision that it cannot have had, or whose history is discarded.
_NO_HISTORY_CODES = ("store.status_400", "store.status_410")

AnswerT = TypeVar("AnswerT")
EntryT = TypeVar("EntryT")


class _Item(msgspec.Struct):
    """An item as it was written, or the deletion of a key."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Range(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    store_revision: int


class _Events(msgspec.Struct, rename="camel"):
    """Changes in the order in which they were made."""

    events: list[_Item]
    store_revision: int


class _Lease(msgspec.Struct):
    lease: int


class HttpPlatformStore:
    """Client of the platform's store, over HTTP with JSON.

    Parameters
    ----------
    address : Address
        Address of the store.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._client = HttpClient(address)

    async def read(self, known: StoreSnapshot | None, after_revision: int) -> StoreRead:
        """Read what changed, or the whole store if its history does not go that far.

        Malformed entries are logged and left out. One call reads everything, because
        calls are priced and limited, not bytes.

        Parameters
        ----------
        known : StoreSnapshot or None
            Contents of the store at `after_revision`; None to read the whole store.
        after_revision : int
            Store revision after which changes are read.
        """
        if known is not None:
            events = await self._read_events(after_revision)
            if events is not None:
                return _with_events(known, events)
        return await self._read_all(known)

    async def register(self, entry: InstanceEntry, ttl_ms: int) -> RegistrationId:
        """Register an instance until the time to live has passed."""
        lease = await self._call(_Lease, "POST", "/kv-lease", {"ttlMs": ttl_ms})
        put = {
            "key": INSTANCE_PREFIX + entry.instance,
            "value": base64.b64encode(msgspec.json.encode(entry)).decode(),
            "lease": lease.lease,
        }
        body = {"expectedRev": [], "puts": [put], "remove": []}
        await self._call(dict, "POST", "/kv-txn", body)
        return RegistrationId(lease.lease)

    async def renew(self, registration: RegistrationId) -> None:
        """Extend a registration by its time to live."""
        await self._call(dict, "POST", f"/kv-keep/{registration}")

    async def unregister(self, registration: RegistrationId) -> None:
        """End a registration."""
        target = f"/kv-lease-end/{registration}"
        try:
            # The body of the answer is not specified, and nothing in it is needed.
            await self._client.call("DELETE", target, timeout_ms=CALL_TIMEOUT_MS)
        except HttpError as error:
            raise _store_error(error) from error

    async def _read_events(self, after_revision: int) -> _Events | None:
        """Return the changes after a revision; None if the store does not have them.

        It may have discarded its history, or never have had such a revision.
        """
        target = f"/kv-watch?prefix=&after={after_revision}&waitMs={WATCH_WAIT_MS}"
        try:
            events = await self._call(_Events, "GET", target)
        except StoreCallError as error:
            if error.code in _NO_HISTORY_CODES:
                return None
            raise
        return events if events.store_revision >= after_revision else None

    async def _read_all(self, known: StoreSnapshot | None) -> StoreRead:
        """Read the whole store, page by page.

        The configuration in `known` replaces the parts of a newer one that are
        malformed.
        """
        items: list[_Item] = []
        target = "/kv-range?prefix="
        revision: int | None = None
        while True:
            page = await self._call(_Range, "GET", target)
            items += page.items
            # Later pages may include later changes: the items are complete only up to
            # the revision of the first page.
            revision = page.store_revision if revision is None else revision
            if not page.has_more or not page.items:
                break
            # Imported only when there is a second page, since the module takes memory.
            from urllib.parse import quote

            target = f"/kv-range?prefix=&after={quote(page.items[-1].key, safe='')}"
        configuration = None if known is None else known.operator_state.configuration
        empty = StoreSnapshot(OperatorState(0, 0, configuration, ()), (), ())
        return _with_events(empty, _Events(items, revision))

    async def _call(
        self, kind: type[AnswerT], method: str, target: str, body: Any = None
    ) -> AnswerT:
        try:
            return await self._client.call_json(
                kind,
                method,
                target,
                body,
                timeout_ms=CALL_TIMEOUT_MS,
                is_restarted_by_data=True,
            )
        except HttpError as error:
            raise _store_error(error) from error


def _store_error(error: HttpError) -> StoreCallError:
    if error.status == STATUS_NOT_FOUND:
        return LeaseExpiredError("store.not_found", error.message)
    code = f"store.status_{error.status}" if error.status else error.code
    return StoreCallError(code, error.message)


class _EventReader:
    """Applies changes of the store's items to a snapshot, as far as they are readable.

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
        self._servers: dict[str, ServerEntry | None] = {}
        self._instances: dict[str, InstanceEntry | None] = {}
        self.n_malformed: Counter[str] = Counter()

    def apply(self, item: _Item) -> None:
        """Apply the change of one item."""
        if item.key.startswith(SERVER_PREFIX):
            name = item.key.removeprefix(SERVER_PREFIX)
            self._servers[name] = self._decode_server(name, item)
        elif item.key.startswith(INSTANCE_PREFIX):
            name = item.key.removeprefix(INSTANCE_PREFIX)
            self._instances[name] = self._decode_instance(item)
        elif item.key.startswith(OPERATOR_PREFIX):
            self._change_revision = max(self._change_revision, item.revision)
            self._apply_operator_item(item)

    def _apply_operator_item(self, item: _Item) -> None:
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
        servers, gone_servers = _split(self._servers)
        instances, gone_instances = _split(self._instances)
        changed = self._known.with_changes(
            SnapshotChanges(
                servers=tuple(servers),
                gone_servers=tuple(ServerId(name) for name in gone_servers),
                instances=tuple(instances),
                gone_instances=tuple(InstanceId(name) for name in gone_instances),
            )
        )
        state = OperatorState(
            store_revision,
            self._change_revision,
            self._configuration,
            tuple(self._evacuated),
        )
        return StoreSnapshot(state, changed.servers, changed.instances)

    def _decode_server(self, name: str, item: _Item) -> ServerEntry | None:
        if item.deleted:
            return None
        try:
            return decode_server(name, _decode_value(item))
        except InputError as error:
            self._on_malformed("server", item.key, str(error), "nothing")
            return None

    def _decode_instance(self, item: _Item) -> InstanceEntry | None:
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

    def _decode_configuration(self, item: _Item) -> Configuration | None:
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


def _with_events(known: StoreSnapshot, changes: _Events) -> StoreRead:
    """Apply changes in the order in which they were made."""
    reader = _EventReader(known)
    for item in sorted(changes.events, key=lambda item: item.revision):
        reader.apply(item)
    return StoreRead(reader.snapshot(changes.store_revision), reader.n_malformed)


def _split(
    changes: dict[str, EntryT | None],
) -> tuple[list[EntryT], list[str]]:
    """Split changes by name into the new entries, and the names without an entry."""
    entries = [entry for entry in changes.values() if entry is not None]
    return entries, [name for name, entry in changes.items() if entry is None]


# Messages of log lines, by the kind of what is malformed.
_MESSAGES = {
    "configuration": "configuration_skipped",
    "instance": "instance_entry_skipped",
    "server": "server_entry_skipped",
}
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


def _decode_value(item: _Item) -> bytes:
    """Decode the value of an item, or raise `InputError`."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise InputError("store.bad_value", f"{item.key}: {error}") from error
