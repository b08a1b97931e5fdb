"""Decoders of the configuration and the server entries in the platform's store."""

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

_N_IDENTITIES = 2**64


class _WeightedService(msgspec.Struct):
    service: str
    weight: int


class _RouteEntry(msgspec.Struct):
    name: str
    host: str
    # The port, between slashes.
    prefix: str
    kind: RequestKind
    service: str | None = None
    backends: list[_WeightedService] = []


class _ServiceSettings(msgspec.Struct, rename="camel"):
    name: str
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: int


class _ConfigurationEntry(msgspec.Struct):
    version: int
    routes: list[_RouteEntry]
    services: list[_ServiceSettings]
    limits: _Limits


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    warmup_left_ms: float = 0
    # Unix time of the start, in ms; absent from servers that do not publish it.
    born: int = 0


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration, or raise `InputError` ``configuration.invalid``."""
    try:
        config = msgspec.json.decode(value, type=_ConfigurationEntry)
        routes = tuple(_decode_route(route) for route in config.routes)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise InputError("configuration.invalid", str(error)) from error
    services = tuple(
        ServiceEntry(ServiceId(s.name), int(s.warmup_s * 1000), s.warmup_per_s)
        for s in config.services
    )
    revision = Revision(config.version)
    return Configuration(revision, routes, services, config.limits.idle_timeout_ms)


def decode_server(name: str, value: bytes) -> ServerEntry:
    """Decode a server's entry, or raise `InputError` ``server.invalid``.

    Parameters
    ----------
    name : str
        Name of the entry in the store. The hexadecimal digits after the last hyphen
        are the server's identity.
    value : bytes
        The encoded entry.
    """
    try:
        entry = msgspec.json.decode(value, type=_Server)
        check_address(entry.address)
        identity = _parse_identity(name)
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


def _parse_identity(name: str) -> int:
    identity = int(name.rpartition("-")[2], 16)
    if not 0 <= identity < _N_IDENTITIES:
        raise ValueError("the identity must have at most 16 hexadecimal digits")
    return identity


def _decode_route(route: _RouteEntry) -> Route:
    port = int(route.prefix.strip("/"))
    host = int.from_bytes(socket.inet_pton(socket.AF_INET, route.host), "big")
    shares = [Share(ServiceId(b.service), b.weight) for b in route.backends]
    if route.service is not None and not shares:
        shares = [Share(ServiceId(route.service), 1)]
    if not shares:
        raise ValueError(f"route {route.name} has neither service nor backends")
    address = ServiceAddress(host << 16 | port)
    return Route(address, route.name, route.kind, tuple(shares))
