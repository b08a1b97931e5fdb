"""What the plan needs of the platform's key-value service."""

from typing import NewType, Protocol

import msgspec

from ..errors import SapphirerailError

__all__ = [
    "ABSENT",
    "VALUE_MAX_BYTES",
    "LeaseId",
    "LeaseLapsedError",
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
"""Number of a key's write; grows, and is never used twice."""

ABSENT = Version(0)
"""Version that a write names if the key must not exist yet."""
VALUE_MAX_BYTES = 1_000_000


class StoredValue(msgspec.Struct, frozen=True):
    """A value with the version of the write that made it."""

    value: str
    version: Version


class StoreError(SapphirerailError):
    """A call that the store did not carry out, as far as is known."""


class StoreConflictError(StoreError):
    """The key has another version; nothing was written."""


class StoreRejectedError(StoreError):
    """The call never reached the store or was refused; nothing was written."""


class StoreUnknownError(StoreError):
    """No answer came: a write may take effect, have taken effect, or never will."""


class LeaseLapsedError(StoreError):
    """The lease is gone, and its keys with it."""


class Store(Protocol):
    """The platform's key-value service."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None if it is absent."""
        ...

    async def compare_and_swap(
        self, key: str, version: Version, value: str, lease: LeaseId | None = None
    ) -> Version:
        """Replace a key's value if its version is still the given one.

        Raises
        ------
        StoreConflictError
            The version differs; nothing was written.
        StoreRejectedError
            Nothing was written.
        StoreUnknownError
            The outcome is not known.
        """
        ...

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key if its version is still the given one; absent is no error."""
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
        """Extend a lease by its time to live, or raise `LeaseLapsedError`."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        ...
