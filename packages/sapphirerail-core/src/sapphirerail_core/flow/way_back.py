"""Keeps records for other instances and becomes the way back of their flows."""

from collections import deque
from typing import NamedTuple

from ..effects import Effect, SendToPeer
from ..journal import Reason
from ..types import InstanceId, InstanceState
from .context import FlowContext, keepalive_of
from .messages import Forget, Register, Registered, RegisterMode, Release
from .owners import OwnerChange
from .placement import flow_key
from .record_codec import FlowRecord
from .record_store import RecordStore
from .registrar import Registrar
from .silence import Silence
from .table import FlowMark

__all__ = ["WayBack"]

_SECOND_OWNER_DELAY_MS = 1_000
_N_TAKEN_OVER_PER_TICK = 200
_HOLDER_MARKS = (
    FlowMark.REGISTERED
    | FlowMark.HOLDING
    | FlowMark.ANSWERING
    | FlowMark.CLAIM_DUE
    | FlowMark.SECOND_DUE
)


class _Loss(NamedTuple):
    """An instance that was lost, and when its flows are to be taken over."""

    due_ms: int
    instance: InstanceId
    by_first: bool
    """Whether the first owners act; else the second ones, on what is left."""
    change: OwnerChange | None
    """What the loss changed in the owners."""


