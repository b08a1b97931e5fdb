"""The calls of the platform's store."""

import base64
import logging
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import (
    Configuration,
    InstanceEntry,
    OperatorChanges,
    OperatorState,
    ServerEntry,
)
from sapphirerail_core.types import DataCentreId
from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.udp import Address, check_address

from ..steering.ports import (
    HistoryLostError,
    LeaseEndedError,
    RegistrationId,
    ServerRead,
    StoreCallError,
)
from .entries import decode_configuration, decode_server

__all__ = ["HttpPlatformStore"]

_log = logging.getLogger(__name__)

CALL_TIMEOUT_MS = 1_000
# Beyond the time that a watch waits by itself.
WATCH_GRACE_MS = 1_000
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
SERVER_PREFIX = "servers/"
INSTANCE_PREFIX = "sapphirerail/instances/"
NO_OPTIONS: Mapping[str, str] = MappingProxyType({})
# Malformed entries are logged again after this time, and so many are remembered.
SKIPPED_INTERVAL_S = 10
N_SKIPPED_MAX = 1_024
STATUS_GONE = 410
STATUS_NOT_FOUND = 404

AnswerT = TypeVar("AnswerT")


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class _Range(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
    store_revision: int


class _Watch(msgspec.Struct, rename="camel"):
    events: list[_Item]
    store_revision: int


class _Lease(msgspec.Struct):
    lease: int


class HttpPlatformStore:
    """The platform's store over HTTP with JSON.

    Parameters
    ----------
    address : Address
        Where the store answers.
    """

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)

    async def read_servers(self) -> ServerRead:
        """Return all usable entries of servers; others are logged and left out."""
        revision, items = await self._range(SERVER_PREFIX)
        entries = [_server(item) for item in items]
        usable = tuple(entry for entry in entries if entry is not None)
        return ServerRead(revision, usable, len(entries) - len(usable))

    async def read_operator_state(self) -> OperatorState:
        """Return all that operators have written."""
        revision, items = await self._range(OPERATOR_PREFIX)
        changes = _changes(items, revision)
        return OperatorState(0, 0, None, ()).with_changes(changes)

    async def wait_operator_changes(
        self, after_revision: int, wait_ms: int
    ) -> OperatorChanges:
        """Return the changes after a revision, at once or after a wait."""
        query = {"prefix": OPERATOR_PREFIX, "after": after_revision, "waitMs": wait_ms}
        answer = await self._call(
            "GET",
            f"/kv-watch?{urlencode(query)}",
            _Watch,
            timeout_ms=wait_ms + WATCH_GRACE_MS,
        )
        return _changes(answer.events, answer.store_revision)

    async def read_instances(self, is_fresh: bool) -> tuple[InstanceEntry, ...]:
        """Return the registered instances; unless fresh, as of some seconds ago."""
        # A read that may be stale costs a tenth.
        options = {} if is_fresh else {"staleOk": "1"}
        _, items = await self._range(INSTANCE_PREFIX, options)
        entries = [_instance(item) for item in items]
        return tuple(entry for entry in entries if entry is not None)

    async def register(self, entry: InstanceEntry, ttl_ms: int) -> RegistrationId:
        """Register an instance for a time."""
        lease = await self._call("POST", "/kv-lease", _Lease, {"ttlMs": ttl_ms})
        put = {
            "key": INSTANCE_PREFIX + entry.instance,
            "value": base64.b64encode(msgspec.json.encode(entry)).decode(),
            "lease": lease.lease,
        }
        body = {"expectedRev": [], "puts": [put], "remove": []}
        await self._call("POST", "/kv-txn", dict, body)
        return RegistrationId(lease.lease)

    async def renew(self, registration: RegistrationId) -> None:
        """Extend a registration."""
        await self._call("POST", f"/kv-keep/{registration}", dict)

    async def unregister(self, registration: RegistrationId) -> None:
        """End a registration."""
        await self._call("DELETE", f"/kv-lease-end/{registration}", None)

    async def _range(
        self, prefix: str, options: Mapping[str, str] = NO_OPTIONS
    ) -> tuple[int, list[_Item]]:
        """Return the store's revision and all items; pages are read in turn."""
        items: list[_Item] = []
        query = {"prefix": prefix, **options}
        revision: int | None = None
        while True:
            page = await self._call("GET", f"/kv-range?{urlencode(query)}", _Range)
            items += page.items
            # Later pages may show later changes; the first bounds what is complete.
            revision = page.store_revision if revision is None else revision
            if not page.has_more or not page.items:
                return revision, items
            query["after"] = page.items[-1].key

    async def _call(
        self,
        method: str,
        target: str,
        kind: type[AnswerT] | None,
        body: Any = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Any:
        try:
            payload = await self._client.call(
                method, target, body, timeout_ms=timeout_ms
            )
        except HttpError as error:
            raise _store_error(error) from error
        if kind is None:
            return None
        try:
            return msgspec.json.decode(payload, type=kind)
        except msgspec.MsgspecError as error:
            raise StoreCallError("store.bad_answer", str(error)) from error


def _store_error(error: HttpError) -> StoreCallError:
    if error.status == STATUS_GONE:
        return HistoryLostError("store.history_lost", error.message)
    if error.status == STATUS_NOT_FOUND:
        return LeaseEndedError("store.not_found", error.message)
    code = f"store.status_{error.status}" if error.status else error.code
    return StoreCallError(code, error.message)


# When an item was last logged as skipped, by its key.
_skipped_at_s: dict[str, float] = {}


def _log_skipped(message: str, key: str, error: Exception) -> None:
    """Write why an item is left out, but not at each of two reads a second."""
    now_s = time.monotonic()
    if now_s - _skipped_at_s.get(key, -SKIPPED_INTERVAL_S) < SKIPPED_INTERVAL_S:
        return
    if len(_skipped_at_s) >= N_SKIPPED_MAX:
        _skipped_at_s.clear()
    _skipped_at_s[key] = now_s
    _log.warning(message, extra={"key": key, "why": str(error)})


def _value(item: _Item) -> bytes:
    """Return the bytes of an item, or raise `InputError`."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise InputError("store.bad_value", f"{item.key}: {error}") from error


def _server(item: _Item) -> ServerEntry | None:
    try:
        return decode_server(item.key.removeprefix(SERVER_PREFIX), _value(item))
    except InputError as error:
        _log_skipped("server_entry_skipped", item.key, error)
        return None


def _instance(item: _Item) -> InstanceEntry | None:
    try:
        entry = msgspec.json.decode(_value(item), type=InstanceEntry)
        check_address(entry.address)
        return entry
    except (InputError, ValueError, msgspec.MsgspecError) as error:
        _log_skipped("instance_entry_skipped", item.key, error)
        return None


def _configuration(item: _Item) -> Configuration | None:
    try:
        return decode_configuration(_value(item))
    except InputError as error:
        _log_skipped("configuration_skipped", item.key, error)
        return None


def _changes(items: list[_Item], store_revision: int) -> OperatorChanges:
    configuration: Configuration | None = None
    is_out: dict[DataCentreId, bool] = {}
    for item in sorted(items, key=lambda item: item.revision):
        if item.key == CONFIGURATION_KEY and not item.deleted:
            configuration = _configuration(item) or configuration
        elif item.key.startswith(EVACUATION_PREFIX):
            name = DataCentreId(item.key.removeprefix(EVACUATION_PREFIX))
            is_out[name] = not item.deleted
    return OperatorChanges(
        store_revision=store_revision,
        change_revision=max((item.revision for item in items), default=0),
        configuration=configuration,
        evacuated=tuple(name for name, out in is_out.items() if out),
        returned=tuple(name for name, out in is_out.items() if not out),
    )
