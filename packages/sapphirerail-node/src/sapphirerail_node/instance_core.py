"""Decision logic of one instance: its core components, connected to each other."""

import random
from collections.abc import Callable

from sapphirerail_core.effects import Effect, Message
from sapphirerail_core.fleet.config import FleetConfig
from sapphirerail_core.fleet.membership import Membership
from sapphirerail_core.fleet.messages import MESSAGES as FLEET_MESSAGES
from sapphirerail_core.flow import FlowConfig, FlowDirector
from sapphirerail_core.flow.messages import MESSAGES as FLOW_MESSAGES
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_core.load.config import LimitConfig
from sapphirerail_core.plan import Plan
from sapphirerail_core.request import Dispatcher, DispatcherConfig
from sapphirerail_core.request.messages import MESSAGES as REQUEST_MESSAGES
from sapphirerail_core.types import InstanceId, InstanceState

from .settings import Settings

__all__ = ["InstanceCore"]

MessageHandler = Callable[[InstanceId, Message, int], list[Effect]]


class InstanceCore:
    """Membership, flows, requests and the decision journal of one instance.

    It does no I/O: its methods return the effects for the node to execute.

    Parameters
    ----------
    journal : Journal
        Records the decisions.
    membership : Membership
        Tracks the state of the other instances.
    flows : FlowDirector
        Handles the datagrams of established flows.
    dispatcher : Dispatcher
        Handles requests and openings of flows.
    """

    def __init__(
        self,
        journal: Journal,
        membership: Membership,
        flows: FlowDirector,
        dispatcher: Dispatcher,
    ) -> None:
        self.journal = journal
        self.membership = membership
        self.flows = flows
        self.dispatcher = dispatcher
        self._handlers: dict[type[Message], MessageHandler] = {}
        self.register_handler(FLEET_MESSAGES, membership.on_message)
        self.register_handler(FLOW_MESSAGES, flows.on_message)
        self.register_handler(REQUEST_MESSAGES, dispatcher.on_message)
        membership.on_state_change.append(self._on_instance_state)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        incarnation: int,
        peer_address: str,
        api_address: str,
        now_ms: int,
    ) -> "InstanceCore":
        """Create and connect the components of an instance.

        Parameters
        ----------
        settings : Settings
            Name, data centre, capacity and seed.
        incarnation : int
            Higher than that of any earlier process of this name, such as the
            start time.
        peer_address, api_address : str
            ``address:port`` where other instances and operators reach this instance.
        now_ms : int
            Start time on the monotonic clock.

        Returns
        -------
        InstanceCore
            The connected components.
        """
        # The seed includes the name, so that instances with equal settings differ.
        random_state = random.Random(f"{settings.seed}/{settings.instance}")
        journal = Journal(settings.instance)
        membership = Membership.from_config(
            FleetConfig(),
            settings.instance,
            settings.data_centre,
            incarnation,
            random_state,
            journal,
            peer_address=peer_address,
            api_address=api_address,
            now_ms=now_ms,
        )
        flows = FlowDirector.from_config(
            FlowConfig(n_flows_max=settings.n_flows_max),
            membership,
            journal,
            random_state,
        )
        limit = LimitConfig(warm_up_ms=settings.server_warm_up_ms)
        dispatcher = Dispatcher.from_config(
            DispatcherConfig(limit=limit), membership, flows, journal, random_state
        )
        return cls(journal, membership, flows, dispatcher)

    def register_handler(
        self, types: tuple[type[Message], ...], handler: MessageHandler
    ) -> None:
        """Register the handler of some message types."""
        for message_type in types:
            self._handlers[message_type] = handler

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Pass a message to the handler of its type; ignore unknown types."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return []
        return handler(sender, message, now_ms)

    def on_plan(self, plan: Plan, now_ms: int) -> list[Effect]:
        """Apply a new plan in all components."""
        self.journal.revision = plan.revision
        write = plan.history[-1] if plan.history else None
        detail = f"write {write.write_id} by {write.operator}" if write else ""
        self.journal.record(now_ms, Reason.PLAN_APPLIED, detail=detail)
        self.membership.set_revision(plan.revision)
        effects = self.flows.on_plan(plan, now_ms)
        return effects + self.dispatcher.on_plan(plan, now_ms)

    def drain(self, now_ms: int) -> list[Effect]:
        """Hand over requests and flows, then announce that this instance leaves."""
        effects = self.dispatcher.drain(now_ms)
        effects += self.flows.drain(now_ms)
        return effects + self.membership.leave(now_ms)

    def _on_instance_state(
        self, instance: InstanceId, state: InstanceState, now_ms: int
    ) -> list[Effect]:
        effects = self.flows.on_instance_state(instance, state, now_ms)
        return effects + self.dispatcher.on_instance_state(instance, state, now_ms)
