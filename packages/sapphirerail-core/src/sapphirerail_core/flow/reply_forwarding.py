"""Forwards servers' datagrams of flows to the callers."""

import msgspec

from ..datagram import Datagram, Kind
from ..effects import Effect, SendToCaller, SendToPeer
from ..journal import Reason
from ..types import ServerId
from .address import unpack_address
from .context import FlowContext
from .delivery import Delivery
from .forwarding import Forwarding
from .messages import Return
from .monitor import FlowMonitor
from .placement import flow_key
from .registrar import Registrar
from .server_lookup import ServerLookup
from .table import FlowFlag

__all__ = ["ReplyForwarding"]

_COMPLETING_KINDS = frozenset({Kind.CLOSE, Kind.ANSWER, Kind.REFUSAL})


class ReplyForwarding:
    """Forwards servers' datagrams, and updates the flow table from them.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Drops the records of lost flows.
    server_lookup : ServerLookup
        Handles the servers' answers to a lookup.
    monitor : FlowMonitor
        Monitors the servers' responses.
    forwarding : Forwarding
        Asks the owners if a server does not have a flow.
    delivery : Delivery
        Completes flows.
    """

    def __init__(
        self,
        context: FlowContext,
        registrar: Registrar,
        server_lookup: ServerLookup,
        monitor: FlowMonitor,
        forwarding: Forwarding,
        delivery: Delivery,
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._server_lookup = server_lookup
        self._monitor = monitor
        self._forwarding = forwarding
        self._delivery = delivery

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Forward a server's datagram to the caller of its flow."""
        context = self._context
        if not context.placement.serves(server, datagram.service):
            context.journal.record(
                now_ms, Reason.DATAGRAM_DROPPED, flow=datagram.flow, server=server
            )
            return []
        if datagram.kind is Kind.RESET:
            return self._on_reset(server, datagram, now_ms)
        effects = self._server_lookup.on_answer(server, datagram, now_ms)
        row = self._update_row(server, datagram, now_ms)
        is_probe_answer = self._is_probe_answer(row, datagram, server)
        if context.table.server(row) == server:
            effects += self._monitor.on_server_response(row, now_ms)
            if self._completes_flow(datagram):
                self._delivery.complete(row, now_ms)
        if is_probe_answer:
            return effects
        return effects + self._send_to_caller(server, row, datagram, now_ms)

    def on_return(self, message: Return, now_ms: int) -> list[Effect]:
        """Forward a server's datagram whose caller the sending instance lacks."""
        datagram = message.datagram
        records = self._context.records
        row = records.find(datagram.service, datagram.flow)
        if row is not None and records.caller(row):
            caller = unpack_address(records.caller(row))
            return [SendToCaller(msgspec.structs.replace(datagram, caller=caller))]
        if not message.path:
            self._context.journal.record(
                now_ms,
                Reason.DATAGRAM_DROPPED,
                flow=datagram.flow,
                server=message.server,
                detail="no owner knows the caller",
            )
            return []
        return [_next_return(message)]

    def _update_row(self, server: ServerId, datagram: Datagram, now_ms: int) -> int:
        """Update the row of a flow from a server's datagram, and return the row."""
        context = self._context
        table = context.table
        row = table.find(datagram.service, datagram.flow)
        if row is None:
            return context.put(datagram, server, now_ms, FlowFlag.CONFIRMED)
        accepted = datagram.kind is Kind.ACK and datagram.part == 0
        if table.server(row) == server:
            table.set_flags(row, FlowFlag.CONFIRMED)
        elif accepted or not table.has_flag(row, FlowFlag.CONFIRMED):
            table.set_server(row, server)
            table.set_flags(row, FlowFlag.CONFIRMED)
        return row

    def _is_probe_answer(self, row: int, datagram: Datagram, server: ServerId) -> bool:
        """Return whether the datagram only answers a probe of this instance."""
        table = self._context.table
        if datagram.kind is not Kind.KEEPALIVE or table.server(row) != server:
            return False
        return table.has_flag(row, FlowFlag.PROBE_PENDING) and not table.has_flag(
            row, FlowFlag.AWAITING_SERVER
        )

    def _completes_flow(self, datagram: Datagram) -> bool:
        return datagram.kind in _COMPLETING_KINDS

    def _send_to_caller(
        self, server: ServerId, row: int, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        if datagram.caller:
            return [SendToCaller(datagram)]
        caller = unpack_address(self._context.table.caller(row))
        if caller:
            return [SendToCaller(msgspec.structs.replace(datagram, caller=caller))]
        context = self._context
        key = flow_key(datagram.service, datagram.flow)
        path = context.owners.path(key, now_ms)
        return self.on_return(Return(server, path, datagram), now_ms)

    def _on_reset(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        context = self._context
        table = context.table
        if self._server_lookup.is_pending(datagram.service, datagram.flow):
            return self._server_lookup.on_reset(server, datagram, now_ms)
        row = table.find(datagram.service, datagram.flow)
        if row is not None and table.server(row) != server:
            return []
        if row is not None and table.has_flag(row, FlowFlag.COMPLETED):
            return []
        if row is not None and table.has_flag(row, FlowFlag.SERVER_RESPONDED):
            return self._on_flow_lost(row, server, datagram, now_ms)
        if row is not None:
            # Even a record does not confirm the server: a refused opening may have
            # left one behind.
            table.remove(row)
        kept_datagram = self._server_lookup.take_kept_datagram(
            datagram.service, datagram.flow
        )
        to_locate = kept_datagram or msgspec.structs.replace(
            datagram, kind=Kind.KEEPALIVE
        )
        return self._forwarding.forward_via_owners(to_locate, (server,), now_ms)

    def _on_flow_lost(
        self, row: int, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        context = self._context
        context.n_lost += 1
        context.journal.record(
            now_ms,
            Reason.FLOW_LOST,
            flow=datagram.flow,
            server=server,
            detail="the server does not have the flow",
        )
        self._registrar.forget(row, now_ms)
        effects = self._send_to_caller(server, row, datagram, now_ms)
        context.table.remove(row)
        return effects


def _next_return(message: Return) -> Effect:
    next_message = Return(message.server, message.path[1:], message.datagram)
    return SendToPeer(message.path[0], next_message)
