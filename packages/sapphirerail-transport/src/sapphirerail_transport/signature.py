"""HMAC signatures with the key that instances and operators share."""

import hashlib
import hmac

__all__ = ["TAG_BYTES", "Signer"]

TAG_BYTES = 16


class Signer:
    """Signs and verifies payloads with truncated HMAC-SHA-256 tags.

    Parameters
    ----------
    key : str
        The shared key; must not be empty.
    """

    def __init__(self, key: str) -> None:
        if not key:
            raise ValueError("the shared key is empty; give at least one character")
        self._hmac = hmac.new(key.encode(), digestmod=hashlib.sha256)
        self.tag_bytes = TAG_BYTES

    def derive(self, purpose: bytes, tag_bytes: int) -> "Signer":
        """Return a signer for one purpose, whose tags are invalid for any other.

        Parameters
        ----------
        purpose : bytes
            Prefix that is signed with each payload; payloads of other purposes must
            not begin with it.
        tag_bytes : int
            Length of the tags.
        """
        signer = Signer.__new__(Signer)
        signer._hmac = self._hmac.copy()
        signer._hmac.update(purpose)
        signer.tag_bytes = tag_bytes
        return signer

    def tag(self, payload: bytes) -> bytes:
        """Return the authentication tag of a payload."""
        state = self._hmac.copy()
        state.update(payload)
        return state.digest()[: self.tag_bytes]

    def matches(self, payload: bytes, tag: bytes) -> bool:
        """Return whether a tag is valid for a payload."""
        return hmac.compare_digest(self.tag(payload), tag)

    def unsign(self, payload: bytes) -> bytes | None:
        """Return the content after the tag at the start of a payload.

        Returns None if the tag is not valid for the content.
        """
        tag, signed = payload[: self.tag_bytes], payload[self.tag_bytes :]
        return signed if self.matches(signed, tag) else None
