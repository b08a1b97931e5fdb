"""Sends callers' datagrams of open flows to the flows' servers."""

import msgspec

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect, SendToPeer
from ..journal import Reason
from ..types import InstanceId, ServerId, TrafficClass
from .context import FlowContext
from .delivery import Delivery
from .messages import Locate, Located, NotLocated
from .placement import flow_key
from .record_store import RecordStore
from .search import Search
from .silence import Silence
from .table import FlowMark

__all__ = ["Forwarding"]

_N_HOPS_MAX = 8  # owners now and before, and one holder each


class Forwarding:
    """Finds the server of a caller's datagram.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    store : RecordStore
        The records that are kept here.
    search : Search
        Asks the servers when nothing else is left.
    silence : Silence
        Knows the flows that go over another instance.
    delivery : Delivery
        Sends to servers that are known.
    """

    def __init__(
        self,
        context: FlowContext,
        store: RecordStore,
        search: Search,
        silence: Silence,
        delivery: Delivery,
    ) -> None:
        self._context = context
        self._store = store
        self._search = search
        self._silence = silence
        self._delivery = delivery

    def on_caller_datagram(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Forward a datagram of an open flow."""
        context = self._context
        detour = self._silence.detour(datagram.service, datagram.flow)
        if detour is not None:
            return [SendToPeer(detour, self._locate(datagram, (), ()))]
        row = context.table.find(datagram.service, datagram.flow)
        if row is not None and self._is_stale(row):
            context.table.remove(row)
            row = None
        if row is not None:
            return self._delivery.deliver(row, datagram, now_ms)
        recorded = self._store.server(datagram.service, datagram.flow)
        if recorded is not None:
            row = context.add(datagram, recorded, now_ms, FlowMark.CONFIRMED)
            return self._delivery.deliver(row, datagram, now_ms)
        answers = context.placement.answers(datagram.service, datagram.flow)
        # A server answers a close with nothing, so that a wrong guess would not
        # be noticed.
        sure = len(answers) == 1 and datagram.kind is not Kind.CLOSE
        if sure and context.placement.is_reachable(answers[0]):
            return self._forward_to_default(datagram, answers[0], now_ms)
        return self.ask_owners(datagram, (), now_ms)

    def ask_owners(
        self,
        datagram: Datagram,
        refused_by: tuple[ServerId, ...],
        now_ms: int,
        *,
        is_last: bool = False,
    ) -> list[Effect]:
        """Send a datagram through the owners of its flow."""
        context = self._context
        key = flow_key(datagram.service, datagram.flow)
        path = [
            owner
            for owner in context.owners.path(key, now_ms)
            if owner != context.self_id
        ]
        if datagram.attempt % 2 and len(path) > 1:
            # The first owner may have failed unnoticed; a retransmission starts
            # at the second one.
            path[0], path[1] = path[1], path[0]
        locate = self._locate(datagram, tuple(path), refused_by, is_last=is_last)
        return self._pass_on(locate, now_ms)

    def ask_again(self, now_ms: int) -> list[Effect]:
        """Ask the owners once more for the flows that no server had.

        A record that was lost on its way has been sent again by now, and a plan
        that was late may have arrived.
        """
        effects: list[Effect] = []
        for datagram in self._search.take_failed(now_ms):
            effects += self.ask_owners(datagram, (), now_ms, is_last=True)
        return effects

    def on_locate(self, message: Locate, now_ms: int) -> list[Effect]:
        """Forward a datagram whose flow is known here, or pass it on."""
        context = self._context
        datagram = message.datagram
        server = self._known_server(datagram, message.refused_by)
        if server is not None:
            row = context.add(datagram, server, now_ms, FlowMark.CONFIRMED)
            located = Located(datagram.service, datagram.flow, server)
            effects = self._delivery.deliver(row, datagram, now_ms)
            return [*effects, SendToPeer(message.asker, located)]
        return self._pass_on(message, now_ms)

    def on_not_located(self, message: NotLocated, now_ms: int) -> list[Effect]:
        """Apply the default here, because this instance's plan is the newest."""
        locate = self._locate(
            message.datagram, (), message.refused_by, is_last=message.is_last
        )
        return self._assume(locate, now_ms)

    def on_located(self, message: Located, now_ms: int) -> None:
        """Remember where an owner says that a flow is."""
        context = self._context
        row = context.table.find(message.service, message.flow)
        if row is not None and context.table.has(row, FlowMark.CONFIRMED):
            return
        if not context.placement.serves(message.server, message.service):
            return
        if self._silence.detour(message.service, message.flow) is not None:
            return
        known = TrafficClass.TRANSACTION
        if row is not None:
            known = context.table.traffic_class(row)
        stub = Datagram(
            kind=Kind.KEEPALIVE,
            service=message.service,
            flow=message.flow,
            traffic_class=known,
        )
        marks = FlowMark.CONFIRMED if message.confirmed else 0
        context.add(stub, message.server, now_ms, marks)

    def _locate(
        self,
        datagram: Datagram,
        path: tuple[InstanceId, ...],
        refused_by: tuple[ServerId, ...],
        *,
        is_last: bool = False,
    ) -> Locate:
        context = self._context
        return Locate(
            context.self_id,
            context.plan.revision,
            path,
            refused_by,
            datagram,
            is_last,
        )

    def _is_stale(self, row: int) -> bool:
        """Return whether a guess has become wrong since it was made."""
        context = self._context
        if context.table.has(row, FlowMark.CONFIRMED):
            return False
        return not context.placement.is_reachable(context.table.server(row))

    def _known_server(
        self, datagram: Datagram, refused_by: tuple[ServerId, ...]
    ) -> ServerId | None:
        context = self._context
        server = self._store.server(datagram.service, datagram.flow)
        if server is None:
            row = context.table.find(datagram.service, datagram.flow)
            if row is not None and context.table.has(row, FlowMark.CONFIRMED):
                server = context.table.server(row)
        if server in refused_by:
            return None
        return server

    def _pass_on(self, message: Locate, now_ms: int) -> list[Effect]:
        context = self._context
        following = self._next_instance(message)
        if following is not None:
            return self._pass_to(following, message, now_ms)
        if context.plan.revision < message.revision:
            # The asker knows a newer plan; its default counts.
            answer = NotLocated(message.refused_by, message.datagram, message.is_last)
            return [SendToPeer(message.asker, answer)]
        effects = self._assume(message, now_ms)
        row = context.table.find(message.datagram.service, message.datagram.flow)
        if message.asker != context.self_id and row is not None:
            effects.append(self._guess(message, context.table.server(row)))
        return effects

    def _next_instance(self, message: Locate) -> InstanceId | None:
        """Return who is to be asked next, or None at the end of the path."""
        holder = self._store.holder_of_unknown(message.datagram.flow)
        if holder is not None and holder != message.asker:
            return holder
        return message.path[0] if message.path else None

    def _pass_to(
        self, instance: InstanceId, message: Locate, now_ms: int
    ) -> list[Effect]:
        if message.n_hops >= _N_HOPS_MAX:
            self._context.journal.note(
                now_ms,
                Reason.DATAGRAM_DROPPED,
                flow=message.datagram.flow,
                detail="too many instances were asked",
            )
            return []
        path = tuple(name for name in message.path if name != instance)
        following = msgspec.structs.replace(
            message, path=path, n_hops=message.n_hops + 1
        )
        return [SendToPeer(instance, following)]

    def _guess(self, message: Locate, server: ServerId) -> Effect:
        datagram = message.datagram
        located = Located(datagram.service, datagram.flow, server, confirmed=False)
        return SendToPeer(message.asker, located)

    def _assume(self, message: Locate, now_ms: int) -> list[Effect]:
        """Go by the default, or ask all servers if it is known to be wrong."""
        context = self._context
        datagram = message.datagram
        if message.refused_by or message.is_last:
            return self._search.start(
                datagram, message.refused_by, now_ms, is_last=message.is_last
            )
        if datagram.service not in context.plan.services:
            code = RefusalCode.UNKNOWN_SERVICE
            return context.give_up(datagram, code, Reason.FLOW_LOST, now_ms)
        server = context.placement.default(datagram.service, datagram.flow)
        if server is None or not context.placement.is_reachable(server):
            # The flow is given up, unless its record was lost.
            refused_by = () if server is None else (server,)
            return self._search.start(datagram, refused_by, now_ms)
        context.journal.note(
            now_ms, Reason.FLOW_UNRECORDED, flow=datagram.flow, server=server
        )
        return self._forward_to_default(datagram, server, now_ms)

    def _forward_to_default(
        self, datagram: Datagram, server: ServerId, now_ms: int
    ) -> list[Effect]:
        self._search.keep(datagram)
        row = self._context.add(datagram, server, now_ms)
        return self._delivery.deliver(row, datagram, now_ms)
