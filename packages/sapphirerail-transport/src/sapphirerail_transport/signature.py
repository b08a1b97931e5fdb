"""Signatures with the key that instances and operators share."""

import hashlib
import hmac

__all__ = ["TAG_BYTES", "Signer"]

TAG_BYTES = 16


class Signer:
    """Signs and checks payloads with HMAC-SHA-256, cut to `TAG_BYTES`.

    Parameters
    ----------
    key : str
        The shared key; must not be empty.
    """

    def __init__(self, key: str) -> None:
        if not key:
            raise ValueError("the shared key must not be empty")
        self._hmac = hmac.new(key.encode(), digestmod=hashlib.sha256)

    def tag(self, payload: bytes) -> bytes:
        """Return the signature of a payload."""
        state = self._hmac.copy()
        state.update(payload)
        return state.digest()[:TAG_BYTES]

    def matches(self, payload: bytes, tag: bytes) -> bool:
        """Return whether a signature belongs to a payload."""
        return hmac.compare_digest(self.tag(payload), tag)
