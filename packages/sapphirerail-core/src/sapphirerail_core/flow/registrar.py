"""Keeps the records of this instance's flows at their owners."""

from collections import deque
from dataclasses import dataclass

from ..effects import Effect, SendToPeer
from ..types import InstanceId, InstanceState
from .context import FlowContext
from .messages import Forget, Register, Registered, Release
from .record_codec import FlowRecord, pack_records
from .record_store import RecordStore
from .table import FlowMark

__all__ = ["N_RECORDS_PER_MESSAGE", "Registrar"]

N_RECORDS_PER_MESSAGE = 48


@dataclass(slots=True)
class _Batch:
    """A batch that its owner has not acknowledged."""

    owner: InstanceId
    message: Register
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
        self._urgent: dict[InstanceId, list[FlowRecord]] = {}
        self._waiting: dict[InstanceId, list[FlowRecord]] = {}
        self._taken_over: dict[InstanceId, list[FlowRecord]] = {}
        self._silent: dict[InstanceId, list[FlowRecord]] = {}
        self._ended: dict[InstanceId, list[FlowRecord]] = {}
        self._released: dict[InstanceId, list[FlowRecord]] = {}
        self._batches: dict[int, _Batch] = {}
        self._due: deque[int] = deque()
        self._serial = 0
        self._n_immediate = 0
        self._second = 0
        self._batched_ms = 0

    @property
    def n_unacknowledged(self) -> int:
        """Records that wait for a batch or for its acknowledgement."""
        batches = (self._urgent, self._waiting, self._taken_over, self._silent)
        n_waiting = sum(len(records) for b in batches for records in b.values())
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
        record = context.record(row)
        immediate = at_once and self._may_send_at_once(now_ms)
        effects: list[Effect] = []
        for owner in context.owners_of(row):
            if owner == context.self_id:
                self._store.keep(record, owner, now_ms)
            elif immediate:
                effects.append(self._send(owner, [record], now_ms))
            else:
                batch = self._urgent if at_once else self._waiting
                batch.setdefault(owner, []).append(record)
        return effects

    def send_to(self, owner: InstanceId, record: FlowRecord) -> None:
        """Record a flow at one owner with the next batch."""
        self._waiting.setdefault(owner, []).append(record)

    def hand_over(
        self, owner: InstanceId, record: FlowRecord, *, silent: bool = False
    ) -> None:
        """Ask an owner to become the way back with the next batch."""
        batch = self._silent if silent else self._taken_over
        batch.setdefault(owner, []).append(record)

    def forget(self, row: int, now_ms: int) -> None:
        """Drop the records of a flow of the table at its owners."""
        context = self._context
        context.table.unmark(row, FlowMark.REGISTERED | FlowMark.HOLDING)
        self.forget_record(context.record(row), context.owners_of(row))

    def forget_record(self, record: FlowRecord, owners: tuple[InstanceId, ...]) -> None:
        """Drop a record at some owners with the next batch."""
        for owner in owners:
            if owner == self._context.self_id:
                self._store.drop(record)
            else:
                self._ended.setdefault(owner, []).append(record)

    def release(self, holder: InstanceId, record: FlowRecord) -> None:
        """Tell a previous holder with the next batch that it lost a flow."""
        self._released.setdefault(holder, []).append(record)

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
        effects += self._send_batches(self._taken_over, now_ms, takes_over=True)
        effects += self._send_batches(
            self._silent, now_ms, takes_over=True, silent=True
        )
        if everything or now_ms - self._batched_ms >= self._context.config.batch_ms:
            self._batched_ms = now_ms
            effects += self._send_batches(self._waiting, now_ms)
            effects += _messages(self._ended, Forget)
            effects += _messages(self._released, Release)
        return effects

    def _send_batches(
        self,
        batches: dict[InstanceId, list[FlowRecord]],
        now_ms: int,
        *,
        takes_over: bool = False,
        silent: bool = False,
    ) -> list[Effect]:
        effects = [
            self._send(owner, part, now_ms, takes_over, silent)
            for owner, records in batches.items()
            for part in _parts(records)
        ]
        batches.clear()
        return effects

    def on_owners_changed(
        self, row: int, previous: tuple[InstanceId, ...], now_ms: int
    ) -> None:
        """Record a flow of the table at the owners that are new."""
        context = self._context
        record = context.record(row)
        for owner in context.owners_of(row):
            if owner in previous:
                continue
            if owner == context.self_id:
                self._store.keep(record, owner, now_ms)
            else:
                self.send_to(owner, record)

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
        records: list[FlowRecord],
        now_ms: int,
        takes_over: bool = False,
        silent: bool = False,
    ) -> Effect:
        self._serial += 1
        message = Register(self._serial, pack_records(records), takes_over, silent)
        due_ms = now_ms + self._context.config.ack_timeout_ms
        self._batches[self._serial] = _Batch(owner, message, 1, due_ms)
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
                    continue
                batch.n_attempts += 1
                wait_ms = self._context.config.ack_timeout_ms << batch.n_attempts
                batch.due_ms = now_ms + wait_ms
                effects.append(SendToPeer(batch.owner, batch.message))
            self._due.append(serial)
        return effects

    def _is_hopeless(self, batch: _Batch) -> bool:
        state = self._context.fleet.state(batch.owner)
        gone = state in (InstanceState.DEAD, InstanceState.LEFT)
        return gone or batch.n_attempts >= self._context.config.n_attempts_max


def _messages(
    batches: dict[InstanceId, list[FlowRecord]], kind: type[Forget] | type[Release]
) -> list[Effect]:
    effects: list[Effect] = [
        SendToPeer(peer, kind(pack_records(part)))
        for peer, records in batches.items()
        for part in _parts(records)
    ]
    batches.clear()
    return effects


def _parts(records: list[FlowRecord]) -> list[list[FlowRecord]]:
    step = N_RECORDS_PER_MESSAGE
    return [records[start : start + step] for start in range(0, len(records), step)]
