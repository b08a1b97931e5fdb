"""Notices flows that one side no longer hears, and mends or ends them."""

from collections import OrderedDict, deque
from typing import NamedTuple

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect
from ..journal import Reason
from ..types import FlowId, InstanceId, InstanceState, ServiceId, TrafficClass
from .budget import Budget
from .context import FlowContext
from .messages import RegisterMode
from .registrar import Registrar
from .table import FlowMark, FlowTable

__all__ = ["Silence", "is_long_lived"]

_HAND_OVER_MS = 200  # the answer to the caller's datagram comes through first
_N_COMPARED_PER_TICK = 110_000  # about 25 ms
_ANSWERED_KINDS = frozenset({Kind.DATA, Kind.KEEPALIVE})
_LONG_LIVED = frozenset({TrafficClass.FEED, TrafficClass.UPLOAD})


def is_long_lived(table: FlowTable, row: int) -> bool:
    """Return whether a flow is of a class that is registered."""
    return table.traffic_class(row) in _LONG_LIVED


def _is_middle_part(datagram: Datagram) -> bool:
    """Return whether more parts of an upload are to come.

    Its caller sends until all are acknowledged, through any instance, and so needs
    no registered way back before the last part.
    """
    if datagram.kind is not Kind.DATA:
        return False
    if datagram.traffic_class is not TrafficClass.UPLOAD:
        return False
    return datagram.part < datagram.n_parts or datagram.n_parts == 0


class _Timer(NamedTuple):
    """When a flow is to be looked at."""

    due_ms: int
    service: ServiceId
    flow: FlowId


