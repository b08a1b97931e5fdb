"""Facade of flow handling: decides where each datagram of a flow goes."""

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
from .monitor import FlowMonitor
from .owners import eligible_owners
from .placement import Placement
from .record_codec import ServerCodes
from .record_store import RecordStore
from .registrar import Registrar
from .reply_forwarding import ReplyForwarding
from .return_path import ReturnPathManager
from .server_lookup import ServerLookup
from .status import FlowStatus
from .sweep import Sweep
from .table import FlowFlag

__all__ = ["FlowDirector"]

_N_EXPIRED_PER_TICK = 1_000


class FlowDirector:
    """Routes the datagrams of flows and maintains the flows' records.

    Parameters
    ----------
    context : FlowContext
        Settings, membership, decision journal and tables.
    """

    def __init__(self, context: FlowContext) -> None:
        self._context = context
        self._owners_are_stale = False
        store = RecordStore(context)
        registrar = Registrar(context, store)
        monitor = FlowMonitor(context, registrar)
        server_lookup = ServerLookup(context, registrar)
        self._store = store
        self._registrar = registrar
        self._server_lookup = server_lookup
        self._monitor = monitor
        self._sweep = Sweep(context, registrar, monitor)
        self._return_paths = ReturnPathManager(context, store, registrar, monitor)
        delivery = Delivery(context, registrar, monitor)
        self._forwarding = Forwarding(context, store, server_lookup, monitor, delivery)
        self._reply_forwarding = ReplyForwarding(
            context, registrar, server_lookup, monitor, self._forwarding, delivery
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
            Limits, periods and rate limits.
        fleet : FleetView
            Fleet membership as this instance sees it.
        journal : Journal
            Decision journal.
        random_state : random.Random
            Random numbers for jitter.
        """
        return cls(FlowContext(config, fleet, journal, random_state))

    @property
    def n_flows(self) -> int:
        """Number of flows in the local table."""
        return len(self._context.table)

    @property
    def n_unacknowledged(self) -> int:
        """Number of unacknowledged batches and records; a planned stop waits for 0."""
        return self._registrar.n_unacknowledged

    def status(self) -> FlowStatus:
        """Return the state and counters of this instance's flows."""
        context = self._context
        return FlowStatus(
            revision=context.plan.revision,
            n_flows=self.n_flows,
            n_records=len(context.records),
            n_unacknowledged=self.n_unacknowledged,
            n_orphans=self._return_paths.n_orphans,
            n_evicted=context.table.n_evicted,
            n_searches=self._server_lookup.n_started,
            n_found=self._server_lookup.n_found,
            n_probes=self._monitor.n_probes,
            n_handed_over=self._monitor.n_handed_over,
            n_lost=context.n_lost,
            draining=self._count_draining(),
        )

    def candidates(self, service: ServiceId, flow: FlowId) -> tuple[ServerId, ...]:
        """Return the servers for a new flow or request, in order of preference."""
        return self._context.placement.candidates(service, flow)

    def lookup(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return the confirmed server of a flow, or None if this instance has none."""
        table = self._context.table
        row = table.find(service, flow)
        if row is not None and table.has_flag(row, FlowFlag.CONFIRMED):
            return table.server(row)
        return self._store.server(service, flow)

    def on_plan(self, plan: Plan, now_ms: int) -> list[Effect]:
        """Apply a plan; ignore one that is not newer than the current plan."""
        context = self._context
        if plan.revision <= context.plan.revision:
            return []
        before, after = context.placement, Placement(plan)
        context.previous_placement = before if before.plan.services else None
        context.plan_changed_ms = now_ms
        context.placement = after
        context.codes = ServerCodes(plan)
        self._store.forget_unknown()
        self._sweep.on_defaults_changed(_services_with_new_defaults(before, after))
        unreachable = {
            name for name in before.plan.servers if not after.is_reachable(name)
        }
        self._sweep.on_servers_unreachable(unreachable)
        self._update_owners(now_ms)
        return []

    def opened(self, datagram: Datagram, server: ServerId, now_ms: int) -> list[Effect]:
        """Record that a flow is being opened at a server.

        Parameters
        ----------
        datagram : Datagram
            The caller's OPEN.
        server : ServerId
            The server that the flow is opened at.
        now_ms : int
            The time.

        Returns
        -------
        list of Effect
            Records to send at once, for a placement exception or a feed.
        """
        self._refresh_owners(now_ms)
        context = self._context
        flags = FlowFlag.CONFIRMED | FlowFlag.RETURN_PATH | FlowFlag.NEW
        row = context.put(datagram, server, now_ms, flags)
        context.table.record_caller_contact(row, now_ms)
        context.journal.record(
            now_ms, Reason.FLOW_OPENED, flow=datagram.flow, server=server
        )
        self._monitor.schedule_check(row, now_ms)
        if context.needs_record(datagram.service, datagram.flow, server):
            return self._registrar.register(row, now_ms, urgent=True)
        if datagram.traffic_class is TrafficClass.FEED:
            return self._registrar.register_early(row, now_ms)
        return []

    def refused(self, datagram: Datagram, server: ServerId, now_ms: int) -> None:
        """Remove a flow whose opening a server refused.

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
        """Forward a server's datagram to the caller of its flow."""
        self._refresh_owners(now_ms)
        return self._reply_forwarding.on_server_datagram(server, datagram, now_ms)

    @singledispatchmethod
    def _on(self, message: Message, sender: InstanceId, now_ms: int) -> list[Effect]:
        return []

    @_on.register
    def _(self, message: Register, sender: InstanceId, now_ms: int) -> list[Effect]:
        return self._return_paths.on_register(sender, message, now_ms)

    @_on.register
    def _(self, message: Registered, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._registrar.on_registered(message)
        return []

    @_on.register
    def _(self, message: Forget, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._return_paths.on_forget(sender, message, now_ms)
        return []

    @_on.register
    def _(self, message: Release, sender: InstanceId, now_ms: int) -> list[Effect]:
        self._return_paths.on_release(message, now_ms)
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
        return self._reply_forwarding.on_return(message, now_ms)

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Handle a message from another instance."""
        self._refresh_owners(now_ms)
        effects: list[Effect] = self._on(message, sender, now_ms)
        return effects

    def on_instance_state(
        self, instance: InstanceId, state: InstanceState, now_ms: int
    ) -> list[Effect]:
        """Handle a change of another instance's state.

        A failed or departed instance updates the owners immediately. An added instance
        updates them with the next datagram, message or tick, because an instance that
        has just joined learns of many others at once.
        """
        self._owners_are_stale = True
        if state in (InstanceState.DEAD, InstanceState.LEFT):
            self._update_owners(now_ms)
            self._return_paths.on_instance_removed(instance, now_ms)
        return []

    def tick(self, now_ms: int) -> list[Effect]:
        """Run the periodic work; called every 100 ms."""
        self._refresh_owners(now_ms)
        context = self._context
        grace_end_ms = context.plan_changed_ms + context.config.plan_grace_ms
        if now_ms >= grace_end_ms:
            context.previous_placement = None
        self._store.expire(now_ms, _N_EXPIRED_PER_TICK)
        effects = self._monitor.tick(now_ms)
        effects += self._server_lookup.tick(now_ms)
        effects += self._forwarding.retry_failed_lookups(now_ms)
        effects += self._return_paths.tick(now_ms)
        effects += self._sweep.tick(now_ms)
        effects += self._registrar.flush(now_ms)
        return effects

    def drain(self, now_ms: int) -> list[Effect]:
        """Hand over all flows and records before a planned stop.

        The instance keeps working, and promptly hands over flows whose datagrams
        still reach it. It may stop once `n_unacknowledged` is 0.
        """
        self._context.is_draining = True
        self._update_owners(now_ms)
        self._return_paths.hand_over_all(now_ms)
        return self._registrar.flush(now_ms, everything=True)

    def _refresh_owners(self, now_ms: int) -> None:
        if self._owners_are_stale:
            self._update_owners(now_ms)

    def _update_owners(self, now_ms: int) -> None:
        self._owners_are_stale = False
        context = self._context
        leaving = context.self_id if context.is_draining else None
        members = eligible_owners(context.fleet, context.plan, leaving)
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


def _services_with_new_defaults(before: Placement, after: Placement) -> set[ServiceId]:
    """Return the services some of whose flows may have a new default server."""
    return {
        service
        for service in after.plan.services
        if _has_changed(before.plan, after.plan, service)
        and before.defaults_key(service) != after.defaults_key(service)
    }


def _has_changed(before: Plan, after: Plan, service: ServiceId) -> bool:
    """Return whether a service's servers or layers differ; cheap for most services."""
    if before.layers.get(service) != after.layers.get(service):
        return True
    servers = before.servers_by_service.get(service)
    return servers != after.servers_by_service.get(service)
