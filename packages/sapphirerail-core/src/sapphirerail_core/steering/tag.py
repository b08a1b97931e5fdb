"""Tag that identifies the server of a flow in its packets."""

import zlib
from typing import NewType

__all__ = ["NO_TAG", "ServerTag", "server_tag"]

ServerTag = NewType("ServerTag", int)
"""Unsigned 32-bit number; the same on every instance."""

NO_TAG = ServerTag(0)
_IDENTITY_BYTES = 8


def server_tag(identity: int) -> ServerTag:
    """Return the tag for a server's identity.

    Identities below 2**32 have distinct tags, except the one with CRC-32 0, which
    shares tag 1: CRC-32 maps 32-bit inputs one to one. Larger ones may collide.

    Parameters
    ----------
    identity : int
        Unsigned 64-bit number of the server.

    Returns
    -------
    ServerTag
        The tag, never `NO_TAG`.

    Examples
    --------
    >>> server_tag(0x7F3A91C2) != server_tag(0x7F3A91C3)
    True
    """
    digest = zlib.crc32(identity.to_bytes(_IDENTITY_BYTES, "big"))
    return ServerTag(digest or 1)
