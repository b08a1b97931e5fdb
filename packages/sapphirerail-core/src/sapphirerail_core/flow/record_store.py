"""The records that this instance keeps as an owner of flows."""

from collections import OrderedDict
from typing import NamedTuple

from ..types import FlowId, InstanceId, InstanceState, ServerId, ServiceId
from .context import FlowContext
from .record_codec import FlowRecord

__all__ = ["Kept", "RecordStore"]

_N_UNKNOWN_MAX = 4_096
_ENDED_LIFE_MS = 30_000  # late claims are refused for so long


class Kept(NamedTuple):
    """What became of a record that was to be kept."""

    previous: InstanceId | None
    accepted: bool
    age_ms: int = 0
    """Age of the claim that counts."""
    ended: bool = False
    """Whether the flow has ended since."""


class RecordStore:
    """Keeps, finds and expires records.

    Parameters
    ----------
    context : FlowContext
        Shared state; the records are in its table ``records``.
    """

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._unknown: OrderedDict[FlowId, InstanceId] = OrderedDict()
        self._ended: OrderedDict[tuple[FlowId, ServerId], int] = OrderedDict()

    def keep_unknown(self, flow: FlowId, holder: InstanceId) -> None:
        """Remember who holds a flow whose server this plan does not know yet."""
        self._unknown[flow] = holder
        if len(self._unknown) > _N_UNKNOWN_MAX:
            self._unknown.popitem(last=False)

    def forget_unknown(self) -> None:
        """Drop what `keep_unknown` noted; a new plan knows the servers."""
        self._unknown.clear()

    def holder_of_unknown(self, flow: FlowId) -> InstanceId | None:
        """Return who holds a flow at a server that this plan does not know."""
        return self._unknown.get(flow) if self._unknown else None

    def keep(
        self,
        record: FlowRecord,
        holder: InstanceId,
        now_ms: int,
        *,
        claims: bool = True,
        age_ms: int = 0,
    ) -> Kept:
        """Keep a record, unless what is kept says more.

        Parameters
        ----------
        record : FlowRecord
            Where the flow is.
        holder : InstanceId
            The instance that says so.
        now_ms : int
            The time.
        claims : bool
            Whether it is the way back. Otherwise a live holder stays.
        age_ms : int
            Age of the claim; it does not go before a later one.

        Returns
        -------
        Kept
            Who held the flow before, and whether the sender holds it now.
        """
        server = self._context.plan.servers.get(record.server)
        if server is None:
            return Kept(None, accepted=False)
        if now_ms - age_ms <= self._ended.get((record.flow, record.server), -1):
            return Kept(None, accepted=False, ended=True)
        table = self._context.records
        row = table.find(server.service, record.flow)
        previous = None if row is None else table.holder(row)
        if row is None:
            if table.is_full():
                self._evict()
            row = table.insert(server.service, record.flow, record.server, now_ms)
        elif previous is not None and not self._is_gone(previous):
            # Of records, the time of the server is that of the last claim.
            kept_age_ms = table.server_idle_ms(row, now_ms)
            is_late = kept_age_ms < age_ms
            if previous != holder and (is_late or not claims):
                table.hear_caller(row, now_ms)
                return Kept(previous, accepted=False, age_ms=kept_age_ms)
        self._write(row, record, holder, now_ms)
        table.hear_server(row, now_ms - age_ms)
        return Kept(previous, accepted=True, age_ms=age_ms)

    def _write(
        self, row: int, record: FlowRecord, holder: InstanceId, now_ms: int
    ) -> None:
        table = self._context.records
        table.set_server(row, record.server)
        table.set_holder(row, holder)
        table.set_caller(row, record.caller)
        table.set_traffic_class(row, record.traffic_class)
        table.hear_caller(row, now_ms)

    def drop(self, record: FlowRecord, now_ms: int) -> InstanceId | None:
        """Drop the record of a flow that has ended, and return its holder.

        A record of the flow at another server stays: it was opened there since.
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
        self._ended[record.flow, record.server] = now_ms
        return holder

    def server(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return where a flow is, or None without a record."""
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
        """Drop records that were not refreshed for too long."""
        table = self._context.records
        while self._ended:
            name, ended_ms = next(iter(self._ended.items()))
            if now_ms - ended_ms < _ENDED_LIFE_MS:
                break
            del self._ended[name]
        for _ in range(n_records_max):
            row = table.oldest()
            if row is None:
                return
            if table.caller_idle_ms(row, now_ms) < self._context.config.record_life_ms:
                return
            table.remove(row)

    def _is_gone(self, instance: InstanceId) -> bool:
        state = self._context.fleet.state(instance)
        return state in (InstanceState.DEAD, InstanceState.LEFT)

    def _evict(self) -> None:
        table = self._context.records
        row = table.oldest()
        if row is not None:
            table.n_evicted += 1
            table.remove(row)
