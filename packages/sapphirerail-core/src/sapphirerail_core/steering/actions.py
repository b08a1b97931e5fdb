"""Actions that the engine returns for a packet."""

import msgspec

from .directory import KnownServer
from .events import Reason

__all__ = ["Action", "Drop", "Forward", "Open", "Reset"]


class Forward(msgspec.Struct, gc=False):
    """Forward the packet unchanged."""

    server: KnownServer


class Open(msgspec.Struct, gc=False):
    """Send a flow's first packet to a server, marked with the server's tag."""

    server: KnownServer
    reason: Reason


class Reset(msgspec.Struct, gc=False):
    """Reset the flow at the caller; `server` is set if it is known."""

    reason: Reason
    server: KnownServer | None = None


class Drop(msgspec.Struct, gc=False):
    """Drop the packet; the caller retransmits it if it matters."""

    reason: Reason


Action = Forward | Open | Reset | Drop
