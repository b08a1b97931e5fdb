"""Background passes over the flow table, a slice of rows per tick.

The passes probe or remove idle flows, refresh records, and apply changes of the plan
and of the owners.
"""

from ..effects import Effect
from ..types import ServerId, ServiceId
from .context import FlowContext
from .monitor import FlowMonitor
from .owners import OwnerChange
from .placement import flow_key
from .registrar import Registrar
from .table import FlowFlag

__all__ = ["Sweep"]

_TICK_MS = 100
_N_IDLE_PASSES = 4  # visits of a row per idle period
_N_ABANDONED_PER_TICK = 500


class _Pass:
    """Position of a pass that cycles through the rows once per period."""

    def __init__(self, period_ms: int) -> None:
        self._period_ms = period_ms
        self._row = 0
        self._remainder = 0.0

    def next_rows(self, n_rows: int) -> tuple[int, int]:
        """Return the first row and the number of rows of the next slice."""
        if self._row >= n_rows:
            self._row = 0
        self._remainder += n_rows * _TICK_MS / self._period_ms
        count = int(self._remainder)
        self._remainder -= count
        start = self._row
        self._row += count
        return start, count


class Sweep:
    """Runs the background passes over the flow table.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Registers flows and refreshes their records.
    monitor : FlowMonitor
        Probes idle flows.
    """

    def __init__(
        self, context: FlowContext, registrar: Registrar, monitor: FlowMonitor
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._monitor = monitor
        self._idle = _Pass(context.config.idle_probe_ms // _N_IDLE_PASSES)
        self._refresh = _Pass(context.config.refresh_period_ms)
        self._changed_services: set[ServiceId] = set()
        self._plan_row: int | None = None
        self._owner_change: OwnerChange | None = None
        self._owner_row: int | None = None
        self._rows_to_abandon: list[int] = []

    def on_defaults_changed(self, services: set[ServiceId]) -> None:
        """Start a pass for flows that new default servers make exceptions."""
        if services:
            self._changed_services |= services
            self._plan_row = 0

    def on_owners_changed(self, change: OwnerChange) -> None:
        """Start a pass for flows that have new owners."""
        if self._owner_row is None or self._owner_change is None:
            self._owner_change = change
        self._owner_row = 0

    def on_servers_unreachable(self, servers: set[ServerId]) -> None:
        """Queue the flows of servers that are no longer reachable, to abandon them."""
        if servers:
            self._rows_to_abandon += self._context.table.rows_at(servers)

    def tick(self, now_ms: int) -> list[Effect]:
        """Run the next slice of each pass."""
        effects = self._abandon_some(now_ms)
        effects += self._visit_idle(now_ms)
        self._refresh_records(now_ms)
        self._visit_changed_defaults(now_ms)
        self._visit_changed_owners(now_ms)
        return effects

    def _abandon_some(self, now_ms: int) -> list[Effect]:
        context = self._context
        table = context.table
        effects: list[Effect] = []
        n_sent = 0
        while self._rows_to_abandon and n_sent < _N_ABANDONED_PER_TICK:
            row = self._rows_to_abandon.pop()
            reachable = context.placement.is_reachable
            if not table.is_used(row) or reachable(table.server(row)):
                continue
            n_sent += 1
            effects += self._abandon(row, now_ms)
        return effects

    def _abandon(self, row: int, now_ms: int) -> list[Effect]:
        context = self._context
        on_return_path = context.table.has_flag(
            row, FlowFlag.RETURN_PATH | FlowFlag.REGISTERED
        )
        self._registrar.forget(row, now_ms)
        if not on_return_path or context.table.has_flag(row, FlowFlag.COMPLETED):
            context.table.remove(row)
            return []
        code, reason = context.loss_reason(context.table.server(row))
        return context.abandon_row(row, code, reason, now_ms)

    def _visit_idle(self, now_ms: int) -> list[Effect]:
        table = self._context.table
        effects: list[Effect] = []
        for row in table.rows(*self._idle.next_rows(table.n_rows)):
            effects += self._check_idle(row, now_ms)
        return effects

    def _check_idle(self, row: int, now_ms: int) -> list[Effect]:
        table = self._context.table
        config = self._context.config
        idle_ms = table.idle_ms(row, now_ms)
        if table.has_flag(row, FlowFlag.COMPLETED):
            if idle_ms >= config.completed_ttl_ms:
                table.remove(row)
            return []
        if table.has_flag(row, FlowFlag.REGISTERED):
            spread = (
                1.0 + config.probe_jitter_share * self._context.random_state.random()
            )
            due = idle_ms >= config.idle_probe_ms * spread
            if due and not table.has_flag(row, FlowFlag.PROBE_PENDING):
                return self._monitor.probe(row, now_ms)
        elif idle_ms >= config.cache_ttl_ms:
            table.remove(row)
        return []

    def _refresh_records(self, now_ms: int) -> None:
        table = self._context.table
        for row in table.rows(*self._refresh.next_rows(table.n_rows)):
            if table.has_flag(row, FlowFlag.REGISTERED):
                self._registrar.refresh(row, self._context.owners_of(row), now_ms)

    def _visit_changed_defaults(self, now_ms: int) -> None:
        if self._plan_row is None:
            return
        table = self._context.table
        count = self._context.config.n_swept_per_tick
        for row in table.rows(self._plan_row, count):
            if self._is_new_exception(row):
                self._registrar.refresh(row, self._context.owners_of(row), now_ms)
        self._plan_row += count
        if self._plan_row >= table.n_rows:
            self._plan_row = None
            self._changed_services.clear()

    def _is_new_exception(self, row: int) -> bool:
        table = self._context.table
        service = table.service(row)
        if service not in self._changed_services:
            return False
        if table.has_flag(row, FlowFlag.REGISTERED | FlowFlag.COMPLETED):
            return False
        if not table.has_flag(row, FlowFlag.CONFIRMED):
            return False
        flow, server = table.flow(row), table.server(row)
        return self._context.needs_record(service, flow, server)

    def _visit_changed_owners(self, now_ms: int) -> None:
        if self._owner_row is None or self._owner_change is None:
            return
        table = self._context.table
        # The owners before the first change are the ones known to have the record.
        change = self._owner_change
        count = self._context.config.n_swept_per_tick
        for row in table.rows(self._owner_row, count):
            if not table.has_flag(row, FlowFlag.REGISTERED):
                continue
            key = flow_key(table.service(row), table.flow(row))
            if change.may_affect(key):
                self._registrar.on_owners_changed(
                    row, change.previous_owners(key), now_ms
                )
        self._owner_row += count
        if self._owner_row >= table.n_rows:
            self._owner_row = None
