"""Effects: datagrams and messages that the decision logic asks the node to send."""

from dataclasses import dataclass

import msgspec

from .datagram import Datagram
from .types import InstanceId, ServerId

__all__ = ["Effect", "Message", "SendToCaller", "SendToPeer", "SendToServer"]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between instances.

    Each subclass sets a unique ``tag``: 10 to 29 for flow, 30 to 49 for request and
    load, 50 to 69 for plan, 70 to 89 for fleet.
    """


@dataclass(frozen=True, slots=True)
class SendToServer:
    """Send a datagram to a backend server."""

    server: ServerId
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send a datagram to the address in its ``caller`` field."""

    datagram: Datagram


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to another instance."""

    instance: InstanceId
    message: Message


Effect = SendToServer | SendToCaller | SendToPeer
