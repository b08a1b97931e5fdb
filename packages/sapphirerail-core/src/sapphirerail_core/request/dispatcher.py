"""Dispatch of requests and flow openings to backend servers."""

import random
from collections.abc import Callable
from functools import singledispatchmethod

from ..datagram import Datagram
from ..effects import Effect, Message, SendToPeer
from ..fleet.view import FleetView
from ..journal import Journal
from ..plan.model import Plan
from ..types import InstanceId, InstanceState, ServerId
from .admission import AdmissionController
from .answers import AnswerHandler
from .claim_replica import ClaimReplica
from .claimant import Claimant
from .config import DispatcherConfig
from .context import Context
from .forwarder import Forwarder
from .gates import GateTable
from .handover import ClaimTransfer, claim_handovers
from .history import MembershipHistory
from .ingress import Ingress
from .keys import request_key
from .messages import (
    Claim,
    ClaimHandover,
    Forward,
    Grant,
    LoadNotice,
    RoleClaim,
    RoleRelease,
    Taken,
    Withdraw,
)
from .outcome import Outcome
from .ports import FlowPort
from .roles import RoleTable
from .routes import Routes
from .status import DispatcherStatus

__all__ = ["Dispatcher"]

# A longer gap between two calls counts as a pause of the process.
_PAUSE_GAP_MS = 500


