"""Forwarding of known requests and retransmissions to the instance that holds them."""

from ..datagram import Datagram, RefusalCode, Run
from ..effects import Effect, SendToCaller
from ..types import InstanceId, InstanceState
from .claim_replica import NO_INSTANCE
from .context import Context
from .forwarder import Forwarder
from .messages import Forward
from .replies import refusal
from .request_record import RequestRecord, RequestState, outgoing_datagram

__all__ = ["Redirector", "refuse_attached"]


def refuse_attached(datagram: Datagram) -> list[Effect]:
    """Refuse a retransmission whose request is unknown to the claim's holder."""
    reply = refusal(datagram, RefusalCode.DUPLICATE, Run.UNKNOWN)
    return [SendToCaller(reply)]


class Redirector:
    """Forwards known requests to other owners and retransmissions to claim holders.

    Parameters
    ----------
    context : Context
        Fleet, plan and settings.
    forwarder : Forwarder
        Transmission to other instances.
    """

    def __init__(self, context: Context, forwarder: Forwarder) -> None:
        self._context = context
        self._forwarder = forwarder

    def forward(
        self, record: RequestRecord, target: InstanceId, now_ms: int
    ) -> list[Effect]:
        """Send a request, with any claim on it, to another owner."""
        forward = Forward(
            datagram=outgoing_datagram(record, now_ms),
            server=record.server,
            hop=record.hop,
            tried=record.tried,
            revision=self._context.plan.revision,
            is_claimed=record.is_claimed,
            is_uncertain=record.is_uncertain,
        )
        return self._forwarder.send(forward, target, now_ms)

    def attach(self, record: RequestRecord, hop: int, now_ms: int) -> list[Effect]:
        """Send a retransmission to the instance that holds the request."""
        holder = record.holder
        fleet = self._context.fleet
        if holder is None or holder in (NO_INSTANCE, fleet.self_id):
            return self._refuse_unknown(record)
        is_late = now_ms >= record.deadline_at_ms
        if is_late or fleet.state(holder) is InstanceState.DEAD:
            return self._refuse_unknown(record)
        if record.state is RequestState.MOVED and not record.is_claimed:
            return self.forward(record, holder, now_ms)
        if hop >= self._context.config.n_hops_max:
            # The instances disagree on the holder for a moment, but the request is held
            # by one of them, which will send its outcome. A refusal could contradict
            # that outcome; the caller's next transmission finds the holder.
            return []
        forward = Forward(
            outgoing_datagram(record, now_ms),
            record.server,
            hop=hop + 1,
            is_attached=True,
        )
        return self._forwarder.send(forward, holder, now_ms)

    @staticmethod
    def _refuse_unknown(record: RequestRecord) -> list[Effect]:
        reply = refusal(record.datagram, RefusalCode.OWNER_LOST, Run.UNKNOWN)
        return [SendToCaller(reply)]
