"""Routing of caller datagrams to admission owners."""

import msgspec

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect
from ..types import InstanceId, ServerId
from .admission import AdmissionController
from .context import Context
from .forwarder import Forwarder
from .keys import request_key
from .messages import Forward, Taken
from .redirector import refuse_attached
from .request_record import RequestState
from .roles import RoleTable
from .routes import Routes

__all__ = ["Ingress"]

_LOAD_HINT_MS = 300
_BUFFERED_AFTER_RESUME_MS = 1_000
_N_SERVERS_COMPARED = 2
_N_WAITING_MARGIN = 2


class Ingress:
    """Selects a server for each request and forwards it to the server's owner.

    Parameters
    ----------
    context : Context
        Plan, fleet and settings.
    routes : Routes
        Eligible servers of a request.
    roles : RoleTable
        Holders of the admission roles.
    forwarder : Forwarder
        Transmission to other owners.
    admission : AdmissionController
        Admission to the servers that this instance owns.
    """

    def __init__(
        self,
        context: Context,
        routes: Routes,
        roles: RoleTable,
        forwarder: Forwarder,
        admission: AdmissionController,
    ) -> None:
        self._context = context
        self._routes = routes
        self._roles = roles
        self._forwarder = forwarder
        self._admission = admission
        self._load_hints: dict[ServerId, tuple[int, int]] = {}

    def submit(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Handle a datagram from a caller."""
        datagram = self._with_deadline(datagram)
        if datagram.kind is Kind.CANCEL:
            return self._cancel(datagram, now_ms)
        record = self._admission.request_table.get(request_key(datagram))
        if record is not None:
            return self._admission.on_retransmission(record, datagram, now_ms)
        is_stale = self._may_have_waited(now_ms)
        forward = Forward(datagram, ServerId(""), is_uncertain=is_stale)
        return self.dispatch(forward, now_ms)

    def dispatch(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Forward a request to the owner of the best server."""
        servers = self._routes.servers_for(forward.datagram, forward.tried)
        if not servers:
            code = RefusalCode.UNREACHABLE if forward.tried else RefusalCode.NO_SERVER
            return self._admission.refuse_unplaced(forward, code, now_ms)
        server = self._best(forward.datagram, servers, now_ms)
        target = self._roles.holder_of(server, now_ms)
        forward = msgspec.structs.replace(
            forward, server=server, revision=self._context.plan.revision
        )
        if target is None or target == self._context.fleet.self_id:
            return self._admission.admit(forward, now_ms)
        return self._forwarder.send(forward, target, now_ms)

    def on_forward(
        self, sender: InstanceId, forward: Forward, now_ms: int
    ) -> list[Effect]:
        """Handle a request forwarded by another instance."""
        if forward.datagram.kind is Kind.CANCEL:
            return self._cancel_here(forward.datagram, now_ms)
        if forward.is_attached:
            return self._admission.on_attached(forward, now_ms)
        if self._may_have_waited(now_ms):
            forward = msgspec.structs.replace(forward, is_uncertain=True)
        record = self._admission.request_table.get(request_key(forward.datagram))
        if record is None:
            return self._accept(sender, forward, now_ms)
        if forward.is_claimed and (forward.hop > record.hop or not record.is_claimed):
            return self._accept(sender, forward, now_ms)
        is_moved = record.state is RequestState.MOVED and not record.is_claimed
        if is_moved and (forward.hop > record.hop or record.holder == sender):
            # The request came back, so that each instance would wait for the other.
            return self._accept(sender, forward, now_ms)
        return self._admission.on_retransmission(
            record, forward.datagram, now_ms, forward.hop
        )

    def on_unreceived(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Handle a request whose forward was not acknowledged."""
        if forward.is_attached:
            return refuse_attached(forward.datagram)
        record = self._admission.request_table.get(request_key(forward.datagram))
        if record is not None:
            if record.state is RequestState.MOVED and record.hop == forward.hop:
                return self._admission.reroute(record, now_ms)
            return []
        if forward.hop >= self._context.config.n_hops_max:
            code = RefusalCode.UNREACHABLE
            return self._admission.refuse_unplaced(forward, code, now_ms)
        forward = msgspec.structs.replace(
            forward,
            hop=forward.hop + 1,
            tried=(*forward.tried, forward.server),
            is_uncertain=True,
        )
        return self.dispatch(forward, now_ms)

    def on_receipt(self, sender: InstanceId, taken: Taken, now_ms: int) -> None:
        """Handle a receipt, and record the load that it reports."""
        self._forwarder.on_receipt(sender, taken)
        self._load_hints[taken.server] = (taken.n_waiting, now_ms)

    def _accept(
        self, sender: InstanceId, forward: Forward, now_ms: int
    ) -> list[Effect]:
        if forward.server not in self._context.plan.servers:
            code = RefusalCode.NO_SERVER
            return self._admission.refuse_unplaced(forward, code, now_ms)
        target = self._roles.holder_of(forward.server, now_ms)
        # If the sender is the owner in this instance's view, its view is newer.
        is_returned = target == sender and not self._context.is_draining
        if is_returned or target == self._context.fleet.self_id:
            return self._admission.admit(forward, now_ms)
        return self._admission.relay(forward, now_ms)

    def _may_have_waited(self, now_ms: int) -> bool:
        """Return whether a datagram may have been buffered during a pause.

        In the meantime its retransmissions may have been run elsewhere.
        """
        resumed_at_ms = self._context.resumed_at_ms
        return (
            resumed_at_ms is not None
            and now_ms - resumed_at_ms < _BUFFERED_AFTER_RESUME_MS
        )

    def _best(
        self, datagram: Datagram, servers: list[ServerId], now_ms: int
    ) -> ServerId:
        responsive = [s for s in servers if self._is_responsive(s, now_ms)]
        servers = responsive or servers
        if datagram.kind is Kind.OPEN or len(servers) < _N_SERVERS_COMPARED:
            # All transmissions of an opening must reach the same owner.
            return servers[0]
        first, second = servers[:_N_SERVERS_COMPARED]
        n_more = self._load_hint(first, now_ms) - self._load_hint(second, now_ms)
        return second if n_more >= _N_WAITING_MARGIN else first

    def _is_responsive(self, server: ServerId, now_ms: int) -> bool:
        target = self._roles.holder_of(server, now_ms)
        return target is not None and self._forwarder.is_responsive(target, now_ms)

    def _load_hint(self, server: ServerId, now_ms: int) -> int:
        n_waiting, at_ms = self._load_hints.get(server, (0, 0))
        return n_waiting if now_ms - at_ms <= _LOAD_HINT_MS else 0

    def _with_deadline(self, datagram: Datagram) -> Datagram:
        config = self._context.config
        requested_ms = datagram.deadline_ms or config.deadline_default_ms
        reserve_ms = min(config.reply_reserve_ms, requested_ms // 10)
        deadline_ms = min(max(1, requested_ms - reserve_ms), config.deadline_max_ms)
        return msgspec.structs.replace(datagram, deadline_ms=deadline_ms)

    def _cancel(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        targets = set()
        for server in self._routes.servers_for(datagram, ()):
            target = self._roles.holder_of(server, now_ms)
            if target is None or target in targets:
                continue
            targets.add(target)
            if target != self._context.fleet.self_id:
                forward = Forward(datagram, server)
                effects += self._forwarder.send(forward, target, now_ms)
        return effects + self._cancel_here(datagram, now_ms)

    def _cancel_here(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        key = request_key(datagram)
        self._admission.request_table.cancel_early(key, now_ms)
        record = self._admission.request_table.get(key)
        if record is None:
            return []
        return self._admission.cancel(record, datagram, now_ms)
