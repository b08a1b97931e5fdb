"""Sends callers' datagrams to servers that are known."""

from ..datagram import Datagram, Kind
from ..effects import Effect, SendToServer
from ..journal import Reason
from ..types import ServerId
from .address import pack_address
from .context import FlowContext
from .registrar import Registrar
from .silence import Silence, is_long_lived
from .table import FlowMark

__all__ = ["Delivery"]


class Delivery:
    """Last step of a caller's datagram: checks the server and learns the caller.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Forgets what has ended.
    silence : Silence
        Watches for the servers' answers.
    """

    def __init__(
        self, context: FlowContext, registrar: Registrar, silence: Silence
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._silence = silence

    def deliver(self, row: int, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Send a caller's datagram to the server of its flow, or give the flow up."""
        context = self._context
        table = context.table
        server = table.server(row)
        if not context.placement.is_reachable(server):
            return self._give_up(row, datagram, server, now_ms)
        if not context.placement.serves(server, datagram.service):
            context.journal.note(
                now_ms, Reason.DATAGRAM_DROPPED, flow=datagram.flow, server=server
            )
            table.remove(row)
            return []
        caller = pack_address(datagram.caller)
        if caller:
            table.set_caller(row, caller)
        table.set_traffic_class(row, datagram.traffic_class)
        table.hear_caller(row, now_ms)
        if datagram.kind is Kind.CLOSE:
            self.end(row, now_ms)
        else:
            self._silence.on_forwarded(row, datagram, now_ms)
        return [SendToServer(server, datagram)]

    def end(self, row: int, now_ms: int) -> None:
        """Note that a flow has ended and drop its records."""
        context = self._context
        table = context.table
        table.mark(row, FlowMark.ENDED)
        table.unmark(row, FlowMark.AWAITING)
        # Another instance may have registered it, unless it is short-lived.
        may_be_registered = is_long_lived(table, row) and not table.has(
            row, FlowMark.NEW
        )
        if may_be_registered or table.has(row, FlowMark.REGISTERED):
            self._registrar.forget(row, now_ms)

    def _give_up(
        self, row: int, datagram: Datagram, server: ServerId, now_ms: int
    ) -> list[Effect]:
        context = self._context
        if context.table.has(row, FlowMark.REGISTERED):
            self._registrar.forget(row, now_ms)
        context.table.remove(row)
        code, reason = context.loss_of(server)
        return context.give_up(datagram, code, reason, now_ms)
