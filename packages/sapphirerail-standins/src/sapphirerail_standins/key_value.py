"""The platform stand-in's key-value service: versions, leases, watches."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from sapphirerail_transport.http import HttpError

from .clock import Clock, Timer

__all__ = ["KeyValueStore", "Stored", "Write"]

VALUE_MAX_BYTES = 1_000_000


class Stored(msgspec.Struct, frozen=True):
    """A value with its version."""

    value: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A write that took effect; the value is None for a deletion."""

    at_ms: int
    key: str
    version: int
    value: str | None


@dataclass
class _Lease:
    """A lease that lapses unless it is renewed."""

    ttl_ms: int
    timer: Timer
    keys: set[str] = field(default_factory=set)


class KeyValueStore:
    """Keeps values under versions that grow with each write.

    Parameters
    ----------
    clock : Clock
        Time for leases and for the record of writes.
    """

    def __init__(self, clock: Clock) -> None:
        self.writes: list[Write] = []
        self.n_waiting = 0
        self._clock = clock
        self._values: dict[str, Stored] = {}
        self._leases: dict[str, _Lease] = {}
        self._version = 0
        self._n_leases = 0
        self._n_cuts = 0
        self._changed = asyncio.Event()

    def get(self, key: str) -> Stored:
        """Return a value, or raise 404 ``kv.absent``."""
        stored = self._values.get(key)
        if stored is None:
            raise HttpError(404, "kv.absent", f"there is no key {key!r}")
        return stored

    def put(self, key: str, value: str, version: int, lease: str = "") -> int:
        """Write a value if the key has the given version; return the new one."""
        if len(value.encode()) > VALUE_MAX_BYTES:
            limit = f"at most {VALUE_MAX_BYTES} bytes are allowed"
            raise HttpError(413, "kv.too_large", limit)
        self._check_version(key, version)
        if lease:
            self._lease(lease).keys.add(key)
        self._version += 1
        self._values[key] = Stored(value, self._version)
        self._note(key, value)
        return self._version

    def delete(self, key: str, version: int) -> None:
        """Delete a key if it has the given version."""
        self.get(key)
        self._check_version(key, version)
        self._remove(key)

    async def watch(self, key: str, version: int, timeout_ms: int) -> Stored | None:
        """Return the value once its version differs; None after the timeout."""
        self.n_waiting += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._differing(key, version)
        except TimeoutError:
            return None
        finally:
            self.n_waiting -= 1

    def cut_watches(self) -> None:
        """End every waiting watch without an answer."""
        self._n_cuts += 1
        self._wake_watches()

    def grant(self, ttl_ms: int) -> str:
        """Return the name of a new lease."""
        self._n_leases += 1
        name = f"lease-{self._n_leases}"
        self._leases[name] = _Lease(ttl_ms, self._lapse_timer(name, ttl_ms))
        return name

    def renew(self, name: str) -> None:
        """Start the time of a lease anew."""
        lease = self._lease(name)
        lease.timer.cancel()
        lease.timer = self._lapse_timer(name, lease.ttl_ms)

    def revoke(self, name: str) -> None:
        """End a lease and delete its keys."""
        self._lease(name).timer.cancel()
        self._lapse(name)

    async def _differing(self, key: str, version: int) -> Stored:
        n_cuts = self._n_cuts
        while n_cuts == self._n_cuts:
            stored = self._values.get(key)
            if stored is not None and stored.version != version:
                return stored
            await self._changed.wait()
        raise ConnectionAbortedError("the watch is cut")

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_version(self, key: str, version: int) -> None:
        stored = self._values.get(key)
        actual = 0 if stored is None else stored.version
        if actual != version:
            text = f"{key!r} has version {actual}, not {version}"
            raise HttpError(409, "kv.conflict", text)

    def _remove(self, key: str) -> None:
        self._version += 1
        del self._values[key]
        self._note(key, None)

    def _note(self, key: str, value: str | None) -> None:
        now_ms = self._clock.now_ms()
        self.writes.append(Write(now_ms, key, self._version, value))
        self._wake_watches()

    def _lease(self, name: str) -> _Lease:
        lease = self._leases.get(name)
        if lease is None:
            raise HttpError(404, "lease.lapsed", f"there is no lease {name!r}")
        return lease

    def _lapse_timer(self, name: str, ttl_ms: int) -> Timer:
        return self._clock.call_later(ttl_ms, lambda: self._lapse(name))

    def _lapse(self, name: str) -> None:
        for key in self._leases.pop(name).keys:
            if key in self._values:
                self._remove(key)
