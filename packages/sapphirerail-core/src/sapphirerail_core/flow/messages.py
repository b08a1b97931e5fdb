"""Messages between instances about flows."""

from enum import IntEnum

from ..datagram import Datagram
from ..effects import Message
from ..types import FlowId, InstanceId, Revision, ServerId, ServiceId

__all__ = [
    "MESSAGES",
    "Forget",
    "Locate",
    "Located",
    "NotLocated",
    "Register",
    "RegisterMode",
    "Registered",
    "Release",
    "Return",
]


class RegisterMode(IntEnum):
    """What the sender of records says about the way back."""

    HOLD = 0
    """The sender answers for the flows now."""
    REFRESH = 1
    """The sender knows the flows; another holder that is known stays."""
    TAKE_OVER = 2
    """The receiver is to answer for the flows from now on."""
    TAKE_OVER_SILENT = 3
    """As before, because the sender got no answer from the servers."""


class Register(Message, frozen=True, array_like=True, tag=10):
    """Asks an owner to keep records.

    Parameters
    ----------
    serial : int
        Number of the batch at its sender, for the acknowledgement.
    records : bytes
        As from `record_codec.pack_records`.
    mode : RegisterMode
        Who is the way back.
    age_ms : int
        Time since the sender made the batch; a later claim goes before it.
    """

    serial: int
    records: bytes
    mode: RegisterMode = RegisterMode.HOLD
    age_ms: int = 0


class Registered(Message, frozen=True, array_like=True, tag=11):
    """Acknowledges a batch of records."""

    serial: int


class Forget(Message, frozen=True, array_like=True, tag=12):
    """Says that flows have ended."""

    records: bytes


class Release(Message, frozen=True, array_like=True, tag=13):
    """Tells a holder that another instance holds these flows, or that they ended."""

    records: bytes
    ended: bool = False


class Locate(Message, frozen=True, array_like=True, tag=14):
    """Carries a caller's datagram of an unknown flow through its owners.

    Parameters
    ----------
    asker : InstanceId
        Instance that the caller's datagram reached.
    revision : Revision
        Plan of the asker.
    path : tuple of InstanceId
        Owners that are still to be asked, after the receiver.
    refused_by : tuple of ServerId
        Servers that said that they do not know the flow.
    datagram : Datagram
        What the caller sent.
    is_last : bool
        Whether the flow is lost if it is not found now.
    n_hops : int
        Instances that it came through.
    """

    asker: InstanceId
    revision: Revision
    path: tuple[InstanceId, ...]
    refused_by: tuple[ServerId, ...]
    datagram: Datagram
    is_last: bool = False
    n_hops: int = 0


class NotLocated(Message, frozen=True, array_like=True, tag=15):
    """Returns a datagram to an asker whose plan is newer than the owner's."""

    refused_by: tuple[ServerId, ...]
    datagram: Datagram
    is_last: bool = False


class Located(Message, frozen=True, array_like=True, tag=16):
    """Tells the asker where a flow is."""

    service: ServiceId
    flow: FlowId
    server: ServerId
    confirmed: bool = True


class Return(Message, frozen=True, array_like=True, tag=17):
    """Carries a server's datagram without a caller to an owner that knows it."""

    server: ServerId
    path: tuple[InstanceId, ...]
    datagram: Datagram


MESSAGES: tuple[type[Message], ...] = (
    Register,
    Registered,
    Forget,
    Release,
    Locate,
    NotLocated,
    Located,
    Return,
)
