"""Passes requests and their further transmissions to the instance that holds them."""

from ..datagram import Datagram, RefusalCode, Run
from ..effects import Effect, SendToCaller
from ..types import InstanceId, InstanceState
from .context import Context
from .forwarder import Forwarder
from .keeper import NOBODY
from .messages import Forward
from .replies import refusal
from .work import Work, WorkState, outgoing

__all__ = ["Mover", "refuse_attached"]


def refuse_attached(datagram: Datagram) -> list[Effect]:
    """Answer a further transmission whose claim's holder knows nothing."""
    reply = refusal(datagram, RefusalCode.DUPLICATE, Run.UNKNOWN)
    return [SendToCaller(reply)]


class Mover:
    """Builds the forwards of known requests.

    Parameters
    ----------
    context : Context
        Fleet, plan and settings.
    forwarder : Forwarder
        Way to other instances.
    """

    def __init__(self, context: Context, forwarder: Forwarder) -> None:
        self._context = context
        self._forwarder = forwarder

    def forward(self, work: Work, target: InstanceId, now_ms: int) -> list[Effect]:
        """Send a request, with its claim if it has one, to another owner."""
        forward = Forward(
            datagram=outgoing(work, now_ms),
            server=work.server,
            hop=work.hop,
            tried=work.tried,
            revision=self._context.plan.revision,
            is_claimed=work.is_claimed,
            is_uncertain=work.is_uncertain,
        )
        return self._forwarder.send(forward, target, now_ms)

    def attach(self, work: Work, hop: int, now_ms: int) -> list[Effect]:
        """Send a further transmission to the holder of its claim."""
        holder = work.holder
        fleet = self._context.fleet
        if holder is None or holder in (NOBODY, fleet.self_id):
            return self._unknown(work)
        is_late = now_ms >= work.deadline_at_ms
        if is_late or fleet.state(holder) is InstanceState.DEAD:
            return self._unknown(work)
        if work.state is WorkState.MOVED and not work.is_claimed:
            return self.forward(work, holder, now_ms)
        if hop >= self._context.config.n_hops_max:
            # Each takes another one for the holder; nobody can tell what became of it.
            return self._unknown(work)
        forward = Forward(
            outgoing(work, now_ms), work.server, hop=hop + 1, is_attached=True
        )
        return self._forwarder.send(forward, holder, now_ms)

    @staticmethod
    def _unknown(work: Work) -> list[Effect]:
        reply = refusal(work.datagram, RefusalCode.OWNER_LOST, Run.UNKNOWN)
        return [SendToCaller(reply)]
