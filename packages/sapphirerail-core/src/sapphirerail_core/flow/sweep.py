"""Visits the table in slices: idle flows, refreshing, changes of plan or owners."""

from ..effects import Effect
from ..types import ServerId, ServiceId
from .context import FlowContext
from .owners import OwnerChange
from .placement import flow_key
from .registrar import Registrar
from .silence import Silence
from .table import FlowMark

__all__ = ["Sweep"]

_TICK_MS = 100
_N_IDLE_PASSES = 4  # visits of a row within one idle period
_N_GIVEN_UP_PER_TICK = 500


class _Pass:
    """A position that moves through the rows, round after round."""

    def __init__(self, period_ms: int) -> None:
        self._period_ms = period_ms
        self._row = 0
        self._rest = 0.0

    def next_rows(self, n_rows: int) -> tuple[int, int]:
        """Return the first row and the number of rows of the next slice."""
        if self._row >= n_rows:
            self._row = 0
        self._rest += n_rows * _TICK_MS / self._period_ms
        count = int(self._rest)
        self._rest -= count
        start = self._row
        self._row += count
        return start, count


class Sweep:
    """Does in small slices what concerns many flows.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    registrar : Registrar
        Registers and refreshes.
    silence : Silence
        Probes idle flows.
    """

    def __init__(
        self, context: FlowContext, registrar: Registrar, silence: Silence
    ) -> None:
        self._context = context
        self._registrar = registrar
        self._silence = silence
        self._idle = _Pass(context.config.idle_probe_ms // _N_IDLE_PASSES)
        self._refresh = _Pass(context.config.refresh_period_ms)
        self._moved_services: set[ServiceId] = set()
        self._plan_row: int | None = None
        self._owner_change: OwnerChange | None = None
        self._owner_row: int | None = None
        self._doomed: list[int] = []

    def on_defaults_changed(self, services: set[ServiceId]) -> None:
        """Look for flows that a new default makes exceptions of."""
        if services:
            self._moved_services |= services
            self._plan_row = 0

    def on_owners_changed(self, change: OwnerChange) -> None:
        """Look for flows that have new owners."""
        if self._owner_row is None or self._owner_change is None:
            self._owner_change = change
        self._owner_row = 0

    def on_servers_lost(self, servers: set[ServerId]) -> None:
        """Give up the flows of servers that may receive nothing more."""
        if servers:
            self._doomed += self._context.table.rows_at(servers)

    def tick(self, now_ms: int) -> list[Effect]:
        """Visit the next slices."""
        effects = self._give_up_some(now_ms)
        effects += self._visit_idle(now_ms)
        self._visit_refreshed(now_ms)
        self._visit_moved(now_ms)
        self._visit_owned(now_ms)
        return effects

    def _give_up_some(self, now_ms: int) -> list[Effect]:
        context = self._context
        table = context.table
        effects: list[Effect] = []
        n_sent = 0
        while self._doomed and n_sent < _N_GIVEN_UP_PER_TICK:
            row = self._doomed.pop()
            reachable = context.placement.is_reachable
            if not table.is_used(row) or reachable(table.server(row)):
                continue
            n_sent += 1
            effects += self._give_up(row, now_ms)
        return effects

    def _give_up(self, row: int, now_ms: int) -> list[Effect]:
        context = self._context
        answering = context.table.has(row, FlowMark.ANSWERING | FlowMark.REGISTERED)
        self._registrar.forget(row, now_ms)
        if not answering or context.table.has(row, FlowMark.ENDED):
            context.table.remove(row)
            return []
        code, reason = context.loss_of(context.table.server(row))
        return context.give_up_row(row, code, reason, now_ms)

    def _visit_idle(self, now_ms: int) -> list[Effect]:
        table = self._context.table
        effects: list[Effect] = []
        for row in table.rows(*self._idle.next_rows(table.n_rows)):
            effects += self._look_at(row, now_ms)
        return effects

    def _look_at(self, row: int, now_ms: int) -> list[Effect]:
        table = self._context.table
        config = self._context.config
        idle_ms = table.idle_ms(row, now_ms)
        if table.has(row, FlowMark.ENDED):
            if idle_ms >= config.ended_life_ms:
                table.remove(row)
            return []
        if table.has(row, FlowMark.REGISTERED):
            spread = (
                1.0 + config.probe_jitter_share * self._context.random_state.random()
            )
            due = idle_ms >= config.idle_probe_ms * spread
            if due and not table.has(row, FlowMark.PROBED):
                return self._silence.probe(row, now_ms)
        elif idle_ms >= config.cache_life_ms:
            table.remove(row)
        return []

    def _visit_refreshed(self, now_ms: int) -> None:
        table = self._context.table
        for row in table.rows(*self._refresh.next_rows(table.n_rows)):
            if table.has(row, FlowMark.REGISTERED):
                self._registrar.refresh(row, self._context.owners_of(row), now_ms)

    def _visit_moved(self, now_ms: int) -> None:
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
            self._moved_services.clear()

    def _is_new_exception(self, row: int) -> bool:
        table = self._context.table
        service = table.service(row)
        if service not in self._moved_services:
            return False
        if table.has(row, FlowMark.REGISTERED | FlowMark.ENDED):
            return False
        if not table.has(row, FlowMark.CONFIRMED):
            return False
        flow, server = table.flow(row), table.server(row)
        return self._context.needs_record(service, flow, server)

    def _visit_owned(self, now_ms: int) -> None:
        if self._owner_row is None or self._owner_change is None:
            return
        table = self._context.table
        # The first change gives the owners that surely have the record.
        change = self._owner_change
        count = self._context.config.n_swept_per_tick
        for row in table.rows(self._owner_row, count):
            if not table.has(row, FlowMark.REGISTERED):
                continue
            key = flow_key(table.service(row), table.flow(row))
            if change.concerns(key):
                self._registrar.on_owners_changed(row, change.of(key), now_ms)
        self._owner_row += count
        if self._owner_row >= table.n_rows:
            self._owner_row = None