class WayBack:
    """The role of an owner: records of flows that others answer for.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    store : RecordStore
        The records.
    registrar : Registrar
        Registers flows that are taken over.
    silence : Silence
        Waits for the servers' answers.
    """

    def __init__(
        self,
        context: FlowContext,
        store: RecordStore,
        registrar: Registrar,
        silence: Silence,
    ) -> None:
        self._context = context
        self._store = store
        self._registrar = registrar
        self._silence = silence
        self._losses: list[_Loss] = []
        self._orphans: deque[FlowRecord] = deque()

    @property
    def n_orphans(self) -> int:
        """Flows that lost their answering instance and wait for a keepalive."""
        return len(self._orphans)

    def on_register(
        self, sender: InstanceId, message: Register, now_ms: int
    ) -> list[Effect]:
        """Keep records; acknowledge them if all their servers are known.

        A batch that names a server which this instance's plan does not know yet
        is not acknowledged, so that it comes again.
        """
        effects: list[Effect] = []
        complete = True
        for record in self._context.codes.unpack(message.records):
            if not isinstance(record, FlowRecord):
                self._store.keep_unknown(record, sender)
                complete = False
                continue
            effects += self._take(sender, record, message, now_ms)
        if complete:
            effects.append(SendToPeer(sender, Registered(message.serial)))
        return effects

    def on_forget(self, sender: InstanceId, message: Forget, now_ms: int) -> None:
        """Drop the records of flows that have ended, and tell their holders."""
        for record in self._context.codes.unpack(message.records):
            if not isinstance(record, FlowRecord):
                continue
            is_first = self._is_first(record)
            holder = self._store.drop(record, now_ms)
            if holder is not None and holder != sender and is_first:
                self._tell_ended(holder, record)

    def on_release(self, message: Release, now_ms: int) -> None:
        """Stop to answer for flows that another instance answers for."""
        for record in self._context.codes.unpack(message.records):
            if not isinstance(record, FlowRecord):
                continue
            if message.ended:
                self._end(record)
            else:
                self._let_go(record, now_ms)

    def on_instance_lost(self, instance: InstanceId, now_ms: int) -> None:
        """Plan to become the way back of the flows of a lost instance."""
        later_ms = now_ms + _SECOND_OWNER_DELAY_MS
        change = self._context.owners.last_change
        self._losses.append(_Loss(now_ms, instance, True, change))
        self._losses.append(_Loss(later_ms, instance, False, change))

    def tick(self, now_ms: int) -> list[Effect]:
        """Take over some of the flows that lost their answering instance."""
        due = [loss for loss in self._losses if loss.due_ms <= now_ms]
        self._losses = [loss for loss in self._losses if loss.due_ms > now_ms]
        for loss in due:
            self._collect(loss, now_ms)
        effects: list[Effect] = []
        for _ in range(min(len(self._orphans), _N_TAKEN_OVER_PER_TICK)):
            record = self._orphans.popleft()
            effects += self.take_over(record, now_ms)
        return effects

    def take_over(
        self, record: FlowRecord, now_ms: int, marks: int = 0
    ) -> list[Effect]:
        """Become the way back of a flow: tell its server and the owners."""
        context = self._context
        server = context.plan.servers.get(record.server)
        if server is None or not context.placement.is_reachable(record.server):
            return []
        stub = keepalive_of(record, server.service)
        marks |= FlowMark.CONFIRMED | FlowMark.ANSWERING
        row = context.add(stub, record.server, now_ms, marks)
        context.table.hear_caller(row, now_ms)
        self._silence.on_probed(row, now_ms)
        effects = self._registrar.register(row, now_ms)
        return [*effects, context.keepalive(row)]

    def hand_over_all(self, now_ms: int) -> None:
        """Give the way back of all flows to their owners."""
        table = self._context.table
        for row in table.rows(0, table.n_rows):
            if table.has(row, FlowMark.ENDED):
                continue
            if table.has(row, FlowMark.ANSWERING | FlowMark.REGISTERED):
                self._registrar.hand_over_row(row, now_ms)

    def _take(
        self,
        sender: InstanceId,
        record: FlowRecord,
        message: Register,
        now_ms: int,
    ) -> list[Effect]:
        claims = message.mode is not RegisterMode.REFRESH
        age_ms = message.age_ms + record.age_ms
        kept = self._store.keep(record, sender, now_ms, claims=claims, age_ms=age_ms)
        if kept.ended:
            self._tell_ended(sender, record)
            return []
        if kept.accepted and message.mode is RegisterMode.TAKE_OVER:
            return self.take_over(record, now_ms)
        if kept.accepted and message.mode is RegisterMode.TAKE_OVER_SILENT:
            return self.take_over(record, now_ms, FlowMark.SECOND_PATH)
        previous = kept.previous
        if previous is not None and previous != sender and self._is_first(record):
            loser = previous if kept.accepted else sender
            self._tell_released(loser, record._replace(age_ms=kept.age_ms), now_ms)
        return []

    def _tell_released(
        self, holder: InstanceId, record: FlowRecord, now_ms: int
    ) -> None:
        """Tell an instance that another one answers for a flow."""
        if holder == self._context.self_id:
            self._let_go(record, now_ms)
        elif self._context.fleet.state(holder) is InstanceState.ALIVE:
            self._registrar.release(holder, record)

    def _tell_ended(self, holder: InstanceId, record: FlowRecord) -> None:
        """Tell an instance that a flow has ended elsewhere."""
        if holder == self._context.self_id:
            self._end(record)
        else:
            self._registrar.tell_ended(holder, record)

    def _end(self, record: FlowRecord) -> None:
        table = self._context.table
        service = self._context.plan.servers[record.server].service
        row = table.find(service, record.flow)
        if row is not None and table.server(row) == record.server:
            table.unmark(row, _HOLDER_MARKS)
            table.mark(row, FlowMark.ENDED)

    def _let_go(self, record: FlowRecord, now_ms: int) -> None:
        """Stop to answer for a flow, unless it was heard here since the claim."""
        table = self._context.table
        service = self._context.plan.servers[record.server].service
        row = table.find(service, record.flow)
        if row is not None and table.idle_ms(row, now_ms) >= record.age_ms:
            table.unmark(row, _HOLDER_MARKS)

    def _is_first(self, record: FlowRecord) -> bool:
        service = self._context.plan.servers[record.server].service
        owners = self._context.owners.now.of(flow_key(service, record.flow))
        return bool(owners) and owners[0] == self._context.self_id

    def _is_next(self, record: FlowRecord, loss: _Loss) -> bool:
        """Return whether this is the first owner that has the record.

        Where the lost instance was the first owner too, its successor has none.
        """
        if self._is_first(record):
            return True
        if loss.change is None:
            return False
        service = self._context.plan.servers[record.server].service
        before = loss.change.of(flow_key(service, record.flow))
        return before == (loss.instance, self._context.self_id)

    def _collect(self, loss: _Loss, now_ms: int) -> None:
        """Queue the flows that a lost instance answered for."""
        context = self._context
        n_before = len(self._orphans)
        for row in context.records.rows_held_by(loss.instance):
            record = self._store.read(row)
            known = record.server in context.plan.servers
            if known and (not loss.by_first or self._is_next(record, loss)):
                self._orphans.append(record)
        n_found = len(self._orphans) - n_before
        if n_found:
            context.journal.note(
                now_ms,
                Reason.FLOW_WAY_BACK,
                detail=f"takes over {n_found} flows of {loss.instance}",
            )
