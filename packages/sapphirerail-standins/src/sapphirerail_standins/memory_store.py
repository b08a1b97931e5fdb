"""An in-memory key-value service with faults, at the interface of the plan."""

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
    """A store whose faults tests switch on.

    Parameters
    ----------
    down : bool
        Calls are refused without effect.
    n_lost_answers : int
        So many writes take effect, but answer `StoreUnknownError`.
    n_lost_writes : int
        So many writes have no effect, and answer `StoreUnknownError`.
    silent_watch : bool
        A watch never tells of a change.
    """

    down: bool = False
    n_lost_answers: int = 0
    n_lost_writes: int = 0
    silent_watch: bool = False
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
            raise StoreRejectedError("kv.too_large", f"{len(value)} characters")
        if self.n_lost_writes:
            self.n_lost_writes -= 1
            raise StoreUnknownError("kv.timeout", "the call was lost")
        self._check_version(key, version)
        self._n_writes += 1
        written = Version(self._n_writes)
        self.values[key] = StoredValue(value, written)
        if lease is not None:
            self._lease(lease).add(key)
        self._tell()
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            raise StoreUnknownError("kv.timeout", "the answer was lost")
        return written

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key."""
        self._count("delete")
        if key not in self.values:
            return
        self._check_version(key, version)
        del self.values[key]
        self._tell()

    async def watch(
        self, key: str, version: Version, timeout_ms: int
    ) -> StoredValue | None:
        """Wait for another version."""
        self._count("watch")
        self.n_watches += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self.silent_watch or self._version(key) == version:
                    await self._changed.wait()
        except TimeoutError:
            return None
        finally:
            self.n_watches -= 1
        return self.values.get(key)

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Return a lease, which lapses only by `revoke_lease`."""
        self._count("lease")
        lease = LeaseId(f"lease-{self.n_calls['lease']}")
        self.leases[lease] = set()
        return lease

    async def renew_lease(self, lease: LeaseId) -> None:
        """Check that the lease is still there."""
        self._count("renew")
        self._lease(lease)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self._count("revoke")
        for key in self.leases.pop(lease, set()):
            self.values.pop(key, None)
        self._tell()

    def _lease(self, lease: LeaseId) -> set[str]:
        if lease not in self.leases:
            raise LeaseExpiredError("lease.lapsed", lease)
        return self.leases[lease]

    def _count(self, call: str) -> None:
        if self.down:
            raise StoreRejectedError("kv.unreachable", "the store is down")
        self.n_calls[call] += 1

    def _version(self, key: str) -> Version:
        value = self.values.get(key)
        return ABSENT if value is None else value.version

    def _check_version(self, key: str, version: Version) -> None:
        if self._version(key) != version:
            raise StoreConflictError("kv.conflict", f"version {self._version(key)}")

    def _tell(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


@dataclass
class SlowStore(MemoryStore):
    """A store whose calls each take a while on the loop's clock, and are timed.

    Parameters
    ----------
    call_ms : int
        Time of each call.
    called_s : list of (float, str)
        When each call began, and its kind.
    """

    call_ms: int = 5
    called_s: list[tuple[float, str]] = field(default_factory=list)

    async def get(self, key: str) -> StoredValue | None:
        """Return a value."""
        await self._take_time("get")
        return await super().get(key)

    async def compare_and_swap(
        self, key: str, version: Version, value: str, lease: LeaseId | None = None
    ) -> Version:
        """Replace a value."""
        await self._take_time("put")
        return await super().compare_and_swap(key, version, value, lease)

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key."""
        await self._take_time("delete")
        await super().delete(key, version)

    async def _take_time(self, call: str) -> None:
        self.called_s.append((asyncio.get_running_loop().time(), call))
        await asyncio.sleep(self.call_ms / 1000)
