"""Key-value service of the platform stand-in: versions, leases, watches."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from sapphirerail_transport.http import HttpError

from .clock import Clock, Timer

__all__ = ["KeyValueStore", "StoredValue", "Write"]

VALUE_MAX_BYTES = 1_000_000


class StoredValue(msgspec.Struct, frozen=True):
    """A value with its version."""

    value: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A write that was applied; the value is None for a deletion."""

    at_ms: int
    key: str
    version: int
    value: str | None


@dataclass
class _Lease:
    """A lease that expires unless it is renewed."""

    ttl_ms: int
    timer: Timer
    keys: set[str] = field(default_factory=set)


class KeyValueStore:
    """Stores values with versions that increase with each write.

    Parameters
    ----------
    clock : Clock
        Clock for the expiry of leases and the time of recorded writes.
    """

    def __init__(self, clock: Clock) -> None:
        self.writes: list[Write] = []
        self.n_waiting = 0
        self._clock = clock
        self._values: dict[str, StoredValue] = {}
        self._leases: dict[str, _Lease] = {}
        self._version = 0
        self._n_leases = 0
        self._n_aborts = 0
        self._changed = asyncio.Event()

    def get(self, key: str) -> StoredValue:
        """Return a value, or raise 404 ``kv.absent``."""
        stored = self._values.get(key)
        if stored is None:
            raise HttpError(404, "kv.absent", f"key {key!r} does not exist")
        return stored

    def put(self, key: str, value: str, version: int, lease: str = "") -> int:
        """Write a value if the key has the given version; return the new version."""
        if len(value.encode()) > VALUE_MAX_BYTES:
            limit = f"the value exceeds the maximum of {VALUE_MAX_BYTES} bytes"
            raise HttpError(413, "kv.too_large", limit)
        self._check_version(key, version)
        if lease:
            self._lease(lease).keys.add(key)
        self._version += 1
        self._values[key] = StoredValue(value, self._version)
        self._record(key, value)
        return self._version

    def delete(self, key: str, version: int) -> None:
        """Delete a key if it has the given version."""
        self.get(key)
        self._check_version(key, version)
        self._remove(key)

    async def watch(
        self, key: str, version: int, timeout_ms: int
    ) -> StoredValue | None:
        """Wait for a version other than the given one; return None on timeout."""
        self.n_waiting += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._other_version(key, version)
        except TimeoutError:
            return None
        finally:
            self.n_waiting -= 1

    def abort_watches(self) -> None:
        """Abort every waiting watch without an answer."""
        self._n_aborts += 1
        self._wake_watches()

    def grant(self, ttl_ms: int) -> str:
        """Create a lease and return its name."""
        self._n_leases += 1
        name = f"lease-{self._n_leases}"
        self._leases[name] = _Lease(ttl_ms, self._expiry_timer(name, ttl_ms))
        return name

    def renew(self, name: str) -> None:
        """Restart the time to live of a lease."""
        lease = self._lease(name)
        lease.timer.cancel()
        lease.timer = self._expiry_timer(name, lease.ttl_ms)

    def revoke(self, name: str) -> None:
        """Revoke a lease and delete its keys."""
        self._lease(name).timer.cancel()
        self._expire(name)

    async def _other_version(self, key: str, version: int) -> StoredValue:
        n_aborts = self._n_aborts
        while n_aborts == self._n_aborts:
            stored = self._values.get(key)
            if stored is not None and stored.version != version:
                return stored
            await self._changed.wait()
        raise ConnectionAbortedError("the platform aborted the watch")

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_version(self, key: str, version: int) -> None:
        stored = self._values.get(key)
        actual = 0 if stored is None else stored.version
        if actual != version:
            text = f"key {key!r} has version {actual}, expected {version}"
            raise HttpError(409, "kv.conflict", text)

    def _remove(self, key: str) -> None:
        self._version += 1
        del self._values[key]
        self._record(key, None)

    def _record(self, key: str, value: str | None) -> None:
        now_ms = self._clock.now_ms()
        self.writes.append(Write(now_ms, key, self._version, value))
        self._wake_watches()

    def _lease(self, name: str) -> _Lease:
        lease = self._leases.get(name)
        if lease is None:
            raise HttpError(
                404, "lease.lapsed", f"lease {name!r} does not exist or has expired"
            )
        return lease

    def _expiry_timer(self, name: str, ttl_ms: int) -> Timer:
        return self._clock.call_later(ttl_ms, lambda: self._expire(name))

    def _expire(self, name: str) -> None:
        for key in self._leases.pop(name).keys:
            if key in self._values:
                self._remove(key)
