"""Sends callers' datagrams to the known servers of their flows."""

from ..datagram import Datagram, Kind
from ..effects import Effect, SendToServer
from ..journal import Reason
from ..types import ServerId
from .address import pack_address
from .context import FlowContext
from .monitor import FlowMonitor, is_long_lived
from .registrar import Registrar
from .table import FlowFlag

__all__ = ["Delivery"]


class Delivery:
    """Checks the server of a flow, updates its table entry and sends the datagram.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Drops the records of completed flows.
    monitor : FlowMonitor
        Monitors the servers' responses.
    """

    def __init__(
        self, context: FlowContext, registrar: Registrar, monitor: FlowMonitor
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._monitor = monitor

    def deliver(self, row: int, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Send a caller's datagram to its flow's server, or abandon the flow."""
        context = self._context
        table = context.table
        server = table.server(row)
        if not context.placement.is_reachable(server):
            return self._abandon(row, datagram, server, now_ms)
        if not context.placement.serves(server, datagram.service):
            context.journal.record(
                now_ms, Reason.DATAGRAM_DROPPED, flow=datagram.flow, server=server
            )
            table.remove(row)
            return []
        caller = pack_address(datagram.caller)
        if caller:
            table.set_caller(row, caller)
        table.set_traffic_class(row, datagram.traffic_class)
        table.record_caller_contact(row, now_ms)
        if datagram.kind is Kind.CLOSE:
            self.complete(row, now_ms)
        else:
            self._monitor.on_forwarded(row, datagram, now_ms)
        return [SendToServer(server, datagram)]

    def complete(self, row: int, now_ms: int) -> None:
        """Mark a flow as completed and drop its records."""
        context = self._context
        table = context.table
        table.set_flags(row, FlowFlag.COMPLETED)
        table.clear_flags(row, FlowFlag.AWAITING_SERVER)
        # Another instance may have registered the flow, unless it is short-lived.
        may_be_registered = is_long_lived(table, row) and not table.has_flag(
            row, FlowFlag.NEW
        )
        if may_be_registered or table.has_flag(row, FlowFlag.REGISTERED):
            self._registrar.forget(row, now_ms)

    def _abandon(
        self, row: int, datagram: Datagram, server: ServerId, now_ms: int
    ) -> list[Effect]:
        context = self._context
        if context.table.has_flag(row, FlowFlag.REGISTERED):
            self._registrar.forget(row, now_ms)
        context.table.remove(row)
        code, reason = context.loss_reason(server)
        return context.abandon_flow(datagram, code, reason, now_ms)
