"""Digest of a plan's content, which can be updated incrementally."""

from collections.abc import Iterable

import msgspec
import xxhash

from .model import (
    DataCentre,
    Plan,
    RemovedDataCentre,
    RemovedService,
    Server,
    Service,
    ServiceLayers,
)

__all__ = ["Part", "content_digest", "part_digest", "parts"]

Part = (
    DataCentre | Service | Server | ServiceLayers | RemovedDataCentre | RemovedService
)


def part_digest(part: Part) -> int:
    """Return the digest of one part; a plan's digest is the XOR over its parts."""
    payload = msgspec.json.encode((type(part).__name__, part))
    return xxhash.xxh3_64_intdigest(payload)


def parts(plan: Plan) -> Iterable[Part]:
    """Yield every part of a plan."""
    yield from plan.data_centres.values()
    yield from plan.services.values()
    yield from plan.servers.values()
    yield from plan.removed_data_centres.values()
    yield from plan.removed_services.values()
    for service, layers in plan.layers.items():
        yield ServiceLayers(service, layers)


def content_digest(plan: Plan) -> int:
    """Return the digest of all parts of a plan.

    Examples
    --------
    >>> content_digest(Plan())
    0
    """
    digest = 0
    for part in parts(plan):
        digest ^= part_digest(part)
    return digest
