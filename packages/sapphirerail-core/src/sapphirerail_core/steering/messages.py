"""Messages between entry instances."""

import msgspec

from ..types import InstanceId
from .model import InstanceEntry
from .store_snapshot import StoreSnapshot

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
    unresponsive_ms : int
        How long the server has not responded; 0 if it answers.
    is_failed : bool
        Whether a probe confirmed that the server failed.
    """

    tag: int
    load: float
    unresponsive_ms: int
    is_failed: bool


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
        `SnapshotChanges` by the last reads, compressed; None if there are none or too
        many.
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

    It is served as JSON; ``picture`` is the JSON name of the store snapshot.
    """

    picture: StoreSnapshot
    instances: tuple[InstanceEntry, ...]
    store_revision: int
    age_ms: int


PeerMessage = LoadReport | DirectoryUpdate | Stopped
