"""Detection of unresponsive flows, which are probed, detoured or abandoned."""

from collections import OrderedDict, deque
from typing import NamedTuple

from ..datagram import Datagram, Kind, RefusalCode
from ..effects import Effect
from ..journal import Reason
from ..types import FlowId, InstanceId, InstanceState, ServiceId, TrafficClass
from .context import FlowContext
from .messages import RegisterMode
from .registrar import Registrar
from .table import FlowFlag, FlowTable
from .token_bucket import TokenBucket

__all__ = ["FlowMonitor", "is_long_lived"]

_HAND_OVER_MS = 200  # lets the answer to the caller's datagram come through first
_N_COMPARED_PER_TICK = 110_000  # takes about 25 ms
_ANSWERED_KINDS = frozenset({Kind.DATA, Kind.KEEPALIVE})
_LONG_LIVED = frozenset({TrafficClass.FEED, TrafficClass.UPLOAD})


def is_long_lived(table: FlowTable, row: int) -> bool:
    """Return whether a flow is a feed or an upload, which are registered."""
    return table.traffic_class(row) in _LONG_LIVED


def _has_later_parts(datagram: Datagram) -> bool:
    """Return whether a datagram is a part of an upload, but not the last one.

    The caller retransmits parts, through any instance, until all are acknowledged, so
    the upload needs no registered return path before the last part.
    """
    if datagram.kind is not Kind.DATA:
        return False
    if datagram.traffic_class is not TrafficClass.UPLOAD:
        return False
    return datagram.part < datagram.n_parts or datagram.n_parts == 0


class _Timer(NamedTuple):
    """Time at which a flow is checked."""

    due_ms: int
    service: ServiceId
    flow: FlowId


