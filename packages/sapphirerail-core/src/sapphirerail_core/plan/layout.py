"""Storage layout of a plan: a small root, and shards below the value size limit."""

import base64
import sys
import zlib
from collections.abc import Iterable, Mapping

import msgspec

from ..errors import InputError
from ..rendezvous import hash_key
from ..types import Revision, ServiceId
from .digest import content_digest
from .model import (
    DataCentre,
    Plan,
    RemovedDataCentre,
    RemovedService,
    Server,
    Service,
    ServiceLayers,
    SheetRecord,
    Write,
    WriteId,
)
from .store import Version

__all__ = [
    "COMPRESSION_LEVEL",
    "HISTORY_LENGTH",
    "N_GENERATIONS",
    "N_SHARDS",
    "ROOT_KEY",
    "Garbage",
    "Root",
    "Shard",
    "ShardRef",
    "StoredShard",
    "assemble",
    "checksum",
    "decode_root",
    "decode_shard",
    "encode_root",
    "encode_shard",
    "make_root",
    "pack",
    "shard_index",
    "shard_key",
    "split",
    "unpack",
]

ROOT_KEY = "plan-root"
ROOT_FORMAT = 1
N_SHARDS = 64
N_GENERATIONS = 16
"""Number of keys that a shard can be stored at.

It is small, so that a shard that no root refers to is found by trying all keys.
"""
HISTORY_LENGTH = 32
COMPRESSION_LEVEL = 6


class ShardRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to the stored content of one shard.

    Parameters
    ----------
    generation : int
        Part of the key: 1 to `N_GENERATIONS`, then 1 again.
    version : Version
        Version of the key, needed to delete it.
    checksum : int
        CRC-32 of the packed content.
    changed_at : Revision
        Revision that wrote it; readers with this revision or a higher one skip it.
    """

    generation: int
    version: Version
    checksum: int
    changed_at: Revision


class Garbage(msgspec.Struct, frozen=True, array_like=True):
    """A shard that no root refers to any more, to be deleted by the next write."""

    key: str
    version: Version


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The root: the one value that is replaced by compare-and-swap.

    Parameters
    ----------
    revision : Revision
        Revision of the plan.
    digest : int
        Digest of the plan's content.
    data_centres : tuple of DataCentre
        All data centres; evacuating one writes only the root.
    shards : dict of int to ShardRef
        References to the shards; an empty shard has no entry.
    history : tuple of Write
        The newest writes, oldest first.
    forgotten_at : Revision
        As in `Plan`.
    garbage : tuple of Garbage
        Shards to delete.
    removed_data_centres : tuple of RemovedDataCentre
        As in `Plan`.
    sheet : SheetRecord or None
        As in `Plan`.
    """

    revision: Revision
    digest: int
    data_centres: tuple[DataCentre, ...] = ()
    shards: dict[int, ShardRef] = {}
    history: tuple[Write, ...] = ()
    forgotten_at: Revision = Revision(0)
    garbage: tuple[Garbage, ...] = ()
    format: int = ROOT_FORMAT
    removed_data_centres: tuple[RemovedDataCentre, ...] = ()
    sheet: SheetRecord | None = None


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """The services whose names hash to one shard, with their servers and layers."""

    services: tuple[Service, ...] = ()
    servers: tuple[Server, ...] = ()
    layers: tuple[ServiceLayers, ...] = ()
    removed_services: tuple[RemovedService, ...] = ()


class StoredShard(msgspec.Struct, frozen=True):
    """The value of a shard's key: the id of the write and the packed content."""

    write_id: WriteId
    packed: str


_root_decoder = msgspec.json.Decoder(Root)
_shard_decoder = msgspec.json.Decoder(Shard)
_stored_decoder = msgspec.json.Decoder(StoredShard)


def shard_index(service: ServiceId) -> int:
    """Return the index of the shard that holds a service and its servers."""
    return hash_key(service) % N_SHARDS


def shard_key(index: int, generation: int) -> str:
    """Return the key of a shard.

    Examples
    --------
    >>> shard_key(3, 12)
    'plan-shard-3-12'
    """
    return f"plan-shard-{index}-{generation}"


def split(plan: Plan) -> dict[int, Shard]:
    """Return the non-empty shards of a plan, each with sorted content."""
    services: dict[int, list[Service]] = {}
    servers: dict[int, list[Server]] = {}
    for service in plan.services.values():
        services.setdefault(shard_index(service.service), []).append(service)
    for server in plan.servers.values():
        servers.setdefault(shard_index(server.service), []).append(server)
    removed: dict[int, list[RemovedService]] = {}
    for part in plan.removed_services.values():
        removed.setdefault(shard_index(part.service), []).append(part)
    indices = sorted(services.keys() | servers.keys() | removed.keys())
    return {
        index: _shard(
            plan,
            services.get(index, []),
            servers.get(index, []),
            removed.get(index, []),
        )
        for index in indices
    }


