"""Stand-in for the platform's key-value store, with leases and faults."""

import asyncio
import base64
from collections.abc import Iterable
from enum import Enum

import msgspec

from sapphirerail_transport.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.udp import Address

__all__ = ["PlatformStoreStandIn", "StoreFault"]

PAGE_ITEMS = 500
UNRESPONSIVE_S = 60
SLOW_MS = 300


class StoreFault(Enum):
    """How calls of the store fail."""

    NONE = "none"
    UNRESPONSIVE = "silent"
    BUSY = "busy"
    RATE_LIMITED = "many"
    SLOW = "slow"
    LOST_ANSWERS = "lost"


class _Item(msgspec.Struct, rename="camel"):
    key: str
    value: str
    revision: int
    created_rev: int
    lease: int = 0


class _Deletion(msgspec.Struct):
    key: str
    revision: int
    deleted: bool = True


class _Put(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Transaction(msgspec.Struct, rename="camel"):
    expected_rev: list[_Expected] = []
    puts: list[_Put] = []
    remove: list[str] = []


class _LeaseBody(msgspec.Struct, rename="camel"):
    ttl_ms: int


class PlatformStoreStandIn:
    """An in-memory store that serves HTTP; tests also write to it directly.

    Attributes
    ----------
    fault : StoreFault
        Current fault of all calls.
    n_calls : int
        Number of calls received.
    refuses_later_revisions : bool
        Whether a watch after a revision that does not exist yet is refused.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.n_calls = 0
        self.revision = 1
        self._items: dict[str, _Item] = {}
        self.refuses_later_revisions = False
        self._history: list[_Item | _Deletion] = []
        self._history_start = self.revision
        self._leases: dict[int, tuple[float, int]] = {}
        self._server = HttpServer(self._handle)
        self._timer: asyncio.Task[None] | None = None

    async def start(self, address: Address) -> Address:
        """Start serving on an address and return the bound one."""
        self._timer = asyncio.create_task(self._expire_leases())
        return await self._server.start(address)

    async def close(self) -> None:
        """Stop serving."""
        if self._timer is not None:
            self._timer.cancel()
        await self._server.close()

    # Direct access for tests, in place of operators and servers.

    async def put(self, key: str, value: bytes | dict, lease: int = 0) -> None:
        """Write a key in place of its owner."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._put(key, base64.b64encode(raw).decode(), lease)

    async def remove(self, key: str) -> None:
        """Delete a key if it exists."""
        self._remove([key])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        item = self._items.get(key)
        created = self.revision if item is None else item.created_rev
        self._items[key] = _Item(key, value, self.revision, created, lease)
        self._history.append(self._items[key])

    def _remove(self, keys: Iterable[str]) -> None:
        for key in keys:
            if self._items.pop(key, None) is not None:
                self.revision += 1
                self._history.append(_Deletion(key, self.revision))

    async def _expire_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.05)
            for lease, (until, _) in list(self._leases.items()):
                if loop.time() > until:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            raise HttpError(404, "lease", f"lease {lease} does not exist")
        self._remove([k for k, item in self._items.items() if item.lease == lease])

    # HTTP calls.

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.n_calls += 1
        if self.fault is StoreFault.UNRESPONSIVE:
            await asyncio.sleep(UNRESPONSIVE_S)
        if self.fault is StoreFault.BUSY:
            raise HttpError(503, "busy", "the store is busy; the call was not executed")
        if self.fault is StoreFault.RATE_LIMITED:
            raise HttpError(429, "many", "too many calls")
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_MS / 1000)
        response = await self._answer(request)
        if self.fault is StoreFault.LOST_ANSWERS and request.method != "GET":
            await asyncio.sleep(UNRESPONSIVE_S)
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        name, _, rest = request.path.removeprefix("/").partition("/")
        if name == "kv-range":
            return self._range(request.query)
        if name == "kv-watch":
            return self._events_after(request.query)
        if name == "kv-txn":
            return await self._transact(request.json(_Transaction))
        if name == "kv-lease":
            return self._grant(request.json(_LeaseBody).ttl_ms)
        if name == "kv-keep":
            return self._keep(int(rest))
        if name == "kv-lease-end":
            await self._end_lease(int(rest))
            return HttpResponse({})
        raise HttpError(400, "path", f"unknown path {request.path}")

    def _range(self, query: dict[str, str]) -> HttpResponse:
        after = query.get("after", "")
        keys = [key for key in self.keys(query.get("prefix", "")) if key > after]
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return HttpResponse(
            {
                "items": items,
                "hasMore": len(keys) > PAGE_ITEMS,
                "storeRevision": self.revision,
            }
        )

    def _events_after(self, query: dict[str, str]) -> HttpResponse:
        """Answer a watch at once, as if its waiting time were over."""
        after = int(query["after"])
        if after > self.revision and self.refuses_later_revisions:
            raise HttpError(400, "after", f"there is no revision {after} yet")
        if after < self._history_start:
            raise HttpError(410, "gone", "the history does not go back that far")
        events = [
            event
            for event in self._history
            if event.revision > after and event.key.startswith(query["prefix"])
        ]
        return HttpResponse({"events": events, "storeRevision": self.revision})

    def forget_history(self) -> None:
        """Discard the history of changes."""
        self._history.clear()
        self._history_start = self.revision

    async def _transact(self, body: _Transaction) -> HttpResponse:
        for row in body.expected_rev:
            item = self._items.get(row.key)
            if row.revision != (0 if item is None else item.revision):
                raise HttpError(
                    412, "condition", f"{row.key} is not at revision {row.revision}"
                )
        for put in body.puts:
            if put.key.startswith(("op/", "servers/")):
                raise HttpError(403, "forbidden", f"instances may not write {put.key}")
            if put.lease and put.lease not in self._leases:
                raise HttpError(404, "lease", f"lease {put.lease} does not exist")
        for put in body.puts:
            self._put(put.key, put.value, put.lease)
        self._remove(body.remove)
        return HttpResponse({"revision": self.revision})

    def _grant(self, ttl_ms: int) -> HttpResponse:
        lease = 1_000 + self.n_calls
        until = asyncio.get_running_loop().time() + ttl_ms / 1000
        self._leases[lease] = (until, ttl_ms)
        return HttpResponse({"lease": lease, "ttlMs": ttl_ms})

    def _keep(self, lease: int) -> HttpResponse:
        if lease not in self._leases:
            raise HttpError(404, "lease", f"lease {lease} does not exist")
        _, ttl_ms = self._leases[lease]
        until = asyncio.get_running_loop().time() + ttl_ms / 1000
        self._leases[lease] = (until, ttl_ms)
        return HttpResponse({"ttlMs": ttl_ms})
