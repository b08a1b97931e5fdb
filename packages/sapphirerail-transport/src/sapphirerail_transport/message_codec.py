"""Signed wire formats of the messages between instances.

All versions decode the *single* form, an envelope of one message and its sender. The
*short* form has a shorter authentication tag and no envelope. An instance sends it only
to peers that have announced, in a payload of their own, that they decode it. It can
hold several messages; this version sends one.
"""

from enum import IntEnum
from typing import Generic, TypeVar, Union

import msgspec

from sapphirerail_core.effects import Message
from sapphirerail_core.errors import InputError
from sapphirerail_core.messages import message_types
from sapphirerail_core.types import InstanceId

from .signature import Signer

__all__ = ["SHORT_TAG_BYTES", "DecodedPayload", "Envelope", "MessageCodec", "WireForm"]

# An attacker can test a guessed tag only by sending it: 2**64 datagrams for one hit.
SHORT_TAG_BYTES = 8
# No other signed payload begins like this: the single form begins with a msgpack array
# and a signed HTTP call with its method.
SHORT_FORM_PURPOSE = b"sapphirerail short form\0"
# First byte of a msgpack array with two elements, a sender and one message.
PAIR_FIRST_BYTE = b"\x92"
# Deeply nested arrays exceed Python's recursion limit.
DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)

MessageT = TypeVar("MessageT", bound=Message)


class WireForm(IntEnum):
    """Wire formats, oldest first; each version decodes all up to its newest.

    ``SINGLE`` is an envelope with one message, ``SHORT`` a sender and messages with a
    shorter tag.
    """

    SINGLE = 1
    SHORT = 2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Single form: one message with its sender.

    Parameters
    ----------
    sender : InstanceId
        Instance that sent the message.
    message : msgspec.Raw
        The encoded message.
    newest_form : int
        Newest `WireForm` that the sender decodes. Versions that know only the single
        form neither send nor decode this field.
    """

    sender: InstanceId
    message: msgspec.Raw
    newest_form: int = WireForm.SINGLE


class _ShortForm(msgspec.Struct, Generic[MessageT], frozen=True, array_like=True):
    """Short form with exactly one message, decoded in one step."""

    sender: InstanceId
    message: MessageT


class DecodedPayload(msgspec.Struct, frozen=True):
    """Messages of a payload, after its signature was verified.

    Parameters
    ----------
    sender : InstanceId
        Instance that sent the payload.
    messages : tuple of Message
        The decoded messages, in the order of the payload.
    accepts_short_form : bool
        Whether the sender decodes the short form.
    n_undecodable : int
        Number of messages that could not be decoded, such as those of a newer version.
    """

    sender: InstanceId
    messages: tuple[Message, ...]
    accepts_short_form: bool
    n_undecodable: int = 0


class MessageCodec:
    """Encodes and signs, and verifies and decodes, messages between instances.

    Parameters
    ----------
    signer : Signer
        Signs with the key that all instances share.
    """

    def __init__(self, signer: Signer) -> None:
        self._signer = signer
        self._short_signer = signer.derive(SHORT_FORM_PURPOSE, SHORT_TAG_BYTES)
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
        self._sender_decoder = msgspec.msgpack.Decoder(InstanceId)
        types = message_types()
        union = Union[types] if types else Message  # noqa: UP007
        self._message_decoder: msgspec.msgpack.Decoder[Message] = (
            msgspec.msgpack.Decoder(union)
        )
        self._pair_decoder = msgspec.msgpack.Decoder(_ShortForm[union])  # type: ignore[valid-type]

    def encode(self, sender: InstanceId, message: Message) -> bytes:
        """Encode and sign one message in the single form."""
        raw = msgspec.Raw(self._encoder.encode(message))
        payload = self._encoder.encode(Envelope(sender, raw, WireForm.SHORT))
        return self._signer.tag(payload) + payload

    def encode_short(self, sender: InstanceId, *messages: Message) -> bytes:
        """Encode and sign messages in the short form."""
        payload = self._encoder.encode([sender, *messages])
        return self._short_signer.tag(payload) + payload

    def decode(self, payload: bytes) -> DecodedPayload:
        """Verify and decode a received payload in either form.

        Raises
        ------
        InputError
            ``message.forged`` or ``message.malformed``.
        """
        try:
            short = self._short_signer.unsign(payload)
            if short is not None:
                return self._decode_short(short)
            single = self._signer.unsign(payload)
            if single is not None:
                return self._decode_single(single)
        except DECODING_ERRORS as error:
            raise InputError("message.malformed", str(error)) from error
        raise InputError("message.forged", "the signature is invalid")

    def _decode_single(self, signed: bytes) -> DecodedPayload:
        envelope = self._envelope_decoder.decode(signed)
        message = self._message_decoder.decode(envelope.message)
        return DecodedPayload(
            envelope.sender, (message,), envelope.newest_form >= WireForm.SHORT
        )

    def _decode_short(self, signed: bytes) -> DecodedPayload:
        if signed.startswith(PAIR_FIRST_BYTE):
            pair = self._pair_decoder.decode(signed)
            return DecodedPayload(pair.sender, (pair.message,), True)
        return self._decode_many(signed)

    def _decode_many(self, signed: bytes) -> DecodedPayload:
        """Decode each message separately, so that an unknown type affects no other."""
        parts = self._raw_decoder.decode(signed)
        if len(parts) <= 1:
            raise msgspec.DecodeError("the short form has no message")
        sender = self._sender_decoder.decode(parts[0])
        messages: list[Message] = []
        for part in parts[1:]:
            try:
                messages.append(self._message_decoder.decode(part))
            except DECODING_ERRORS:
                continue
        if not messages:
            raise msgspec.DecodeError("none of the messages could be decoded")
        n_undecodable = len(parts) - 1 - len(messages)
        return DecodedPayload(sender, tuple(messages), True, n_undecodable)
