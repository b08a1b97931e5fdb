"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Key-value store with one revision counter, watches, leases and faults."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        # Hosts of the system's machines that get no answer.
        self.silent_for = set()
        self.calls = []
        self._servers = {}
        self._changed = asyncio.Event()

    async def start(self, host):
        """Start, and serve until `close` is called."""
        self.address = await self.listen(host)
        self._expiry = asyncio.create_task(self._expire())

    async def listen(self, host):
        """Serve on one more address, and return it."""
        server = await asyncio.start_server(self._on_connection, host, 0)
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self._servers[address] = server
        return address

    def stop_listening(self, address):
        """Stop serving on an address."""
        self._servers.pop(address).close()

    def close(self):
        """Stop and release everything that was started."""
        self._expiry.cancel()
        for address in list(self._servers):
            self.stop_listening(address)

    def put(self, key, value, lease=0):
        """Write bytes, or a value as JSON; return the revision of the change."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(key, base64.b64encode(raw).decode(), lease)
        return self.revision

    def remove(self, key):
        """Delete a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._record(event)

    def _put(self, key, value, lease):
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known["createdRev"]
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRev": created,
            "lease": lease,
        }
        self._record(self.items[key])

    def _record(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (until_s, _) in list(self.leases.items()):
                if now_s > until_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _on_connection(self, reader, writer):
        caller = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *fields = head.decode().split("\r\n")
                method, target, _ = line.split(" ")
                headers = dict(
                    field.lower().split(": ", 1) for field in fields if ": " in field
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if caller in self.silent_for:
                    await asyncio.sleep(60)
                await asyncio.sleep(ANSWER_S)
                self.calls.append((time.monotonic(), caller, method, target))
                status, answer = await self._answer(method, target, body)
                if caller in self.silent_for:
                    await asyncio.sleep(60)
                raw = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        name, _, rest = path.removeprefix("/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, self._stamped(item))
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttlMs"]
            lease = 1_000 + len(self.calls)
            self.leases[lease] = time.monotonic() + ttl_ms / 1000, ttl_ms
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(rest)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = time.monotonic() + ttl_ms / 1000, ttl_ms
        return 200, {"lease": lease, "ttlMs": ttl_ms}

    def _stamped(self, answer):
        return answer | {"storeRevision": self.revision}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return self._stamped({"items": items, "hasMore": len(keys) > PAGE_ITEMS})

    async def _watch(self, query):
        after = int(query["after"])
        until_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query.get("prefix", ""))
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, self._stamped({"events": events})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get("expectedRev", []):
            item = self.items.get(row["key"])
            if row["revision"] != (0 if item is None else item["revision"]):
                return 412, {"items": []}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
