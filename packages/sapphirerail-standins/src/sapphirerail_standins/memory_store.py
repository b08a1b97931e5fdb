"""In-memory implementation of the plan's store interface, with faults."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from sapphirerail_core.plan.store import (
    ABSENT,
    VALUE_MAX_BYTES,
    LeaseExpiredError,
    LeaseId,
    StoreConflictError,
    StoredValue,
    StoreRejectedError,
    StoreUnknownError,
    Version,
)

__all__ = ["MemoryStore", "SlowStore"]


@dataclass
class MemoryStore:
    """A store with faults that tests switch on.

    Parameters
    ----------
    down : bool
        Whether calls are rejected without effect.
    n_lost_answers : int
        Number of next writes that are applied but raise `StoreUnknownError`.
    n_lost_writes : int
        Number of next writes that are not applied and raise `StoreUnknownError`.
    is_watch_unresponsive : bool
        Whether watches never report a change.
    """

    down: bool = False
    n_lost_answers: int = 0
    n_lost_writes: int = 0
    is_watch_unresponsive: bool = False
    values: dict[str, StoredValue] = field(default_factory=dict)
    leases: dict[LeaseId, set[str]] = field(default_factory=dict)
    n_calls: Counter[str] = field(default_factory=Counter)
    n_watches: int = 0
    _n_writes: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key."""
        self._count("get")
        return self.values.get(key)

    async def compare_and_swap(
        self, key: str, version: Version, value: str, lease: LeaseId | None = None
    ) -> Version:
        """Replace a value."""
        self._count("put")
        if len(value.encode()) > VALUE_MAX_BYTES:
            raise StoreRejectedError(
                "kv.too_large",
                f"value of {len(value)} characters exceeds {VALUE_MAX_BYTES} bytes",
            )
        if self.n_lost_writes:
            self.n_lost_writes -= 1
            raise StoreUnknownError(
                "kv.timeout", "the request was lost; the write was not applied"
            )
        self._check_version(key, version)
        self._n_writes += 1
        written = Version(self._n_writes)
        self.values[key] = StoredValue(value, written)
        if lease is not None:
            self._lease(lease).add(key)
        self._notify_watches()
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            raise StoreUnknownError(
                "kv.timeout", "the answer was lost; the write was applied"
            )
        return written

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key."""
        self._count("delete")
        if key not in self.values:
            return
        self._check_version(key, version)
        del self.values[key]
        self._notify_watches()

    async def watch(
        self, key: str, version: Version, timeout_ms: int
    ) -> StoredValue | None:
        """Wait for a version other than the given one; return None on timeout."""
        self._count("watch")
        self.n_watches += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self.is_watch_unresponsive or self._version(key) == version:
                    await self._changed.wait()
        except TimeoutError:
            return None
        finally:
            self.n_watches -= 1
        return self.values.get(key)

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease, which ends only by `revoke_lease`."""
        self._count("lease")
        lease = LeaseId(f"lease-{self.n_calls['lease']}")
        self.leases[lease] = set()
        return lease

    async def renew_lease(self, lease: LeaseId) -> None:
        """Check that the lease still exists."""
        self._count("renew")
        self._lease(lease)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        self._count("revoke")
        for key in self.leases.pop(lease, set()):
            self.values.pop(key, None)
        self._notify_watches()

    def _lease(self, lease: LeaseId) -> set[str]:
        if lease not in self.leases:
            raise LeaseExpiredError("lease.lapsed", lease)
        return self.leases[lease]

    def _count(self, call: str) -> None:
        if self.down:
            raise StoreRejectedError("kv.unreachable", "the store is unreachable")
        self.n_calls[call] += 1

    def _version(self, key: str) -> Version:
        value = self.values.get(key)
        return ABSENT if value is None else value.version

    def _check_version(self, key: str, version: Version) -> None:
        if self._version(key) != version:
            raise StoreConflictError(
                "kv.conflict",
                f"key {key!r} has version {self._version(key)}, expected {version}",
            )

    def _notify_watches(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


@dataclass
class SlowStore(MemoryStore):
    """A store whose calls take a fixed time on the loop's clock and are recorded.

    Parameters
    ----------
    call_ms : int
        Duration of each call.
    calls : list of (float, str)
        Start time and kind of each call.
    """

    call_ms: int = 5
    calls: list[tuple[float, str]] = field(default_factory=list)

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key."""
        await self._delay("get")
        return await super().get(key)

    async def compare_and_swap(
        self, key: str, version: Version, value: str, lease: LeaseId | None = None
    ) -> Version:
        """Replace a value."""
        await self._delay("put")
        return await super().compare_and_swap(key, version, value, lease)

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key."""
        await self._delay("delete")
        await super().delete(key, version)

    async def _delay(self, call: str) -> None:
        self.calls.append((asyncio.get_running_loop().time(), call))
        await asyncio.sleep(self.call_ms / 1000)
