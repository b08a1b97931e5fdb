"""Computes the default server of a flow, and the server preference for new flows.

A layer is one membership of a service: its servers on hash positions (seats). A plan
keeps the layers that open flows may have been placed by, oldest first. A flow without a
record is on its default server; a flow on another server is an exception and has a
record at its owners.
"""

from collections.abc import Sequence

import xxhash

from ..plan.layers import current_layer
from ..plan.model import Layer, Plan, Server
from ..rendezvous import hash_key
from ..types import FlowId, ServerId, ServerState, ServiceId

__all__ = ["Placement", "flow_key"]


def flow_key(service: ServiceId, flow: FlowId) -> int:
    """Return the 64-bit key of a flow, which depends on its service too."""
    return hash_key(service) ^ flow


class _Seats:
    """Seats (hash positions) of one layer, with their hash keys precomputed."""

    def __init__(self, service: ServiceId, layer: Layer) -> None:
        taken: set[int] = set()
        self._keys: list[tuple[int, ServerId]] = []
        for seat in layer.seats:
            # Two servers on one seat are an error in the plan. Each gets a hash
            # position of its own, so that the load is still distributed.
            shared = seat.seat in taken
            name = f"{service}/{seat.seat}" + (f"/{seat.server}" if shared else "")
            taken.add(seat.seat)
            self._keys.append((hash_key(name), seat.server))

    def first(self, flow: bytes) -> ServerId:
        """Return the server whose seat ranks highest for a flow."""
        digest = xxhash.xxh3_64_intdigest
        return max((digest(flow, seed=key), server) for key, server in self._keys)[1]

    def ranked(self, flow: bytes) -> list[ServerId]:
        """Return all servers in order of rank."""
        digest = xxhash.xxh3_64_intdigest
        scores = [(digest(flow, seed=key), server) for key, server in self._keys]
        return [server for _, server in sorted(scores, reverse=True)]


class _ServicePlacement:
    """Layers of one service, from the oldest to the current one."""

    def __init__(self, service: ServiceId, plan: Plan) -> None:
        layers = (*plan.layers.get(service, ()), current_layer(plan, service))
        self.layers = [_Seats(service, layer) for layer in layers if layer.seats]
        current = layers[-1]
        self.accepting = _Seats(service, current) if current.seats else None


class Placement:
    """Placement of flows under one plan.

    The result depends on the plan only, so instances with the same plan agree.

    Parameters
    ----------
    plan : Plan
        The current plan.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._services: dict[ServiceId, _ServicePlacement] = {}

    def candidates(self, service: ServiceId, flow: FlowId) -> tuple[ServerId, ...]:
        """Return the servers that accept new work, in order of preference.

        Parameters
        ----------
        service : ServiceId
            The service of the flow.
        flow : FlowId
            The flow to open.

        Returns
        -------
        tuple of ServerId
            Servers that accept new work, in data centres that are in service.
        """
        placement = self._service(service)
        if placement.accepting is None:
            return ()
        ranked = placement.accepting.ranked(_flow_bytes(flow))
        return tuple(server for server in ranked if self.is_reachable(server))

    def layer_servers(self, service: ServiceId, flow: FlowId) -> tuple[ServerId, ...]:
        """Return the distinct servers that the layers select, the default first.

        Servers that have left the plan are skipped. Servers in an evacuated data
        centre are included: the flow may have been there, and is then abandoned.
        """
        key = _flow_bytes(flow)
        found: list[ServerId] = []
        for layer in self._service(service).layers:
            server = layer.first(key)
            if server not in found and self.is_known(server):
                found.append(server)
        return tuple(found)

    def default(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return the default server of a flow, or None if no layer has one."""
        key = _flow_bytes(flow)
        for layer in self._service(service).layers:
            server = layer.first(key)
            if self.is_known(server):
                return server
        return None

    def defaults_key(self, service: ServiceId) -> tuple[object, ...]:
        """Return a value that changes if any flow's default server may change."""
        layers = self.plan.layers.get(service, ())
        current = current_layer(self.plan, service)
        seats = []
        for layer in (*layers, current):
            seats.append((layer.seats, [self.is_known(s.server) for s in layer.seats]))
            if layer.seats and all(seats[-1][1]):
                # Every flow has its default in this layer or an earlier one.
                break
        return tuple((members, tuple(known)) for members, known in seats)

    def servers(self, service: ServiceId) -> Sequence[Server]:
        """Return the servers of a service that can receive packets."""
        found = self.plan.servers_by_service.get(service, ())
        return [server for server in found if self.is_reachable(server.server)]

    def is_known(self, server: ServerId) -> bool:
        """Return whether a server is in the plan and has not left."""
        entry = self.plan.servers.get(server)
        return entry is not None and entry.state is not ServerState.LEFT

    def is_evacuated(self, server: ServerId) -> bool:
        """Return whether the data centre of a known server is evacuated."""
        entry = self.plan.servers.get(server)
        return entry is not None and self.plan.is_evacuated(entry.data_centre)

    def is_reachable(self, server: ServerId) -> bool:
        """Return whether a server may receive packets."""
        return self.is_known(server) and not self.is_evacuated(server)

    def serves(self, server: ServerId, service: ServiceId) -> bool:
        """Return whether a server belongs to a service."""
        entry = self.plan.servers.get(server)
        return entry is not None and entry.service == service

    def _service(self, service: ServiceId) -> _ServicePlacement:
        placement = self._services.get(service)
        if placement is None:
            placement = _ServicePlacement(service, self.plan)
            if service in self.plan.services:
                self._services[service] = placement
        return placement


def _flow_bytes(flow: FlowId) -> bytes:
    return flow.to_bytes(8, "little")
