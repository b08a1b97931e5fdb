"""What a platform's adapter provides."""

from typing import NewType, Protocol

import msgspec

from sapphirerail_core.steering.model import InstanceEntry, ServerEntry
from sapphirerail_core.steering.packet import FlowKey, Packet
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_core.steering.tag import ServerTag
from sapphirerail_transport.udp import Address

__all__ = [
    "LeaseEndedError",
    "PacketCodec",
    "PlatformStore",
    "RegistrationId",
    "StoreCallError",
    "StoreRead",
]

RegistrationId = NewType("RegistrationId", int)


class StoreCallError(Exception):
    """A call of the platform's store that failed.

    Parameters
    ----------
    code : str
        Stable identifier, such as ``"http.timeout"``.
    message : str
        What happened.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class LeaseEndedError(StoreCallError):
    """The registration has ended; register anew."""


class StoreRead(msgspec.Struct, frozen=True):
    """One read of the store.

    Parameters
    ----------
    picture : StoreSnapshot
        All that steering depends on and that could be decoded.
    n_malformed : int
        Entries of servers that could not be decoded.
    """

    picture: StoreSnapshot
    n_malformed: int


class PacketCodec(Protocol):
    """The platform's packets."""

    def decode(self, datagram: bytes) -> Packet:
        """Return a caller's packet, or raise `InputError`."""
        ...

    def for_server(
        self, packet: Packet, server: ServerEntry, tag: ServerTag | None
    ) -> tuple[bytes, Address]:
        """Return the datagram for a server; a tag replaces the packet's own."""
        ...

    def reset(self, packet: Packet) -> tuple[bytes, Address]:
        """Return the datagram that tells the caller that its flow has ended."""
        ...

    def describe(self, flow: FlowKey) -> str:
        """Return the ends of a flow as logs name them."""
        ...


class PlatformStore(Protocol):
    """The platform's store; each call may raise `StoreCallError`."""

    async def read(self) -> StoreRead:
        """Return what operators wrote, servers announce and instances registered."""
        ...

    async def register(self, entry: InstanceEntry, ttl_ms: int) -> RegistrationId:
        """Register an instance for a time."""
        ...

    async def renew(self, registration: RegistrationId) -> None:
        """Extend a registration."""
        ...

    async def unregister(self, registration: RegistrationId) -> None:
        """End a registration."""
        ...
