"""HTTP client of the platform's store."""

import base64
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec

from sapphirerail_core.steering.model import InstanceEntry, OperatorState
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.udp import Address

from ..steering.ports import (
    LeaseExpiredError,
    RegistrationId,
    StoreCallError,
    StoreRead,
)
from .items import INSTANCE_PREFIX, ItemReader, StoreItem

__all__ = ["HttpPlatformStore"]

CALL_TIMEOUT_MS = 1_000
# A watch with the shortest wait answers at once with the changes since a revision.
WATCH_WAIT_MS = 0
STATUS_NOT_FOUND = 404
# The store refuses a revision that it cannot have had, or whose history is discarded.
_NO_HISTORY_CODES = ("store.status_400", "store.status_410")

AnswerT = TypeVar("AnswerT")


class _Range(msgspec.Struct, rename="camel"):
    items: list[StoreItem]
    has_more: bool
    store_revision: int


class _Events(msgspec.Struct, rename="camel"):
    """Changes in the order in which they were made."""

    events: list[StoreItem]
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
                return _apply(known, events)
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
        items: list[StoreItem] = []
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
        return _apply(empty, _Events(items, revision))

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


def _apply(known: StoreSnapshot, changes: _Events) -> StoreRead:
    """Apply changes to what was known."""
    reader = ItemReader(known)
    for item in _newest(changes.events):
        reader.apply(item)
    return StoreRead(reader.snapshot(changes.store_revision), reader.n_malformed)


def _newest(items: list[StoreItem]) -> Iterable[StoreItem]:
    """Return the newest item of each key."""
    ordered = sorted(items, key=lambda item: item.revision)
    return {item.key: item for item in ordered}.values()
