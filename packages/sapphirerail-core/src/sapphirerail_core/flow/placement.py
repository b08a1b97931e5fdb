"""Computes the default server of a flow and the order for new flows."""

from collections.abc import Sequence

import xxhash

from ..plan.layers import current_layer
from ..plan.model import Layer, Plan, Server
from ..rendezvous import hash_key
from ..types import FlowId, ServerId, ServerState, ServiceId

__all__ = ["Placement", "flow_key"]


def flow_key(service: ServiceId, flow: FlowId) -> int:
    """Return the 64-bit key of a flow; equal numbers of two services differ."""
    return hash_key(service) ^ flow


class _Seats:
    """Hash positions of one membership, with their keys computed once."""

    def __init__(self, service: ServiceId, layer: Layer) -> None:
        taken: set[int] = set()
        self._keys: list[tuple[int, ServerId]] = []
        for seat in layer.seats:
            # Two servers on one seat are a mistake in the plan; each gets a
            # position of its own, so that the load still spreads.
            shared = seat.seat in taken
            name = f"{service}/{seat.seat}" + (f"/{seat.server}" if shared else "")
            taken.add(seat.seat)
            self._keys.append((hash_key(name), seat.server))

    def first(self, flow: bytes) -> ServerId:
        """Return the server whose position ranks first for a flow."""
        digest = xxhash.xxh3_64_intdigest
        return max((digest(flow, seed=key), server) for key, server in self._keys)[1]

    def ranked(self, flow: bytes) -> list[ServerId]:
        """Return all servers, the first one first."""
        digest = xxhash.xxh3_64_intdigest
        scores = [(digest(flow, seed=key), server) for key, server in self._keys]
        return [server for _, server in sorted(scores, reverse=True)]


class _ServicePlacement:
    """Layers of one service; the oldest comes first, the one in force last."""

    def __init__(self, service: ServiceId, plan: Plan) -> None:
        layers = (*plan.layers.get(service, ()), current_layer(plan, service))
        self.layers = [_Seats(service, layer) for layer in layers if layer.seats]
        current = layers[-1]
        self.accepting = _Seats(service, current) if current.seats else None


class Placement:
    """Placement of flows under one plan.

    Every instance that holds the same plan gives the same answers.

    Parameters
    ----------
    plan : Plan
        The plan in force.
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
            The flow that is to be opened.

        Returns
        -------
        tuple of ServerId
            Active servers in data centres that are in.
        """
        placement = self._of(service)
        if placement.accepting is None:
            return ()
        ranked = placement.accepting.ranked(_flow_bytes(flow))
        return tuple(server for server in ranked if self.is_reachable(server))

    def answers(self, service: ServiceId, flow: FlowId) -> tuple[ServerId, ...]:
        """Return the distinct answers of the layers, the default first.

        Answers that have left the plan are no candidates. Those in a data centre
        that is out still are: the flow may have been there and is given up then.
        """
        key = _flow_bytes(flow)
        found: list[ServerId] = []
        for layer in self._of(service).layers:
            server = layer.first(key)
            if server not in found and self.is_known(server):
                found.append(server)
        return tuple(found)

    def default(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return where a flow without a record is, or None without any server."""
        key = _flow_bytes(flow)
        for layer in self._of(service).layers:
            server = layer.first(key)
            if self.is_known(server):
                return server
        return None

    def defaults_key(self, service: ServiceId) -> tuple[object, ...]:
        """Return a value that changes if the default of any flow may change."""
        layers = self.plan.layers.get(service, ())
        current = current_layer(self.plan, service)
        seats = []
        for layer in (*layers, current):
            seats.append((layer.seats, [self.is_known(s.server) for s in layer.seats]))
            if layer.seats and all(seats[-1][1]):
                # Each flow finds its default here at the latest.
                break
        return tuple((members, tuple(known)) for members, known in seats)

    def servers(self, service: ServiceId) -> Sequence[Server]:
        """Return the servers of a service that can receive packets."""
        found = self.plan.servers_by_service.get(service, ())
        return [server for server in found if self.is_reachable(server.server)]

    def is_known(self, server: ServerId) -> bool:
        """Return whether a server is in the plan and has not left."""
        known = self.plan.servers.get(server)
        return known is not None and known.state is not ServerState.LEFT

    def is_out(self, server: ServerId) -> bool:
        """Return whether operators took out the data centre of a known server."""
        known = self.plan.servers.get(server)
        return known is not None and self.plan.is_out(known.data_centre)

    def is_reachable(self, server: ServerId) -> bool:
        """Return whether a server may receive packets."""
        return self.is_known(server) and not self.is_out(server)

    def serves(self, server: ServerId, service: ServiceId) -> bool:
        """Return whether a server belongs to a service."""
        known = self.plan.servers.get(server)
        return known is not None and known.service == service

    def _of(self, service: ServiceId) -> _ServicePlacement:
        placement = self._services.get(service)
        if placement is None:
            placement = _ServicePlacement(service, self.plan)
            if service in self.plan.services:
                self._services[service] = placement
        return placement


def _flow_bytes(flow: FlowId) -> bytes:
    return flow.to_bytes(8, "little")
