"""Answers that tell by themselves whether they are whole and whose they are."""

import hashlib

import msgspec

from sapphirerail_core.datagram import Datagram

__all__ = [
    "AnswerContent",
    "digest",
    "is_answer_to",
    "read_answer",
    "seal_answer",
    "split_parts",
]

DIGEST_BYTES = 16


class AnswerContent(msgspec.Struct, frozen=True):
    """What a backend server answers.

    Parameters
    ----------
    server : str
        The server that ran the request or took the upload.
    service : str
        Its service.
    flow, request : int
        What is answered.
    body_digest : str
        Digest of the request's body or of the whole upload.
    filler : str
        Makes the answer longer.
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


def seal_answer(content: AnswerContent) -> bytes:
    """Return an answer's bytes with their digest in front."""
    payload = msgspec.json.encode(content)
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).digest() + payload


def read_answer(sealed: bytes) -> AnswerContent | None:
    """Return the content of an answer, or None if it is not whole."""
    tag, payload = sealed[:DIGEST_BYTES], sealed[DIGEST_BYTES:]
    if hashlib.blake2b(payload, digest_size=DIGEST_BYTES).digest() != tag:
        return None
    return msgspec.json.decode(payload, type=AnswerContent)


def split_parts(sealed: bytes, n_parts: int) -> list[bytes]:
    """Return the bytes in a number of pieces of nearly equal length.

    Examples
    --------
    >>> split_parts(b"abcde", 3)
    [b'a', b'bc', b'de']
    """
    cuts = [len(sealed) * index // n_parts for index in range(n_parts + 1)]
    return [sealed[start:end] for start, end in zip(cuts, cuts[1:], strict=False)]


def is_answer_to(content: AnswerContent, request: Datagram, body: bytes) -> bool:
    """Return whether an answer belongs to a request with a body."""
    return (
        content.service == request.service
        and content.flow == request.flow
        and content.request == request.request
        and content.body_digest == digest(body)
    )
