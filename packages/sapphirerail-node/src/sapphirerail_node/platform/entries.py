"""Decodes what operators and backend servers write to the platform's store."""

import socket
from typing import Literal

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.steering.model import (
    Configuration,
    RequestKind,
    Route,
    ServerEntry,
    ServiceEntry,
    Share,
)
from sapphirerail_core.steering.packet import ServiceAddress
from sapphirerail_core.types import DataCentreId, Revision, ServerId, ServiceId
from sapphirerail_transport.udp import check_address

__all__ = ["decode_configuration", "decode_server"]

_IDENTITY_MAX = 2**64


class _Weighted(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    # A port between slashes.
    prefix: str
    kind: RequestKind
    service: str | None = None
    backends: list[_Weighted] = []


class _Service(msgspec.Struct, rename="camel"):
    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: int


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    warmup_left_ms: float = 0
    # Unix time of the start; absent from servers that do not tell it.
    born: int = 0


def decode_configuration(value: bytes) -> Configuration:
    """Return a configuration, or raise `InputError` ``configuration.invalid``."""
    try:
        config = msgspec.json.decode(value, type=_Config)
        routes = tuple(_route(route) for route in config.routes)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise InputError("configuration.invalid", str(error)) from error
    services = tuple(
        ServiceEntry(ServiceId(s.name), int(s.warmup_s * 1000), s.warmup_per_s)
        for s in config.services
    )
    revision = Revision(config.version)
    return Configuration(revision, routes, services, config.limits.idle_timeout_ms)


def decode_server(name: str, value: bytes) -> ServerEntry:
    """Return a server's entry, or raise `InputError` ``server.invalid``.

    Parameters
    ----------
    name : str
        Name under which the entry lies; its hex digits are the server's identity.
    value : bytes
        The entry.
    """
    try:
        entry = msgspec.json.decode(value, type=_Server)
        check_address(entry.address)
        identity = _identity(name)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise InputError("server.invalid", f"{name}: {error}") from error
    return ServerEntry(
        server=ServerId(name),
        identity=identity,
        service=ServiceId(entry.service),
        data_centre=DataCentreId(entry.zone),
        address=entry.address,
        started_at_ms=entry.born,
        n_slots=entry.slots,
        is_draining=entry.state == "draining",
        cold_ms=int(entry.warmup_left_ms),
    )


def _identity(name: str) -> int:
    identity = int(name.rpartition("-")[2], 16)
    if not 0 <= identity < _IDENTITY_MAX:
        raise ValueError("the identity has more than 16 hex digits")
    return identity


def _route(route: _Route) -> Route:
    port = int(route.prefix.strip("/"))
    host = int.from_bytes(socket.inet_pton(socket.AF_INET, route.host), "big")
    shares = [Share(ServiceId(b.service), b.weight) for b in route.backends]
    if route.service is not None and not shares:
        shares = [Share(ServiceId(route.service), 1)]
    if not shares:
        raise ValueError(f"route {route.name} names no service")
    address = ServiceAddress(host << 16 | port)
    return Route(address, route.name, route.kind, tuple(shares))
