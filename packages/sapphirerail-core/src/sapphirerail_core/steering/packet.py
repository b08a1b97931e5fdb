"""A caller's packet as the decisions see it."""

from typing import NewType

import msgspec

__all__ = ["FlowKey", "Packet", "ServiceAddress"]

FlowKey = NewType("FlowKey", bytes)
"""The addresses and ports of both ends of a flow."""
ServiceAddress = NewType("ServiceAddress", int)
"""IPv4 number of an address that callers use, times 65,536, plus the port."""


class Packet(msgspec.Struct, gc=False):
    """One packet of a caller.

    Parameters
    ----------
    flow : FlowKey
        The flow that it belongs to.
    destination : ServiceAddress
        What the caller addresses.
    is_opening, is_finish, is_reset : bool
        Whether it opens the flow, ends the caller's direction, or aborts the flow.
    tag : int
        Number of the server as the caller last learned it; 0 if it knows none.
    sequence, acknowledged : int
        Position of the data, and what the caller has received, in bytes.
    n_data_bytes : int
        Length of the data.
    raw : bytes
        The packet as it came.
    """

    flow: FlowKey
    destination: ServiceAddress
    is_opening: bool
    is_finish: bool
    is_reset: bool
    tag: int
    sequence: int
    acknowledged: int
    n_data_bytes: int
    raw: bytes
