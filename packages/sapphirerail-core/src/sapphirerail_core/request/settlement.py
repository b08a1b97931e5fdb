"""Completion of requests: kept replies, the observer and the decision journal."""

from collections.abc import Callable

from ..datagram import Datagram, Run
from ..effects import Effect, SendToCaller
from ..journal import Journal, Reason
from .outcome import Outcome, OutcomeKind
from .request_record import RequestRecord
from .request_table import RequestTable

__all__ = ["Settlement"]


class Settlement:
    """Settles requests and reports their outcomes.

    Parameters
    ----------
    request_table : RequestTable
        Known requests, with the replies kept for retransmissions.
    journal : Journal
        Decision journal, which records refusals.
    """

    def __init__(self, request_table: RequestTable, journal: Journal) -> None:
        self.on_outcome: Callable[[Outcome], None] | None = None
        self._request_table = request_table
        self._journal = journal

    def end(self, record: RequestRecord, reply: Datagram, now_ms: int) -> list[Effect]:
        """Settle a request with a refusal, and keep that for retransmissions."""
        self._request_table.replies.restart(record)
        record.settle()
        self._request_table.keep_reply(record, reply)
        unknown = reply.run is Run.UNKNOWN
        kind = OutcomeKind.REFUSED_UNKNOWN if unknown else OutcomeKind.REFUSED_NOT_RUN
        self.report(record, kind, now_ms)
        self._journal.record(
            now_ms,
            Reason.REQUEST_REFUSED,
            flow=record.datagram.flow,
            request=record.datagram.request,
            server=record.server,
            detail=f"{reply.code.name} run {reply.run.name}",
        )
        return [SendToCaller(reply)]

    def report(self, record: RequestRecord, kind: OutcomeKind, now_ms: int) -> None:
        """Report the outcome of a request to the observer."""
        if self.on_outcome is None:
            return
        latency_ms = now_ms - record.arrived_at_ms
        datagram = record.datagram
        outcome = Outcome(datagram.service, datagram.traffic_class, kind, latency_ms)
        self.on_outcome(outcome)
