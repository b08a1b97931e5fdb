"""UDP socket for signed messages between instances."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable

from sapphirerail_core.effects import Message
from sapphirerail_core.errors import InputError
from sapphirerail_core.request.short_forms import expanded, shortened
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.message_codec import DecodedPayload, MessageCodec
from sapphirerail_transport.udp import Address, UdpSocket, parse_address

from .metrics import Metrics

__all__ = ["PeerSocket"]

# Handling a full queue takes at most 0.1 s; older messages are no longer useful.
N_QUEUED_MAX = 1_000
BATCH_SIZE = 32
# Twice the size of the largest fleet; an entry that is dropped is restored by the
# next payload of that peer.
N_SHORT_FORM_PEERS_MAX = 8_192
MessageHandler = Callable[[InstanceId, Message], None]


class PeerSocket:
    """Sends messages to other instances, and verifies and handles received ones.

    A peer is sent the short form (see `message_codec`) after one of its payloads has
    announced that it decodes it, and the single form before.

    Parameters
    ----------
    self_id : InstanceId
        Name of this instance, the sender of all messages.
    codec : MessageCodec
        Encodes, signs, verifies and decodes messages.
    handler : callable
        Called with the sender and the message.
    metrics : Metrics
        Counts messages and their bytes.
    urgent : tuple of type
        Message types that are handled immediately, such as heartbeats. All others go
        through a bounded queue, so that urgent ones do not wait behind them under
        overload; when the queue is full, the oldest message is dropped.
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
        self._queue: deque[tuple[InstanceId, Message]] = deque()
        self._is_scheduled = False
        self._short_form_peers: dict[InstanceId, None] = {}
        self._socket: UdpSocket | None = None

    async def open(self, bound: socket.socket) -> None:
        """Start receiving from a bound socket."""
        self._socket = UdpSocket(bound, self._on_payload)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    def send(self, receiver: InstanceId, message: Message, address: str) -> None:
        """Send a message to an instance at ``address:port``."""
        if self._socket is None:
            return
        payload = self._encode(receiver, message)
        self._socket.send(payload, parse_address(address))
        self._metrics.count("peer.sent")
        self._metrics.count(f"peer.sent.{type(message).__name__}")
        self._metrics.count("peer.sent_bytes", len(payload))

    def _encode(self, receiver: InstanceId, message: Message) -> bytes:
        if receiver not in self._short_form_peers:
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
        if received.n_undecodable:
            self._metrics.count(
                "peer.dropped.message.malformed", received.n_undecodable
            )
        self._update_short_form_peers(received)
        for message in received.messages:
            self._on_message(received.sender, expanded(message, self._self_id))

    def _update_short_form_peers(self, received: DecodedPayload) -> None:
        """Record whether the sender decodes the short form now.

        Each payload counts, because a process of an older version may have replaced
        the sender.
        """
        if not received.accepts_short_form:
            self._short_form_peers.pop(received.sender, None)
            return
        self._short_form_peers[received.sender] = None
        if len(self._short_form_peers) > N_SHORT_FORM_PEERS_MAX:
            del self._short_form_peers[next(iter(self._short_form_peers))]

    def _on_message(self, instance: InstanceId, message: Message) -> None:
        if isinstance(message, self._urgent):
            self._handler(instance, message)
            return
        if len(self._queue) >= N_QUEUED_MAX:
            self._queue.popleft()
            self._metrics.count("peer.dropped.queue_full")
        self._queue.append((instance, message))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled and self._queue:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._handle_batch)

    def _handle_batch(self) -> None:
        self._is_scheduled = False
        try:
            for _ in range(min(BATCH_SIZE, len(self._queue))):
                self._handler(*self._queue.popleft())
        finally:
            self._schedule()
