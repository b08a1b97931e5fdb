"""Client of the platform's key-value service over HTTP."""

from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from sapphirerail_core.plan.store import (
    LeaseExpiredError,
    LeaseId,
    StoreConflictError,
    StoredValue,
    StoreError,
    StoreRejectedError,
    StoreUnknownError,
    Version,
)

from .http import HttpClient, HttpError
from .udp import Address, parse_address

__all__ = ["HttpStore"]

CALL_TIMEOUT_MS = 1000
WATCH_MARGIN_MS = 1000
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500

AnswerT = TypeVar("AnswerT")


class _ValueAnswer(msgspec.Struct):
    value: str | None
    version: int


class _VersionAnswer(msgspec.Struct):
    version: int


class _LeaseAnswer(msgspec.Struct):
    lease: str


class _WriteBody(msgspec.Struct):
    value: str


class _LeaseBody(msgspec.Struct):
    ttl_ms: int


class HttpStore:
    """Implements `Store` with the HTTP calls that `docs/PLATFORM.md` specifies.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the platform.
    timeout_ms : int
        Timeout of one call; a watch has its own timeout plus `WATCH_MARGIN_MS`.
    """

    def __init__(self, address: Address, timeout_ms: int = CALL_TIMEOUT_MS) -> None:
        self._client = HttpClient(address)
        self._timeout_ms = timeout_ms

    @classmethod
    def from_address(cls, address: str) -> "HttpStore":
        """Return a client of the platform at ``address:port``."""
        return cls(parse_address(address))

    async def get(self, key: str) -> StoredValue | None:
        """Return the value and version of a key, or None if the key is absent."""
        try:
            answer = await self._call("GET", _key_path(key), _ValueAnswer)
        except _NotFoundError:
            return None
        return _stored(answer)

    async def compare_and_swap(
        self, key: str, version: Version, value: str, lease: LeaseId | None = None
    ) -> Version:
        """Write a key if its version is still the given one; return the new version."""
        target = f"{_key_path(key)}?version={version}"
        if lease is not None:
            target += f"&lease={quote(lease, safe='')}"
        answer = await self._call("PUT", target, _VersionAnswer, _WriteBody(value))
        return Version(answer.version)

    async def delete(self, key: str, version: Version) -> None:
        """Delete a key if its version is still the given one, or if it is absent."""
        try:
            await self._call("DELETE", f"{_key_path(key)}?version={version}", None)
        except _NotFoundError:
            return

    async def watch(
        self, key: str, version: Version, timeout_ms: int
    ) -> StoredValue | None:
        """Wait until a key has another version; return None after the timeout."""
        target = (
            f"/watch/{quote(key, safe='')}?version={version}&timeout_ms={timeout_ms}"
        )
        limit_ms = timeout_ms + WATCH_MARGIN_MS
        answer = await self._call("GET", target, _ValueAnswer, limit_ms=limit_ms)
        return _stored(answer)

    async def grant_lease(self, ttl_ms: int) -> LeaseId:
        """Create a lease and return its id."""
        answer = await self._call("POST", "/lease", _LeaseAnswer, _LeaseBody(ttl_ms))
        return LeaseId(answer.lease)

    async def renew_lease(self, lease: LeaseId) -> None:
        """Extend a lease by its time to live, or raise `LeaseExpiredError`."""
        try:
            await self._call("POST", f"/lease/{quote(lease, safe='')}/renew", None)
        except _NotFoundError as error:
            raise LeaseExpiredError(error.code, error.message) from error

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys; an expired lease is no error."""
        try:
            await self._call("DELETE", f"/lease/{quote(lease, safe='')}", None)
        except _NotFoundError:
            return

    async def _call(
        self,
        method: str,
        target: str,
        kind: type[AnswerT] | None,
        body: Any = None,
        limit_ms: int | None = None,
    ) -> Any:
        timeout_ms = self._timeout_ms if limit_ms is None else limit_ms
        try:
            if kind is None:
                await self._client.call(method, target, body, timeout_ms=timeout_ms)
                return None
            return await self._client.call_json(
                kind, method, target, body, timeout_ms=timeout_ms
            )
        except HttpError as error:
            raise _store_error(error) from error


class _NotFoundError(StoreRejectedError):
    """The key or the lease does not exist."""


def _key_path(key: str) -> str:
    return f"/kv/{quote(key, safe='')}"


def _stored(answer: _ValueAnswer) -> StoredValue | None:
    if answer.value is None:
        return None
    return StoredValue(answer.value, Version(answer.version))


def _store_error(error: HttpError) -> StoreError:
    kind: Callable[[str, str], StoreError] = StoreRejectedError
    if error.status == STATUS_CONFLICT:
        kind = StoreConflictError
    elif error.status == STATUS_NOT_FOUND:
        kind = _NotFoundError
    elif error.status >= STATUS_SERVER_ERROR or error.status == 0:
        kind = StoreUnknownError
    # No request was sent over a refused connection, so nothing was written.
    if error.status == 0 and isinstance(error.__cause__, ConnectionRefusedError):
        kind = StoreRejectedError
    return kind(error.code, error.message)
