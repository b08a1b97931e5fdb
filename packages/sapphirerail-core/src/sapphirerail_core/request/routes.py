"""Which instance admits requests for which server."""

from .. import rendezvous
from ..datagram import Datagram, Kind
from ..types import FlowId, InstanceId, InstanceState, ServerId, ServerState
from .context import Context
from .keys import request_key

__all__ = ["Routes"]

_CACHE_MS = 1_000
_NEW_WORK_STATES = frozenset({ServerState.ENTERING, ServerState.ACTIVE})


class Routes:
    """Computes admission owners, and the servers that a request may go to.

    Parameters
    ----------
    context : Context
        Plan, fleet and flows.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ranked: dict[ServerId, tuple[InstanceId, ...]] = {}
        self._forget_at_ms = 0

    def forget(self) -> None:
        """Compute all owners anew: the plan or the membership changed."""
        self._ranked.clear()

    def tick(self, now_ms: int) -> None:
        """Compute owners anew from time to time, should a change go unnoticed."""
        if now_ms >= self._forget_at_ms:
            self._forget_at_ms = now_ms + _CACHE_MS
            self.forget()

    def in_line(self, server: ServerId) -> tuple[InstanceId, ...]:
        """Return the first instances in line for a server's admission."""
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
        """Return the admission owner in this instance's opinion."""
        in_line = self.in_line(server)
        return in_line[0] if in_line else None

    def takes_new_work(self, server: ServerId) -> bool:
        """Return whether a server may get new work by the plan of this instance."""
        planned = self._context.plan.servers.get(server)
        if planned is None or self._context.plan.is_evacuated(planned.data_centre):
            return False
        return planned.state in _NEW_WORK_STATES

    def servers_for(
        self, datagram: Datagram, tried: tuple[ServerId, ...]
    ) -> list[ServerId]:
        """Return the servers that a request may go to, preferred first."""
        flow = datagram.flow
        if datagram.kind is not Kind.OPEN and datagram.request:
            # Requests of one flow spread over the servers.
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
