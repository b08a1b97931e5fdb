"""The calls of the platform's store."""

import base64
import logging
import time
from typing import Any, TypeVar

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import (
    Configuration,
    InstanceEntry,
    OperatorState,
    ServerEntry,
)
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_core.types import DataCentreId
from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.udp import Address, check_address

from ..steering.ports import (
    LeaseEndedError,
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
# Malformed entries are logged again after this time, and so many are remembered.
SKIPPED_INTERVAL_S = 10
N_SKIPPED_MAX = 1_024
STATUS_NOT_FOUND = 404

AnswerT = TypeVar("AnswerT")


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str


class _Range(msgspec.Struct, rename="camel"):
    items: list[_Item]
    has_more: bool
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
        # The newest configuration that could be decoded: it is decoded once only.
        self._configuration_revision = 0
        self._configuration: Configuration | None = None

    async def read(self) -> StoreRead:
        """Return all that steering depends on; what cannot be used is logged.

        One call reads the whole store, as calls are priced and limited, not bytes.
        """
        revision, items = await self._range()
        entries = [_server(i) for i in items if i.key.startswith(SERVER_PREFIX)]
        servers = tuple(entry for entry in entries if entry is not None)
        instances = [_instance(i) for i in items if i.key.startswith(INSTANCE_PREFIX)]
        picture = StoreSnapshot(
            operator_state=self._operator_state(items, revision),
            servers=servers,
            instances=tuple(entry for entry in instances if entry is not None),
        )
        return StoreRead(picture, n_malformed=len(entries) - len(servers))

    async def register(self, entry: InstanceEntry, ttl_ms: int) -> RegistrationId:
        """Register an instance for a time."""
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
        """Extend a registration."""
        await self._call(dict, "POST", f"/kv-keep/{registration}")

    async def unregister(self, registration: RegistrationId) -> None:
        """End a registration."""
        target = f"/kv-lease-end/{registration}"
        try:
            # What the body holds is not said, and nothing in it is needed.
            await self._client.call("DELETE", target, timeout_ms=CALL_TIMEOUT_MS)
        except HttpError as error:
            raise _store_error(error) from error

    async def _range(self) -> tuple[int, list[_Item]]:
        """Return the store's revision and all items; pages are read in turn."""
        items: list[_Item] = []
        target = "/kv-range?prefix="
        revision: int | None = None
        while True:
            page = await self._call(_Range, "GET", target)
            items += page.items
            # Later pages may show later changes; the first bounds what is complete.
            revision = page.store_revision if revision is None else revision
            if not page.has_more or not page.items:
                return revision, items
            # Imported for a second page only, as it takes memory in each process.
            from urllib.parse import quote

            target = f"/kv-range?prefix=&after={quote(page.items[-1].key, safe='')}"

    def _operator_state(self, items: list[_Item], store_revision: int) -> OperatorState:
        written = [item for item in items if item.key.startswith(OPERATOR_PREFIX)]
        for item in written:
            is_new = item.revision != self._configuration_revision
            if item.key == CONFIGURATION_KEY and is_new:
                self._configuration_revision = item.revision
                self._configuration = _configuration(item) or self._configuration
        return OperatorState(
            store_revision=store_revision,
            change_revision=max((item.revision for item in written), default=0),
            configuration=self._configuration,
            evacuated=tuple(
                DataCentreId(item.key.removeprefix(EVACUATION_PREFIX))
                for item in written
                if item.key.startswith(EVACUATION_PREFIX)
            ),
        )

    async def _call(
        self, kind: type[AnswerT], method: str, target: str, body: Any = None
    ) -> AnswerT:
        try:
            return await self._client.ask(
                kind, method, target, body, timeout_ms=CALL_TIMEOUT_MS
            )
        except HttpError as error:
            raise _store_error(error) from error


def _store_error(error: HttpError) -> StoreCallError:
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