class Dispatcher:
    """Facade of admission, claims and answers at one instance.

    Parameters
    ----------
    context : Context
        Settings, collaborators and the plan in force.
    started_at_ms : int or None
        When the instance started; None means the time of the first call.
    """

    def __init__(self, context: Context, started_at_ms: int | None = None) -> None:
        config = context.config
        self._context = context
        self._routes = Routes(context)
        self._claim_replica = ClaimReplica(config.claim_margin_ms, config.n_claims_max)
        self._history = MembershipHistory(context, started_at_ms)
        self._claimant = Claimant(context, self._claim_replica, self._history)
        self._transfer = ClaimTransfer(context, self._claim_replica)
        self._forwarder = Forwarder(context)
        self._roles = RoleTable(context, self._routes, started_at_ms)
        self._gates = GateTable(context, self._roles)
        self._admission = AdmissionController(
            context,
            self._routes,
            self._roles,
            self._gates,
            self._forwarder,
            self._claimant,
        )
        self._ingress = Ingress(
            context, self._routes, self._roles, self._forwarder, self._admission
        )
        self._answers = AnswerHandler(self._admission, self._gates)
        self._last_call_at_ms: int | None = None

    @classmethod
    def from_config(
        cls,
        config: DispatcherConfig,
        fleet: FleetView,
        flows: FlowPort,
        journal: Journal,
        random_state: random.Random,
        started_at_ms: int | None = None,
    ) -> "Dispatcher":
        """Create a dispatcher without a plan."""
        context = Context(config, fleet, flows, journal, random_state)
        return cls(context, started_at_ms)

    @property
    def on_outcome(self) -> Callable[[Outcome], None] | None:
        """Callback that receives the outcome of each request."""
        return self._admission.settlement.on_outcome

    @on_outcome.setter
    def on_outcome(self, observer: Callable[[Outcome], None] | None) -> None:
        self._admission.settlement.on_outcome = observer

    @property
    def n_in_flight(self) -> int:
        """Number of unfinished duties; a leaving instance may exit at 0.

        These are requests without an outcome, unacknowledged forwards, and reports
        to new role holders.
        """
        n_owed = self._admission.request_table.n_open() + len(self._forwarder)
        return n_owed + self._gates.n_unreported()

    def on_plan(self, plan: Plan, now_ms: int) -> list[Effect]:
        """Apply a new plan, and reassign what waits for leaving servers."""
        previous = self._context.plan
        self._context.plan = plan
        self._routes.invalidate()
        previous_in_service = [
            name for name in previous.data_centres if not previous.is_evacuated(name)
        ]
        in_service = [name for name in plan.data_centres if not plan.is_evacuated(name)]
        if previous_in_service and set(previous_in_service) != set(in_service):
            self._claimant.on_data_centres_changed(previous_in_service, now_ms)
        effects: list[Effect] = []
        for gate in self._gates.all():
            if not self._routes.accepts_new_work(gate.server):
                effects += self._admission.hand_over_queue(gate, now_ms)
            if gate.server not in plan.servers and not gate.in_flight:
                self._gates.drop(gate.server)
                self._roles.drop(gate.server)
        return effects

    def submit(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Handle an opening, a request or a cancellation from a caller."""
        self._check_lease(now_ms)
        return self._ingress.submit(datagram, now_ms)

    def expects(self, datagram: Datagram) -> bool:
        """Return whether a server's datagram is for the dispatcher, not for a flow."""
        return self._answers.expects(datagram)

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle an answer or a health report of a server."""
        self._check_lease(now_ms)
        return self._answers.on_datagram(server, datagram, now_ms)

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Handle a message of another instance."""
        self._check_lease(now_ms)
        return self._on_message(message, sender, now_ms)

    def on_instance_state(
        self, instance: InstanceId, state: InstanceState, now_ms: int
    ) -> list[Effect]:
        """Handle a membership change."""
        self._routes.invalidate()
        self._history.on_state(instance, state, now_ms)
        if state in (InstanceState.DEAD, InstanceState.LEFT):
            self._roles.on_departed(instance, now_ms)
            self._transfer.on_departed(instance)
        elif state is InstanceState.ALIVE:
            self._roles.on_rejoined(instance)
            self._transfer.on_joined(instance, now_ms)
        return []

    def tick(self, now_ms: int) -> list[Effect]:
        """Handle deadlines, queues, retransmissions and roles."""
        self._check_lease(now_ms)
        self._routes.tick(now_ms)
        self._claim_replica.drop_expired(now_ms)
        effects = self._transfer.tick(now_ms)
        effects += self._claimant.tick(now_ms)
        effects += self._admission.on_claims_decided(now_ms)
        repeated, failed = self._forwarder.tick(now_ms)
        effects += repeated
        for forward in failed:
            effects += self._ingress.on_unreceived(forward, now_ms)
        effects += self._advance_roles(now_ms)
        effects += self._admission.tick(now_ms)
        return effects + self._gates.tick(now_ms)

    def drain(self, now_ms: int) -> list[Effect]:
        """Begin a planned stop: hand over queued requests and all claims."""
        self._context.is_draining = True
        self._routes.invalidate()
        self._roles.abandon_all()
        effects: list[Effect] = []
        for gate in self._gates.all():
            effects += self._admission.hand_over_queue(gate, now_ms)
        entries = self._claim_replica.entries(now_ms)
        return effects + claim_handovers(self._context, entries)

    def status(self, now_ms: int) -> DispatcherStatus:
        """Return the status for operators."""
        return DispatcherStatus(
            is_draining=self._context.is_draining,
            holds_lease=self._context.fleet.holds_lease(now_ms),
            n_in_flight=self.n_in_flight,
            n_requests_known=len(self._admission.request_table),
            n_claims_kept=len(self._claim_replica),
            servers=self._gates.status(now_ms),
        )

    def _check_lease(self, now_ms: int) -> None:
        if self._last_call_at_ms is None:
            self._last_call_at_ms = now_ms
            self._history.start(now_ms)
            self._roles.start(now_ms)
        gap_ms = now_ms - self._last_call_at_ms
        paused = gap_ms > _PAUSE_GAP_MS
        self._last_call_at_ms = now_ms
        if paused:
            self._history.on_pause(gap_ms, now_ms)
            self._context.resumed_at_ms = now_ms
        if paused or not self._context.fleet.holds_lease(now_ms):
            self._roles.abandon_all()

    def _advance_roles(self, now_ms: int) -> list[Effect]:
        effects, gained = self._roles.tick(now_ms)
        for server in gained:
            self._gates.on_role_acquired(server, now_ms)
            gate = self._gates.get(server)
            if gate is not None:
                effects += self._admission.send_queued(gate, now_ms)
        return effects

    @singledispatchmethod
    def _on_message(
        self, message: Message, sender: InstanceId, now_ms: int
    ) -> list[Effect]:
        raise TypeError(f"no handler for messages of type {type(message).__name__}")

    @_on_message.register
    def _(self, message: Forward, sender: InstanceId, now_ms: int) -> list[Effect]:
        effects = self._ingress.on_forward(sender, message, now_ms)
        gate = self._gates.get(message.server)
        taken = Taken(
            key=request_key(message.datagram),
            hop=message.hop,
            server=message.server,
            n_waiting=gate.n_outstanding() if gate is not None else 0,
            is_attached=message.is_attached,
        )
        return [SendToPeer(sender, taken), *effects]

    @_on_message.register
    def _(self, message: Taken, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._ingress.on_receipt(sender, message, now_ms)
        return []

    @_on_message.register
    def _(self, message: Claim, sender: InstanceId, now_ms: int) -> list[Effect]:
        grant = self._claim_replica.claim(sender, message, now_ms)
        effects: list[Effect] = [SendToPeer(sender, grant)]
        if not self._context.is_draining:
            return effects
        entries = self._claim_replica.entries_of(message.key, now_ms)
        return effects + claim_handovers(self._context, entries)

    @_on_message.register
    def _(self, message: Grant, sender: InstanceId, now_ms: int) -> list[Effect]:
        effects = self._claimant.on_grant(sender, message, now_ms)
        return effects + self._admission.on_claims_decided(now_ms)

    @_on_message.register
    def _(self, message: Withdraw, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._claim_replica.withdraw(sender, message)
        return []

    @_on_message.register
    def _(
        self, message: ClaimHandover, sender: InstanceId, now_ms: int
    ) -> list[Effect]:
        for entry in message.entries:
            self._claim_replica.restore(entry, now_ms)
        return []

    @_on_message.register
    def _(self, message: RoleClaim, sender: InstanceId, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for server in message.servers:
            effects += self._on_role_claim(sender, server, now_ms)
        return effects

    @_on_message.register
    def _(self, message: RoleRelease, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._roles.on_release(sender, message)
        self._gates.on_release(sender, message, now_ms)
        return self._advance_roles(now_ms)

    @_on_message.register
    def _(self, message: LoadNotice, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._roles.on_load_notice(message)
        return []

    def _on_role_claim(
        self, sender: InstanceId, server: ServerId, now_ms: int
    ) -> list[Effect]:
        self_id = self._context.fleet.self_id
        if self._roles.on_role_claim(sender, server, now_ms):
            return [SendToPeer(sender, RoleRelease(server, owner=self_id))]
        gate = self._gates.get(server)
        effects: list[Effect] = []
        if gate is not None:
            self._roles.release(server, sender, now_ms)
            effects += self._admission.hand_over_queue(gate, now_ms)
        other = self._roles.other_owner(server, sender)
        release = self._gates.release(server, other, now_ms)
        return [SendToPeer(sender, release), *effects]
