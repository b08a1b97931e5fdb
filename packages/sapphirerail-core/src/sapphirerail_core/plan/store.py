"""Interface of the platform's key-value store."""

from typing import NewType, Protocol

import msgspec

from ..errors import SapphirerailError

__all__ = [
    "ABSENT",
    "VALUE_MAX_BYTES",
    "LeaseExpiredError",
    "LeaseId",
    "Store",
    "StoreConflictError",
    "StoreError",
    "StoreRejectedError",
    "StoreUnknownError",
    "StoredValue",
    "Version",
]

LeaseId = NewType("LeaseId", str)
Version = NewType("Version", int)
"""Version of a key: increases with each write and is never reused."""

ABSENT = Version(0)
"""Expected version of a write that must create the key."""
VALUE_MAX_BYTES = 1_000_000


class StoredValue(msgspec.Struct, frozen=True):
    """A value and the version of the write that stored it."""

    value: str
    version: Version


class StoreError(SapphirerailError):
    """A store call failed; the subclasses tell whether it may have taken effect."""


class StoreConflictError(StoreError):
    """The key has a different version; nothing was written."""


class StoreRejectedError(StoreError):
    """The call did not reach the store or was refused; nothing was written."""


class StoreUnknownError(StoreError):
    """No response arrived: a write may have taken effect, or may still do so later."""


class LeaseExpiredError(StoreError):
    """The lease has expired, and its keys were deleted."""


class Store(Protocol):
    """The platform's key-value service."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if it is absent."""
        ...

    async def compare_and_swap(
        self, key: str, version: Version, value: str, lease: LeaseId | None = None
    ) -> Version:
        """Replace the value of a key if it still has the given version.

        Raises
        ------
        StoreConflictError
            The version differs; nothing was written.
        StoreRejectedError
            Nothing was written.
        StoreUnknownError
            The outcome is unknown.
        """
        ...

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key if it still has the given version; an absent key is no error."""
        ...

    async def watch(
        self, key: str, version: Version, timeout_ms: int
    ) -> StoredValue | None:
        """Return the value once its version differs, or None after the timeout."""
        ...

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Return a new lease."""
        ...

    async def renew_lease(self, lease: LeaseId) -> None:
        """Extend a lease by its time to live, or raise `LeaseExpiredError`."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        ...
