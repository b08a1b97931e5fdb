"""Asks the servers themselves for a flow that nobody else knows."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect, SendToServer
from ..journal import Reason
from ..types import FlowId, ServerId, ServiceId
from .address import pack_address
from .context import FlowContext, keepalive_of
from .record_codec import FlowRecord
from .registrar import Registrar
from .table import FlowMark

__all__ = ["Search"]

_FlowName = tuple[ServiceId, FlowId]


@dataclass(slots=True)
class _Open:
    """A search whose servers have not all answered."""

    datagram: Datagram
    asked: set[ServerId]
    due_ms: int
    is_last: bool


class Search:
    """Sends a keepalive of the flow to each server of its service.

    The server that answers has the flow; the others answer with a reset.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Records what was found.
    """

    def __init__(self, context: FlowContext, registrar: Registrar) -> None:
        self._context = context
        self._registrar = registrar
        self._open: OrderedDict[_FlowName, _Open] = OrderedDict()
        self._failed: deque[tuple[int, Datagram]] = deque()
        self._kept: OrderedDict[_FlowName, Datagram] = OrderedDict()
        self.n_found = 0
        self.n_started = 0

    def keep(self, datagram: Datagram) -> None:
        """Keep a datagram that was sent on a guess, to send it again."""
        name = (datagram.service, datagram.flow)
        self._kept[name] = datagram
        self._kept.move_to_end(name)
        if len(self._kept) > self._context.config.n_searches_max:
            self._kept.popitem(last=False)

    def take_kept(self, service: ServiceId, flow: FlowId) -> Datagram | None:
        """Return the kept datagram of a flow, if there is one."""
        return self._kept.pop((service, flow), None)

    def is_open(self, service: ServiceId, flow: FlowId) -> bool:
        """Return whether a flow is being searched for."""
        return (service, flow) in self._open

    def start(
        self,
        datagram: Datagram,
        refused_by: tuple[ServerId, ...],
        now_ms: int,
        *,
        is_last: bool = False,
    ) -> list[Effect]:
        """Ask all servers of the service but those that have refused.

        Parameters
        ----------
        datagram : Datagram
            What the caller sent.
        refused_by : tuple of ServerId
            Servers that need not be asked.
        now_ms : int
            The time.
        is_last : bool
            Whether the flow is lost if no server has it. Otherwise it is given
            back by `take_failed` after a while.
        """
        context = self._context
        name = (datagram.service, datagram.flow)
        if name in self._open:
            self._open[name].datagram = datagram
            return []
        servers = [
            server.server
            for server in context.placement.servers(datagram.service)
            if server.server not in refused_by
        ]
        full = len(self._open) >= context.config.n_searches_max
        if full or not servers:
            return self._fail(datagram, now_ms, is_last=is_last)
        self.n_started += 1
        context.journal.note(now_ms, Reason.FLOW_SEARCHED, flow=datagram.flow)
        due_ms = now_ms + context.config.search_timeout_ms
        self._open[name] = _Open(datagram, set(servers), due_ms, is_last)
        record = FlowRecord(
            datagram.flow,
            servers[0],
            pack_address(datagram.caller),
            datagram.traffic_class,
        )
        keepalive = keepalive_of(record, datagram.service)
        return [SendToServer(server, keepalive) for server in servers]

    def on_answer(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Take the answer of the server that has the flow."""
        search = self._open.pop((datagram.service, datagram.flow), None)
        if search is None:
            return []
        context = self._context
        self.n_found += 1
        context.journal.note(
            now_ms, Reason.FLOW_FOUND, flow=datagram.flow, server=server
        )
        marks = FlowMark.CONFIRMED | FlowMark.ANSWERING
        row = context.add(search.datagram, server, now_ms, marks)
        if search.datagram.kind is Kind.CLOSE:
            context.table.mark(row, FlowMark.ENDED)
            return [SendToServer(server, search.datagram)]
        effects = self._registrar.register(row, now_ms, at_once=True)
        if search.datagram.kind is not Kind.KEEPALIVE:
            effects.append(SendToServer(server, search.datagram))
        return effects

    def on_reset(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Take the answer of a server that does not have the flow."""
        name = (datagram.service, datagram.flow)
        search = self._open[name]
        search.asked.discard(server)
        if search.asked:
            return []
        del self._open[name]
        return self._fail(search.datagram, now_ms, is_last=search.is_last)

    def tick(self, now_ms: int) -> list[Effect]:
        """End the searches whose time is up."""
        effects: list[Effect] = []
        while self._open:
            name, search = next(iter(self._open.items()))
            if search.due_ms > now_ms:
                break
            del self._open[name]
            effects += self._fail(search.datagram, now_ms, is_last=search.is_last)
        return effects

    def take_failed(self, now_ms: int) -> list[Datagram]:
        """Return the datagrams whose flows are to be looked up once more."""
        found: list[Datagram] = []
        while self._failed and self._failed[0][0] <= now_ms:
            found.append(self._failed.popleft()[1])
        return found

    def _fail(self, datagram: Datagram, now_ms: int, *, is_last: bool) -> list[Effect]:
        full = len(self._failed) >= self._context.config.n_searches_max
        if is_last or full or datagram.kind is Kind.CLOSE:
            return self._lose(datagram, now_ms)
        due_ms = now_ms + self._context.config.search_timeout_ms
        self._failed.append((due_ms, datagram))
        return []

    def _lose(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        row = self._context.table.find(datagram.service, datagram.flow)
        if row is not None:
            self._context.table.remove(row)
        if datagram.kind is Kind.CLOSE:
            return []
        if self._context.owners.is_cut_off(self._context.plan, now_ms):
            # The caller tries again and may reach an instance that knows more.
            self._context.journal.note(
                now_ms,
                Reason.DATAGRAM_DROPPED,
                flow=datagram.flow,
                detail="not found, but a data centre is out of sight",
            )
            return []
        placement = self._context.placement
        default = placement.default(datagram.service, datagram.flow)
        if default is None:
            code, reason = RefusalCode.FLOW_LOST, Reason.FLOW_LOST
        else:
            code, reason = self._context.loss_of(default)
        return self._context.give_up(datagram, code, reason, now_ms)
