"""Registers this instance's flows at their owners."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from ..effects import Effect, Message, SendToPeer
from ..types import InstanceId, InstanceState
from .context import FlowContext
from .messages import Forget, Register, Registered, RegisterMode, Release
from .placement import flow_key
from .record_codec import FlowRecord, pack_records
from .record_store import RecordStore
from .table import FlowFlag
from .token_bucket import TokenBucket

__all__ = ["N_RECORDS_PER_MESSAGE", "Registrar"]

N_RECORDS_PER_MESSAGE = 48
_RecordQueue = dict[tuple[InstanceId, RegisterMode], list[FlowRecord]]


@dataclass(slots=True)
class _Batch:
    """A batch of records that its owner has not acknowledged."""

    owner: InstanceId
    message: Register
    made_ms: int
    n_attempts: int
    due_ms: int


class Registrar:
    """Sends records to owners in batches, and retransmits unacknowledged ones.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    store : RecordStore
        Stores the records of flows that this instance owns itself.
    """

    def __init__(self, context: FlowContext, store: RecordStore) -> None:
        self._context = context
        self._store = store
        self._urgent: _RecordQueue = {}
        self._batched: _RecordQueue = {}
        self._completed: dict[InstanceId, list[FlowRecord]] = {}
        self._released: dict[InstanceId, list[FlowRecord]] = {}
        self._completed_for_holders: dict[InstanceId, list[FlowRecord]] = {}
        self._batches: dict[int, _Batch] = {}
        self._due: deque[int] = deque()
        self._serial = 0
        self._early_registrations = TokenBucket(
            context.config.n_early_registrations_per_s
        )
        self._n_immediate = 0
        self._window_s = 0
        self._last_batch_ms = 0

    @property
    def n_unacknowledged(self) -> int:
        """Number of queued records and of unacknowledged batches."""
        n_waiting = sum(map(len, self._urgent.values()))
        n_waiting += sum(map(len, self._batched.values()))
        return n_waiting + len(self._batches)

    def register(self, row: int, now_ms: int, *, urgent: bool = False) -> list[Effect]:
        """Register a flow of the table at its owners, with this instance as holder.

        Parameters
        ----------
        row : int
            The flow's row.
        now_ms : int
            The time.
        urgent : bool
            Whether other instances need the record soon, as for a placement exception:
            it is sent immediately, or with the next tick if the rate limit is reached.
        """
        context = self._context
        context.table.set_flags(row, FlowFlag.REGISTERED | FlowFlag.HOLDER_SETTLED)
        context.table.clear_flags(row, FlowFlag.SECOND_REGISTRATION_DUE)
        age_ms = context.table.idle_ms(row, now_ms)
        record = context.record(row)._replace(age_ms=age_ms)
        immediate = urgent and self._may_send_immediately(now_ms)
        effects: list[Effect] = []
        for owner in context.owners_of(row):
            if owner == context.self_id:
                self._store.put(record, owner, now_ms, age_ms=age_ms)
            elif immediate:
                effects.append(
                    self._send(owner, RegisterMode.SET_HOLDER, [record], now_ms)
                )
            else:
                batch = self._urgent if urgent else self._batched
                batch.setdefault((owner, RegisterMode.SET_HOLDER), []).append(record)
        return effects

    def register_early(self, row: int, now_ms: int) -> list[Effect]:
        """Register a feed immediately at one other owner, if the rate limit allows.

        That owner can then take over the return path if this instance fails.
        `register_second_owner` follows if the flow stays open.
        """
        context = self._context
        if context.is_draining or not self._early_registrations.take(now_ms):
            return []
        context.table.set_flags(row, FlowFlag.REGISTERED | FlowFlag.HOLDER_SETTLED)
        record = context.record(row)
        owners = context.owners_of(row)
        if context.self_id in owners:
            self._store.put(record, context.self_id, now_ms)
        else:
            context.table.set_flags(row, FlowFlag.SECOND_REGISTRATION_DUE)
        others = [owner for owner in owners if owner != context.self_id]
        return [
            self._send(owner, RegisterMode.SET_HOLDER, [record], now_ms)
            for owner in others[:1]
        ]

    def register_second_owner(self, row: int, now_ms: int) -> None:
        """Register a feed with the next batch at the owner that has no record yet."""
        context = self._context
        context.table.clear_flags(row, FlowFlag.SECOND_REGISTRATION_DUE)
        age_ms = context.table.idle_ms(row, now_ms)
        record = context.record(row)._replace(age_ms=age_ms)
        for owner in context.owners_of(row)[1:]:
            if owner == context.self_id:
                self._store.put(record, owner, now_ms, age_ms=age_ms)
            else:
                self._enqueue(owner, RegisterMode.SET_HOLDER, record)

    def refresh(self, row: int, owners: Iterable[InstanceId], now_ms: int) -> None:
        """Register or refresh a flow of the table, but keep a known holder."""
        context = self._context
        context.table.set_flags(row, FlowFlag.REGISTERED)
        record = context.record(row)
        for owner in owners:
            if owner == context.self_id:
                self._store.put(record, owner, now_ms, sets_holder=False)
            else:
                self._enqueue(owner, RegisterMode.REFRESH, record)

    def hand_over(
        self,
        owner: InstanceId,
        record: FlowRecord,
        mode: RegisterMode = RegisterMode.TAKE_OVER,
    ) -> None:
        """Ask an owner, with the next tick, to become the holder of a flow."""
        self._urgent.setdefault((owner, mode), []).append(record)

    def hand_over_row(self, row: int, now_ms: int) -> None:
        """Ask the first owner of a flow of the table to become its holder."""
        context = self._context
        owners = context.owners_of(row)
        if not owners:
            return
        self.hand_over(owners[0], context.record(row))
        self.refresh(row, owners[1:], now_ms)
        flags = FlowFlag.REGISTERED | FlowFlag.HOLDER_SETTLED | FlowFlag.RETURN_PATH
        context.table.clear_flags(row, flags)

    def forget(self, row: int, now_ms: int) -> None:
        """Drop the records of a flow of the table at its owners."""
        context = self._context
        owners = context.owners_of(row)
        table = context.table
        if table.has_flag(row, FlowFlag.SECOND_REGISTRATION_DUE) and table.has_flag(
            row, FlowFlag.NEW
        ):
            owners = owners[:1]
        flags = (
            FlowFlag.REGISTERED
            | FlowFlag.HOLDER_SETTLED
            | FlowFlag.SECOND_REGISTRATION_DUE
        )
        table.clear_flags(row, flags)
        self.forget_record(context.record(row), owners, now_ms)

    def forget_record(
        self, record: FlowRecord, owners: tuple[InstanceId, ...], now_ms: int
    ) -> None:
        """Drop a record at the given owners with the next batch."""
        for owner in owners:
            if owner == self._context.self_id:
                holder = self._store.drop(record, now_ms)
                if holder is not None and holder != owner:
                    self.notify_completed(holder, record)
            else:
                self._completed.setdefault(owner, []).append(record)

    def release(self, holder: InstanceId, record: FlowRecord) -> None:
        """Notify a previous holder with the next batch that a flow has a new holder."""
        # The registration ages until the batch is sent.
        age_ms = record.age_ms + self._context.config.batch_ms
        record = record._replace(age_ms=age_ms)
        self._released.setdefault(holder, []).append(record)

    def notify_completed(self, holder: InstanceId, record: FlowRecord) -> None:
        """Notify a holder with the next batch that a flow has completed."""
        self._completed_for_holders.setdefault(holder, []).append(record)

    def on_registered(self, message: Registered) -> None:
        """Handle the acknowledgement of a batch."""
        self._batches.pop(message.serial, None)

    def flush(self, now_ms: int, *, everything: bool = False) -> list[Effect]:
        """Send queued records, and retransmit batches whose acknowledgement is late.

        Parameters
        ----------
        now_ms : int
            The time.
        everything : bool
            Whether to send records that could wait for the next batch too.
        """
        effects = self._retransmit(now_ms)
        effects += self._send_batches(self._urgent, now_ms)
        if everything or now_ms - self._last_batch_ms >= self._context.config.batch_ms:
            self._last_batch_ms = now_ms
            effects += self._send_batches(self._batched, now_ms)
            effects += _messages(self._completed, Forget)
            effects += _messages(self._released, Release)
            effects += _messages(self._completed_for_holders, _completed_release)
        return effects

    def _send_batches(self, batches: _RecordQueue, now_ms: int) -> list[Effect]:
        effects = [
            self._send(owner, mode, part, now_ms)
            for (owner, mode), records in batches.items()
            for part in _parts(records)
        ]
        batches.clear()
        return effects

    def on_owners_changed(
        self, row: int, previous: tuple[InstanceId, ...], now_ms: int
    ) -> None:
        """Register a flow of the table at its new owners."""
        added = [
            owner for owner in self._context.owners_of(row) if owner not in previous
        ]
        self.refresh(row, added, now_ms)

    def _enqueue(
        self, owner: InstanceId, mode: RegisterMode, record: FlowRecord
    ) -> None:
        self._batched.setdefault((owner, mode), []).append(record)

    def _may_send_immediately(self, now_ms: int) -> bool:
        now_s = now_ms // 1000
        if now_s != self._window_s:
            self._window_s = now_s
            self._n_immediate = 0
        self._n_immediate += 1
        return self._n_immediate <= self._context.config.n_immediate_per_s

    def _send(
        self,
        owner: InstanceId,
        mode: RegisterMode,
        records: list[FlowRecord],
        now_ms: int,
    ) -> Effect:
        self._serial += 1
        message = Register(self._serial, pack_records(records), mode)
        due_ms = now_ms + self._context.config.ack_timeout_ms
        self._batches[self._serial] = _Batch(owner, message, now_ms, 1, due_ms)
        self._due.append(self._serial)
        return SendToPeer(owner, message)

    def _retransmit(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(len(self._due)):
            serial = self._due.popleft()
            batch = self._batches.get(serial)
            if batch is None:
                continue
            if now_ms >= batch.due_ms:
                if self._has_failed(batch):
                    del self._batches[serial]
                    self._hand_over_elsewhere(batch, now_ms)
                    continue
                batch.n_attempts += 1
                batch.due_ms = now_ms + self._retransmission_timeout_ms(batch)
                age_ms = now_ms - batch.made_ms
                message = msgspec.structs.replace(batch.message, age_ms=age_ms)
                effects.append(SendToPeer(batch.owner, message))
            self._due.append(serial)
        return effects

    def _retransmission_timeout_ms(self, batch: _Batch) -> int:
        """Return the retransmission timeout, without backoff during a planned stop."""
        timeout_ms = self._context.config.ack_timeout_ms
        return (
            timeout_ms if self._context.is_draining else timeout_ms << batch.n_attempts
        )

    def _hand_over_elsewhere(self, batch: _Batch, now_ms: int) -> None:
        """Ask another owner to take over the flows of a batch that failed."""
        if batch.message.mode is not RegisterMode.TAKE_OVER:
            return
        context = self._context
        elapsed_ms = now_ms - batch.made_ms
        for record in context.codes.unpack(batch.message.records):
            if not isinstance(record, FlowRecord):
                continue
            service = context.plan.servers[record.server].service
            owners = context.owners.current.owners(flow_key(service, record.flow))
            others = [owner for owner in owners if owner != batch.owner]
            if others:
                aged = record._replace(age_ms=record.age_ms + elapsed_ms)
                self.hand_over(others[0], aged)

    def _has_failed(self, batch: _Batch) -> bool:
        state = self._context.fleet.state(batch.owner)
        is_removed = state in (InstanceState.DEAD, InstanceState.LEFT)
        return is_removed or batch.n_attempts >= self._context.config.n_attempts_max


def _completed_release(records: bytes) -> Release:
    return Release(records, completed=True)


def _messages(
    batches: dict[InstanceId, list[FlowRecord]], make: Callable[[bytes], Message]
) -> list[Effect]:
    effects: list[Effect] = [
        SendToPeer(peer, make(pack_records(part)))
        for peer, records in batches.items()
        for part in _parts(records)
    ]
    batches.clear()
    return effects


def _parts(records: list[FlowRecord]) -> list[list[FlowRecord]]:
    step = N_RECORDS_PER_MESSAGE
    return [records[start : start + step] for start in range(0, len(records), step)]
