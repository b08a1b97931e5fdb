"""Specification of a system under test."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["ServerSpec", "SystemSpec", "small_system"]

DATA_CENTRES = ("osu", "madina", "tema")
BOOKINGS = "bookings"
SKETCHES = "sketches"
TENANT = "adwinsa"


@dataclass(frozen=True)
class ServerSpec:
    """A backend server to start.

    Parameters
    ----------
    server, service, data_centre : str
        Name of the server, its service and its data centre.
    state : str
        State in the first sheet.
    settings : dict of str to object
        Additional fields of `ServerSettings`.
    """

    server: str
    service: str
    data_centre: str
    state: str = "active"
    settings: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class SystemSpec:
    """A whole system to start.

    Parameters
    ----------
    data_centres : tuple of str
        Names of the data centres.
    n_instances : int
        Instances in each data centre.
    servers : tuple of ServerSpec
        All backend servers.
    tenant : str
        Tenant of all services.
    seed : int
        Seed of the fabrics, the links and the callers.
    has_links : bool
        Whether all traffic passes through the fault-injecting link.
    stale_ms : int
        How long fabrics keep sending to an instance that was removed.
    node_flags : tuple of str
        Additional flags of each instance.
    """

    data_centres: tuple[str, ...] = DATA_CENTRES
    n_instances: int = 2
    servers: tuple[ServerSpec, ...] = ()
    tenant: str = TENANT
    seed: int = 1
    has_links: bool = False
    stale_ms: int = 500
    node_flags: tuple[str, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services, each once."""
        return tuple(sorted({server.service for server in self.servers}))


def small_system(
    *,
    n_bookings: int = 3,
    n_sketches: int = 2,
    settings: dict[str, Any] | None = None,
    **fields: Any,
) -> SystemSpec:
    """Return a system with servers distributed round-robin over the data centres.

    Parameters
    ----------
    n_bookings, n_sketches : int
        Servers of each of the two services.
    settings : dict of str to object
        Fields of `ServerSettings` for all servers.
    **fields
        Additional fields of `SystemSpec`.

    Examples
    --------
    >>> [server.server for server in small_system(n_bookings=2, n_sketches=1).servers]
    ['bookings-1', 'bookings-2', 'sketches-1']
    """
    data_centres = fields.get("data_centres", DATA_CENTRES)
    servers = [
        ServerSpec(
            server=f"{service}-{number + 1}",
            service=service,
            data_centre=data_centres[number % len(data_centres)],
            settings=dict(settings or {}),
        )
        for service, n_servers in ((BOOKINGS, n_bookings), (SKETCHES, n_sketches))
        for number in range(n_servers)
    ]
    return SystemSpec(servers=tuple(servers), **fields)
