"""Interfaces that the adapter of a platform implements."""

from typing import NewType, Protocol

import msgspec

from sapphirerail_core.steering.model import InstanceEntry, ServerEntry
from sapphirerail_core.steering.packet import FlowKey, Packet
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_core.steering.tag import ServerTag
from sapphirerail_transport.udp import Address

__all__ = [
    "LeaseExpiredError",
    "PacketCodec",
    "PlatformStore",
    "RegistrationId",
    "StoreCallError",
    "StoreRead",
]

RegistrationId = NewType("RegistrationId", int)


class StoreCallError(Exception):
    """Raised when a call of the platform's store fails.

    Parameters
    ----------
    code : str
        Stable identifier, such as ``"http.timeout"``.
    message : str
        Description of the failure.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class LeaseExpiredError(StoreCallError):
    """Raised when the registration has expired; the instance must register again."""


class StoreRead(msgspec.Struct, frozen=True):
    """Result of one read of the store.

    Parameters
    ----------
    snapshot : StoreSnapshot
        The decoded data that steering depends on.
    n_malformed : dict of str to int
        Entries and parts of entries that could not be decoded, by kind.
    """

    snapshot: StoreSnapshot
    n_malformed: dict[str, int]


class PacketCodec(Protocol):
    """Encodes and decodes the platform's packets."""

    def decode(self, datagram: bytes) -> Packet:
        """Decode a caller's packet, or raise `InputError`."""
        ...

    def encode_for_server(
        self, packet: Packet, server: ServerEntry, tag: ServerTag | None
    ) -> tuple[bytes, Address]:
        """Return the datagram for a server; a given tag replaces the packet's tag."""
        ...

    def encode_reset(self, packet: Packet) -> tuple[bytes, Address]:
        """Return the datagram that notifies the caller that its flow is closed."""
        ...

    def format_flow(self, flow: FlowKey) -> str:
        """Return the endpoints of a flow in the format of the logs."""
        ...


class PlatformStore(Protocol):
    """Client of the platform's store; each call may raise `StoreCallError`."""

    async def read(self, known: StoreSnapshot | None, after_revision: int) -> StoreRead:
        """Return the operator state, the servers and the registered instances.

        Parameters
        ----------
        known : StoreSnapshot or None
            Contents at `after_revision`, so that only the changes need be read.
        after_revision : int
            Store revision of `known`.
        """
        ...

    async def register(self, entry: InstanceEntry, ttl_ms: int) -> RegistrationId:
        """Register an instance until the time to live has passed."""
        ...

    async def renew(self, registration: RegistrationId) -> None:
        """Extend a registration by its time to live."""
        ...

    async def unregister(self, registration: RegistrationId) -> None:
        """End a registration."""
        ...
