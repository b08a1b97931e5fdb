"""Forwards callers' datagrams of open flows to the flows' servers."""

import msgspec

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect, SendToPeer
from ..journal import Reason
from ..types import InstanceId, ServerId, TrafficClass
from .context import FlowContext
from .delivery import Delivery
from .messages import Locate, Located, NotLocated
from .monitor import FlowMonitor
from .placement import flow_key
from .record_store import RecordStore
from .server_lookup import ServerLookup
from .table import FlowFlag

__all__ = ["Forwarding"]

_N_HOPS_MAX = 8  # current and previous owners, and one holder each


class Forwarding:
    """Finds the server of a caller's datagram and forwards the datagram.

    It checks the local table, the records kept here and the default server of the plan.
    If none of them decides, the datagram travels through the owners of its flow in a
    `Locate` message, and as a last resort all servers of the service are asked.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    store : RecordStore
        Records that this instance keeps as an owner.
    server_lookup : ServerLookup
        Asks all servers of a service for a flow that has no record.
    monitor : FlowMonitor
        Keeps the detours: flows forwarded through another instance.
    delivery : Delivery
        Sends datagrams to known servers.
    """

    def __init__(
        self,
        context: FlowContext,
        store: RecordStore,
        server_lookup: ServerLookup,
        monitor: FlowMonitor,
        delivery: Delivery,
    ) -> None:
        self._context = context
        self._store = store
        self._server_lookup = server_lookup
        self._monitor = monitor
        self._delivery = delivery

    def on_caller_datagram(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Forward a caller's datagram of an open flow."""
        context = self._context
        detour = self._monitor.detour(datagram.service, datagram.flow)
        if detour is not None:
            return [SendToPeer(detour, self._make_locate(datagram, (), ()))]
        row = context.table.find(datagram.service, datagram.flow)
        if row is not None and self._is_stale(row):
            context.table.remove(row)
            row = None
        if row is not None:
            return self._delivery.deliver(row, datagram, now_ms)
        recorded = self._store.server(datagram.service, datagram.flow)
        if recorded is not None:
            row = context.put(datagram, recorded, now_ms, FlowFlag.CONFIRMED)
            return self._delivery.deliver(row, datagram, now_ms)
        layer_servers = context.placement.layer_servers(datagram.service, datagram.flow)
        # A server does not answer a CLOSE, so sending it to a wrong server would go
        # unnoticed.
        is_unambiguous = len(layer_servers) == 1 and datagram.kind is not Kind.CLOSE
        if is_unambiguous and context.placement.is_reachable(layer_servers[0]):
            return self._forward_to_default(datagram, layer_servers[0], now_ms)
        return self.forward_via_owners(datagram, (), now_ms)

    def forward_via_owners(
        self,
        datagram: Datagram,
        refused_by: tuple[ServerId, ...],
        now_ms: int,
        *,
        is_last_attempt: bool = False,
    ) -> list[Effect]:
        """Forward a datagram through the owners of its flow."""
        context = self._context
        key = flow_key(datagram.service, datagram.flow)
        path = [
            owner
            for owner in context.owners.path(key, now_ms)
            if owner != context.self_id
        ]
        if datagram.attempt % 2 and len(path) > 1:
            # The first owner may have failed without being detected yet; a
            # retransmission starts at the second one.
            path[0], path[1] = path[1], path[0]
        locate = self._make_locate(
            datagram, tuple(path), refused_by, is_last_attempt=is_last_attempt
        )
        return self._pass_on(locate, now_ms)

    def retry_failed_lookups(self, now_ms: int) -> list[Effect]:
        """Ask the owners once more for flows that the lookup at the servers missed.

        By now a lost record has been retransmitted, and a delayed plan may have
        arrived.
        """
        effects: list[Effect] = []
        for datagram in self._server_lookup.take_failed(now_ms):
            effects += self.forward_via_owners(
                datagram, (), now_ms, is_last_attempt=True
            )
        return effects

    def on_locate(self, message: Locate, now_ms: int) -> list[Effect]:
        """Forward a datagram if its flow is known here, else pass the message on."""
        context = self._context
        datagram = message.datagram
        server = self._known_server(datagram, message.refused_by)
        if server is not None:
            row = context.put(datagram, server, now_ms, FlowFlag.CONFIRMED)
            located = Located(datagram.service, datagram.flow, server)
            effects = self._delivery.deliver(row, datagram, now_ms)
            return [*effects, SendToPeer(message.origin, located)]
        return self._pass_on(message, now_ms)

    def on_not_located(self, message: NotLocated, now_ms: int) -> list[Effect]:
        """Use the default server of this instance's plan, which is the newest."""
        locate = self._make_locate(
            message.datagram,
            (),
            message.refused_by,
            is_last_attempt=message.is_last_attempt,
        )
        return self._use_default(locate, now_ms)

    def on_located(self, message: Located, now_ms: int) -> None:
        """Store the server that an owner reports for a flow."""
        context = self._context
        row = context.table.find(message.service, message.flow)
        if row is not None and context.table.has_flag(row, FlowFlag.CONFIRMED):
            return
        if not context.placement.serves(message.server, message.service):
            return
        if self._monitor.detour(message.service, message.flow) is not None:
            return
        traffic_class = TrafficClass.TRANSACTION
        if row is not None:
            traffic_class = context.table.traffic_class(row)
        stub = Datagram(
            kind=Kind.KEEPALIVE,
            service=message.service,
            flow=message.flow,
            traffic_class=traffic_class,
        )
        flags = FlowFlag.CONFIRMED if message.confirmed else 0
        context.put(stub, message.server, now_ms, flags)

    def _make_locate(
        self,
        datagram: Datagram,
        path: tuple[InstanceId, ...],
        refused_by: tuple[ServerId, ...],
        *,
        is_last_attempt: bool = False,
    ) -> Locate:
        context = self._context
        return Locate(
            context.self_id,
            context.plan.revision,
            path,
            refused_by,
            datagram,
            is_last_attempt,
        )

    def _is_stale(self, row: int) -> bool:
        """Return whether an unconfirmed entry names an unreachable server."""
        context = self._context
        if context.table.has_flag(row, FlowFlag.CONFIRMED):
            return False
        return not context.placement.is_reachable(context.table.server(row))

    def _known_server(
        self, datagram: Datagram, refused_by: tuple[ServerId, ...]
    ) -> ServerId | None:
        context = self._context
        server = self._store.server(datagram.service, datagram.flow)
        if server is None:
            row = context.table.find(datagram.service, datagram.flow)
            if row is not None and context.table.has_flag(row, FlowFlag.CONFIRMED):
                server = context.table.server(row)
        if server in refused_by:
            return None
        return server

    def _pass_on(self, message: Locate, now_ms: int) -> list[Effect]:
        context = self._context
        next_instance = self._next_instance(message)
        if next_instance is not None:
            return self._pass_to(next_instance, message, now_ms)
        if context.plan.revision < message.revision:
            # The origin has a newer plan, so its default server is the right one.
            answer = NotLocated(
                message.refused_by, message.datagram, message.is_last_attempt
            )
            return [SendToPeer(message.origin, answer)]
        effects = self._use_default(message, now_ms)
        row = context.table.find(message.datagram.service, message.datagram.flow)
        if message.origin != context.self_id and row is not None:
            effects.append(self._report_unconfirmed(message, context.table.server(row)))
        return effects

    def _next_instance(self, message: Locate) -> InstanceId | None:
        """Return the next instance to ask, or None at the end of the path."""
        holder = self._store.unknown_holder(message.datagram.flow)
        if holder is not None and holder != message.origin:
            return holder
        return message.path[0] if message.path else None

    def _pass_to(
        self, instance: InstanceId, message: Locate, now_ms: int
    ) -> list[Effect]:
        if message.n_hops >= _N_HOPS_MAX:
            self._context.journal.record(
                now_ms,
                Reason.DATAGRAM_DROPPED,
                flow=message.datagram.flow,
                detail="hop limit exceeded while locating the flow",
            )
            return []
        path = tuple(name for name in message.path if name != instance)
        next_message = msgspec.structs.replace(
            message, path=path, n_hops=message.n_hops + 1
        )
        return [SendToPeer(instance, next_message)]

    def _report_unconfirmed(self, message: Locate, server: ServerId) -> Effect:
        datagram = message.datagram
        located = Located(datagram.service, datagram.flow, server, confirmed=False)
        return SendToPeer(message.origin, located)

    def _use_default(self, message: Locate, now_ms: int) -> list[Effect]:
        """Use the default server, or ask all servers if the default is ruled out."""
        context = self._context
        datagram = message.datagram
        if message.refused_by or message.is_last_attempt:
            return self._server_lookup.start(
                datagram,
                message.refused_by,
                now_ms,
                is_last_attempt=message.is_last_attempt,
            )
        if datagram.service not in context.plan.services:
            code = RefusalCode.UNKNOWN_SERVICE
            return context.abandon_flow(datagram, code, Reason.FLOW_LOST, now_ms)
        server = context.placement.default(datagram.service, datagram.flow)
        if server is None or not context.placement.is_reachable(server):
            # The flow is abandoned unless another server has it: its record may
            # have been lost.
            refused_by = () if server is None else (server,)
            return self._server_lookup.start(datagram, refused_by, now_ms)
        context.journal.record(
            now_ms, Reason.FLOW_UNRECORDED, flow=datagram.flow, server=server
        )
        return self._forward_to_default(datagram, server, now_ms)

    def _forward_to_default(
        self, datagram: Datagram, server: ServerId, now_ms: int
    ) -> list[Effect]:
        self._server_lookup.keep_datagram(datagram)
        row = self._context.put(datagram, server, now_ms)
        return self._delivery.deliver(row, datagram, now_ms)