def _shard(
    plan: Plan,
    services: list[Service],
    servers: list[Server],
    removed: list[RemovedService],
) -> Shard:
    services = sorted(services, key=lambda part: part.service)
    return Shard(
        tuple(services),
        tuple(sorted(servers, key=lambda part: part.server)),
        tuple(
            ServiceLayers(part.service, plan.layers[part.service])
            for part in services
            if part.service in plan.layers
        ),
        tuple(sorted(removed, key=lambda part: part.service)),
    )


def assemble(root: Root, shards: Iterable[Shard]) -> Plan:
    """Build the plan from a root and its shards.

    Raises
    ------
    InputError
        ``plan.digest_mismatch`` if the shards are not the ones that the root was
        written with.
    """
    loaded = tuple(shards)
    for shard in loaded:
        _share_strings(shard)
    plan = Plan(
        revision=root.revision,
        data_centres={part.data_centre: part for part in root.data_centres},
        services={part.service: part for shard in loaded for part in shard.services},
        servers={part.server: part for shard in loaded for part in shard.servers},
        layers={part.service: part.layers for shard in loaded for part in shard.layers},
        digest=root.digest,
        forgotten_at=root.forgotten_at,
        history=root.history,
        removed_data_centres={p.data_centre: p for p in root.removed_data_centres},
        removed_services={
            part.service: part for shard in loaded for part in shard.removed_services
        },
        sheet=root.sheet,
    )
    if content_digest(plan) != root.digest:
        text = f"the shards of revision {root.revision} do not match its root"
        raise InputError("plan.digest_mismatch", text)
    return plan


def _share_strings(shard: Shard) -> None:
    """Intern repeated names to save memory.

    The frozen servers may be modified, as nothing else refers to the shard yet.
    """
    for server in shard.servers:
        msgspec.structs.force_setattr(server, "service", sys.intern(server.service))
        data_centre = sys.intern(server.data_centre)
        msgspec.structs.force_setattr(server, "data_centre", data_centre)


def make_root(
    plan: Plan, shards: Mapping[int, ShardRef], garbage: Iterable[Garbage]
) -> Root:
    """Return the root of a plan whose shards are stored."""
    return Root(
        revision=plan.revision,
        digest=plan.digest,
        data_centres=tuple(plan.data_centres.values()),
        shards=dict(shards),
        history=plan.history,
        forgotten_at=plan.forgotten_at,
        garbage=tuple(garbage),
        removed_data_centres=tuple(plan.removed_data_centres.values()),
        sheet=plan.sheet,
    )


def encode_root(root: Root) -> str:
    """Return the stored value of a root."""
    return msgspec.json.encode(root).decode()


def decode_root(text: str) -> Root:
    """Return the root in a stored value.

    Raises
    ------
    InputError
        ``plan.malformed_root`` or ``plan.unknown_format``.
    """
    try:
        root = _root_decoder.decode(text)
    except msgspec.MsgspecError as error:
        raise InputError("plan.malformed_root", str(error)) from error
    if root.format != ROOT_FORMAT:
        text = f"root has format {root.format}; this version reads format {ROOT_FORMAT}"
        raise InputError("plan.unknown_format", text)
    return root


def pack(shard: Shard) -> str:
    """Return the compressed text of a shard."""
    payload = zlib.compress(msgspec.json.encode(shard), COMPRESSION_LEVEL)
    return base64.b64encode(payload).decode()


def unpack(packed: str) -> Shard:
    """Return the shard in a compressed text.

    Raises
    ------
    InputError
        ``plan.malformed_shard``.
    """
    try:
        return _shard_decoder.decode(zlib.decompress(base64.b64decode(packed)))
    except (ValueError, zlib.error, msgspec.MsgspecError) as error:
        raise InputError("plan.malformed_shard", str(error)) from error


def encode_shard(write_id: WriteId, packed: str) -> str:
    """Return the stored value of a packed shard."""
    return msgspec.json.encode(StoredShard(write_id, packed)).decode()


def decode_shard(text: str) -> StoredShard:
    """Return the packed shard and its write id from a stored value.

    Raises
    ------
    InputError
        ``plan.malformed_shard``.
    """
    try:
        return _stored_decoder.decode(text)
    except msgspec.MsgspecError as error:
        raise InputError("plan.malformed_shard", str(error)) from error


def checksum(packed: str) -> int:
    """Return the CRC-32 of a packed shard."""
    return zlib.crc32(packed.encode())
