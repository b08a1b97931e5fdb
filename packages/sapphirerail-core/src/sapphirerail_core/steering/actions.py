"""What is to be done with a packet."""

import msgspec

from .directory import KnownServer
from .events import Reason

__all__ = ["Action", "Drop", "Forward", "Open", "Reset"]


class Forward(msgspec.Struct, gc=False):
    """Send the packet on as it is."""

    server: KnownServer


class Open(msgspec.Struct, gc=False):
    """Send an opening to a server, marked with the server's tag."""

    server: KnownServer
    reason: Reason


class Reset(msgspec.Struct, gc=False):
    """Tell the caller that the flow has ended; names its server if it is known."""

    reason: Reason
    server: KnownServer | None = None


class Drop(msgspec.Struct, gc=False):
    """Send nothing; the caller repeats what counts."""

    reason: Reason


Action = Forward | Open | Reset | Drop