class Silence:
    """Watches flows, probes them, and sends them over another instance.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Registers flows that live on, and hands over those that got no answer.
    """

    def __init__(self, context: FlowContext, registrar: Registrar) -> None:
        self._context = context
        self._registrar = registrar
        self._watched: deque[_Timer] = deque()
        self._probed: deque[_Timer] = deque()
        self._detours: OrderedDict[tuple[ServiceId, FlowId], InstanceId] = OrderedDict()
        self._probes = Budget(context.config.n_probes_per_s)
        self.n_probes = 0
        self.n_handed_over = 0

    def detour(self, service: ServiceId, flow: FlowId) -> InstanceId | None:
        """Return the instance that a silent flow was handed over to."""
        if not self._detours:
            return None
        peer = self._detours.get((service, flow))
        if peer is not None and self._is_lost(peer):
            del self._detours[service, flow]
            return None
        return peer

    def on_forwarded(self, row: int, datagram: Datagram, now_ms: int) -> None:
        """Start to wait for the server after a caller's datagram."""
        table = self._context.table
        if _is_middle_part(datagram):
            table.mark(row, FlowMark.HOLDING)
        else:
            self._expect_way_back(row)
        if datagram.kind in _ANSWERED_KINDS:
            table.mark(row, FlowMark.AWAITING)
        self.watch(row, now_ms)

    def _expect_way_back(self, row: int) -> None:
        """Note that the server answers this instance from now on."""
        table = self._context.table
        is_feed = table.traffic_class(row) is TrafficClass.FEED
        if is_feed and not table.has(row, FlowMark.HOLDING):
            table.mark(row, FlowMark.CLAIM_DUE)
        # Another instance may have registered itself since.
        table.unmark(row, FlowMark.HOLDING)

    def watch(self, row: int, now_ms: int) -> None:
        """Look at a flow again after a while."""
        table = self._context.table
        if table.has(row, FlowMark.WATCHED):
            return
        table.mark(row, FlowMark.WATCHED)
        draining = self._context.is_draining
        wait_ms = _HAND_OVER_MS if draining else self._context.config.silent_ms
        due_ms = now_ms + wait_ms
        self._watched.append(_Timer(due_ms, table.service(row), table.flow(row)))

    def on_server_heard(self, row: int, now_ms: int) -> list[Effect]:
        """Note that the server answered; claim a feed that came from elsewhere."""
        table = self._context.table
        table.unmark(row, FlowMark.AWAITING | FlowMark.PROBED | FlowMark.SECOND_PATH)
        table.mark(row, FlowMark.HEARD | FlowMark.ANSWERING)
        table.hear_server(row, now_ms)
        self.watch(row, now_ms)
        if not table.has(row, FlowMark.CLAIM_DUE):
            return []
        table.unmark(row, FlowMark.CLAIM_DUE)
        if table.has(row, FlowMark.ENDED):
            return []
        return self._registrar.claim_early(row, now_ms)

    def probe(self, row: int, now_ms: int) -> list[Effect]:
        """Send a keepalive of a flow to its server, budget permitting."""
        if not self._probes.take(now_ms):
            self.watch(row, now_ms)
            return []
        self.n_probes += 1
        self.on_probed(row, now_ms)
        return [self._context.keepalive(row)]

    def on_probed(self, row: int, now_ms: int) -> None:
        """Wait for the answer to a keepalive of this instance."""
        table = self._context.table
        # The server answers this instance from now on, whoever held the flow.
        table.unmark(row, FlowMark.HOLDING)
        table.mark(row, FlowMark.PROBED)
        due_ms = now_ms + self._context.config.probe_timeout_ms
        self._probed.append(_Timer(due_ms, table.service(row), table.flow(row)))

    def tick(self, now_ms: int) -> list[Effect]:
        """Look at the flows whose time has come."""
        effects: list[Effect] = []
        owners = self._context.owners.now
        n_compared_max = owners.n_compared + _N_COMPARED_PER_TICK
        while self._watched and self._watched[0].due_ms <= now_ms:
            if owners.n_compared >= n_compared_max:
                break  # the others in the next tick
            timer = self._watched.popleft()
            row = self._context.table.find(timer.service, timer.flow)
            if row is not None:
                effects += self._on_watched(row, now_ms)
        while self._probed and self._probed[0].due_ms <= now_ms:
            timer = self._probed.popleft()
            row = self._context.table.find(timer.service, timer.flow)
            if row is not None and self._context.table.has(row, FlowMark.PROBED):
                effects += self._on_unanswered(row, now_ms)
        return effects

    def _on_watched(self, row: int, now_ms: int) -> list[Effect]:
        table = self._context.table
        table.unmark(row, FlowMark.WATCHED | FlowMark.NEW)
        if table.has(row, FlowMark.ENDED | FlowMark.PROBED):
            return []
        if self._context.is_draining and table.has(row, FlowMark.ANSWERING):
            self._registrar.hand_over_row(row, now_ms)
            return []
        if table.has(row, FlowMark.AWAITING):
            return self.probe(row, now_ms)
        if table.has(row, FlowMark.SECOND_DUE):
            self._registrar.claim_second(row, now_ms)
        if not self._is_to_register(row):
            return []
        if table.caller_idle_ms(row, now_ms) < self._context.config.way_back_after_ms:
            self.watch(row, now_ms)
            return []
        return self._registrar.register(row, now_ms)

    def _is_to_register(self, row: int) -> bool:
        table = self._context.table
        if table.has(row, FlowMark.HOLDING):
            return False
        if not table.has(row, FlowMark.ANSWERING):
            return False
        return is_long_lived(table, row)

    def _on_unanswered(self, row: int, now_ms: int) -> list[Effect]:
        context = self._context
        table = context.table
        table.unmark(row, FlowMark.PROBED | FlowMark.AWAITING)
        peer = None if table.has(row, FlowMark.SECOND_PATH) else self._second_path(row)
        context.journal.note(
            now_ms,
            Reason.FLOW_SILENT,
            flow=table.flow(row),
            server=table.server(row),
            detail="given up" if peer is None else f"handed over to {peer}",
        )
        if peer is None:
            self._registrar.forget(row, now_ms)
            code = RefusalCode.UNREACHABLE
            return context.give_up_row(row, code, Reason.FLOW_LOST, now_ms)
        self.n_handed_over += 1
        record = context.record(row)
        self._registrar.hand_over(peer, record, RegisterMode.TAKE_OVER_SILENT)
        self._add_detour(row, peer)
        table.remove(row)
        return []

    def _second_path(self, row: int) -> InstanceId | None:
        """Return an instance that may still reach the server."""
        context = self._context
        for owner in (*context.owners_of(row), *context.fleet.live()):
            if owner != context.self_id:
                return owner
        return None

    def _add_detour(self, row: int, peer: InstanceId) -> None:
        table = self._context.table
        self._detours[table.service(row), table.flow(row)] = peer
        if len(self._detours) > self._context.config.n_detours_max:
            self._detours.popitem(last=False)

    def _is_lost(self, instance: InstanceId) -> bool:
        state = self._context.fleet.state(instance)
        return state in (InstanceState.DEAD, InstanceState.LEFT)
