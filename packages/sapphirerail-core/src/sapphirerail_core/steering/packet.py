"""Decoded packet of a caller, independent of the platform's format."""

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
        Flow that the packet belongs to.
    destination : ServiceAddress
        Address and port that the caller sent it to.
    is_opening, is_finish, is_reset : bool
        Whether it opens the flow, closes the caller's direction, or aborts the flow.
    tag : int
        Server tag that the caller last received; 0 if it has none.
    sequence, acknowledged : int
        Sequence number of the data, and acknowledgement number, in bytes.
    n_data_bytes : int
        Length of the data.
    raw : bytes
        The packet as received.
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
