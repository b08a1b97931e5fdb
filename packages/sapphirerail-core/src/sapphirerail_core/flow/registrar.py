"""Keeps the records of this instance's flows at their owners."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from ..effects import Effect, Message, SendToPeer
from ..types import InstanceId, InstanceState
from .budget import Budget
from .context import FlowContext
from .messages import Forget, Register, Registered, RegisterMode, Release
from .placement import flow_key
from .record_codec import FlowRecord, pack_records
from .record_store import RecordStore
from .table import FlowMark

__all__ = ["N_RECORDS_PER_MESSAGE", "Registrar"]

N_RECORDS_PER_MESSAGE = 48
_Waiting = dict[tuple[InstanceId, RegisterMode], list[FlowRecord]]


@dataclass(slots=True)
class _Batch:
    """A batch that its owner has not acknowledged."""

    owner: InstanceId
    message: Register
    made_ms: int
    n_attempts: int
    due_ms: int


class Registrar:
    """Sends records to owners in batches, until they are acknowledged.

    Parameters
    ----------
    context : FlowContext
        Shared state.
    store : RecordStore
        Keeps the records of flows that this instance owns itself.
    """

    def __init__(self, context: FlowContext, store: RecordStore) -> None:
        self._context = context
        self._store = store
        self._urgent: _Waiting = {}
        self._waiting: _Waiting = {}
        self._ended: dict[InstanceId, list[FlowRecord]] = {}
        self._released: dict[InstanceId, list[FlowRecord]] = {}
        self._told_ended: dict[InstanceId, list[FlowRecord]] = {}
        self._batches: dict[int, _Batch] = {}
        self._due: deque[int] = deque()
        self._serial = 0
        self._early = Budget(context.config.n_early_per_s)
        self._n_immediate = 0
        self._second = 0
        self._batched_ms = 0

    @property
    def n_unacknowledged(self) -> int:
        """Records that wait for a batch or for its acknowledgement."""
        n_waiting = sum(map(len, self._urgent.values()))
        n_waiting += sum(map(len, self._waiting.values()))
        return n_waiting + len(self._batches)

    def register(self, row: int, now_ms: int, *, at_once: bool = False) -> list[Effect]:
        """Record a flow of the table at its owners.

        Parameters
        ----------
        row : int
            The flow's row.
        now_ms : int
            The time.
        at_once : bool
            Whether the record is an exception, which other instances need soon:
            it is sent at once, or with the next tick if the budget is spent.
        """
        context = self._context
        context.table.mark(row, FlowMark.REGISTERED | FlowMark.HOLDING)
        context.table.unmark(row, FlowMark.SECOND_DUE)
        age_ms = context.table.idle_ms(row, now_ms)
        record = context.record(row)._replace(age_ms=age_ms)
        immediate = at_once and self._may_send_at_once(now_ms)
        effects: list[Effect] = []
        for owner in context.owners_of(row):
            if owner == context.self_id:
                self._store.keep(record, owner, now_ms, age_ms=age_ms)
            elif immediate:
                effects.append(self._send(owner, RegisterMode.HOLD, [record], now_ms))
            else:
                batch = self._urgent if at_once else self._waiting
                batch.setdefault((owner, RegisterMode.HOLD), []).append(record)
        return effects

    def claim_early(self, row: int, now_ms: int) -> list[Effect]:
        """Record a feed at one other owner at once, if the budget allows.

        The owner then knows what to do should this instance die. `claim_second` is
        to follow if the flow lives on.
        """
        context = self._context
        if context.is_draining or not self._early.take(now_ms):
            return []
        context.table.mark(row, FlowMark.REGISTERED | FlowMark.HOLDING)
        record = context.record(row)
        owners = context.owners_of(row)
        if context.self_id in owners:
            self._store.keep(record, context.self_id, now_ms)
        else:
            context.table.mark(row, FlowMark.SECOND_DUE)
        others = [owner for owner in owners if owner != context.self_id]
        return [
            self._send(owner, RegisterMode.HOLD, [record], now_ms)
            for owner in others[:1]
        ]

    def claim_second(self, row: int, now_ms: int) -> None:
        """Record a feed with the next batch at the owner that lacks it still."""
        context = self._context
        context.table.unmark(row, FlowMark.SECOND_DUE)
        age_ms = context.table.idle_ms(row, now_ms)
        record = context.record(row)._replace(age_ms=age_ms)
        for owner in context.owners_of(row)[1:]:
            if owner == context.self_id:
                self._store.keep(record, owner, now_ms, age_ms=age_ms)
            else:
                self._wait(owner, RegisterMode.HOLD, record)

    def refresh(self, row: int, owners: Iterable[InstanceId], now_ms: int) -> None:
        """Record a flow of the table without a claim to be its way back."""
        context = self._context
        context.table.mark(row, FlowMark.REGISTERED)
        record = context.record(row)
        for owner in owners:
            if owner == context.self_id:
                self._store.keep(record, owner, now_ms, claims=False)
            else:
                self._wait(owner, RegisterMode.REFRESH, record)

    def hand_over(
        self,
        owner: InstanceId,
        record: FlowRecord,
        mode: RegisterMode = RegisterMode.TAKE_OVER,
    ) -> None:
        """Ask an owner to become the way back with the next tick."""
        self._urgent.setdefault((owner, mode), []).append(record)

    def hand_over_row(self, row: int, now_ms: int) -> None:
        """Ask the first owner of a flow of the table to become its way back."""
        context = self._context
        owners = context.owners_of(row)
        if not owners:
            return
        self.hand_over(owners[0], context.record(row))
        self.refresh(row, owners[1:], now_ms)
        marks = FlowMark.REGISTERED | FlowMark.HOLDING | FlowMark.ANSWERING
        context.table.unmark(row, marks)

    def forget(self, row: int, now_ms: int) -> None:
        """Drop the records of a flow of the table at its owners."""
        context = self._context
        owners = context.owners_of(row)
        table = context.table
        if table.has(row, FlowMark.SECOND_DUE) and table.has(row, FlowMark.NEW):
            owners = owners[:1]
        marks = FlowMark.REGISTERED | FlowMark.HOLDING | FlowMark.SECOND_DUE
        table.unmark(row, marks)
        self.forget_record(context.record(row), owners, now_ms)

    def forget_record(
        self, record: FlowRecord, owners: tuple[InstanceId, ...], now_ms: int
    ) -> None:
        """Drop a record at some owners with the next batch."""
        for owner in owners:
            if owner == self._context.self_id:
                holder = self._store.drop(record, now_ms)
                if holder is not None and holder != owner:
                    self.tell_ended(holder, record)
            else:
                self._ended.setdefault(owner, []).append(record)

    def release(self, holder: InstanceId, record: FlowRecord) -> None:
        """Tell a previous holder with the next batch that it lost a flow."""
        # The claim grows older until the batch goes.
        age_ms = record.age_ms + self._context.config.batch_ms
        record = record._replace(age_ms=age_ms)
        self._released.setdefault(holder, []).append(record)

    def tell_ended(self, holder: InstanceId, record: FlowRecord) -> None:
        """Tell a holder with the next batch that a flow has ended."""
        self._told_ended.setdefault(holder, []).append(record)

    def on_registered(self, message: Registered) -> None:
        """Take an acknowledgement."""
        self._batches.pop(message.serial, None)

    def flush(self, now_ms: int, *, everything: bool = False) -> list[Effect]:
        """Send what waits, and again what was not acknowledged in time.

        Parameters
        ----------
        now_ms : int
            The time.
        everything : bool
            Whether to send also what may wait for a fuller batch.
        """
        effects = self._send_again(now_ms)
        effects += self._send_batches(self._urgent, now_ms)
        if everything or now_ms - self._batched_ms >= self._context.config.batch_ms:
            self._batched_ms = now_ms
            effects += self._send_batches(self._waiting, now_ms)
            effects += _messages(self._ended, Forget)
            effects += _messages(self._released, Release)
            effects += _messages(self._told_ended, _ended)
        return effects

    def _send_batches(self, batches: _Waiting, now_ms: int) -> list[Effect]:
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
        """Record a flow of the table at the owners that are new."""
        new = [owner for owner in self._context.owners_of(row) if owner not in previous]
        self.refresh(row, new, now_ms)

    def _wait(self, owner: InstanceId, mode: RegisterMode, record: FlowRecord) -> None:
        self._waiting.setdefault((owner, mode), []).append(record)

    def _may_send_at_once(self, now_ms: int) -> bool:
        second = now_ms // 1000
        if second != self._second:
            self._second = second
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

    def _send_again(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(len(self._due)):
            serial = self._due.popleft()
            batch = self._batches.get(serial)
            if batch is None:
                continue
            if now_ms >= batch.due_ms:
                if self._is_hopeless(batch):
                    del self._batches[serial]
                    self._hand_over_elsewhere(batch, now_ms)
                    continue
                batch.n_attempts += 1
                batch.due_ms = now_ms + self._wait_ms(batch)
                age_ms = now_ms - batch.made_ms
                message = msgspec.structs.replace(batch.message, age_ms=age_ms)
                effects.append(SendToPeer(batch.owner, message))
            self._due.append(serial)
        return effects

    def _wait_ms(self, batch: _Batch) -> int:
        """Return the time until the next transmission; a stop does not back off."""
        timeout_ms = self._context.config.ack_timeout_ms
        return (
            timeout_ms if self._context.is_draining else timeout_ms << batch.n_attempts
        )

    def _hand_over_elsewhere(self, batch: _Batch, now_ms: int) -> None:
        """Ask another owner to take over what the owner of a batch did not."""
        if batch.message.mode is not RegisterMode.TAKE_OVER:
            return
        context = self._context
        passed_ms = now_ms - batch.made_ms
        for record in context.codes.unpack(batch.message.records):
            if not isinstance(record, FlowRecord):
                continue
            service = context.plan.servers[record.server].service
            owners = context.owners.now.of(flow_key(service, record.flow))
            others = [owner for owner in owners if owner != batch.owner]
            if others:
                older = record._replace(age_ms=record.age_ms + passed_ms)
                self.hand_over(others[0], older)

    def _is_hopeless(self, batch: _Batch) -> bool:
        state = self._context.fleet.state(batch.owner)
        gone = state in (InstanceState.DEAD, InstanceState.LEFT)
        return gone or batch.n_attempts >= self._context.config.n_attempts_max


def _ended(records: bytes) -> Release:
    return Release(records, ended=True)


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
