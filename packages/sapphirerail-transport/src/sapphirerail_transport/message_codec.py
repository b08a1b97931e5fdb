"""Signed wire forms of the messages between instances.

There are two. The *single* form is one message with its sender, read by all versions.
The *short* form has a shorter tag; it goes only to those who said in a payload of their
own that they read it. It may hold several messages, of which this version sends one.
"""

from enum import IntEnum
from typing import Generic, TypeVar, Union

import msgspec

from sapphirerail_core.effects import Message
from sapphirerail_core.errors import InputError
from sapphirerail_core.messages import message_types
from sapphirerail_core.types import InstanceId

from .signature import Signer

__all__ = ["SHORT_TAG_BYTES", "Envelope", "Form", "MessageCodec", "Received"]

# A forger cannot test a guess but by sending it: 2**64 datagrams for one hit.
SHORT_TAG_BYTES = 8
# Neither a single form, which begins with a msgpack array, nor a signed HTTP call,
# which begins with its method, begins so.
SHORT_PURPOSE = b"sapphirerail short form\0"
# First byte of a msgpack array of a sender and one message.
PAIR_START = b"\x92"
# Deeply nested arrays are refused by Python's own limit on recursion.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)

MessageT = TypeVar("MessageT", bound=Message)


class Form(IntEnum):
    """Wire forms, in the order of their invention."""

    SINGLE = 1
    SHORT = 2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message in the single form.

    Parameters
    ----------
    sender : InstanceId
        Who sent it.
    message : msgspec.Raw
        The message.
    reads : int
        Newest form that the sender reads; older versions neither send nor read this
        field.
    """

    sender: InstanceId
    message: msgspec.Raw
    reads: int = Form.SINGLE


class _Pair(msgspec.Struct, Generic[MessageT], frozen=True, array_like=True):
    """A sender with its only message."""

    sender: InstanceId
    message: MessageT


class Received(msgspec.Struct, frozen=True):
    """What a payload held.

    Parameters
    ----------
    sender : InstanceId
        Who sent it.
    messages : tuple of Message
        The messages, in their order.
    reads_short : bool
        Whether the sender reads the short form.
    n_refused : int
        Messages beside them that this version does not know.
    """

    sender: InstanceId
    messages: tuple[Message, ...]
    reads_short: bool
    n_refused: int = 0


class MessageCodec:
    """Encodes, signs, checks and decodes messages between instances.

    Parameters
    ----------
    signer : Signer
        Holds the key that all instances share.
    """

    def __init__(self, signer: Signer) -> None:
        self._signer = signer
        self._short_signer = signer.derived(SHORT_PURPOSE, SHORT_TAG_BYTES)
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._short_forms = msgspec.msgpack.Decoder(list[msgspec.Raw])
        self._senders = msgspec.msgpack.Decoder(InstanceId)
        types = message_types()
        union = Union[types] if types else Message  # noqa: UP007
        self._messages: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
            union
        )
        self._pairs = msgspec.msgpack.Decoder(_Pair[union])  # type: ignore[valid-type]

    def encode(self, sender: InstanceId, message: Message) -> bytes:
        """Return the signed single form of a message."""
        raw = msgspec.Raw(self._encoder.encode(message))
        payload = self._encoder.encode(Envelope(sender, raw, Form.SHORT))
        return self._signer.tag(payload) + payload

    def encode_short(self, sender: InstanceId, *messages: Message) -> bytes:
        """Return the signed short form of some messages."""
        payload = self._encoder.encode([sender, *messages])
        return self._short_signer.tag(payload) + payload

    def decode(self, payload: bytes) -> Received:
        """Return what a received payload holds, in either form.

        Raises
        ------
        InputError
            ``message.forged`` or ``message.malformed``.
        """
        try:
            short = self._short_signer.opened(payload)
            if short is not None:
                return self._decode_short(short)
            single = self._signer.opened(payload)
            if single is not None:
                return self._decode_single(single)
        except DECODING_ERRORS as error:
            raise InputError("message.malformed", str(error)) from error
        raise InputError("message.forged", "the signature does not match")

    def _decode_single(self, signed: bytes) -> Received:
        envelope = self._envelopes.decode(signed)
        message = self._messages.decode(envelope.message)
        return Received(envelope.sender, (message,), envelope.reads >= Form.SHORT)

    def _decode_short(self, signed: bytes) -> Received:
        if signed.startswith(PAIR_START):
            pair = self._pairs.decode(signed)
            return Received(pair.sender, (pair.message,), True)
        return self._decode_several(signed)

    def _decode_several(self, signed: bytes) -> Received:
        """Read each message by itself: a new type must not cost the known ones."""
        parts = self._short_forms.decode(signed)
        if len(parts) <= 1:
            raise msgspec.DecodeError("no message")
        sender = self._senders.decode(parts[0])
        messages: list[Message] = []
        for part in parts[1:]:
            try:
                messages.append(self._messages.decode(part))
            except DECODING_ERRORS:
                continue
        if not messages:
            raise msgspec.DecodeError("no message of a known form")
        n_refused = len(parts) - 1 - len(messages)
        return Received(sender, tuple(messages), True, n_refused)
