"""Operators' configuration and announced entries, reduced to what steering needs."""

from enum import Enum

import msgspec

from ..types import DataCentreId, InstanceId, Revision, ServerId, ServiceId
from .packet import ServiceAddress

__all__ = [
    "Configuration",
    "InstanceEntry",
    "OperatorState",
    "RequestKind",
    "Route",
    "ServerEntry",
    "ServiceEntry",
    "Share",
    "UnreadableEntry",
]


class RequestKind(Enum):
    """What the requests of a route do, which decides whether they may run again."""

    SAFE = "safe"
    DOWNLOAD = "download"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RequestKind.SAFE, RequestKind.DOWNLOAD)


class Share(msgspec.Struct, frozen=True, array_like=True):
    """Relative weight of a service among a route's new flows."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Maps an address that callers use to the services that get its new flows.

    Parameters
    ----------
    destination : ServiceAddress
        Address and port that callers use.
    name : str
        Name given by the operators.
    kind : RequestKind
        Kind of the requests in its flows.
    shares : tuple of Share
        Services that get the flows; empty if the entry of the route names no valid one.
    """

    destination: ServiceAddress
    name: str
    kind: RequestKind
    shares: tuple[Share, ...]


class ServiceEntry(msgspec.Struct, frozen=True, array_like=True):
    """Warm-up settings of a service.

    Parameters
    ----------
    service : ServiceId
        Name of the service.
    cold_ms : int
        How long its servers stay cold after a start.
    n_cold_per_s : float
        Requests per second that a cold server can handle.
    """

    service: ServiceId
    cold_ms: int
    n_cold_per_s: float


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """Routes and services of one revision; a higher revision replaces a lower one."""

    revision: Revision
    routes: tuple[Route, ...]
    services: tuple[ServiceEntry, ...]
    flow_idle_ms: int


class OperatorState(msgspec.Struct, frozen=True, array_like=True):
    """Everything that operators wrote, as of one read of the store.

    Parameters
    ----------
    store_revision : int
        Store revision up to which this state is complete.
    change_revision : int
        Store revision of the newest change up to there.
    configuration : Configuration or None
        Newest configuration; None before the first.
    evacuated : tuple of DataCentreId
        Evacuated data centres, as of `store_revision` or later.
    """

    store_revision: int
    change_revision: int
    configuration: Configuration | None
    evacuated: tuple[DataCentreId, ...]


class ServerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Entry that a backend server announces about itself.

    Parameters
    ----------
    server : ServerId
        Name of the server.
    identity : int
        Unsigned 64-bit number by which the server recognises packets addressed to it.
    service : ServiceId
        Service that it runs.
    data_centre : DataCentreId
        Location of the server.
    address : str
        ``address:port`` at which it receives packets.
    started_at_ms : int
        Unix time of its start; distinguishes incarnations with the same name. 0 if the
        entry does not contain it.
    n_slots : int
        Number of requests that it runs concurrently.
    is_draining : bool
        Whether it is draining, and accepts no new flows.
    cold_ms : int
        How long it stays cold, counted from the read.
    """

    server: ServerId
    identity: int
    service: ServiceId
    data_centre: DataCentreId
    address: str
    started_at_ms: int
    n_slots: int
    is_draining: bool
    cold_ms: int


class UnreadableEntry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a server that cannot be decoded, and so names no server to use.

    It is no evidence that the server has departed: its open flows stay.

    Parameters
    ----------
    server : ServerId
        Name of the server.
    identity : int
        Identity of the server, which its name contains.
    """

    server: ServerId
    identity: int


class InstanceEntry(msgspec.Struct, frozen=True, array_like=True):
    """Registration of an entry instance: the address at which peers reach it."""

    instance: InstanceId
    data_centre: DataCentreId
    address: str
