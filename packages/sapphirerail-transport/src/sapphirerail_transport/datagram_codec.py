"""Wire format of datagrams: msgpack encoding, decoding and validation."""

import msgspec

from sapphirerail_core.datagram import DATAGRAM_VERSION, Datagram
from sapphirerail_core.errors import InputError

__all__ = ["DATAGRAM_MAX_BYTES", "decode_datagram", "encode_datagram"]

DATAGRAM_MAX_BYTES = 8192
_FLOW_MAX = (1 << 64) - 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the wire form of a datagram.

    Parameters
    ----------
    datagram : Datagram
        Datagram to send.

    Returns
    -------
    bytes
        msgpack, at most `DATAGRAM_MAX_BYTES` for bodies that fit.
    """
    return _encoder.encode(datagram)


def decode_datagram(payload: bytes) -> Datagram:
    """Return the datagram in a received payload.

    Parameters
    ----------
    payload : bytes
        Payload that a socket received.

    Returns
    -------
    Datagram
        The decoded datagram.

    Raises
    ------
    InputError
        ``datagram.too_long``, ``datagram.malformed`` or ``datagram.version``.
    """
    if len(payload) > DATAGRAM_MAX_BYTES:
        raise InputError(
            "datagram.too_long",
            f"payload has {len(payload)} bytes; at most {DATAGRAM_MAX_BYTES} are"
            " allowed",
        )
    try:
        datagram = _decoder.decode(payload)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InputError("datagram.malformed", str(error)) from error
    if datagram.version != DATAGRAM_VERSION:
        raise InputError(
            "datagram.version",
            f"version {datagram.version} is not supported; expected {DATAGRAM_VERSION}",
        )
    _check_ranges(datagram)
    return datagram


def _check_ranges(datagram: Datagram) -> None:
    """Raise `InputError` if a field that must not be negative is out of range."""
    if not 0 <= datagram.flow <= _FLOW_MAX:
        raise InputError("datagram.malformed", "flow is not an unsigned 64-bit integer")
    counts = (
        datagram.request,
        datagram.attempt,
        datagram.part,
        datagram.n_parts,
        datagram.deadline_ms,
    )
    if min(counts) < 0:
        raise InputError(
            "datagram.malformed",
            "request, attempt, part, n_parts and deadline_ms must not be negative",
        )
