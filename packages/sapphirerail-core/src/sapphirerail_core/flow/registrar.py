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

    @property
    def n_unacknowledged(self) -> int:
        """Records that wait for a batch or for its acknowledgement."""
        waiting = sum(map(len, self._waiting.values()))
        waiting += sum(map(len, self._taken_over.values()))
        return waiting + len(self._batches)

    def register(self, row: int, now_ms: int, *, at_once: bool = False) -> list[Effect]:
        """Record a flow of the table at its owners.

        Parameters
        ----------
        row : int
            The flow's row.
        now_ms : int
            The time.
        at_once : bool
            Whether to send without waiting for a batch, budget permitting.
        """
        context = self._context
        context.table.mark(row, FlowMark.REGISTERED)
        record = context.record(row)
        immediate = at_once and self._may_send_at_once(now_ms)
        effects: list[Effect] = []
        for owner in context.owners_of(row):
            if owner == context.self_id:
                self._store.keep(record, owner, now_ms)
            elif immediate:
                effects.append(self._send(owner, [record], now_ms))
            else:
                self._waiting.setdefault(owner, []).append(record)
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
        context.table.unmark(row, FlowMark.REGISTERED)
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

    def flush(self, now_ms: int) -> list[Effect]:
        """Send what waits, and again what was not acknowledged in time."""
        effects = self._send_again(now_ms)
        for batches, takes_over, silent in (
            (self._waiting, False, False),
            (self._taken_over, True, False),
            (self._silent, True, True),
        ):
            for owner, records in batches.items():
                for part in _parts(records):
                    effects.append(self._send(owner, part, now_ms, takes_over, silent))
            batches.clear()
        for told, kind in ((self._ended, Forget), (self._released, Release)):
            for peer, records in told.items():
                for part in _parts(records):
                    effects.append(SendToPeer(peer, kind(pack_records(part))))
            told.clear()
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


def _parts(records: list[FlowRecord]) -> list[list[FlowRecord]]:
    step = N_RECORDS_PER_MESSAGE
    return [records[start : start + step] for start in range(0, len(records), step)]
