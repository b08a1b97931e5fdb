"""Admission of requests to the servers owned by this instance."""

import msgspec

from ..datagram import Datagram, Kind, RefusalCode, Run
from ..effects import Effect, SendToCaller, SendToServer
from ..load.gate import ServerGate
from ..types import ServerId
from .claimant import Claimant, ClaimDecision, ClaimResult
from .context import Context
from .forwarder import Forwarder
from .gates import GateTable
from .keys import RequestKey, request_key
from .messages import Forward
from .redirector import Redirector, refuse_attached
from .replies import refusal
from .request_record import (
    RequestRecord,
    RequestState,
    needs_claim,
    outgoing_datagram,
    with_remaining_deadline,
)
from .request_table import RequestTable
from .retry import RetryBudget
from .roles import RoleState, RoleTable
from .routes import Routes
from .settlement import Settlement

__all__ = ["AdmissionController"]

# Requests that have passed this many instances are no longer moved because of load.
_N_HOPS_MAX_FOR_LOAD = 3


class AdmissionController:
    """Queues, sends, moves and refuses requests for owned servers.

    Parameters
    ----------
    context : Context
        Plan, fleet and settings.
    routes : Routes
        Eligible servers of a request.
    roles : RoleTable
        Admission roles of this instance.
    gates : GateTable
        Limits and queues of the servers.
    forwarder : Forwarder
        Transmission to other owners.
    claimant : Claimant
        Acquires the exclusive right to run requests that are not idempotent.
    """

    def __init__(
        self,
        context: Context,
        routes: Routes,
        roles: RoleTable,
        gates: GateTable,
        forwarder: Forwarder,
        claimant: Claimant,
    ) -> None:
        self.request_table = RequestTable(context.config)
        self.settlement = Settlement(self.request_table, context.journal)
        self._context = context
        self._routes = routes
        self._roles = roles
        self._gates = gates
        self._redirector = Redirector(context, forwarder)
        self._claimant = claimant
        self._retries = RetryBudget(context.config.retry_share)

    def admit(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Accept a request for a server that this instance owns."""
        record = RequestRecord.from_forward(forward, now_ms)
        self.request_table.add(record)
        self._claimant.stop(record.key)
        self._retries.on_request()
        if self.request_table.is_cancelled(record.key):
            return self.refuse(record, RefusalCode.CANCELLED, now_ms)
        effects = self._roles.acquire(record.server, now_ms)
        return effects + self._assign(record, now_ms)

    def refuse_unplaced(
        self, forward: Forward, code: RefusalCode, now_ms: int
    ) -> list[Effect]:
        """Refuse a request for which there is no reachable server or owner."""
        record = RequestRecord.from_forward(forward, now_ms)
        self.request_table.add(record)
        return self.refuse(record, code, now_ms)

    def relay(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Pass a request on to the owner in this instance's view.

        A request that has used up its hops among instances that disagree on the owner
        waits here for the role, which only one of them acquires, instead of being
        refused.
        """
        is_out_of_hops = forward.hop >= self._context.config.n_hops_max
        if is_out_of_hops and not self._context.is_draining:
            return self.admit(forward, now_ms)
        record = RequestRecord.from_forward(forward, now_ms)
        self.request_table.add(record)
        return self._hand_over(record, now_ms)

    def reroute(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        """Reassign a request whose forward was not acknowledged."""
        if record.is_claimed:
            # The target may have received the request and the right to run it.
            record.was_sent = True
            return self.refuse(record, RefusalCode.OWNER_LOST, now_ms)
        record.is_uncertain = True
        return self._move_or_refuse(record, RefusalCode.UNREACHABLE, now_ms)

    def on_retransmission(
        self, record: RequestRecord, datagram: Datagram, now_ms: int, hop: int = 0
    ) -> list[Effect]:
        """Handle a retransmission of a known request."""
        record.merge_retransmission(datagram)
        if record.state is RequestState.SETTLED:
            return self._resend_reply(record, datagram, now_ms)
        if record.state in (RequestState.MOVED, RequestState.ATTACHED):
            return self._redirector.attach(record, hop, now_ms)
        if record.state is RequestState.SENT and datagram.kind is Kind.OPEN:
            return [SendToServer(record.server, outgoing_datagram(record, now_ms))]
        if record.state is RequestState.SENT and record.datagram.idempotent:
            return self._retry_stalled(record, now_ms)
        return []

    def on_attached(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Handle a retransmission of a request whose claim this instance holds."""
        record = self.request_table.get(request_key(forward.datagram))
        if record is None:
            return refuse_attached(forward.datagram)
        return self.on_retransmission(record, forward.datagram, now_ms, forward.hop)

    def cancel(
        self, record: RequestRecord, cancel: Datagram, now_ms: int
    ) -> list[Effect]:
        """Cancel a request at its current stage."""
        if record.state is RequestState.QUEUED:
            self._gates.get_or_create(record.server, now_ms).queue.remove(record.key)
            return self.refuse(record, RefusalCode.CANCELLED, now_ms)
        if record.state is RequestState.CLAIMING:
            record.refusal = RefusalCode.CANCELLED
        if record.state is RequestState.SENT:
            sent = with_remaining_deadline(cancel, record.deadline_at_ms, now_ms)
            return [SendToServer(record.server, sent)]
        return []

    def refuse(
        self, record: RequestRecord, code: RefusalCode, now_ms: int
    ) -> list[Effect]:
        """Refuse a request, first claiming it if needed to state "not run"."""
        if needs_claim(record.datagram) and not (record.is_claimed or record.was_sent):
            record.refusal = code
            return self._claim(record, now_ms)
        return self.settlement.end(
            record, refusal(record.datagram, code, record.run_status()), now_ms
        )

    def on_claims_decided(self, now_ms: int) -> list[Effect]:
        """Continue the requests whose claims were decided."""
        effects: list[Effect] = []
        for result in self._claimant.take_decided():
            record = self.request_table.get(result.key)
            if record is not None and record.state is RequestState.CLAIMING:
                effects += self._on_decided(record, result, now_ms)
        return effects

    def send_queued(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Send queued requests up to the limit, and refuse expired ones."""
        effects: list[Effect] = []
        for item in gate.queue.pop_expired(now_ms):
            record = self.request_table.get(item.key)
            if record is not None:
                effects += self.refuse(record, RefusalCode.DEADLINE_EXCEEDED, now_ms)
        while self._roles.is_active(gate.server, now_ms) and gate.has_capacity(now_ms):
            item_or_none = gate.queue.pop()
            if item_or_none is None:
                break
            record = self.request_table.get(item_or_none.key)
            if record is not None and record.state is RequestState.QUEUED:
                effects += self._send(record, gate, now_ms)
        return effects

    def tick(self, now_ms: int) -> list[Effect]:
        """Handle deadlines, queues and unavailable servers."""
        effects: list[Effect] = []
        for gate in self._gates.all():
            for key in gate.check_deadlines(now_ms):
                effects += self._on_overdue(key, now_ms)
            if gate.is_unreachable():
                effects += self._move_from_unreachable(gate, now_ms)
            effects += self._move_from_unavailable(gate, now_ms)
            if gate.is_blocked_by_failed_owners(now_ms):
                effects += self._move_blocked(gate, now_ms)
            effects += self.send_queued(gate, now_ms)
        self.request_table.tick(now_ms)
        return effects

    def hand_over_queue(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Hand all queued requests of a server to other owners."""
        effects: list[Effect] = []
        for item in gate.queue.pop_all():
            record = self.request_table.get(item.key)
            if record is not None:
                effects += self._hand_over(record, now_ms)
        return effects

    def retry(
        self, record: RequestRecord, now_ms: int, *, may_return: bool = False
    ) -> list[Effect] | None:
        """Send a request to another server.

        It must not have been run, or be safe to run twice.

        Parameters
        ----------
        record : RequestRecord
            The request.
        now_ms : int
            Current time.
        may_return : bool
            Whether a server that had no capacity before may be tried again.

        Returns
        -------
        list of Effect or None
            None if there is no other server, no time or no retry budget.
        """
        if record.deadline_at_ms <= now_ms or not self._retries.has_token():
            return None
        record.was_sent = False
        moved = self._move(record, now_ms, may_return=may_return)
        if moved is None:
            record.was_sent = True
        else:
            self._retries.spend()
        return moved

    def _assign(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        if not self._may_admit(record):
            return self._move_from_drained(record, now_ms)
        gate = self._gates.get_or_create(record.server, now_ms)
        if self._is_busy(gate, record, now_ms):
            # From an ejected server it may return to servers that were merely busy.
            is_unavailable = gate.is_unavailable(now_ms)
            moved = self._move(record, now_ms, may_return=is_unavailable)
            if moved is not None:
                return moved
        code = self._capacity_refusal(gate, record, now_ms)
        if code is not None:
            return self.refuse(record, code, now_ms)
        if needs_claim(record.datagram) and not record.is_claimed:
            return self._claim(record, now_ms)
        return self._enqueue(record, gate, now_ms)

    def _may_admit(self, record: RequestRecord) -> bool:
        """Return whether the plan allows sending a request to its server.

        The forwarding instance may have an older plan. The opening of a flow that is
        already on the server does not count as new work.
        """
        if self._routes.accepts_new_work(record.server):
            return True
        datagram = record.datagram
        if datagram.kind is not Kind.OPEN:
            return False
        known = self._context.flows.lookup(datagram.service, datagram.flow)
        return known == record.server

    def _is_busy(self, gate: ServerGate, record: RequestRecord, now_ms: int) -> bool:
        if self._capacity_refusal(gate, record, now_ms) is not None:
            return True
        if record.hop >= _N_HOPS_MAX_FOR_LOAD:
            return False
        if gate.is_blocked_by_failed_owners(now_ms):
            return True
        n_ahead = gate.queue.n_ahead(record.datagram.traffic_class)
        return n_ahead >= gate.limit.n_in_flight_max

    def _capacity_refusal(
        self, gate: ServerGate, record: RequestRecord, now_ms: int
    ) -> RefusalCode | None:
        if gate.is_unavailable(now_ms):
            return RefusalCode.NO_SERVER
        if record.datagram.kind is Kind.OPEN and not gate.can_open_flow():
            return RefusalCode.OVERLOADED
        if (
            gate.expected_response_ms(record.queue_item())
            > record.deadline_at_ms - now_ms
        ):
            return RefusalCode.OVERLOADED
        return None

    def report_refused_opening(self, record: RequestRecord, now_ms: int) -> None:
        """Report to the flow table that a server refused an opening."""
        if record.datagram.kind is Kind.OPEN:
            self._context.flows.refused(record.datagram, record.server, now_ms)

    def _claim(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        record.state = RequestState.CLAIMING
        is_first = not record.is_uncertain
        effects = self._claimant.start(
            record.key, is_first, record.deadline_at_ms, now_ms
        )
        return effects + self.on_claims_decided(now_ms)

    def _on_decided(
        self, record: RequestRecord, result: ClaimResult, now_ms: int
    ) -> list[Effect]:
        if result.decision is ClaimDecision.HELD:
            record.state = RequestState.ATTACHED
            record.holder = result.holder
            return self._redirector.attach(record, 0, now_ms)
        if result.decision is ClaimDecision.FAILED:
            code = record.refusal or RefusalCode.UNREACHABLE
            reply = refusal(record.datagram, code, Run.UNKNOWN)
            effects = self.settlement.end(record, reply, now_ms)
            # The claim's grants were returned, so a retransmission may claim again.
            self.request_table.remove(record)
            return effects
        record.is_claimed = True
        if record.refusal is not None:
            return self.refuse(record, record.refusal, now_ms)
        if self._roles.holder_of(record.server, now_ms) != self._context.fleet.self_id:
            return self._hand_over(record, now_ms)
        if not self._may_admit(record):
            return self._move_from_drained(record, now_ms)
        return self._enqueue(
            record, self._gates.get_or_create(record.server, now_ms), now_ms
        )

    def _enqueue(
        self, record: RequestRecord, gate: ServerGate, now_ms: int
    ) -> list[Effect]:
        record.state = RequestState.QUEUED
        evicted = gate.queue.push(record.queue_item())
        effects: list[Effect] = []
        if evicted is not None:
            evicted_record = self.request_table.get(evicted.key)
            if evicted_record is not None:
                effects += self._move_or_refuse(
                    evicted_record, RefusalCode.OVERLOADED, now_ms
                )
        return effects + self.send_queued(gate, now_ms)

    def _send(
        self, record: RequestRecord, gate: ServerGate, now_ms: int
    ) -> list[Effect]:
        remaining_ms = record.deadline_at_ms - now_ms
        if remaining_ms <= 0 or gate.is_likely_to_miss_deadline(remaining_ms):
            return self.refuse(record, RefusalCode.DEADLINE_EXCEEDED, now_ms)
        if self._context.plan.is_evacuated(
            self._context.plan.servers[record.server].data_centre
        ):
            return self._hand_over(record, now_ms)
        record.state = RequestState.SENT
        record.was_sent = True
        record.sent_at_ms = now_ms
        gate.on_sent(record.key, record.deadline_at_ms, now_ms)
        sent = outgoing_datagram(record, now_ms)
        effects: list[Effect] = []
        if sent.kind is Kind.OPEN:
            gate.n_flows += 1
            effects += self._context.flows.opened(sent, record.server, now_ms)
        return [*effects, SendToServer(record.server, sent)]

    def _move(
        self, record: RequestRecord, now_ms: int, *, may_return: bool = False
    ) -> list[Effect] | None:
        if record.hop >= self._context.config.n_hops_max:
            return None
        tried = (*record.tried, record.server)
        servers = self._routes.servers_for(record.datagram, tried)
        if not servers and may_return:
            # Servers that had no capacity before may have it now.
            tried = (record.server,)
            servers = self._routes.servers_for(record.datagram, tried)
        return self._move_to(record, servers[0], tried, now_ms) if servers else None

    def _hand_over(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        target = self._roles.holder_of(record.server, now_ms)
        if target is not None and target != self._context.fleet.self_id:
            return self._move_to(record, record.server, record.tried, now_ms)
        return self._move_from_drained(record, now_ms)

    def _move_from_drained(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        """Move a request, also to servers that had no capacity before."""
        code = RefusalCode.NO_SERVER
        return self._move_or_refuse(record, code, now_ms, may_return=True)

    def _move_or_refuse(
        self,
        record: RequestRecord,
        code: RefusalCode,
        now_ms: int,
        *,
        may_return: bool = False,
    ) -> list[Effect]:
        moved = self._move(record, now_ms, may_return=may_return)
        if moved is not None:
            return moved
        return self.refuse(record, code, now_ms)

    def _move_to(
        self,
        record: RequestRecord,
        server: ServerId,
        tried: tuple[ServerId, ...],
        now_ms: int,
    ) -> list[Effect]:
        target = self._roles.holder_of(server, now_ms)
        record.hop += 1
        record.tried = tried
        record.server = server
        if target is None or target == self._context.fleet.self_id:
            effects = self._roles.acquire(server, now_ms)
            return effects + self._assign(record, now_ms)
        record.state = RequestState.MOVED
        record.holder = target
        return self._redirector.forward(record, target, now_ms)

    def _resend_reply(
        self, record: RequestRecord, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        is_refused = bool(record.reply) and record.reply[0].kind is Kind.REFUSAL
        if record.reply and (needs_claim(datagram) or not is_refused):
            caller = record.datagram.caller
            return [
                SendToCaller(msgspec.structs.replace(part, caller=caller))
                for part in record.reply
            ]
        if needs_claim(datagram):
            reply = refusal(record.datagram, RefusalCode.DUPLICATE, Run.UNKNOWN)
            return [SendToCaller(reply)]
        self.request_table.remove(record)
        forward = Forward(datagram, record.server, is_uncertain=True)
        return self.admit(forward, now_ms)

    def _retry_stalled(self, record: RequestRecord, now_ms: int) -> list[Effect]:
        gate = self._gates.get_or_create(record.server, now_ms)
        if record.parts:
            return []
        if not gate.has_stalled(record.sent_at_ms, now_ms):
            return []
        record.is_uncertain = True
        return self.retry(record, now_ms) or []

    def _on_overdue(self, key: int, now_ms: int) -> list[Effect]:
        record = self.request_table.get(key)
        if record is None or record.state is not RequestState.SENT:
            return []
        gate = self._gates.get_or_create(record.server, now_ms)
        # If the server was given too little time, the request does not count as lost.
        had_time = gate.is_sufficient_time(record.deadline_at_ms - record.sent_at_ms)
        lost_code, late_code = RefusalCode.SERVER_LOST, RefusalCode.DEADLINE_EXCEEDED
        return self.refuse(record, lost_code if had_time else late_code, now_ms)

    def _move_from_unavailable(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        if not len(gate.queue):
            return []
        role = self._roles.role(gate.server)
        if role is None:
            return self._reassign_queue(gate, now_ms)
        if role.state is RoleState.RELEASED or gate.is_unavailable(now_ms):
            return self.hand_over_queue(gate, now_ms)
        return []

    def _move_blocked(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Move queued requests blocked by those of a failed owner, if possible."""
        effects: list[Effect] = []
        for item in gate.queue.pop_all():
            record = self.request_table.get(item.key)
            if record is None:
                continue
            moved = self._move(record, now_ms)
            if moved is None:
                gate.queue.push(item)
            else:
                effects += moved
        return effects

    def _move_from_unreachable(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Move requests in flight at an unreachable server, if safe to run twice.

        Recently sent requests stay, as they show whether the server has become
        reachable again by new connections.
        """
        effects: list[Effect] = []
        sent_by_ms = now_ms - self._context.config.notice_ms
        for key in list(gate.in_flight):
            record = self.request_table.get(RequestKey(key))
            if record is None or record.state is not RequestState.SENT or record.parts:
                continue
            if needs_claim(record.datagram) or record.sent_at_ms > sent_by_ms:
                continue
            record.is_uncertain = True
            self.report_refused_opening(record, now_ms)
            moved = self.retry(record, now_ms, may_return=True)
            if moved is None:
                continue
            gate.release_slot(key)
            effects += moved
        return effects

    def _reassign_queue(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Reassign queued requests after the role was abandoned with the lease."""
        target = self._roles.holder_of(gate.server, now_ms)
        if target == self._context.fleet.self_id:
            return self._roles.acquire(gate.server, now_ms)
        return self.hand_over_queue(gate, now_ms)
