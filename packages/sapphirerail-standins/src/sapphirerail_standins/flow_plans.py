"""Builds plans of the users' deployment size, and changes to them."""

from collections.abc import Mapping

import msgspec

from sapphirerail_core.plan import DataCentre, Plan, Server, Service, next_layers
from sapphirerail_core.plan.model import RemovedService
from sapphirerail_core.types import (
    DataCentreId,
    DataCentreState,
    Revision,
    ServerId,
    ServerState,
    ServiceId,
    TenantId,
)

__all__ = [
    "BOOKINGS",
    "DATA_CENTRES",
    "SKETCHES",
    "add_server",
    "change_data_centre",
    "change_servers",
    "first_plan",
    "new_server",
    "remove_service",
    "replace_server",
]

BOOKINGS = ServiceId("bookings")
SKETCHES = ServiceId("sketches")
DATA_CENTRES = tuple(
    DataCentreId(name) for name in ("osu", "madina", "tema", "kaneshie")
)
_TENANT = TenantId("adwinsa")
_N_SERVERS = {BOOKINGS: 7, SKETCHES: 4}


def first_plan(n_servers: Mapping[ServiceId, int] | None = None) -> Plan:
    """Return a plan with active servers spread over the data centres.

    Parameters
    ----------
    n_servers : mapping of ServiceId to int or None
        Number of servers of each service; Adwinsa's numbers by default.
    """
    sizes = _N_SERVERS if n_servers is None else n_servers
    servers: dict[ServerId, Server] = {}
    for service, count in sizes.items():
        for seat in range(count):
            server = new_server(service, seat, 9000 + len(servers))
            servers[server.server] = server
    return Plan(
        revision=Revision(1),
        data_centres={place: DataCentre(place) for place in DATA_CENTRES},
        services={name: Service(name, _TENANT) for name in sizes},
        servers=servers,
    )


def new_server(service: ServiceId, seat: int, port: int, suffix: str = "") -> Server:
    """Return an active server on a seat, in the data centre of that seat."""
    return Server(
        server=ServerId(f"{service}-{seat}{suffix}"),
        service=service,
        data_centre=DATA_CENTRES[seat % len(DATA_CENTRES)],
        address=f"127.0.0.1:{port}",
        seat=seat,
    )


def change_servers(
    plan: Plan, states: Mapping[ServerId, ServerState], now_ms: int = 0
) -> Plan:
    """Return the next plan, with changed states of some servers."""
    servers = dict(plan.servers)
    for name, state in states.items():
        servers[name] = msgspec.structs.replace(servers[name], state=state)
    return _next(plan, plan.data_centres, servers, now_ms)


def replace_server(
    plan: Plan, name: ServerId, replacement: ServerId, now_ms: int = 0
) -> Plan:
    """Return the next plan, where a new server takes the seat of a draining one."""
    servers = dict(plan.servers)
    replaced = servers[name]
    servers[name] = msgspec.structs.replace(replaced, state=ServerState.DRAINING)
    servers[replacement] = msgspec.structs.replace(
        replaced, server=replacement, state=ServerState.ACTIVE
    )
    return _next(plan, plan.data_centres, servers, now_ms)


def add_server(plan: Plan, server: Server, now_ms: int = 0) -> Plan:
    """Return the next plan, with one more server."""
    servers = {**plan.servers, server.server: server}
    return _next(plan, plan.data_centres, servers, now_ms)


def change_data_centre(
    plan: Plan, name: DataCentreId, state: DataCentreState, now_ms: int = 0
) -> Plan:
    """Return the next plan, with a data centre evacuated or back in service."""
    data_centres = {**plan.data_centres, name: DataCentre(name, state)}
    return _next(plan, data_centres, plan.servers, now_ms)


def remove_service(plan: Plan, name: ServiceId) -> Plan:
    """Return the next plan, without a service whose servers have left."""
    revision = Revision(plan.revision + 1)
    removed = RemovedService(name, plan.services[name].tenant, revision)
    return msgspec.structs.replace(
        plan,
        revision=revision,
        services={key: part for key, part in plan.services.items() if key != name},
        layers={key: part for key, part in plan.layers.items() if key != name},
        removed_services=plan.removed_services | {name: removed},
    )


def _next(
    plan: Plan,
    data_centres: dict[DataCentreId, DataCentre],
    servers: dict[ServerId, Server],
    now_ms: int,
) -> Plan:
    following = msgspec.structs.replace(
        plan,
        revision=Revision(plan.revision + 1),
        data_centres=data_centres,
        servers=servers,
    )
    layers = next_layers(plan, following, now_ms)
    return msgspec.structs.replace(following, layers=layers)
