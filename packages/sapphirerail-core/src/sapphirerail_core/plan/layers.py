"""Past memberships of a service that living flows may have been opened under."""

import msgspec

from ..types import Revision, ServerState, ServiceId
from .model import Layer, Plan, Seat

__all__ = ["FLOW_LIFE_MS", "N_LAYERS_MAX", "current_layer", "next_layers"]

FLOW_LIFE_MS = 24 * 60 * 60 * 1000
N_LAYERS_MAX = 6
ACCEPTING = frozenset({ServerState.ENTERING, ServerState.ACTIVE})


def current_layer(plan: Plan, service: ServiceId) -> Layer:
    """Return the membership that new flows of a service are opened under.

    Parameters
    ----------
    plan : Plan
        The plan in force.
    service : ServiceId
        The service.

    Returns
    -------
    Layer
        One seat for each entering or active server: the limit of a server that
        warms up is the admission's matter. The state of data centres does not
        count: a data centre that goes out and comes back moves no default.
    """
    seats = tuple(
        Seat(server.seat, server.server)
        for server in plan.servers_by_service.get(service, ())
        if server.state in ACCEPTING
    )
    return Layer(seats=seats)


def next_layers(
    previous: Plan,
    following: Plan,
    now_ms: int,
    flow_life_ms: int = FLOW_LIFE_MS,
) -> dict[ServiceId, tuple[Layer, ...]]:
    """Return the past memberships to be kept in the following plan.

    The result depends on the arguments only, so that every instance that holds
    the following plan knows the same layers, also one that started just now.

    Parameters
    ----------
    previous : Plan
        The plan that is replaced, with its layers.
    following : Plan
        The plan that replaces it; its own ``layers`` are not read.
    now_ms : int
        Wall clock of the writer, in milliseconds since 1970.
    flow_life_ms : int
        Longest life of a flow that the layers have to cover.

    Returns
    -------
    dict of ServiceId to tuple of Layer
        Oldest first; services without a past are left out.
    """
    layers: dict[ServiceId, tuple[Layer, ...]] = {}
    for service in following.services:
        past = _with_previous(previous, following, service, now_ms)
        past = _without_expired(past, now_ms - flow_life_ms)
        if past:
            layers[service] = _within_count(past)
    return layers


def _with_previous(
    previous: Plan, following: Plan, service: ServiceId, now_ms: int
) -> tuple[Layer, ...]:
    past = previous.layers.get(service, ())
    before = current_layer(previous, service)
    after = current_layer(following, service)
    if not before.seats or before.seats == after.seats:
        return past
    began_at = past[-1].ended_at if past else Revision(0)
    ended = msgspec.structs.replace(
        before, began_at=began_at, ended_at=following.revision, ended_ms=now_ms
    )
    return (*past, ended)


def _without_expired(past: tuple[Layer, ...], oldest_end_ms: int) -> tuple[Layer, ...]:
    return tuple(layer for layer in past if layer.ended_ms >= oldest_end_ms)


def _within_count(past: tuple[Layer, ...]) -> tuple[Layer, ...]:
    n_extra = len(past) - N_LAYERS_MAX
    if n_extra <= 0:
        return past
    # The first layer gives the default of every flow. Dropping layers behind it
    # only hides an ambiguity, which the server's reset then reveals.
    return (past[0], *past[1 + n_extra :])
