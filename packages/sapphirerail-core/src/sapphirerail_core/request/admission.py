"""Admission of requests to the servers that this instance owns."""

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
from .ledger import Ledger
from .messages import Forward
from .mover import Mover, refuse_attached
from .replies import refusal
from .retry import RetryBudget
from .roles import RoleState, RoleTable
from .routes import Routes
from .settlement import Settlement
from .work import Work, WorkState, needs_claim, outgoing, with_remaining

__all__ = ["AdmissionController"]

_N_HOPS_FOR_LOAD = 3


class AdmissionController:
    """Queues, sends, moves and refuses the requests for owned servers.

    Parameters
    ----------
    context : Context
        Plan, fleet and settings.
    routes : Routes
        Servers that a request may go to.
    roles : RoleTable
        Which servers this instance may send to.
    gates : GateTable
        Limits and queues of the servers.
    forwarder : Forwarder
        Way to other owners.
    claimant : Claimant
        Obtains the right to run a request that is not idempotent.
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
        self.ledger = Ledger(context.config)
        self.settlement = Settlement(self.ledger, context.journal)
        self._context = context
        self._routes = routes
        self._roles = roles
        self._gates = gates
        self._mover = Mover(context, forwarder)
        self._claimant = claimant
        self._retries = RetryBudget(context.config.retry_share)

    def admit(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Take a request for a server that this instance admits for."""
        work = Work.from_forward(forward, now_ms)
        self.ledger.add(work)
        self._claimant.stop(work.key)
        self._retries.on_request()
        if self.ledger.is_cancelled(work.key):
            return self.refuse(work, RefusalCode.CANCELLED, now_ms)
        effects = self._roles.take(work.server, now_ms)
        return effects + self._place(work, now_ms)

    def refuse_unplaced(
        self, forward: Forward, code: RefusalCode, now_ms: int
    ) -> list[Effect]:
        """Refuse a request that no owner can be found for."""
        work = Work.from_forward(forward, now_ms)
        self.ledger.add(work)
        return self.refuse(work, code, now_ms)

    def relay(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Pass a request on to the owner that this instance knows better.

        One that went round among instances that disagree on the owner waits here
        for the role, which only one of them gets, instead of being refused.
        """
        went_round = forward.hop >= self._context.config.n_hops_max
        if went_round and not self._context.is_draining:
            return self.admit(forward, now_ms)
        work = Work.from_forward(forward, now_ms)
        self.ledger.add(work)
        return self._hand_over(work, now_ms)

    def reroute(self, work: Work, now_ms: int) -> list[Effect]:
        """Go on with a request whose forward was not received."""
        if work.is_claimed:
            # The target may have it all the same, and the right to run it.
            work.was_sent = True
            return self.refuse(work, RefusalCode.OWNER_LOST, now_ms)
        work.is_uncertain = True
        return self._move_or_refuse(work, RefusalCode.UNREACHABLE, now_ms)

    def repeat(
        self, work: Work, datagram: Datagram, now_ms: int, hop: int = 0
    ) -> list[Effect]:
        """Handle a further transmission of a known request."""
        work.renew(datagram)
        if work.state is WorkState.SETTLED:
            return self._repeat_reply(work, datagram, now_ms)
        if work.state in (WorkState.MOVED, WorkState.ATTACHED):
            return self._mover.attach(work, hop, now_ms)
        if work.state is WorkState.SENT and datagram.kind is Kind.OPEN:
            return [SendToServer(work.server, outgoing(work, now_ms))]
        if work.state is WorkState.SENT and work.datagram.idempotent:
            return self._retry_stalled(work, now_ms)
        return []

    def on_attached(self, forward: Forward, now_ms: int) -> list[Effect]:
        """Handle a further transmission that met this instance's claim."""
        work = self.ledger.get(request_key(forward.datagram))
        if work is None:
            return refuse_attached(forward.datagram)
        return self.repeat(work, forward.datagram, now_ms, forward.hop)

    def cancel(self, work: Work, cancel: Datagram, now_ms: int) -> list[Effect]:
        """Stop a request, as far as it has come."""
        if work.state is WorkState.QUEUED:
            self._gates.gate(work.server, now_ms).queue.remove(work.key)
            return self.refuse(work, RefusalCode.CANCELLED, now_ms)
        if work.state is WorkState.CLAIMING:
            work.refusal = RefusalCode.CANCELLED
        if work.state is WorkState.SENT:
            sent = with_remaining(cancel, work.deadline_at_ms, now_ms)
            return [SendToServer(work.server, sent)]
        return []

    def refuse(self, work: Work, code: RefusalCode, now_ms: int) -> list[Effect]:
        """Refuse a request; "not run" is only said with its claim in hand."""
        if needs_claim(work.datagram) and not (work.is_claimed or work.was_sent):
            work.refusal = code
            return self._claim(work, now_ms)
        return self.settlement.end(
            work, refusal(work.datagram, code, work.run()), now_ms
        )

    def on_claims_decided(self, now_ms: int) -> list[Effect]:
        """Go on with the requests whose claims were decided."""
        effects: list[Effect] = []
        for result in self._claimant.take_decided():
            work = self.ledger.get(result.key)
            if work is not None and work.state is WorkState.CLAIMING:
                effects += self._on_decided(work, result, now_ms)
        return effects

    def pump(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Send what has room, and refuse what waited too long."""
        effects: list[Effect] = []
        for item in gate.queue.take_expired(now_ms):
            work = self.ledger.get(item.key)
            if work is not None:
                effects += self.refuse(work, RefusalCode.DEADLINE_EXCEEDED, now_ms)
        while self._roles.is_active(gate.server, now_ms) and gate.has_room(now_ms):
            item_or_none = gate.queue.pop()
            if item_or_none is None:
                break
            work = self.ledger.get(item_or_none.key)
            if work is not None and work.state is WorkState.QUEUED:
                effects += self._send(work, gate, now_ms)
        return effects

    def tick(self, now_ms: int) -> list[Effect]:
        """Handle deadlines, queues and servers that were ejected."""
        effects: list[Effect] = []
        for gate in self._gates.all():
            for key in gate.take_overdue(now_ms):
                effects += self._on_overdue(key, now_ms)
            if gate.is_unreachable():
                effects += self._leave_unreachable(gate, now_ms)
            effects += self._leave_closed(gate, now_ms)
            if gate.is_blocked(now_ms):
                effects += self._leave_blocked(gate, now_ms)
            effects += self.pump(gate, now_ms)
        self.ledger.tick(now_ms)
        return effects

    def leave(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Hand all that waits for a server to other owners."""
        effects: list[Effect] = []
        for item in gate.queue.take_all():
            work = self.ledger.get(item.key)
            if work is not None:
                effects += self._hand_over(work, now_ms)
        return effects

    def retry(
        self, work: Work, now_ms: int, *, may_return: bool = False
    ) -> list[Effect] | None:
        """Send a request that was surely not run, or may run twice, elsewhere.

        Parameters
        ----------
        work : Work
            The request.
        now_ms : int
            The time.
        may_return : bool
            Whether a server that had no room before may be asked again.

        Returns
        -------
        list of Effect or None
            None if there is no other server, no time or no budget.
        """
        if work.deadline_at_ms <= now_ms or not self._retries.has_one():
            return None
        work.was_sent = False
        moved = self._move(work, now_ms, may_return=may_return)
        if moved is None:
            work.was_sent = True
        else:
            self._retries.spend()
        return moved

    def _place(self, work: Work, now_ms: int) -> list[Effect]:
        if not self._may_take(work):
            return self._leave_drained(work, now_ms)
        gate = self._gates.gate(work.server, now_ms)
        if self._is_crowded(gate, work, now_ms):
            # From an ejected server it returns to those that were only crowded.
            is_closed = gate.is_closed(now_ms)
            moved = self._move(work, now_ms, may_return=is_closed)
            if moved is not None:
                return moved
        code = self._lack_of_room(gate, work, now_ms)
        if code is not None:
            return self.refuse(work, code, now_ms)
        if needs_claim(work.datagram) and not work.is_claimed:
            return self._claim(work, now_ms)
        return self._enqueue(work, gate, now_ms)

    def _may_take(self, work: Work) -> bool:
        """Return whether the plan lets a server have a request.

        Who forwarded it may know an older plan. The opening of a flow that the
        server has already is no new work.
        """
        if self._routes.takes_new_work(work.server):
            return True
        datagram = work.datagram
        if datagram.kind is not Kind.OPEN:
            return False
        known = self._context.flows.lookup(datagram.service, datagram.flow)
        return known == work.server

    def _is_crowded(self, gate: ServerGate, work: Work, now_ms: int) -> bool:
        if self._lack_of_room(gate, work, now_ms) is not None:
            return True
        if work.hop >= _N_HOPS_FOR_LOAD:
            return False
        if gate.is_blocked(now_ms):
            return True
        n_ahead = gate.queue.n_ahead(work.datagram.traffic_class)
        return n_ahead >= gate.limit.limit

    def _lack_of_room(
        self, gate: ServerGate, work: Work, now_ms: int
    ) -> RefusalCode | None:
        if gate.is_closed(now_ms):
            return RefusalCode.NO_SERVER
        if work.datagram.kind is Kind.OPEN and not gate.bears_flow():
            return RefusalCode.OVERLOADED
        if gate.wait_ms(work.queue_item()) > work.deadline_at_ms - now_ms:
            return RefusalCode.OVERLOADED
        return None

    def forget_opening(self, work: Work, now_ms: int) -> None:
        """Tell the flows that the server of an opening refused it."""
        if work.datagram.kind is Kind.OPEN:
            self._context.flows.refused(work.datagram, work.server, now_ms)

    def _claim(self, work: Work, now_ms: int) -> list[Effect]:
        work.state = WorkState.CLAIMING
        is_first = not work.is_uncertain
        effects = self._claimant.start(work.key, is_first, work.deadline_at_ms, now_ms)
        return effects + self.on_claims_decided(now_ms)

    def _on_decided(self, work: Work, result: ClaimResult, now_ms: int) -> list[Effect]:
        if result.decision is ClaimDecision.HELD:
            work.state = WorkState.ATTACHED
            work.holder = result.holder
            return self._mover.attach(work, 0, now_ms)
        if result.decision is ClaimDecision.FAILED:
            code = work.refusal or RefusalCode.UNREACHABLE
            reply = refusal(work.datagram, code, Run.UNKNOWN)
            effects = self.settlement.end(work, reply, now_ms)
            # Its right was given back, so a further transmission may try again.
            self.ledger.remove(work)
            return effects
        work.is_claimed = True
        if work.refusal is not None:
            return self.refuse(work, work.refusal, now_ms)
        if self._roles.holder_of(work.server, now_ms) != self._context.fleet.self_id:
            return self._hand_over(work, now_ms)
        if not self._may_take(work):
            return self._leave_drained(work, now_ms)
        return self._enqueue(work, self._gates.gate(work.server, now_ms), now_ms)

    def _enqueue(self, work: Work, gate: ServerGate, now_ms: int) -> list[Effect]:
        work.state = WorkState.QUEUED
        evicted = gate.queue.push(work.queue_item())
        effects: list[Effect] = []
        if evicted is not None:
            loser = self.ledger.get(evicted.key)
            if loser is not None:
                effects += self._move_or_refuse(loser, RefusalCode.OVERLOADED, now_ms)
        return effects + self.pump(gate, now_ms)

    def _send(self, work: Work, gate: ServerGate, now_ms: int) -> list[Effect]:
        remaining_ms = work.deadline_at_ms - now_ms
        if remaining_ms <= 0 or gate.is_hopeless(remaining_ms):
            return self.refuse(work, RefusalCode.DEADLINE_EXCEEDED, now_ms)
        if self._context.plan.is_evacuated(
            self._context.plan.servers[work.server].data_centre
        ):
            return self._hand_over(work, now_ms)
        work.state = WorkState.SENT
        work.was_sent = True
        work.sent_at_ms = now_ms
        gate.on_sent(work.key, work.deadline_at_ms, now_ms)
        sent = outgoing(work, now_ms)
        effects: list[Effect] = []
        if sent.kind is Kind.OPEN:
            gate.n_flows += 1
            effects += self._context.flows.opened(sent, work.server, now_ms)
        return [*effects, SendToServer(work.server, sent)]

    def _move(
        self, work: Work, now_ms: int, *, may_return: bool = False
    ) -> list[Effect] | None:
        if work.hop >= self._context.config.n_hops_max:
            return None
        tried = (*work.tried, work.server)
        servers = self._routes.servers_for(work.datagram, tried)
        if not servers and may_return:
            # Those that had no room a while ago may have it now.
            tried = (work.server,)
            servers = self._routes.servers_for(work.datagram, tried)
        return self._move_to(work, servers[0], tried, now_ms) if servers else None

    def _hand_over(self, work: Work, now_ms: int) -> list[Effect]:
        target = self._roles.holder_of(work.server, now_ms)
        if target is not None and target != self._context.fleet.self_id:
            return self._move_to(work, work.server, work.tried, now_ms)
        return self._leave_drained(work, now_ms)

    def _leave_drained(self, work: Work, now_ms: int) -> list[Effect]:
        """Send a request elsewhere, also to servers that had no room before."""
        code = RefusalCode.NO_SERVER
        return self._move_or_refuse(work, code, now_ms, may_return=True)

    def _move_or_refuse(
        self,
        work: Work,
        code: RefusalCode,
        now_ms: int,
        *,
        may_return: bool = False,
    ) -> list[Effect]:
        moved = self._move(work, now_ms, may_return=may_return)
        if moved is not None:
            return moved
        return self.refuse(work, code, now_ms)

    def _move_to(
        self, work: Work, server: ServerId, tried: tuple[ServerId, ...], now_ms: int
    ) -> list[Effect]:
        target = self._roles.holder_of(server, now_ms)
        work.hop += 1
        work.tried = tried
        work.server = server
        if target is None or target == self._context.fleet.self_id:
            effects = self._roles.take(server, now_ms)
            return effects + self._place(work, now_ms)
        work.state = WorkState.MOVED
        work.holder = target
        return self._mover.forward(work, target, now_ms)

    def _repeat_reply(
        self, work: Work, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        is_refused = bool(work.reply) and work.reply[0].kind is Kind.REFUSAL
        if work.reply and (needs_claim(datagram) or not is_refused):
            caller = work.datagram.caller
            return [
                SendToCaller(msgspec.structs.replace(part, caller=caller))
                for part in work.reply
            ]
        if needs_claim(datagram):
            reply = refusal(work.datagram, RefusalCode.DUPLICATE, Run.UNKNOWN)
            return [SendToCaller(reply)]
        self.ledger.remove(work)
        forward = Forward(datagram, work.server, is_uncertain=True)
        return self.admit(forward, now_ms)

    def _retry_stalled(self, work: Work, now_ms: int) -> list[Effect]:
        gate = self._gates.gate(work.server, now_ms)
        if work.parts:
            return []
        if not gate.has_stalled(work.sent_at_ms, now_ms):
            return []
        work.is_uncertain = True
        return self.retry(work, now_ms) or []

    def _on_overdue(self, key: int, now_ms: int) -> list[Effect]:
        work = self.ledger.get(key)
        if work is None or work.state is not WorkState.SENT:
            return []
        gate = self._gates.gate(work.server, now_ms)
        # A server that was given too little time has not lost the request.
        had_time = gate.gave_enough(work.deadline_at_ms - work.sent_at_ms)
        lost, late = RefusalCode.SERVER_LOST, RefusalCode.DEADLINE_EXCEEDED
        return self.refuse(work, lost if had_time else late, now_ms)

    def _leave_closed(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        if not len(gate.queue):
            return []
        role = self._roles.role(gate.server)
        if role is None:
            return self._find_owner(gate, now_ms)
        if role.state is RoleState.RELEASED or gate.is_closed(now_ms):
            return self.leave(gate, now_ms)
        return []

    def _leave_blocked(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Move what waits for the end of a lost owner's requests, if it can go."""
        effects: list[Effect] = []
        for item in gate.queue.take_all():
            work = self.ledger.get(item.key)
            if work is None:
                continue
            moved = self._move(work, now_ms)
            if moved is None:
                gate.queue.push(item)
            else:
                effects += moved
        return effects

    def _leave_unreachable(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Send elsewhere what an unreachable server has got and may run twice.

        What was sent a moment ago stays: it is the way to find out that a server
        can be reached again by new connections.
        """
        effects: list[Effect] = []
        sent_by_ms = now_ms - self._context.config.notice_ms
        for key in list(gate.in_flight):
            work = self.ledger.get(RequestKey(key))
            if work is None or work.state is not WorkState.SENT or work.parts:
                continue
            if needs_claim(work.datagram) or work.sent_at_ms > sent_by_ms:
                continue
            work.is_uncertain = True
            self.forget_opening(work, now_ms)
            moved = self.retry(work, now_ms, may_return=True)
            if moved is None:
                continue
            gate.give_up(key)
            effects += moved
        return effects

    def _find_owner(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        """Go on with what waits after the role was given up with the lease."""
        target = self._roles.holder_of(gate.server, now_ms)
        if target == self._context.fleet.self_id:
            return self._roles.take(gate.server, now_ms)
        return self.leave(gate, now_ms)
