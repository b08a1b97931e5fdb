"""HTTP client of the platform's store."""

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
# A malformed entry is logged once per interval; the time is kept for this many entries.
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
    """Client of the platform's store, over HTTP with JSON.

    Parameters
    ----------
    address : Address
        Address of the store.
    """

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)
        # The newest valid configuration, kept so that it is decoded only once.
        self._configuration_revision = 0
        self._configuration: Configuration | None = None

    async def read(self) -> StoreRead:
        """Read the whole store; invalid entries are logged and left out.

        One call reads everything, because calls are priced and limited, not bytes.
        """
        revision, items = await self._read_all()
        entries = [
            _try_decode_server(i) for i in items if i.key.startswith(SERVER_PREFIX)
        ]
        servers = tuple(entry for entry in entries if entry is not None)
        instances = [
            _try_decode_instance(i) for i in items if i.key.startswith(INSTANCE_PREFIX)
        ]
        snapshot = StoreSnapshot(
            operator_state=self._operator_state(items, revision),
            servers=servers,
            instances=tuple(entry for entry in instances if entry is not None),
        )
        return StoreRead(snapshot, n_malformed=len(entries) - len(servers))

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

    async def _read_all(self) -> tuple[int, list[_Item]]:
        """Return the store's revision and all items, reading page by page."""
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
                return revision, items
            # Imported only when there is a second page, since the module takes memory.
            from urllib.parse import quote

            target = f"/kv-range?prefix=&after={quote(page.items[-1].key, safe='')}"

    def _operator_state(self, items: list[_Item], store_revision: int) -> OperatorState:
        operator_items = [
            item for item in items if item.key.startswith(OPERATOR_PREFIX)
        ]
        for item in operator_items:
            is_new = item.revision != self._configuration_revision
            if item.key == CONFIGURATION_KEY and is_new:
                self._configuration_revision = item.revision
                self._configuration = (
                    _try_decode_configuration(item) or self._configuration
                )
        return OperatorState(
            store_revision=store_revision,
            change_revision=max((item.revision for item in operator_items), default=0),
            configuration=self._configuration,
            evacuated=tuple(
                DataCentreId(item.key.removeprefix(EVACUATION_PREFIX))
                for item in operator_items
                if item.key.startswith(EVACUATION_PREFIX)
            ),
        )

    async def _call(
        self, kind: type[AnswerT], method: str, target: str, body: Any = None
    ) -> AnswerT:
        try:
            return await self._client.call_json(
                kind, method, target, body, timeout_ms=CALL_TIMEOUT_MS
            )
        except HttpError as error:
            raise _store_error(error) from error


def _store_error(error: HttpError) -> StoreCallError:
    if error.status == STATUS_NOT_FOUND:
        return LeaseExpiredError("store.not_found", error.message)
    code = f"store.status_{error.status}" if error.status else error.code
    return StoreCallError(code, error.message)


# When each malformed item was last logged, by its key.
_skipped_at_s: dict[str, float] = {}


def _log_skipped(message: str, key: str, error: Exception) -> None:
    """Log why an item is left out, but not at each of the two reads per second."""
    now_s = time.monotonic()
    if now_s - _skipped_at_s.get(key, -SKIPPED_INTERVAL_S) < SKIPPED_INTERVAL_S:
        return
    if len(_skipped_at_s) >= N_SKIPPED_MAX:
        _skipped_at_s.clear()
    _skipped_at_s[key] = now_s
    _log.warning(message, extra={"key": key, "why": str(error)})


def _decode_value(item: _Item) -> bytes:
    """Decode the value of an item, or raise `InputError`."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise InputError("store.bad_value", f"{item.key}: {error}") from error


def _try_decode_server(item: _Item) -> ServerEntry | None:
    try:
        return decode_server(item.key.removeprefix(SERVER_PREFIX), _decode_value(item))
    except InputError as error:
        _log_skipped("server_entry_skipped", item.key, error)
        return None


def _try_decode_instance(item: _Item) -> InstanceEntry | None:
    try:
        entry = msgspec.json.decode(_decode_value(item), type=InstanceEntry)
        check_address(entry.address)
        return entry
    except (InputError, ValueError, msgspec.MsgspecError) as error:
        _log_skipped("instance_entry_skipped", item.key, error)
        return None


def _try_decode_configuration(item: _Item) -> Configuration | None:
    try:
        return decode_configuration(_decode_value(item))
    except InputError as error:
        _log_skipped("configuration_skipped", item.key, error)
        return None
