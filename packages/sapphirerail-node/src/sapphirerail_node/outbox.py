"""Gathers the messages to each instance until they leave in one datagram."""

from dataclasses import dataclass, field

from sapphirerail_core.effects import Message
from sapphirerail_core.request.short_forms import shortened
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.message_codec import MessageCodec

__all__ = ["Outbox"]

# With headers still one Ethernet frame, so that a loss costs one datagram's messages.
BUNDLE_MAX_BYTES = 1_400


@dataclass(slots=True)
class _Waiting:
    parts: list[bytes] = field(default_factory=list)
    n_bytes: int = 0


class Outbox:
    """Bundles of messages that have not left yet, by address.

    Parameters
    ----------
    self_id : InstanceId
        Sender of all messages.
    codec : MessageCodec
        Signs the bundles.
    """

    def __init__(self, self_id: InstanceId, codec: MessageCodec) -> None:
        self._self_id = self_id
        self._codec = codec
        self._waiting: dict[str, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, receiver: InstanceId, message: Message, address: str) -> bytes | None:
        """Add a message, and return the bundle that it found no room in.

        Parameters
        ----------
        receiver : InstanceId
            Whom it is for.
        message : Message
            What goes there.
        address : str
            Where the receiver is reached.

        Returns
        -------
        bytes or None
            A full bundle to the same address that must leave now.
        """
        part = self._codec.encode_part(shortened(message, receiver))
        waiting = self._waiting.get(address)
        full = None
        if waiting is not None and waiting.n_bytes + len(part) > BUNDLE_MAX_BYTES:
            full = self.take(address)
        waiting = self._waiting.setdefault(address, _Waiting())
        waiting.parts.append(part)
        waiting.n_bytes += len(part)
        return full

    def take(self, address: str) -> bytes:
        """Return and remove the bundle that waits for an address."""
        waiting = self._waiting.pop(address)
        return self._codec.encode_bundle(self._self_id, waiting.parts)

    def take_all(self) -> list[tuple[str, bytes]]:
        """Return and remove all bundles with their addresses."""
        return [(address, self.take(address)) for address in list(self._waiting)]
