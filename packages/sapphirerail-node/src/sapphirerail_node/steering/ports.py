"""What a platform's adapter provides."""

from typing import NewType, Protocol

import msgspec

from sapphirerail_core.steering.model import (
    InstanceEntry,
    OperatorChanges,
    OperatorState,
    ServerEntry,
)
from sapphirerail_core.steering.packet import FlowKey, Packet
from sapphirerail_core.steering.tag import ServerTag
from sapphirerail_transport.udp import Address

__all__ = [
    "HistoryLostError",
    "LeaseEndedError",
    "PacketCodec",
    "PlatformStore",
    "RegistrationId",
    "ServerRead",
    "StoreCallError",
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


class HistoryLostError(StoreCallError):
    """The changes since a revision are no longer known; read the whole anew."""


class LeaseEndedError(StoreCallError):
    """The registration has ended; register anew."""


class ServerRead(msgspec.Struct, frozen=True):
    """All usable entries of servers at one revision of the store.

    Parameters
    ----------
    store_revision : int
        Revision of the store.
    entries : tuple of ServerEntry
        Entries that could be decoded.
    n_malformed : int
        Entries that could not.
    """

    store_revision: int
    entries: tuple[ServerEntry, ...]
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

    async def read_servers(self) -> ServerRead:
        """Return all servers."""
        ...

    async def read_operator_state(self) -> OperatorState:
        """Return all that operators have written."""
        ...

    async def wait_operator_changes(
        self, after_revision: int, wait_ms: int
    ) -> OperatorChanges:
        """Return the changes after a revision, at once or after a wait."""
        ...

    async def read_instances(self, is_fresh: bool) -> tuple[InstanceEntry, ...]:
        """Return the registered instances; unless fresh, as of some seconds ago."""
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
