"""Answers that carry a digest and name the request that they belong to."""

import hashlib

import msgspec

from sapphirerail_core.datagram import Datagram

__all__ = [
    "AnswerContent",
    "decode_answer",
    "digest",
    "encode_answer",
    "is_answer_to",
    "split_parts",
]

DIGEST_BYTES = 16


class AnswerContent(msgspec.Struct, frozen=True):
    """Content of a backend server's answer.

    Parameters
    ----------
    server : str
        The server that ran the request or received the upload.
    service : str
        Its service.
    flow, request : int
        The flow and the request that are answered.
    body_digest : str
        Digest of the request's body or of the whole upload.
    filler : str
        Padding that makes the answer longer.
    """

    server: str
    service: str
    flow: int
    request: int
    body_digest: str
    filler: str = ""


def digest(body: bytes) -> str:
    """Return the digest of a body as text."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def encode_answer(content: AnswerContent) -> bytes:
    """Return the encoded answer, preceded by its digest."""
    payload = msgspec.json.encode(content)
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).digest() + payload


def decode_answer(encoded: bytes) -> AnswerContent | None:
    """Return the content of an answer, or None if its digest does not match."""
    expected_digest, payload = encoded[:DIGEST_BYTES], encoded[DIGEST_BYTES:]
    if hashlib.blake2b(payload, digest_size=DIGEST_BYTES).digest() != expected_digest:
        return None
    return msgspec.json.decode(payload, type=AnswerContent)


def split_parts(encoded: bytes, n_parts: int) -> list[bytes]:
    """Split bytes into a number of parts of nearly equal length.

    Examples
    --------
    >>> split_parts(b"abcde", 3)
    [b'a', b'bc', b'de']
    """
    bounds = [len(encoded) * index // n_parts for index in range(n_parts + 1)]
    return [encoded[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


def is_answer_to(content: AnswerContent, request: Datagram, body: bytes) -> bool:
    """Return whether an answer belongs to a request with this body."""
    return (
        content.service == request.service
        and content.flow == request.flow
        and content.request == request.request
        and content.body_digest == digest(body)
    )
