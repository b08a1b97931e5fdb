"""Keeps records of other instances' flows and takes over their return paths."""

from collections import deque
from typing import NamedTuple

from ..effects import Effect, SendToPeer
from ..journal import Reason
from ..types import InstanceId, InstanceState
from .context import FlowContext, keepalive_for
from .messages import Forget, Register, Registered, RegisterMode, Release
from .monitor import FlowMonitor
from .owners import OwnerChange
from .placement import flow_key
from .record_codec import FlowRecord
from .record_store import RecordStore
from .registrar import Registrar
from .table import FlowFlag

__all__ = ["ReturnPathManager"]

_SECOND_OWNER_DELAY_MS = 1_000
_N_TAKEN_OVER_PER_TICK = 200
_HOLDER_FLAGS = (
    FlowFlag.REGISTERED
    | FlowFlag.HOLDER_SETTLED
    | FlowFlag.RETURN_PATH
    | FlowFlag.REGISTER_ON_RESPONSE
    | FlowFlag.SECOND_REGISTRATION_DUE
)


class _RemovedInstance(NamedTuple):
    """An instance that failed or left, and when its flows are taken over."""

    due_ms: int
    instance: InstanceId
    by_first_owner: bool
    """Whether the first owners take over; else the second ones take the rest."""
    change: OwnerChange | None
    """The change of owners that its removal caused."""


