"""Decoders of the configuration and the server entries in the platform's store."""

import math
import socket
from collections.abc import Iterable
from typing import Annotated, Any, Literal

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

__all__ = [
    "DecodedConfiguration",
    "MalformedPart",
    "decode_configuration",
    "decode_server",
    "parse_identity",
]

_N_IDENTITIES = 2**64
# The idle timeout of flows if the configuration has no readable one; long, so that the
# records of flows that may still be open are kept.
_DEFAULT_FLOW_IDLE_MS = 60_000
# Deeply nested arrays exceed Python's recursion limit; numbers that are too large for a
# conversion raise an ArithmeticError.
_DECODING_ERRORS = (
    OSError,
    ValueError,
    ArithmeticError,
    RecursionError,
    msgspec.MsgspecError,
)

# By the platform's words; downloads may run more than once, uploads may not.
_KINDS = {
    "safe": RequestKind.SAFE,
    "download": RequestKind.DOWNLOAD,
    "unsafe": RequestKind.UNSAFE,
    "upload": RequestKind.UPLOAD,
}

# Bounds that keep a single entry from overflowing the messages between instances.
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Duration = Annotated[float, msgspec.Meta(ge=0, le=2**32)]


class _WeightedService(msgspec.Struct):
    service: _Name
    weight: float


class _RouteEntry(msgspec.Struct):
    host: str
    # The port, between slashes.
    prefix: str
    # Decoded without a type, as a route is served without a valid name or kind.
    name: Any = ""
    kind: Any = None


class _RouteTargets(msgspec.Struct):
    service: _Name | None = None
    backends: list[_WeightedService] = []


class _ServiceSettings(msgspec.Struct, rename="camel"):
    name: _Name
    warmup_s: _Duration = 0.0
    warmup_per_s: _Duration = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    idle_timeout_ms: _Duration


class _ConfigurationEntry(msgspec.Struct):
    version: _Count
    routes: list[msgspec.Raw]
    services: msgspec.Raw = msgspec.Raw(b"null")
    limits: msgspec.Raw = msgspec.Raw(b"null")


class _Server(msgspec.Struct, rename="camel"):
    """Entry of a server; one that lacks any of the required fields is not its own."""

    service: _Name
    address: str
    zone: _Name
    version: str
    slots: _Count
    state: Literal["ready", "draining"]
    warmup_left_ms: _Duration
    seq_no: int
    # Unix time of the start, in ms; absent from servers that do not publish it.
    born: _Count = 0


class MalformedPart(msgspec.Struct, frozen=True):
    """A part of an entry that could not be decoded.

    Parameters
    ----------
    kind : str
        ``"route"``, ``"service"`` or ``"limits"``.
    name : str
        Name of the part, or its position if the name cannot be decoded.
    why : str
        Description of the error.
    served_instead : str
        What is used in its place.
    """

    kind: str
    name: str
    why: str
    served_instead: str


class DecodedConfiguration(msgspec.Struct, frozen=True):
    """A configuration, and its parts that could not be decoded."""

    configuration: Configuration
    malformed: tuple[MalformedPart, ...]


def decode_configuration(
    value: bytes, previous: Configuration | None = None
) -> DecodedConfiguration:
    """Decode a configuration as far as it is readable.

    Parameters
    ----------
    value : bytes
        The encoded configuration.
    previous : Configuration or None
        The configuration in force; replaces the parts that cannot be decoded.

    Raises
    ------
    InputError
        ``configuration.invalid`` if the version or the list of routes is unreadable.
    """
    try:
        entry = msgspec.json.decode(value, type=_ConfigurationEntry)
    except _DECODING_ERRORS as error:
        raise InputError("configuration.invalid", str(error)) from error
    decoder = _ConfigurationDecoder(previous)
    configuration = Configuration(
        Revision(entry.version),
        decoder.routes(entry.routes),
        decoder.services(entry.services),
        decoder.flow_idle_ms(entry.limits),
    )
    return DecodedConfiguration(configuration, tuple(decoder.malformed))


