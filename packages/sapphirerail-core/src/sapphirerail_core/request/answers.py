"""Answers of backend servers on their way to the callers."""

import msgspec

from ..datagram import Datagram, HealthReport, Kind, RefusalCode, Run
from ..effects import Effect, SendToCaller
from ..types import ServerId
from .admission import AdmissionController
from .gates import GateTable
from .keys import request_key
from .outcome import OutcomeKind
from .work import Work, WorkState

__all__ = ["AnswerHandler"]

_CLOSING_KINDS = frozenset({Kind.ACK, Kind.REFUSAL, Kind.RESET})


class AnswerHandler:
    """Passes answers on and settles the requests that they complete.

    Parameters
    ----------
    admission : AdmissionController
        Knows the requests.
    gates : GateTable
        Knows the servers.
    """

    def __init__(self, admission: AdmissionController, gates: GateTable) -> None:
        self._admission = admission
        self._ledger = admission.ledger
        self._gates = gates

    def expects(self, datagram: Datagram) -> bool:
        """Return whether a server's datagram belongs to a request or an opening."""
        if datagram.request or datagram.kind is Kind.HEALTH:
            return True
        if datagram.kind not in _CLOSING_KINDS or datagram.part:
            return False
        work = self._ledger.get(request_key(datagram))
        return work is not None and work.state is WorkState.SENT

    def on_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle a datagram of a backend server."""
        if datagram.kind is Kind.HEALTH:
            self._on_health(server, datagram, now_ms)
            return []
        work = self._ledger.get(request_key(datagram))
        if work is None or work.server != server or not work.was_sent:
            return self._pass_late(server, datagram, now_ms)
        effects = self._on_answer(work, datagram, now_ms)
        gate = self._gates.get(server)
        return effects + (self._admission.pump(gate, now_ms) if gate else [])

    def _on_health(self, server: ServerId, datagram: Datagram, now_ms: int) -> None:
        gate = self._gates.get(server)
        if gate is None:
            return
        try:
            report = msgspec.msgpack.decode(datagram.body, type=HealthReport)
        except msgspec.MsgspecError:
            return
        gate.on_report(report, now_ms)

    def _pass_late(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        gate = self._gates.get(server)
        if gate is not None and datagram.part + 1 >= datagram.n_parts:
            gate.on_refusal(request_key(datagram), is_shed=False, now_ms=now_ms)
        if not datagram.caller or datagram.kind is Kind.REFUSAL:
            # Another server may have run it meanwhile; only its owner can tell.
            return []
        return [SendToCaller(datagram)]

    def _on_answer(self, work: Work, datagram: Datagram, now_ms: int) -> list[Effect]:
        caller = work.datagram.caller or datagram.caller
        datagram = msgspec.structs.replace(datagram, caller=caller)
        if datagram.kind is Kind.ANSWER:
            return self._on_part(work, datagram, now_ms)
        if datagram.kind is Kind.ACK:
            return self._complete(work, datagram, now_ms)
        if datagram.kind is Kind.REFUSAL:
            return self._on_refusal(work, datagram, now_ms)
        return self._on_reset(work, datagram, now_ms)

    def _on_part(self, work: Work, datagram: Datagram, now_ms: int) -> list[Effect]:
        if datagram.part in work.parts:
            return []
        if work.reply and work.reply[0].kind is Kind.REFUSAL:
            self._replace_refusal(work)
        work.parts.add(datagram.part)
        self._ledger.keep_reply(work, datagram)
        if len(work.parts) < datagram.n_parts:
            return [SendToCaller(datagram)]
        return self._settle(work, now_ms) + [SendToCaller(datagram)]

    def _replace_refusal(self, work: Work) -> None:
        """Let a late answer replace the refusal that was sent at the deadline."""
        if work.parts:
            self._ledger.replies.drop(work)
        else:
            self._ledger.replies.restart(work)

    def _complete(self, work: Work, datagram: Datagram, now_ms: int) -> list[Effect]:
        self._ledger.keep_reply(work, datagram)
        return self._settle(work, now_ms) + [SendToCaller(datagram)]

    def _settle(self, work: Work, now_ms: int) -> list[Effect]:
        gate = self._gates.gate(work.server, now_ms)
        gate.on_answer(work.key, now_ms)
        if work.state is WorkState.SENT:
            self._admission.settlement.report(work, OutcomeKind.ANSWERED, now_ms)
        work.settle()
        return []

    def _on_refusal(self, work: Work, datagram: Datagram, now_ms: int) -> list[Effect]:
        if work.state is not WorkState.SENT:
            return []
        is_shed = datagram.code is RefusalCode.SERVER_SHED
        gate = self._gates.gate(work.server, now_ms)
        gate.on_refusal(work.key, is_shed, now_ms)
        self._admission.forget_opening(work, now_ms)
        if datagram.run is not Run.NO or work.parts:
            reply = msgspec.structs.replace(datagram, run=Run.UNKNOWN)
            return self._admission.settlement.end(work, reply, now_ms)
        if is_shed:
            retried = self._admission.retry(work, now_ms)
            if retried is not None:
                return retried
        work.was_sent = False
        return self._admission.refuse(work, datagram.code, now_ms)

    def _on_reset(self, work: Work, datagram: Datagram, now_ms: int) -> list[Effect]:
        if work.state is not WorkState.SENT:
            return []
        gate = self._gates.gate(work.server, now_ms)
        gate.on_refusal(work.key, is_shed=False, now_ms=now_ms)
        gate.limit.on_restart(now_ms)
        reply = msgspec.structs.replace(datagram, run=Run.UNKNOWN)
        return self._admission.settlement.end(work, reply, now_ms)