class ReturnPathManager:
    """Handles the records kept here as an owner, and takes over return paths.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    store : RecordStore
        Storage of the records.
    registrar : Registrar
        Registers the flows that are taken over.
    monitor : FlowMonitor
        Monitors the servers' responses.
    """

    def __init__(
        self,
        context: FlowContext,
        store: RecordStore,
        registrar: Registrar,
        monitor: FlowMonitor,
    ) -> None:
        self._context = context
        self._store = store
        self._registrar = registrar
        self._monitor = monitor
        self._removed_instances: list[_RemovedInstance] = []
        self._orphans: deque[FlowRecord] = deque()

    @property
    def n_orphans(self) -> int:
        """Number of flows without a holder that wait to be taken over."""
        return len(self._orphans)

    def on_register(
        self, sender: InstanceId, message: Register, now_ms: int
    ) -> list[Effect]:
        """Store records; acknowledge the batch if all their servers are known.

        A batch with a server that is not in this instance's plan yet is not
        acknowledged, so that the sender retransmits it.
        """
        effects: list[Effect] = []
        all_known = True
        for record in self._context.codes.unpack(message.records):
            if not isinstance(record, FlowRecord):
                self._store.put_unknown(record, sender)
                all_known = False
                continue
            effects += self._store_record(sender, record, message, now_ms)
        if all_known:
            effects.append(SendToPeer(sender, Registered(message.serial)))
        return effects

    def on_forget(self, sender: InstanceId, message: Forget, now_ms: int) -> None:
        """Drop the records of completed flows, and notify their holders."""
        for record in self._context.codes.unpack(message.records):
            if not isinstance(record, FlowRecord):
                continue
            is_first = self._is_first(record)
            holder = self._store.drop(record, now_ms)
            if holder is not None and holder != sender and is_first:
                self._notify_completed(holder, record)

    def on_release(self, message: Release, now_ms: int) -> None:
        """Stop being the holder of flows that completed or have another holder."""
        for record in self._context.codes.unpack(message.records):
            if not isinstance(record, FlowRecord):
                continue
            if message.completed:
                self._complete(record)
            else:
                self._stop_holding(record, now_ms)

    def on_instance_removed(self, instance: InstanceId, now_ms: int) -> None:
        """Schedule taking over the flows of an instance that failed or left."""
        later_ms = now_ms + _SECOND_OWNER_DELAY_MS
        change = self._context.owners.last_change
        self._removed_instances.append(_RemovedInstance(now_ms, instance, True, change))
        self._removed_instances.append(
            _RemovedInstance(later_ms, instance, False, change)
        )

    def tick(self, now_ms: int) -> list[Effect]:
        """Take over some of the flows without a holder."""
        due = [
            removed for removed in self._removed_instances if removed.due_ms <= now_ms
        ]
        self._removed_instances = [
            removed for removed in self._removed_instances if removed.due_ms > now_ms
        ]
        for removed in due:
            self._queue_orphans(removed, now_ms)
        effects: list[Effect] = []
        for _ in range(min(len(self._orphans), _N_TAKEN_OVER_PER_TICK)):
            record = self._orphans.popleft()
            effects += self.take_over(record, now_ms)
        return effects

    def take_over(
        self, record: FlowRecord, now_ms: int, flags: int = 0
    ) -> list[Effect]:
        """Become the holder of a flow: send its server a keepalive, and register it."""
        context = self._context
        server = context.plan.servers.get(record.server)
        if server is None or not context.placement.is_reachable(record.server):
            return []
        keepalive = keepalive_for(record, server.service)
        flags |= FlowFlag.CONFIRMED | FlowFlag.RETURN_PATH
        row = context.put(keepalive, record.server, now_ms, flags)
        context.table.record_caller_contact(row, now_ms)
        self._monitor.on_probed(row, now_ms)
        effects = self._registrar.register(row, now_ms)
        return [*effects, context.keepalive(row)]

    def hand_over_all(self, now_ms: int) -> None:
        """Hand over the return paths of all flows to their owners."""
        table = self._context.table
        for row in table.rows(0, table.n_rows):
            if table.has_flag(row, FlowFlag.COMPLETED):
                continue
            if table.has_flag(row, FlowFlag.RETURN_PATH | FlowFlag.REGISTERED):
                self._registrar.hand_over_row(row, now_ms)

    def _store_record(
        self,
        sender: InstanceId,
        record: FlowRecord,
        message: Register,
        now_ms: int,
    ) -> list[Effect]:
        sets_holder = message.mode is not RegisterMode.REFRESH
        age_ms = message.age_ms + record.age_ms
        result = self._store.put(
            record, sender, now_ms, sets_holder=sets_holder, age_ms=age_ms
        )
        if result.completed:
            self._notify_completed(sender, record)
            return []
        if result.accepted and message.mode is RegisterMode.TAKE_OVER:
            return self.take_over(record, now_ms)
        if result.accepted and message.mode is RegisterMode.TAKE_OVER_UNRESPONSIVE:
            return self.take_over(record, now_ms, FlowFlag.DETOURED)
        previous_holder = result.previous_holder
        if (
            previous_holder is not None
            and previous_holder != sender
            and self._is_first(record)
        ):
            released = previous_holder if result.accepted else sender
            self._notify_released(
                released, record._replace(age_ms=result.age_ms), now_ms
            )
        return []

    def _notify_released(
        self, holder: InstanceId, record: FlowRecord, now_ms: int
    ) -> None:
        """Notify an instance that a flow has another holder."""
        if holder == self._context.self_id:
            self._stop_holding(record, now_ms)
        elif self._context.fleet.state(holder) is InstanceState.ALIVE:
            self._registrar.release(holder, record)

    def _notify_completed(self, holder: InstanceId, record: FlowRecord) -> None:
        """Notify an instance that a flow has completed elsewhere."""
        if holder == self._context.self_id:
            self._complete(record)
        else:
            self._registrar.notify_completed(holder, record)

    def _complete(self, record: FlowRecord) -> None:
        table = self._context.table
        service = self._context.plan.servers[record.server].service
        row = table.find(service, record.flow)
        if row is not None and table.server(row) == record.server:
            table.clear_flags(row, _HOLDER_FLAGS)
            table.set_flags(row, FlowFlag.COMPLETED)

    def _stop_holding(self, record: FlowRecord, now_ms: int) -> None:
        """Stop being the holder, unless the flow had contact here more recently.

        The record's age is that of the registration that replaces this holder.
        """
        table = self._context.table
        service = self._context.plan.servers[record.server].service
        row = table.find(service, record.flow)
        if row is not None and table.idle_ms(row, now_ms) >= record.age_ms:
            table.clear_flags(row, _HOLDER_FLAGS)

    def _is_first(self, record: FlowRecord) -> bool:
        service = self._context.plan.servers[record.server].service
        owners = self._context.owners.current.owners(flow_key(service, record.flow))
        return bool(owners) and owners[0] == self._context.self_id

    def _is_first_with_record(
        self, record: FlowRecord, removed: _RemovedInstance
    ) -> bool:
        """Return whether this instance is the first owner that has the record.

        If the removed instance was also the first owner, its successor has no record.
        """
        if self._is_first(record):
            return True
        if removed.change is None:
            return False
        service = self._context.plan.servers[record.server].service
        before = removed.change.previous_owners(flow_key(service, record.flow))
        return before == (removed.instance, self._context.self_id)

    def _queue_orphans(self, removed: _RemovedInstance, now_ms: int) -> None:
        """Queue the flows whose holder was a removed instance."""
        context = self._context
        n_before = len(self._orphans)
        for row in context.records.rows_held_by(removed.instance):
            record = self._store.read(row)
            known = record.server in context.plan.servers
            if known and (
                not removed.by_first_owner
                or self._is_first_with_record(record, removed)
            ):
                self._orphans.append(record)
        n_found = len(self._orphans) - n_before
        if n_found:
            context.journal.record(
                now_ms,
                Reason.FLOW_WAY_BACK,
                detail=f"takes over {n_found} flows of {removed.instance}",
            )