class _ConfigurationDecoder:
    """Decodes the parts of one configuration and records the malformed ones."""

    def __init__(self, previous: Configuration | None) -> None:
        self._previous = previous
        self.malformed: list[MalformedPart] = []

    def routes(self, encoded: Iterable[msgspec.Raw]) -> tuple[Route, ...]:
        """Decode the routes; of two with the same address the first one is used."""
        routes: dict[ServiceAddress, Route] = {}
        for position, raw in enumerate(encoded):
            route = self._route(raw, position)
            if route is None:
                continue
            if route.destination in routes:
                first = routes[route.destination].name
                self._add("route", route.name, "its address is in use", first)
                continue
            routes[route.destination] = route
        return tuple(routes.values())

    def _route(self, raw: msgspec.Raw, position: int) -> Route | None:
        try:
            entry = msgspec.json.decode(raw, type=_RouteEntry)
            destination = _parse_destination(entry)
        except _DECODING_ERRORS as error:
            return self._route_in_force(raw, position, error)
        name = entry.name if isinstance(entry.name, str) else f"#{position}"
        kind = _KINDS.get(entry.kind) if isinstance(entry.kind, str) else None
        if kind is None:
            # The strictest kind: requests run at most once, and no flow is reset.
            kind = RequestKind.UNSAFE
            self._add("route", name, f"unknown kind {entry.kind!r:.40}", kind.value)
        try:
            shares = _decode_shares(raw)
        except _DECODING_ERRORS as error:
            known = self._known_route(destination=destination)
            self._add("route", name, str(error), _describe(known))
            return known or Route(destination, name, kind, ())
        return Route(destination, name, kind, shares)

    def _route_in_force(
        self, raw: msgspec.Raw, position: int, error: Exception
    ) -> Route | None:
        """Return the route in force with the name of an unreadable one, if any."""
        name = _try_decode_name(raw)
        known = None if name is None else self._known_route(name=name)
        self._add("route", name or f"#{position}", str(error), _describe(known))
        return known

    def _known_route(
        self, name: str | None = None, destination: ServiceAddress | None = None
    ) -> Route | None:
        if self._previous is None:
            return None
        for route in self._previous.routes:
            if name in (None, route.name) and destination in (None, route.destination):
                return route
        return None

    def services(self, encoded: msgspec.Raw) -> tuple[ServiceEntry, ...]:
        """Decode the services; of two with the same name the first one is used."""
        known = {} if self._previous is None else _by_name(self._previous.services)
        try:
            parts = msgspec.json.decode(encoded, type=list[msgspec.Raw])
        except _DECODING_ERRORS as error:
            self._add("service", "all", str(error), "services in force")
            return tuple(known.values())
        services: dict[ServiceId, ServiceEntry] = {}
        for position, raw in enumerate(parts):
            try:
                entry = _decode_service(raw)
            except _DECODING_ERRORS as error:
                name = _try_decode_name(raw)
                in_force = known.get(ServiceId(name)) if name else None
                served = "nothing" if in_force is None else "service in force"
                self._add("service", name or f"#{position}", str(error), served)
                if in_force is None:
                    continue
                entry = in_force
            services.setdefault(entry.service, entry)
        return tuple(services.values())

    def flow_idle_ms(self, encoded: msgspec.Raw) -> int:
        """Decode the idle timeout of flows."""
        try:
            return int(msgspec.json.decode(encoded, type=_Limits).idle_timeout_ms)
        except _DECODING_ERRORS as error:
            known = self._previous
            idle_ms = _DEFAULT_FLOW_IDLE_MS if known is None else known.flow_idle_ms
            self._add("limits", "idleTimeoutMs", str(error), str(idle_ms))
            return idle_ms

    def _add(self, kind: str, name: str, why: str, served_instead: str) -> None:
        self.malformed.append(MalformedPart(kind, name, why, served_instead))


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
        identity = parse_identity(name)
    except _DECODING_ERRORS as error:
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


def parse_identity(name: str) -> int:
    """Return a server's identity, or raise `ValueError` if its name has none."""
    identity = int(name.rpartition("-")[2], 16)
    if not 0 <= identity < _N_IDENTITIES:
        raise ValueError("the identity must have at most 16 hexadecimal digits")
    return identity


def _parse_destination(route: _RouteEntry) -> ServiceAddress:
    port = int(route.prefix.strip("/"))
    if not 0 < port < 1 << 16:
        raise ValueError(f"{port} is not a port")
    host = int.from_bytes(socket.inet_pton(socket.AF_INET, route.host), "big")
    return ServiceAddress(host << 16 | port)


def _decode_shares(raw: msgspec.Raw) -> tuple[Share, ...]:
    targets = msgspec.json.decode(raw, type=_RouteTargets)
    shares = tuple(
        Share(ServiceId(backend.service), backend.weight)
        for backend in targets.backends
        if math.isfinite(backend.weight) and backend.weight > 0
    )
    if shares:
        return shares
    if targets.service is None:
        raise ValueError("it has neither a service nor a backend with a weight")
    return (Share(ServiceId(targets.service), 1),)


def _decode_service(raw: msgspec.Raw) -> ServiceEntry:
    entry = msgspec.json.decode(raw, type=_ServiceSettings)
    cold_ms = int(entry.warmup_s * 1000)
    return ServiceEntry(ServiceId(entry.name), cold_ms, entry.warmup_per_s)


class _Named(msgspec.Struct):
    name: str


def _try_decode_name(raw: msgspec.Raw) -> str | None:
    try:
        return msgspec.json.decode(raw, type=_Named).name
    except _DECODING_ERRORS:
        return None


def _describe(route: Route | None) -> str:
    return "nothing" if route is None else f"route in force {route.name}"


def _by_name(services: Iterable[ServiceEntry]) -> dict[ServiceId, ServiceEntry]:
    return {entry.service: entry for entry in services}
