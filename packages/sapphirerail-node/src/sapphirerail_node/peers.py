"""The socket towards other instances, with signed messages."""

import socket
from collections.abc import Callable

from sapphirerail_core.effects import Message
from sapphirerail_core.errors import InputError
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.message_codec import MessageCodec
from sapphirerail_transport.udp import Address, UdpSocket, parse_address

from .metrics import Metrics

__all__ = ["PeerSocket"]

MessageHandler = Callable[[InstanceId, Message], None]


class PeerSocket:
    """Receives, checks and sends messages between instances.

    Parameters
    ----------
    self_id : InstanceId
        Sender of all messages.
    codec : MessageCodec
        Signs and checks.
    handler : callable
        Called with the sender and the message.
    metrics : Metrics
        Counts messages and their bytes.
    """

    def __init__(
        self,
        self_id: InstanceId,
        codec: MessageCodec,
        handler: MessageHandler,
        metrics: Metrics,
    ) -> None:
        self._self_id = self_id
        self._codec = codec
        self._handler = handler
        self._metrics = metrics
        self._socket: UdpSocket | None = None

    async def open(self, bound: socket.socket) -> None:
        """Start reading from a bound socket."""
        self._socket = await UdpSocket.adopt(bound, self._on_payload)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def send(self, message: Message, address: str) -> None:
        """Send a message to ``address:port``."""
        if self._socket is None:
            return
        payload = self._codec.encode(self._self_id, message)
        self._socket.send(payload, parse_address(address))
        self._metrics.count("peer.sent")
        self._metrics.count(f"peer.sent.{type(message).__name__}")
        self._metrics.count("peer.sent_bytes", len(payload))

    def _on_payload(self, payload: bytes, sender: Address) -> None:
        try:
            instance, message = self._codec.decode(payload)
        except InputError as error:
            self._metrics.count(f"peer.dropped.{error.code}")
            return
        self._metrics.count("peer.received")
        self._metrics.count("peer.received_bytes", len(payload))
        self._handler(instance, message)
