"""Admission owners of servers, and the eligible servers of requests."""

from .. import rendezvous
from ..datagram import Datagram, Kind
from ..types import FlowId, InstanceId, InstanceState, ServerId, ServerState
from .context import Context
from .keys import request_key

__all__ = ["Routes"]

_CACHE_LIFETIME_MS = 1_000
_NEW_WORK_STATES = frozenset({ServerState.ENTERING, ServerState.ACTIVE})


class Routes:
    """Computes the admission owners of servers and the servers of a request.

    Parameters
    ----------
    context : Context
        Plan, fleet and flows.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ranked: dict[ServerId, tuple[InstanceId, ...]] = {}
        self._invalidate_at_ms = 0

    def invalidate(self) -> None:
        """Discard the cached owners after a change of the plan or the membership."""
        self._ranked.clear()

    def tick(self, now_ms: int) -> None:
        """Discard the cached owners periodically, in case a change was missed."""
        if now_ms >= self._invalidate_at_ms:
            self._invalidate_at_ms = now_ms + _CACHE_LIFETIME_MS
            self.invalidate()

    def ranked_owners(self, server: ServerId) -> tuple[InstanceId, ...]:
        """Return the highest-ranked instances for a server, its owner first."""
        known = self._ranked.get(server)
        if known is not None:
            return known
        planned = self._context.plan.servers.get(server)
        if planned is None:
            return ()
        n_owners = self._context.config.n_role_witnesses + 2
        key = rendezvous.hash_key(server)
        ranked = self._context.fleet.owners(key, n_owners, planned.data_centre)
        if self._context.is_draining:
            self_id = self._context.fleet.self_id
            ranked = tuple(name for name in ranked if name != self_id)
        self._ranked[server] = ranked
        return ranked

    def owner_of(self, server: ServerId) -> InstanceId | None:
        """Return the admission owner in this instance's view."""
        ranked_owners = self.ranked_owners(server)
        return ranked_owners[0] if ranked_owners else None

    def accepts_new_work(self, server: ServerId) -> bool:
        """Return whether the local plan allows new work for a server."""
        planned = self._context.plan.servers.get(server)
        if planned is None or self._context.plan.is_evacuated(planned.data_centre):
            return False
        return planned.state in _NEW_WORK_STATES

    def servers_for(
        self, datagram: Datagram, tried: tuple[ServerId, ...]
    ) -> list[ServerId]:
        """Return the eligible servers of a request, preferred first."""
        flow = datagram.flow
        if datagram.kind is not Kind.OPEN and datagram.request:
            # Spread the requests of one flow over the servers.
            flow = FlowId(request_key(datagram))
        servers = self._context.flows.candidates(datagram.service, flow)
        if datagram.kind is Kind.OPEN:
            known = self._context.flows.lookup(datagram.service, datagram.flow)
            if known is not None:
                servers = [known, *(name for name in servers if name != known)]
        return [name for name in servers if name not in tried and self._is_usable(name)]

    def _is_usable(self, server: ServerId) -> bool:
        plan = self._context.plan
        planned = plan.servers.get(server)
        if planned is None or plan.is_evacuated(planned.data_centre):
            return False
        owner = self.owner_of(server)
        if owner is None:
            return False
        return self._context.fleet.state(owner) is not InstanceState.DEAD