class FlowMonitor:
    """Checks flows by timers, probes unresponsive ones and detours them.

    A flow whose server does not respond to this instance is detoured: it is handed
    over to another instance, which may still reach the server, and this instance
    forwards the caller's datagrams there.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Registers long-lived flows, and hands over unresponsive ones.
    """

    def __init__(self, context: FlowContext, registrar: Registrar) -> None:
        self._context = context
        self._registrar = registrar
        self._check_timers: deque[_Timer] = deque()
        self._probe_timers: deque[_Timer] = deque()
        self._detours: OrderedDict[tuple[ServiceId, FlowId], InstanceId] = OrderedDict()
        self._probes = TokenBucket(context.config.n_probes_per_s)
        self.n_probes = 0
        self.n_handed_over = 0

    def detour(self, service: ServiceId, flow: FlowId) -> InstanceId | None:
        """Return the instance that an unresponsive flow was handed over to, or None."""
        if not self._detours:
            return None
        peer = self._detours.get((service, flow))
        if peer is not None and self._is_removed(peer):
            del self._detours[service, flow]
            return None
        return peer

    def on_forwarded(self, row: int, datagram: Datagram, now_ms: int) -> None:
        """Start to wait for the server's response to a caller's datagram."""
        table = self._context.table
        if _has_later_parts(datagram):
            table.set_flags(row, FlowFlag.HOLDER_SETTLED)
        else:
            self._mark_registration_due(row)
        if datagram.kind in _ANSWERED_KINDS:
            table.set_flags(row, FlowFlag.AWAITING_SERVER)
        self.schedule_check(row, now_ms)

    def _mark_registration_due(self, row: int) -> None:
        """Make a registration due, because the server now answers this instance."""
        table = self._context.table
        is_feed = table.traffic_class(row) is TrafficClass.FEED
        if is_feed and not table.has_flag(row, FlowFlag.HOLDER_SETTLED):
            table.set_flags(row, FlowFlag.REGISTER_ON_RESPONSE)
        # Another instance may have become the registered holder since.
        table.clear_flags(row, FlowFlag.HOLDER_SETTLED)

    def schedule_check(self, row: int, now_ms: int) -> None:
        """Start a timer to check a flow, unless one is running."""
        table = self._context.table
        if table.has_flag(row, FlowFlag.TIMER_RUNNING):
            return
        table.set_flags(row, FlowFlag.TIMER_RUNNING)
        draining = self._context.is_draining
        wait_ms = (
            _HAND_OVER_MS if draining else self._context.config.response_timeout_ms
        )
        due_ms = now_ms + wait_ms
        self._check_timers.append(_Timer(due_ms, table.service(row), table.flow(row)))

    def on_server_response(self, row: int, now_ms: int) -> list[Effect]:
        """Record a response of the server, and register a feed that waited for it."""
        table = self._context.table
        table.clear_flags(
            row, FlowFlag.AWAITING_SERVER | FlowFlag.PROBE_PENDING | FlowFlag.DETOURED
        )
        table.set_flags(row, FlowFlag.SERVER_RESPONDED | FlowFlag.RETURN_PATH)
        table.record_server_contact(row, now_ms)
        self.schedule_check(row, now_ms)
        if not table.has_flag(row, FlowFlag.REGISTER_ON_RESPONSE):
            return []
        table.clear_flags(row, FlowFlag.REGISTER_ON_RESPONSE)
        if table.has_flag(row, FlowFlag.COMPLETED):
            return []
        return self._registrar.register_early(row, now_ms)

    def probe(self, row: int, now_ms: int) -> list[Effect]:
        """Send a keepalive of a flow to its server, if the rate limit allows."""
        if not self._probes.take(now_ms):
            self.schedule_check(row, now_ms)
            return []
        self.n_probes += 1
        self.on_probed(row, now_ms)
        return [self._context.keepalive(row)]

    def on_probed(self, row: int, now_ms: int) -> None:
        """Start to wait for the answer to a keepalive that this instance sends."""
        table = self._context.table
        # The server now answers through this instance, whichever held the flow.
        table.clear_flags(row, FlowFlag.HOLDER_SETTLED)
        table.set_flags(row, FlowFlag.PROBE_PENDING)
        due_ms = now_ms + self._context.config.probe_timeout_ms
        self._probe_timers.append(_Timer(due_ms, table.service(row), table.flow(row)))

    def tick(self, now_ms: int) -> list[Effect]:
        """Check the flows whose timers have expired."""
        effects: list[Effect] = []
        owners = self._context.owners.current
        n_compared_max = owners.n_compared + _N_COMPARED_PER_TICK
        while self._check_timers and self._check_timers[0].due_ms <= now_ms:
            if owners.n_compared >= n_compared_max:
                break  # the rest is checked in the next tick
            timer = self._check_timers.popleft()
            row = self._context.table.find(timer.service, timer.flow)
            if row is not None:
                effects += self._check(row, now_ms)
        while self._probe_timers and self._probe_timers[0].due_ms <= now_ms:
            timer = self._probe_timers.popleft()
            row = self._context.table.find(timer.service, timer.flow)
            if row is not None and self._context.table.has_flag(
                row, FlowFlag.PROBE_PENDING
            ):
                effects += self._on_probe_timeout(row, now_ms)
        return effects

    def _check(self, row: int, now_ms: int) -> list[Effect]:
        table = self._context.table
        table.clear_flags(row, FlowFlag.TIMER_RUNNING | FlowFlag.NEW)
        if table.has_flag(row, FlowFlag.COMPLETED | FlowFlag.PROBE_PENDING):
            return []
        if self._context.is_draining and table.has_flag(row, FlowFlag.RETURN_PATH):
            self._registrar.hand_over_row(row, now_ms)
            return []
        if table.has_flag(row, FlowFlag.AWAITING_SERVER):
            return self.probe(row, now_ms)
        if table.has_flag(row, FlowFlag.SECOND_REGISTRATION_DUE):
            self._registrar.register_second_owner(row, now_ms)
        if not self._needs_registration(row):
            return []
        if table.caller_idle_ms(row, now_ms) < self._context.config.register_after_ms:
            self.schedule_check(row, now_ms)
            return []
        return self._registrar.register(row, now_ms)

    def _needs_registration(self, row: int) -> bool:
        table = self._context.table
        if table.has_flag(row, FlowFlag.HOLDER_SETTLED):
            return False
        if not table.has_flag(row, FlowFlag.RETURN_PATH):
            return False
        return is_long_lived(table, row)

    def _on_probe_timeout(self, row: int, now_ms: int) -> list[Effect]:
        context = self._context
        table = context.table
        table.clear_flags(row, FlowFlag.PROBE_PENDING | FlowFlag.AWAITING_SERVER)
        peer = (
            None
            if table.has_flag(row, FlowFlag.DETOURED)
            else self._alternate_instance(row)
        )
        context.journal.record(
            now_ms,
            Reason.FLOW_SILENT,
            flow=table.flow(row),
            server=table.server(row),
            detail="abandoned" if peer is None else f"handed over to {peer}",
        )
        if peer is None:
            self._registrar.forget(row, now_ms)
            code = RefusalCode.UNREACHABLE
            return context.abandon_row(row, code, Reason.FLOW_LOST, now_ms)
        self.n_handed_over += 1
        record = context.record(row)
        self._registrar.hand_over(peer, record, RegisterMode.TAKE_OVER_UNRESPONSIVE)
        self._add_detour(row, peer)
        table.remove(row)
        return []

    def _alternate_instance(self, row: int) -> InstanceId | None:
        """Return another instance, which may still reach the server, or None."""
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

    def _is_removed(self, instance: InstanceId) -> bool:
        state = self._context.fleet.state(instance)
        return state in (InstanceState.DEAD, InstanceState.LEFT)
