"""Compression of long deltas; names repeat when there are many changes in a row."""

import base64
import zlib

import msgspec

from ..errors import InputError
from .delta import PlanAnswer, PlanDelta
from .layout import COMPRESSION_LEVEL

__all__ = ["decode_delta", "encode_delta"]

PACKED_MIN_BYTES = 1000
"""Shorter deltas fit into one packet together with the HTTP headers."""

_decoder = msgspec.json.Decoder(PlanDelta)


def encode_delta(
    delta: PlanDelta, contact_age_ms: int, *, may_pack: bool
) -> PlanAnswer:
    """Return a response that contains a delta.

    Parameters
    ----------
    delta : PlanDelta
        The changes.
    contact_age_ms : int
        Time since the last contact with the store.
    may_pack : bool
        Whether the requester can decode a compressed delta.
    """
    payload = msgspec.json.encode(delta)
    if not may_pack or len(payload) < PACKED_MIN_BYTES:
        return PlanAnswer(delta.revision, contact_age_ms, delta=delta)
    packed = base64.b64encode(zlib.compress(payload, COMPRESSION_LEVEL)).decode()
    return PlanAnswer(delta.revision, contact_age_ms, packed=packed)


def decode_delta(answer: PlanAnswer) -> PlanDelta | None:
    """Return the delta in a response, or None if it contains none.

    Raises
    ------
    InputError
        ``plan.malformed_delta``.
    """
    if not answer.packed:
        return answer.delta
    try:
        return _decoder.decode(zlib.decompress(base64.b64decode(answer.packed)))
    except (ValueError, zlib.error, msgspec.MsgspecError) as error:
        raise InputError("plan.malformed_delta", str(error)) from error
