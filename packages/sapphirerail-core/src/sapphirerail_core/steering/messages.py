"""Messages between entry instances."""

import msgspec

from ..types import InstanceId
from .model import InstanceEntry
from .picture import Picture

__all__ = [
    "DirectoryUpdate",
    "LoadReport",
    "PeerMessage",
    "ServerLoad",
    "StateSnapshot",
    "Stopped",
]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """What an instance has at one server, and what it saw of it.

    Parameters
    ----------
    tag : int
        The server.
    load : float
        Its part of the server's occupancy, in slots.
    silence_ms : int
        How long it has been silent; 0 if it answers.
    is_dead : bool
        Whether a probe has shown that it is dead.
    """

    tag: int
    load: float
    silence_ms: int
    is_dead: bool


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=91):
    """Sent to the peers of the own data centre at a fixed interval."""

    sender: InstanceEntry
    operator_revision: int
    loads: tuple[ServerLoad, ...]


class DirectoryUpdate(msgspec.Struct, frozen=True, array_like=True, tag=92):
    """What a reader of the store tells the others after each read.

    Parameters
    ----------
    sender : InstanceEntry
        Who relays it.
    store_revision : int
        The store's revision at the read.
    age_ms : int
        Time since the read when this was sent.
    steady_ms : int
        How long the store had answered the reader without a failure.
    operator_revision : int
        Store revision of the operators' newest change that the sender knows.
    digest : int
        Checksum of the servers, the configuration and the data centres that are out.
    changes : bytes or None
        `Changes` of the last reads, packed; left out if there were none.
    """

    sender: InstanceEntry
    store_revision: int
    age_ms: int
    steady_ms: int
    operator_revision: int
    digest: int
    changes: bytes | None


class Stopped(msgspec.Struct, frozen=True, array_like=True, tag=93):
    """An instance stops; its peers take over what it did for them."""

    instance: InstanceId


class StateSnapshot(msgspec.Struct, frozen=True):
    """All that an instance knows, for one that starts while the store is away."""

    picture: Picture
    instances: tuple[InstanceEntry, ...]
    store_revision: int
    age_ms: int


PeerMessage = LoadReport | DirectoryUpdate | Stopped
