"""Messages between instances about flows.

The holder of a flow is the instance on its return path: the instance through which the
server sends its datagrams of the flow.
"""

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
    """What the sender of records states about the return path of the flows."""

    SET_HOLDER = 0
    """The sender is the holder of the flows from now on."""
    REFRESH = 1
    """The sender knows the flows but becomes the holder only if there is none."""
    TAKE_OVER = 2
    """The receiver is to become the holder of the flows."""
    TAKE_OVER_UNRESPONSIVE = 3
    """As `TAKE_OVER`, because the servers do not respond to the sender."""


class Register(Message, frozen=True, array_like=True, tag=10):
    """Asks an owner to store records.

    Parameters
    ----------
    serial : int
        Number of the batch at its sender, repeated in the acknowledgement.
    records : bytes
        Records encoded by `record_codec.pack_records`.
    mode : RegisterMode
        Which instance is the holder.
    age_ms : int
        Time since the sender made the batch; a later registration takes
        precedence.
    """

    serial: int
    records: bytes
    mode: RegisterMode = RegisterMode.SET_HOLDER
    age_ms: int = 0


class Registered(Message, frozen=True, array_like=True, tag=11):
    """Acknowledges a batch of records."""

    serial: int


class Forget(Message, frozen=True, array_like=True, tag=12):
    """Reports completed flows, whose records are to be dropped."""

    records: bytes


class Release(Message, frozen=True, array_like=True, tag=13):
    """Notifies a holder that its flows have another holder, or that they completed."""

    records: bytes
    completed: bool = False


class Locate(Message, frozen=True, array_like=True, tag=14):
    """Carries a caller's datagram of an unknown flow through the flow's owners.

    Parameters
    ----------
    origin : InstanceId
        Instance that received the datagram from the caller.
    revision : Revision
        Plan revision of the origin.
    path : tuple of InstanceId
        Owners still to be asked after the receiver.
    refused_by : tuple of ServerId
        Servers that answered that they do not have the flow.
    datagram : Datagram
        The caller's datagram.
    is_last_attempt : bool
        Whether the flow is abandoned if this attempt does not find it.
    n_hops : int
        Number of instances that have forwarded the message.
    """

    origin: InstanceId
    revision: Revision
    path: tuple[InstanceId, ...]
    refused_by: tuple[ServerId, ...]
    datagram: Datagram
    is_last_attempt: bool = False
    n_hops: int = 0


class NotLocated(Message, frozen=True, array_like=True, tag=15):
    """Returns a datagram to an origin whose plan is newer than the owner's."""

    refused_by: tuple[ServerId, ...]
    datagram: Datagram
    is_last_attempt: bool = False


class Located(Message, frozen=True, array_like=True, tag=16):
    """Reports the server of a flow to the origin of a `Locate`."""

    service: ServiceId
    flow: FlowId
    server: ServerId
    confirmed: bool = True


class Return(Message, frozen=True, array_like=True, tag=17):
    """Carries a server's datagram to an owner that knows its caller's address."""

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
