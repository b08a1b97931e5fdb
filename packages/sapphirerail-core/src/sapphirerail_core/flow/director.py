"""Facade of the flow aggregate: decides where each packet of a flow goes."""

import random
from functools import singledispatchmethod

from ..datagram import Datagram
from ..effects import Effect, Message
from ..fleet.view import FleetView
from ..journal import Journal, Reason
from ..plan.model import Plan
from ..types import (
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    ServerState,
    ServiceId,
    TrafficClass,
)
from .config import FlowConfig
from .context import FlowContext
from .delivery import Delivery
from .forwarding import Forwarding
from .messages import (
    Forget,
    Locate,
    Located,
    NotLocated,
    Register,
    Registered,
    Release,
    Return,
)
from .owners import members_of
from .placement import Placement
from .record_codec import ServerCodes
from .record_store import RecordStore
from .registrar import Registrar
from .returning import Returning
from .search import Search
from .silence import Silence
from .status import FlowStatus
from .sweep import Sweep
from .table import FlowMark
from .way_back import WayBack

__all__ = ["FlowDirector"]

_N_EXPIRED_PER_TICK = 1_000


class FlowDirector:
    """Decides where packets of flows go, and keeps their records.

    Parameters
    ----------
    context : FlowContext
        Settings, membership, journal and tables.
    """

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._owners_are_stale = False
        store = RecordStore(context)
        registrar = Registrar(context, store)
        silence = Silence(context, registrar)
        search = Search(context, registrar)
        self._store = store
        self._registrar = registrar
        self._search = search
        self._silence = silence
        self._sweep = Sweep(context, registrar, silence)
        self._way_back = WayBack(context, store, registrar, silence)
        delivery = Delivery(context, registrar, silence)
        self._forwarding = Forwarding(context, store, search, silence, delivery)
        self._returning = Returning(
            context, registrar, search, silence, self._forwarding, delivery
        )

    @classmethod
    def from_config(
        cls,
        config: FlowConfig,
        fleet: FleetView,
        journal: Journal,
        random_state: random.Random,
    ) -> "FlowDirector":
        """Return a director without a plan.

        Parameters
        ----------
        config : FlowConfig
            Bounds, periods and budgets.
        fleet : FleetView
            The membership.
        journal : Journal
            Where decisions are explained.
        random_state : random.Random
            Source of jitter.
        """
        return cls(FlowContext(config, fleet, journal, random_state))

    @property
    def n_flows(self) -> int:
        """Number of flows in the local table."""
        return len(self._context.table)

    @property
    def n_unacknowledged(self) -> int:
        """Records that no owner has acknowledged; a stop waits for them."""
        return self._registrar.n_unacknowledged

    def status(self) -> FlowStatus:
        """Return what operators may ask of this instance's flows."""
        context = self._context
        return FlowStatus(
            revision=context.plan.revision,
            n_flows=self.n_flows,
            n_records=len(context.records),
            n_unacknowledged=self.n_unacknowledged,
            n_orphans=self._way_back.n_orphans,
            n_evicted=context.table.n_evicted,
            n_searches=self._search.n_started,
            n_found=self._search.n_found,
            n_probes=self._silence.n_probes,
            n_handed_over=self._silence.n_handed_over,
            n_lost=context.n_lost,
            draining=self._count_draining(),
        )

    def candidates(self, service: ServiceId, flow: FlowId) -> tuple[ServerId, ...]:
        """Return the servers for a new flow or request, in order of preference."""
        return self._context.placement.candidates(service, flow)

    def lookup(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return where a flow is, as far as this instance knows for certain."""
        table = self._context.table
        row = table.find(service, flow)
        if row is not None and table.has(row, FlowMark.CONFIRMED):
            return table.server(row)
        return self._store.server(service, flow)

    def on_plan(self, plan: Plan, now_ms: int) -> list[Effect]:
        """Put a plan into force; one that is not newer changes nothing."""
        context = self._context
        if plan.revision <= context.plan.revision:
            return []
        before, after = context.placement, Placement(plan)
        context.previous_placement = before if before.plan.services else None
        context.plan_changed_ms = now_ms
        context.placement = after
        context.codes = ServerCodes(plan)
        self._store.forget_unknown()
        self._sweep.on_defaults_changed(_moved_services(before, after))
        lost = {name for name in before.plan.servers if not after.is_reachable(name)}
        self._sweep.on_servers_lost(lost)
        self._update_owners(now_ms)
        return []

    def opened(self, datagram: Datagram, server: ServerId, now_ms: int) -> list[Effect]:
        """Note that a flow is being opened at a server.

        Parameters
        ----------
        datagram : Datagram
            The caller's OPEN.
        server : ServerId
            The server that it goes to.
        now_ms : int
            The time.

        Returns
        -------
        list of Effect
            The records of an exception.
        """
        self._refresh_owners(now_ms)
        context = self._context
        marks = FlowMark.CONFIRMED | FlowMark.ANSWERING | FlowMark.NEW
        row = context.add(datagram, server, now_ms, marks)
        context.table.hear_caller(row, now_ms)
        context.journal.note(
            now_ms, Reason.FLOW_OPENED, flow=datagram.flow, server=server
        )
        self._silence.watch(row, now_ms)
        if context.needs_record(datagram.service, datagram.flow, server):
            return self._registrar.register(row, now_ms, at_once=True)
        if datagram.traffic_class is TrafficClass.FEED:
            return self._registrar.claim_early(row, now_ms)
        return []

    def refused(self, datagram: Datagram, server: ServerId, now_ms: int) -> None:
        """Note that a server refused to open a flow.

        Parameters
        ----------
        datagram : Datagram
            The caller's OPEN, or the server's refusal of it.
        server : ServerId
            The server that refused.
        now_ms : int
            The time.
        """
        self._refresh_owners(now_ms)
        row = self._context.table.find(datagram.service, datagram.flow)
        if row is not None and self._context.table.server(row) == server:
            self._registrar.forget(row, now_ms)
            self._context.table.remove(row)

    def on_caller_datagram(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Forward a caller's DATA, KEEPALIVE, ACK or CLOSE."""
        self._refresh_owners(now_ms)
        return self._forwarding.on_caller_datagram(datagram, now_ms)

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Pass on a server's datagram of a flow."""
        self._refresh_owners(now_ms)
        return self._returning.on_server_datagram(server, datagram, now_ms)

    @singledispatchmethod
    def _on(self, message: Message, sender: InstanceId, now_ms: int) -> list[Effect]:
        return []

    @_on.register
    def _(self, message: Register, sender: InstanceId, now_ms: int) -> list[Effect]:
        return self._way_back.on_register(sender, message, now_ms)

    @_on.register
    def _(self, message: Registered, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._registrar.on_registered(message)
        return []

    @_on.register
    def _(self, message: Forget, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._way_back.on_forget(sender, message, now_ms)
        return []

    @_on.register
    def _(self, message: Release, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._way_back.on_release(message, now_ms)
        return []

    @_on.register
    def _(self, message: Locate, sender: InstanceId, now_ms: int) -> list[Effect]:
        return self._forwarding.on_locate(message, now_ms)

    @_on.register
    def _(self, message: NotLocated, sender: InstanceId, now_ms: int) -> list[Effect]:
        return self._forwarding.on_not_located(message, now_ms)

    @_on.register
    def _(self, message: Located, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._forwarding.on_located(message, now_ms)
        return []

    @_on.register
    def _(self, message: Return, sender: InstanceId, now_ms: int) -> list[Effect]:
        return self._returning.on_return(message, now_ms)

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Take a message of another instance."""
        self._refresh_owners(now_ms)
        effects: list[Effect] = self._on(message, sender, now_ms)
        return effects

    def on_instance_state(
        self, instance: InstanceId, state: InstanceState, now_ms: int
    ) -> list[Effect]:
        """Take a change of another instance's state.

        Instances that come are taken in with the next packet, message or tick, because
        a newcomer learns of many at once.
        """
        self._owners_are_stale = True
        if state in (InstanceState.DEAD, InstanceState.LEFT):
            self._update_owners(now_ms)
            self._way_back.on_instance_lost(instance, now_ms)
        return []

    def tick(self, now_ms: int) -> list[Effect]:
        """Do what time brings; called every 100 ms."""
        self._refresh_owners(now_ms)
        context = self._context
        grace_over_ms = context.plan_changed_ms + context.config.plan_grace_ms
        if now_ms >= grace_over_ms:
            context.previous_placement = None
        self._store.expire(now_ms, _N_EXPIRED_PER_TICK)
        effects = self._silence.tick(now_ms)
        effects += self._search.tick(now_ms)
        effects += self._forwarding.ask_again(now_ms)
        effects += self._way_back.tick(now_ms)
        effects += self._sweep.tick(now_ms)
        effects += self._registrar.flush(now_ms)
        return effects

    def drain(self, now_ms: int) -> list[Effect]:
        """Hand over all flows and records before a planned stop.

        The instance goes on to work, and hands over at once what reaches it
        still. It may end once `n_unacknowledged` is 0.
        """
        self._context.is_draining = True
        self._update_owners(now_ms)
        self._way_back.hand_over_all(now_ms)
        return self._registrar.flush(now_ms, everything=True)

    def _refresh_owners(self, now_ms: int) -> None:
        if self._owners_are_stale:
            self._update_owners(now_ms)

    def _update_owners(self, now_ms: int) -> None:
        self._owners_are_stale = False
        context = self._context
        leaving = context.self_id if context.is_draining else None
        members = members_of(context.fleet, context.plan, leaving)
        change = context.owners.replace(members, now_ms)
        if change is not None:
            self._sweep.on_owners_changed(change)

    def _count_draining(self) -> dict[ServerId, int]:
        context = self._context
        return {
            name: len(context.table.rows_at({name}))
            for name, server in context.plan.servers.items()
            if server.state is ServerState.DRAINING
        }


def _moved_services(before: Placement, after: Placement) -> set[ServiceId]:
    """Return the services whose flows may have another default now."""
    return {
        service
        for service in after.plan.services
        if _has_changed(before.plan, after.plan, service)
        and before.defaults_key(service) != after.defaults_key(service)
    }


def _has_changed(before: Plan, after: Plan, service: ServiceId) -> bool:
    """Return whether a service or its past differ; a quick test for most."""
    if before.layers.get(service) != after.layers.get(service):
        return True
    servers = before.servers_by_service.get(service)
    return servers != after.servers_by_service.get(service)
