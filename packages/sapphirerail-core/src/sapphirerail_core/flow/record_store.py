"""Storage of the records that this instance keeps as an owner of flows."""

from collections import OrderedDict
from typing import NamedTuple

from ..types import FlowId, InstanceId, InstanceState, ServerId, ServiceId
from .context import FlowContext
from .record_codec import FlowRecord

__all__ = ["PutResult", "RecordStore"]

_N_UNKNOWN_MAX = 4_096
_COMPLETED_TTL_MS = 30_000  # late registrations are rejected until then


class PutResult(NamedTuple):
    """Result of storing a record."""

    previous_holder: InstanceId | None
    accepted: bool
    age_ms: int = 0
    """Age of the registration that is in force."""
    completed: bool = False
    """Whether the flow has completed since it was registered."""


class RecordStore:
    """Stores, finds and expires records.

    Parameters
    ----------
    context : FlowContext
        Shared state; its table ``records`` holds the records.
    """

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._unknown_holders: OrderedDict[FlowId, InstanceId] = OrderedDict()
        self._completed: OrderedDict[tuple[FlowId, ServerId], int] = OrderedDict()

    def put_unknown(self, flow: FlowId, holder: InstanceId) -> None:
        """Store the holder of a flow whose server is not in this instance's plan."""
        self._unknown_holders[flow] = holder
        if len(self._unknown_holders) > _N_UNKNOWN_MAX:
            self._unknown_holders.popitem(last=False)

    def forget_unknown(self) -> None:
        """Drop the entries of `put_unknown`, because a new plan has the servers."""
        self._unknown_holders.clear()

    def unknown_holder(self, flow: FlowId) -> InstanceId | None:
        """Return the holder of a flow at a server that is not in the plan, if known."""
        return self._unknown_holders.get(flow) if self._unknown_holders else None

    def put(
        self,
        record: FlowRecord,
        holder: InstanceId,
        now_ms: int,
        *,
        sets_holder: bool = True,
        age_ms: int = 0,
    ) -> PutResult:
        """Store a record, unless the stored one takes precedence.

        Parameters
        ----------
        record : FlowRecord
            Server and caller of the flow.
        holder : InstanceId
            The instance that sent the record.
        now_ms : int
            The time.
        sets_holder : bool
            Whether the sender becomes the holder. Otherwise a live holder stays.
        age_ms : int
            Age of the registration; a later one takes precedence over it.

        Returns
        -------
        PutResult
            The previous holder, and whether the sender is the holder now.
        """
        server = self._context.plan.servers.get(record.server)
        if server is None:
            return PutResult(None, accepted=False)
        if now_ms - age_ms <= self._completed.get((record.flow, record.server), -1):
            return PutResult(None, accepted=False, completed=True)
        table = self._context.records
        row = table.find(server.service, record.flow)
        previous_holder = None if row is None else table.holder(row)
        if row is None:
            if table.is_full():
                self._evict()
            row = table.insert(server.service, record.flow, record.server, now_ms)
        elif previous_holder is not None and not self._is_removed(previous_holder):
            # In the record table, the server's time is that of the last registration.
            stored_age_ms = table.server_idle_ms(row, now_ms)
            is_late = stored_age_ms < age_ms
            if previous_holder != holder and (is_late or not sets_holder):
                table.record_caller_contact(row, now_ms)
                return PutResult(previous_holder, accepted=False, age_ms=stored_age_ms)
        self._write(row, record, holder, now_ms)
        table.record_server_contact(row, now_ms - age_ms)
        return PutResult(previous_holder, accepted=True, age_ms=age_ms)

    def _write(
        self, row: int, record: FlowRecord, holder: InstanceId, now_ms: int
    ) -> None:
        table = self._context.records
        table.set_server(row, record.server)
        table.set_holder(row, holder)
        table.set_caller(row, record.caller)
        table.set_traffic_class(row, record.traffic_class)
        table.record_caller_contact(row, now_ms)

    def drop(self, record: FlowRecord, now_ms: int) -> InstanceId | None:
        """Drop the record of a completed flow, and return its holder.

        A record of the flow at another server stays, because the flow has been opened
        there since.
        """
        server = self._context.plan.servers.get(record.server)
        if server is None:
            return None
        table = self._context.records
        row = table.find(server.service, record.flow)
        if row is None or table.server(row) != record.server:
            return None
        holder = table.holder(row)
        table.remove(row)
        self._completed[record.flow, record.server] = now_ms
        return holder

    def server(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return the server of a flow, or None without a record."""
        row = self._context.records.find(service, flow)
        return None if row is None else self._context.records.server(row)

    def read(self, row: int) -> FlowRecord:
        """Return the record of a row."""
        table = self._context.records
        return FlowRecord(
            table.flow(row),
            table.server(row),
            table.caller(row),
            table.traffic_class(row),
        )

    def expire(self, now_ms: int, n_records_max: int) -> None:
        """Drop records whose TTL has expired without a refresh."""
        table = self._context.records
        while self._completed:
            key, completed_ms = next(iter(self._completed.items()))
            if now_ms - completed_ms < _COMPLETED_TTL_MS:
                break
            del self._completed[key]
        for _ in range(n_records_max):
            row = table.oldest()
            if row is None:
                return
            if table.caller_idle_ms(row, now_ms) < self._context.config.record_ttl_ms:
                return
            table.remove(row)

    def _is_removed(self, instance: InstanceId) -> bool:
        state = self._context.fleet.state(instance)
        return state in (InstanceState.DEAD, InstanceState.LEFT)

    def _evict(self) -> None:
        table = self._context.records
        row = table.oldest()
        if row is not None:
            table.n_evicted += 1
            table.remove(row)
