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
    """Load of one instance on one server, and the server's state as seen there.

    Parameters
    ----------
    tag : int
        Tag of the server.
    load : float
        The instance's part of the server's occupancy, in slots.
    silence_ms : int
        How long the server has not responded; 0 if it answers.
    is_dead : bool
        Whether a probe confirmed that the server failed.
    """

    tag: int
    load: float
    silence_ms: int
    is_dead: bool


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=91):
    """Load report, sent periodically to the peers of the local data centre."""

    sender: InstanceEntry
    operator_revision: int
    loads: tuple[ServerLoad, ...]


class DirectoryUpdate(msgspec.Struct, frozen=True, array_like=True, tag=92):
    """Update that a reader of the store sends to the other instances after a read.

    Parameters
    ----------
    sender : InstanceEntry
        Instance that sends or relays the update.
    store_revision : int
        Revision of the store at the read.
    age_ms : int
        Time from the read to the sending of this message.
    steady_ms : int
        How long the store had answered the reader without a failure.
    operator_revision : int
        Store revision of the operators' newest change that the sender knows.
    digest : int
        Checksum of the servers, instances, configuration and evacuated data centres.
    changes : bytes or None
        `Changes` by the last reads, compressed; None if there are none or too many.
    """

    sender: InstanceEntry
    store_revision: int
    age_ms: int
    steady_ms: int
    operator_revision: int
    digest: int
    changes: bytes | None


class Stopped(msgspec.Struct, frozen=True, array_like=True, tag=93):
    """Notice that an instance stops; its peers take over its reads and cold servers."""

    instance: InstanceId


class StateSnapshot(msgspec.Struct, frozen=True):
    """State for an instance that starts while the store is unreachable.

    It is served as JSON; ``picture`` is the outer name of the store snapshot.
    """

    picture: Picture
    instances: tuple[InstanceEntry, ...]
    store_revision: int
    age_ms: int


PeerMessage = LoadReport | DirectoryUpdate | Stopped
