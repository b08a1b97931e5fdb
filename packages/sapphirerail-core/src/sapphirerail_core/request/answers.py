"""Handling of datagrams from backend servers."""

import msgspec

from ..datagram import Datagram, HealthReport, Kind, RefusalCode, Run
from ..effects import Effect, SendToCaller
from ..types import ServerId
from .admission import AdmissionController
from .gates import GateTable
from .keys import request_key
from .outcome import OutcomeKind
from .request_record import RequestRecord, RequestState

__all__ = ["AnswerHandler"]

_CLOSING_KINDS = frozenset({Kind.ACK, Kind.REFUSAL, Kind.RESET})


class AnswerHandler:
    """Sends answers on to callers and settles the requests that they complete.

    Parameters
    ----------
    admission : AdmissionController
        Admission of requests, with the known requests.
    gates : GateTable
        Admission gates of the servers.
    """

    def __init__(self, admission: AdmissionController, gates: GateTable) -> None:
        self._admission = admission
        self._request_table = admission.request_table
        self._gates = gates

    def expects(self, datagram: Datagram) -> bool:
        """Return whether a server's datagram belongs to a request or an opening."""
        if datagram.request or datagram.kind is Kind.HEALTH:
            return True
        if datagram.kind not in _CLOSING_KINDS or datagram.part:
            return False
        record = self._request_table.get(request_key(datagram))
        return record is not None and record.state is RequestState.SENT

    def on_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle a datagram of a backend server."""
        if datagram.kind is Kind.HEALTH:
            self._on_health(server, datagram, now_ms)
            return []
        record = self._request_table.get(request_key(datagram))
        if record is None or record.server != server or not record.was_sent:
            return self._pass_late(server, datagram, now_ms)
        effects = self._on_answer(record, datagram, now_ms)
        gate = self._gates.get(server)
        return effects + (self._admission.send_queued(gate, now_ms) if gate else [])

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
            # Another server may have run the request; only its owner knows.
            return []
        return [SendToCaller(datagram)]

    def _on_answer(
        self, record: RequestRecord, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        caller = record.datagram.caller or datagram.caller
        datagram = msgspec.structs.replace(datagram, caller=caller)
        if datagram.kind is Kind.ANSWER:
            return self._on_part(record, datagram, now_ms)
        if datagram.kind is Kind.ACK:
            return self._complete(record, datagram, now_ms)
        if datagram.kind is Kind.REFUSAL:
            return self._on_refusal(record, datagram, now_ms)
        return self._on_reset(record, datagram, now_ms)

    def _on_part(
        self, record: RequestRecord, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        if datagram.part in record.parts:
            return []
        if record.reply and record.reply[0].kind is Kind.REFUSAL:
            self._replace_refusal(record)
        record.parts.add(datagram.part)
        self._request_table.keep_reply(record, datagram)
        if len(record.parts) < datagram.n_parts:
            return [SendToCaller(datagram)]
        return self._settle(record, now_ms) + [SendToCaller(datagram)]

    def _replace_refusal(self, record: RequestRecord) -> None:
        """Replace the kept refusal, sent at the deadline, by a late answer."""
        if record.parts:
            self._request_table.replies.drop(record)
        else:
            self._request_table.replies.restart(record)

    def _complete(
        self, record: RequestRecord, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        self._request_table.keep_reply(record, datagram)
        return self._settle(record, now_ms) + [SendToCaller(datagram)]

    def _settle(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        gate = self._gates.get_or_create(record.server, now_ms)
        gate.on_answer(record.key, now_ms)
        if record.state is RequestState.SENT:
            self._admission.settlement.report(record, OutcomeKind.ANSWERED, now_ms)
        record.settle()
        return []

    def _on_refusal(
        self, record: RequestRecord, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        if record.state is not RequestState.SENT:
            return []
        is_shed = datagram.code is RefusalCode.SERVER_SHED
        gate = self._gates.get_or_create(record.server, now_ms)
        gate.on_refusal(record.key, is_shed, now_ms)
        self._admission.report_refused_opening(record, now_ms)
        if datagram.run is not Run.NO or record.parts:
            reply = msgspec.structs.replace(datagram, run=Run.UNKNOWN)
            return self._admission.settlement.end(record, reply, now_ms)
        if is_shed:
            retried = self._admission.retry(record, now_ms)
            if retried is not None:
                return retried
        record.was_sent = False
        return self._admission.refuse(record, datagram.code, now_ms)

    def _on_reset(
        self, record: RequestRecord, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        if record.state is not RequestState.SENT:
            return []
        gate = self._gates.get_or_create(record.server, now_ms)
        gate.on_refusal(record.key, is_shed=False, now_ms=now_ms)
        gate.limit.on_restart(now_ms)
        reply = msgspec.structs.replace(datagram, run=Run.UNKNOWN)
        return self._admission.settlement.end(record, reply, now_ms)
