"""Lookup of flows at the servers, for flows that no instance has a record of."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect, SendToServer
from ..journal import Reason
from ..types import FlowId, ServerId, ServiceId
from .address import pack_address
from .context import FlowContext, keepalive_for
from .record_codec import FlowRecord
from .registrar import Registrar
from .table import FlowFlag

__all__ = ["ServerLookup"]

_FlowKey = tuple[ServiceId, FlowId]


@dataclass(slots=True)
class _PendingLookup:
    """A lookup that some servers have not answered yet."""

    datagram: Datagram
    unanswered: set[ServerId]
    due_ms: int
    is_last_attempt: bool


class ServerLookup:
    """Sends a keepalive of the flow to each server of its service.

    The server that has the flow answers with a keepalive, the others with a reset.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Registers the flows that were found.
    """

    def __init__(self, context: FlowContext, registrar: Registrar) -> None:
        self._context = context
        self._registrar = registrar
        self._pending: OrderedDict[_FlowKey, _PendingLookup] = OrderedDict()
        self._failed: deque[tuple[int, Datagram]] = deque()
        self._kept_datagrams: OrderedDict[_FlowKey, Datagram] = OrderedDict()
        self.n_found = 0
        self.n_started = 0

    def keep_datagram(self, datagram: Datagram) -> None:
        """Keep a datagram sent to an unconfirmed server, in case it must be resent."""
        key = (datagram.service, datagram.flow)
        self._kept_datagrams[key] = datagram
        self._kept_datagrams.move_to_end(key)
        if len(self._kept_datagrams) > self._context.config.n_lookups_max:
            self._kept_datagrams.popitem(last=False)

    def take_kept_datagram(self, service: ServiceId, flow: FlowId) -> Datagram | None:
        """Remove and return the kept datagram of a flow, if there is one."""
        return self._kept_datagrams.pop((service, flow), None)

    def is_pending(self, service: ServiceId, flow: FlowId) -> bool:
        """Return whether a lookup of the flow is in progress."""
        return (service, flow) in self._pending

    def start(
        self,
        datagram: Datagram,
        refused_by: tuple[ServerId, ...],
        now_ms: int,
        *,
        is_last_attempt: bool = False,
    ) -> list[Effect]:
        """Ask all servers of the service except those that do not have the flow.

        Parameters
        ----------
        datagram : Datagram
            The caller's datagram.
        refused_by : tuple of ServerId
            Servers that answered that they do not have the flow.
        now_ms : int
            The time.
        is_last_attempt : bool
            Whether the flow is abandoned if no server has it. Otherwise `take_failed`
            returns the datagram after `FlowConfig.lookup_timeout_ms`.
        """
        context = self._context
        key = (datagram.service, datagram.flow)
        if key in self._pending:
            self._pending[key].datagram = datagram
            return []
        servers = [
            server.server
            for server in context.placement.servers(datagram.service)
            if server.server not in refused_by
        ]
        is_full = len(self._pending) >= context.config.n_lookups_max
        if is_full or not servers:
            return self._fail(datagram, now_ms, is_last_attempt=is_last_attempt)
        self.n_started += 1
        context.journal.record(now_ms, Reason.FLOW_SEARCHED, flow=datagram.flow)
        due_ms = now_ms + context.config.lookup_timeout_ms
        self._pending[key] = _PendingLookup(
            datagram, set(servers), due_ms, is_last_attempt
        )
        record = FlowRecord(
            datagram.flow,
            servers[0],
            pack_address(datagram.caller),
            datagram.traffic_class,
        )
        keepalive = keepalive_for(record, datagram.service)
        return [SendToServer(server, keepalive) for server in servers]

    def on_answer(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle the answer of the server that has the flow."""
        lookup = self._pending.pop((datagram.service, datagram.flow), None)
        if lookup is None:
            return []
        context = self._context
        self.n_found += 1
        context.journal.record(
            now_ms, Reason.FLOW_FOUND, flow=datagram.flow, server=server
        )
        flags = FlowFlag.CONFIRMED | FlowFlag.RETURN_PATH
        row = context.put(lookup.datagram, server, now_ms, flags)
        if lookup.datagram.kind is Kind.CLOSE:
            context.table.set_flags(row, FlowFlag.COMPLETED)
            return [SendToServer(server, lookup.datagram)]
        effects = self._registrar.register(row, now_ms, urgent=True)
        if lookup.datagram.kind is not Kind.KEEPALIVE:
            effects.append(SendToServer(server, lookup.datagram))
        return effects

    def on_reset(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle the answer of a server that does not have the flow."""
        key = (datagram.service, datagram.flow)
        lookup = self._pending[key]
        lookup.unanswered.discard(server)
        if lookup.unanswered:
            return []
        del self._pending[key]
        return self._fail(
            lookup.datagram, now_ms, is_last_attempt=lookup.is_last_attempt
        )

    def tick(self, now_ms: int) -> list[Effect]:
        """Fail the lookups that have timed out."""
        effects: list[Effect] = []
        while self._pending:
            key, lookup = next(iter(self._pending.items()))
            if lookup.due_ms > now_ms:
                break
            del self._pending[key]
            effects += self._fail(
                lookup.datagram, now_ms, is_last_attempt=lookup.is_last_attempt
            )
        return effects

    def take_failed(self, now_ms: int) -> list[Datagram]:
        """Remove and return the datagrams whose flows are to be located once more."""
        failed: list[Datagram] = []
        while self._failed and self._failed[0][0] <= now_ms:
            failed.append(self._failed.popleft()[1])
        return failed

    def _fail(
        self, datagram: Datagram, now_ms: int, *, is_last_attempt: bool
    ) -> list[Effect]:
        is_full = len(self._failed) >= self._context.config.n_lookups_max
        if is_last_attempt or is_full or datagram.kind is Kind.CLOSE:
            return self._abandon(datagram, now_ms)
        due_ms = now_ms + self._context.config.lookup_timeout_ms
        self._failed.append((due_ms, datagram))
        return []

    def _abandon(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        row = self._context.table.find(datagram.service, datagram.flow)
        if row is not None:
            self._context.table.remove(row)
        if datagram.kind is Kind.CLOSE:
            return []
        if self._context.owners.is_partitioned(self._context.plan, now_ms):
            # The caller retries and may reach an instance that knows the flow.
            self._context.journal.record(
                now_ms,
                Reason.DATAGRAM_DROPPED,
                flow=datagram.flow,
                detail="not found while a data centre is unreachable",
            )
            return []
        placement = self._context.placement
        default = placement.default(datagram.service, datagram.flow)
        if default is None:
            code, reason = RefusalCode.FLOW_LOST, Reason.FLOW_LOST
        else:
            code, reason = self._context.loss_reason(default)
        return self._context.abandon_flow(datagram, code, reason, now_ms)
