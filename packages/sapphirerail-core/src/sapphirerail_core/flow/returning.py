"""Sends servers' datagrams of flows to the callers."""

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
from .placement import flow_key
from .registrar import Registrar
from .search import Search
from .silence import Silence
from .table import FlowMark

__all__ = ["Returning"]

_ENDING_KINDS = frozenset({Kind.CLOSE, Kind.ANSWER, Kind.REFUSAL})


class Returning:
    """Passes servers' datagrams on and learns from them.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Forgets flows that have ended.
    search : Search
        Takes the servers' answers to a search.
    silence : Silence
        Learns which servers are heard.
    forwarding : Forwarding
        Asks the owners when a server does not know a flow.
    delivery : Delivery
        Ends flows.
    """

    def __init__(
        self,
        context: FlowContext,
        registrar: Registrar,
        search: Search,
        silence: Silence,
        forwarding: Forwarding,
        delivery: Delivery,
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._search = search
        self._silence = silence
        self._forwarding = forwarding
        self._delivery = delivery

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Pass a server's datagram to the caller of its flow."""
        context = self._context
        if not context.placement.serves(server, datagram.service):
            context.journal.note(
                now_ms, Reason.DATAGRAM_DROPPED, flow=datagram.flow, server=server
            )
            return []
        if datagram.kind is Kind.RESET:
            return self._on_reset(server, datagram, now_ms)
        effects = self._search.on_answer(server, datagram, now_ms)
        row = self._learn(server, datagram, now_ms)
        is_own_probe = self._is_own_probe(row, datagram, server)
        if context.table.server(row) == server:
            effects += self._silence.on_server_heard(row, now_ms)
            if self._ends(datagram):
                self._delivery.end(row, now_ms)
        if is_own_probe:
            return effects
        return effects + self._pass(server, row, datagram, now_ms)

    def on_return(self, message: Return, now_ms: int) -> list[Effect]:
        """Pass on a server's datagram whose caller another instance lacked."""
        datagram = message.datagram
        records = self._context.records
        row = records.find(datagram.service, datagram.flow)
        if row is not None and records.caller(row):
            caller = unpack_address(records.caller(row))
            return [SendToCaller(msgspec.structs.replace(datagram, caller=caller))]
        if not message.path:
            self._context.journal.note(
                now_ms,
                Reason.DATAGRAM_DROPPED,
                flow=datagram.flow,
                server=message.server,
                detail="no owner knows the caller",
            )
            return []
        return [_next_return(message)]

    def _learn(self, server: ServerId, datagram: Datagram, now_ms: int) -> int:
        """Return the row of a flow, after what its server's datagram shows."""
        context = self._context
        table = context.table
        row = table.find(datagram.service, datagram.flow)
        if row is None:
            return context.add(datagram, server, now_ms, FlowMark.CONFIRMED)
        accepted = datagram.kind is Kind.ACK and datagram.part == 0
        if table.server(row) == server:
            table.mark(row, FlowMark.CONFIRMED)
        elif accepted or not table.has(row, FlowMark.CONFIRMED):
            table.set_server(row, server)
            table.mark(row, FlowMark.CONFIRMED)
        return row

    def _is_own_probe(self, row: int, datagram: Datagram, server: ServerId) -> bool:
        """Return whether the caller did not ask for this answer."""
        table = self._context.table
        if datagram.kind is not Kind.KEEPALIVE or table.server(row) != server:
            return False
        return table.has(row, FlowMark.PROBED) and not table.has(row, FlowMark.AWAITING)

    def _ends(self, datagram: Datagram) -> bool:
        return datagram.kind in _ENDING_KINDS

    def _pass(
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
        if self._search.is_open(datagram.service, datagram.flow):
            return self._search.on_reset(server, datagram, now_ms)
        row = table.find(datagram.service, datagram.flow)
        if row is not None and table.server(row) != server:
            return []
        if row is not None and table.has(row, FlowMark.ENDED):
            return []
        if row is not None and table.has(row, FlowMark.HEARD):
            return self._lose(row, server, datagram, now_ms)
        if row is not None:
            # Not even a record is proof: an opening that was refused may have
            # left one behind.
            table.remove(row)
        kept = self._search.take_kept(datagram.service, datagram.flow)
        asked = kept or msgspec.structs.replace(datagram, kind=Kind.KEEPALIVE)
        return self._forwarding.ask_owners(asked, (server,), now_ms)

    def _lose(
        self, row: int, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        context = self._context
        context.n_lost += 1
        context.journal.note(
            now_ms,
            Reason.FLOW_LOST,
            flow=datagram.flow,
            server=server,
            detail="the server does not know it",
        )
        self._registrar.forget(row, now_ms)
        effects = self._pass(server, row, datagram, now_ms)
        context.table.remove(row)
        return effects


def _next_return(message: Return) -> Effect:
    following = Return(message.server, message.path[1:], message.datagram)
    return SendToPeer(message.path[0], following)
