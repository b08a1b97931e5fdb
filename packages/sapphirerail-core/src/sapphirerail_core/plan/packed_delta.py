"""Long deltas on the wire: compressed, as many changes in a row repeat names."""

import base64
import zlib

import msgspec

from ..errors import InputError
from .delta import PlanAnswer, PlanDelta
from .layout import COMPRESSION_LEVEL

__all__ = ["delta_answer", "delta_of"]

PACKED_FROM_BYTES = 1000
"""Shorter deltas fit in a packet beside the heads of the call."""

_decoder = msgspec.json.Decoder(PlanDelta)


def delta_answer(delta: PlanDelta, age_ms: int, *, may_pack: bool) -> PlanAnswer:
    """Return the answer that carries a delta.

    Parameters
    ----------
    delta : PlanDelta
        The changes.
    age_ms : int
        Age of the news from the store.
    may_pack : bool
        Whether the asker can read a compressed delta.
    """
    payload = msgspec.json.encode(delta)
    if not may_pack or len(payload) < PACKED_FROM_BYTES:
        return PlanAnswer(delta.revision, age_ms, delta=delta)
    packed = base64.b64encode(zlib.compress(payload, COMPRESSION_LEVEL)).decode()
    return PlanAnswer(delta.revision, age_ms, packed=packed)


def delta_of(answer: PlanAnswer) -> PlanDelta | None:
    """Return the delta in an answer, or None if it carries none.

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
