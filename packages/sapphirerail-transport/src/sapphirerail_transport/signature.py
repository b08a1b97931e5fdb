"""Signatures with the key that instances and operators share."""

import hashlib
import hmac

__all__ = ["TAG_BYTES", "Signer"]

TAG_BYTES = 16


class Signer:
    """Signs and checks payloads with HMAC-SHA-256, cut to some bytes.

    Parameters
    ----------
    key : str
        The shared key; must not be empty.
    """

    def __init__(self, key: str) -> None:
        if not key:
            raise ValueError("the shared key must not be empty")
        self._hmac = hmac.new(key.encode(), digestmod=hashlib.sha256)
        self.tag_bytes = TAG_BYTES

    def derived(self, purpose: bytes, tag_bytes: int) -> "Signer":
        """Return a signer whose tags are of no use for any other purpose.

        Parameters
        ----------
        purpose : bytes
            Signed before each payload; no payload of another purpose begins with it.
        tag_bytes : int
            Length of its tags.
        """
        signer = Signer.__new__(Signer)
        signer._hmac = self._hmac.copy()
        signer._hmac.update(purpose)
        signer.tag_bytes = tag_bytes
        return signer

    def tag(self, payload: bytes) -> bytes:
        """Return the signature of a payload."""
        state = self._hmac.copy()
        state.update(payload)
        return state.digest()[: self.tag_bytes]

    def matches(self, payload: bytes, tag: bytes) -> bool:
        """Return whether a signature belongs to a payload."""
        return hmac.compare_digest(self.tag(payload), tag)

    def opened(self, payload: bytes) -> bytes | None:
        """Return what follows the tag at a payload's start, if the tag is right."""
        tag, signed = payload[: self.tag_bytes], payload[self.tag_bytes :]
        return signed if self.matches(signed, tag) else None
