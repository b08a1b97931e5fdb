"""Signed wire form of the messages between instances."""

from typing import Union

import msgspec

from sapphirerail_core.effects import Message
from sapphirerail_core.errors import InputError
from sapphirerail_core.messages import message_types
from sapphirerail_core.types import InstanceId

from .signature import TAG_BYTES, Signer

__all__ = ["Envelope", "MessageCodec"]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    sender: InstanceId
    message: msgspec.Raw


class MessageCodec:
    """Encodes, signs, checks and decodes messages between instances.

    Parameters
    ----------
    signer : Signer
        Holds the key that all instances share.
    """

    def __init__(self, signer: Signer) -> None:
        self._signer = signer
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        types = message_types()
        union = Union[types] if types else Message  # noqa: UP007
        self._messages: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
            union
        )

    def encode(self, sender: InstanceId, message: Message) -> bytes:
        """Return the signed wire form of a message."""
        raw = msgspec.Raw(self._encoder.encode(message))
        payload = self._encoder.encode(Envelope(sender, raw))
        return self._signer.tag(payload) + payload

    def decode(self, payload: bytes) -> tuple[InstanceId, Message]:
        """Return the sender and the message of a received payload.

        Raises
        ------
        InputError
            ``message.forged`` or ``message.malformed``.
        """
        tag, signed = payload[:TAG_BYTES], payload[TAG_BYTES:]
        if not self._signer.matches(signed, tag):
            raise InputError("message.forged", "the signature does not match")
        try:
            envelope = self._envelopes.decode(signed)
            return envelope.sender, self._messages.decode(envelope.message)
        except msgspec.MsgspecError as error:
            raise InputError("message.malformed", str(error)) from error
