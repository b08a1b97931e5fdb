"""Layers: past server sets of a service that open flows may have been placed by.

A flow is placed by hashing over the seats of its service. When the set of accepting
servers changes, the replaced set is kept as a layer, so that packets of older flows can
still be matched to their servers.
"""

import msgspec

from ..types import Revision, ServerState, ServiceId
from .model import Layer, Plan, Seat

__all__ = ["MAX_FLOW_LIFETIME_MS", "N_LAYERS_MAX", "current_layer", "next_layers"]

MAX_FLOW_LIFETIME_MS = 24 * 60 * 60 * 1000
N_LAYERS_MAX = 6
ACCEPTING_STATES = frozenset({ServerState.ENTERING, ServerState.ACTIVE})


def current_layer(plan: Plan, service: ServiceId) -> Layer:
    """Return the set of seats by which new flows of a service are placed.

    Parameters
    ----------
    plan : Plan
        The plan in force.
    service : ServiceId
        The service.

    Returns
    -------
    Layer
        One seat for each entering or active server; admission limits the load of
        servers during warm-up. The state of data centres is ignored, so that
        evacuating a data centre and restoring it moves no flow's default server.
    """
    seats = tuple(
        Seat(server.seat, server.server)
        for server in plan.servers_by_service.get(service, ())
        if server.state in ACCEPTING_STATES
    )
    return Layer(seats=seats)


def next_layers(
    previous: Plan,
    following: Plan,
    now_ms: int,
    max_flow_lifetime_ms: int = MAX_FLOW_LIFETIME_MS,
) -> dict[ServiceId, tuple[Layer, ...]]:
    """Return the past layers to keep in the next plan.

    The result depends only on the arguments, so that all instances with the next
    plan have the same layers, including one that has just started.

    Parameters
    ----------
    previous : Plan
        The plan that is replaced, with its layers.
    following : Plan
        The plan that replaces it; its ``layers`` field is ignored.
    now_ms : int
        Wall clock of the writer, in milliseconds since 1970.
    max_flow_lifetime_ms : int
        Maximum lifetime of a flow that the layers have to cover.

    Returns
    -------
    dict of ServiceId to tuple of Layer
        Oldest first; services without past layers are omitted.
    """
    layers: dict[ServiceId, tuple[Layer, ...]] = {}
    for service in following.services:
        past = _append_previous(previous, following, service, now_ms)
        past = _drop_expired(past, now_ms - max_flow_lifetime_ms)
        if past:
            layers[service] = _limit_count(past)
    return layers


def _append_previous(
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


def _drop_expired(past: tuple[Layer, ...], oldest_end_ms: int) -> tuple[Layer, ...]:
    return tuple(layer for layer in past if layer.ended_ms >= oldest_end_ms)


def _limit_count(past: tuple[Layer, ...]) -> tuple[Layer, ...]:
    n_extra = len(past) - N_LAYERS_MAX
    if n_extra <= 0:
        return past
    # The first layer determines the default server of every flow. Dropping later
    # layers only hides an ambiguous placement; the wrong server then resets the flow,
    # which reveals it.
    return (past[0], *past[1 + n_extra :])
