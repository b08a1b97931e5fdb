"""Ends of requests: kept replies, the observer and the journal."""

from collections.abc import Callable

from ..datagram import Datagram, Run
from ..effects import Effect, SendToCaller
from ..journal import Journal, Reason
from .ledger import Ledger
from .outcome import Outcome, OutcomeKind
from .work import Work

__all__ = ["Settlement"]


class Settlement:
    """Settles requests and tells how they ended.

    Parameters
    ----------
    ledger : Ledger
        Keeps replies for further transmissions.
    journal : Journal
        Keeps the reasons of refusals.
    """

    def __init__(self, ledger: Ledger, journal: Journal) -> None:
        self.on_outcome: Callable[[Outcome], None] | None = None
        self._ledger = ledger
        self._journal = journal

    def end(self, work: Work, reply: Datagram, now_ms: int) -> list[Effect]:
        """Settle a request with a refusal and keep it for further transmissions."""
        self._ledger.replies.restart(work)
        work.settle()
        self._ledger.keep_reply(work, reply)
        unknown = reply.run is Run.UNKNOWN
        kind = OutcomeKind.REFUSED_UNKNOWN if unknown else OutcomeKind.REFUSED_NOT_RUN
        self.report(work, kind, now_ms)
        self._journal.note(
            now_ms,
            Reason.REQUEST_REFUSED,
            flow=work.datagram.flow,
            request=work.datagram.request,
            server=work.server,
            detail=f"{reply.code.name} run {reply.run.name}",
        )
        return [SendToCaller(reply)]

    def report(self, work: Work, kind: OutcomeKind, now_ms: int) -> None:
        """Tell the observer how a request ended."""
        if self.on_outcome is None:
            return
        latency_ms = now_ms - work.arrived_at_ms
        datagram = work.datagram
        outcome = Outcome(datagram.service, datagram.traffic_class, kind, latency_ms)
        self.on_outcome(outcome)
