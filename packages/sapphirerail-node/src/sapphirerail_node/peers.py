"""The socket towards other instances, with signed messages."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from sapphirerail_core.effects import Message
from sapphirerail_core.errors import InputError
from sapphirerail_core.request.short_forms import expanded, shortened
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.message_codec import MessageCodec, Received
from sapphirerail_transport.udp import Address, UdpSocket, parse_address

from .metrics import Metrics

__all__ = ["PeerSocket"]

# A tenth of a second of work at most, beyond which a message is of no use.
N_WAITING_MAX = 1_000
BATCH_SIZE = 32
# Twice the instances of the largest fleet; those who are forgotten are learned anew.
N_SHORT_READERS_MAX = 8_192
MessageHandler = Callable[[InstanceId, Message], None]


class PeerSocket:
    """Receives, checks and sends messages between instances.

    An instance gets the short form once a payload of its own said that it reads it.

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
    urgent : tuple of type
        Messages that are handled as soon as they are read. All others wait in a
        bounded queue, so that under overload heartbeats do not wait behind them;
        when it is full, the oldest goes.
    """

    def __init__(
        self,
        self_id: InstanceId,
        codec: MessageCodec,
        handler: MessageHandler,
        metrics: Metrics,
        urgent: tuple[type[Message], ...] = (),
    ) -> None:
        self._self_id = self_id
        self._codec = codec
        self._handler = handler
        self._metrics = metrics
        self._urgent = urgent
        self._waiting: deque[tuple[InstanceId, Message]] = deque()
        self._is_handling = False
        self._short_readers: dict[InstanceId, None] = {}
        self._socket: UdpSocket | None = None

    async def open(self, bound: socket.socket) -> None:
        """Start reading from a bound socket."""
        self._socket = UdpSocket(bound, self._on_payload)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def send(self, receiver: InstanceId, message: Message, address: str) -> None:
        """Send a message to an instance at ``address:port``."""
        if self._socket is None:
            return
        payload = self._encoded(receiver, message)
        self._socket.send(payload, parse_address(address))
        self._metrics.count("peer.sent")
        self._metrics.count(f"peer.sent.{type(message).__name__}")
        self._metrics.count("peer.sent_bytes", len(payload))

    def _encoded(self, receiver: InstanceId, message: Message) -> bytes:
        if receiver not in self._short_readers:
            self._metrics.count("peer.sent_single")
            return self._codec.encode(self._self_id, message)
        return self._codec.encode_short(self._self_id, shortened(message, receiver))

    def _on_payload(self, payload: bytes, sender: Address) -> None:
        try:
            received = self._codec.decode(payload)
        except InputError as error:
            self._metrics.count(f"peer.dropped.{error.code}")
            return
        self._metrics.count("peer.received", len(received.messages))
        self._metrics.count("peer.received_bytes", len(payload))
        if received.n_refused:
            self._metrics.count("peer.dropped.message.malformed", received.n_refused)
        self._learn_form(received)
        for message in received.messages:
            self._on_message(received.sender, expanded(message, self._self_id))

    def _learn_form(self, received: Received) -> None:
        """Follow the sender's newest payload, as it may have been replaced."""
        if not received.reads_short:
            self._short_readers.pop(received.sender, None)
            return
        self._short_readers[received.sender] = None
        if len(self._short_readers) > N_SHORT_READERS_MAX:
            del self._short_readers[next(iter(self._short_readers))]

    def _on_message(self, instance: InstanceId, message: Message) -> None:
        if isinstance(message, self._urgent):
            self._handler(instance, message)
            return
        if len(self._waiting) >= N_WAITING_MAX:
            self._waiting.popleft()
            self._metrics.count("peer.dropped.queue_full")
        self._waiting.append((instance, message))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_handling and self._waiting:
            self._is_handling = True
            asyncio.get_running_loop().call_soon(self._handle_waiting)

    def _handle_waiting(self) -> None:
        self._is_handling = False
        try:
            for _ in range(min(BATCH_SIZE, len(self._waiting))):
                self._handler(*self._waiting.popleft())
        finally:
            self._schedule()
