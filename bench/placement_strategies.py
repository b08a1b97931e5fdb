"""Strategies of placing flows: three simple baselines, and the flow directors."""

from dataclasses import dataclass, field

from sapphirerail_core.datagram import Kind
from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import (
    DataCentreId,
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    ServiceId,
)
from sapphirerail_standins.flow_fleet import FlowFleet

from .placement_series import Outcome

__all__ = ["HashOnly", "HashWithTable", "LayersAndRecords", "RecordAll"]

RECORD_BYTES = 21
N_OWNERS = 2
_RETRY_MS = 200
_N_ATTEMPTS = 12


@dataclass
class _Instance:
    """State of an instance of a baseline strategy."""

    placement: Placement
    table: dict[tuple[str, FlowId], ServerId] = field(default_factory=dict)


class HashOnly:
    """Sends each packet to the server that a hash over the plan's servers selects."""

    uses_table = False

    def __init__(self, data_centres: dict[InstanceId, DataCentreId]) -> None:
        self._instances = {name: _Instance(Placement(Plan())) for name in data_centres}
        self.n_control_bytes = 0
        self.n_records = 0

    def set_plan(self, plan: Plan, instances: list[InstanceId]) -> None:
        """Apply a plan at some instances."""
        for name in instances:
            self._instances[name].placement = Placement(plan)

    def open(
        self, instance: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow at the first candidate of the hash, or at another one."""
        servers = self._instances[instance].placement.candidates(
            ServiceId(service), flow
        )
        if not servers:
            return None
        server = servers[choice]
        if self.uses_table:
            self._instances[instance].table[service, flow] = server
        return server

    def send(self, instance: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet to the server in the table, or else to the hash's server."""
        known = self._instances[instance].table.get((service, flow))
        if known is not None:
            return Outcome(known)
        return Outcome(self.open(instance, service, flow))

    def close(self, service: str, flow: FlowId) -> None:
        """Close a flow."""
        for instance in self._instances.values():
            instance.table.pop((service, flow), None)

    def crash_server(self, server: ServerId) -> None:
        """Do nothing: no state depends on a server."""

    def crash(self, instance: InstanceId) -> None:
        """Stop an instance without notice."""
        del self._instances[instance]

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance."""
        del self._instances[instance]

    def set_member_state(
        self, instance: InstanceId, member: InstanceId, data_centre: DataCentreId | None
    ) -> None:
        """Do nothing: instances don't depend on each other."""

    def join(self, instance: InstanceId, data_centre: DataCentreId, plan: Plan) -> None:
        """Start an instance."""
        self._instances[instance] = _Instance(Placement(plan))

    def wait(self, duration_ms: int) -> None:
        """Do nothing: nothing depends on time."""


class HashWithTable(HashOnly):
    """Like `HashOnly`, but each instance keeps a table of the flows it has seen."""

    uses_table = True


class RecordAll(HashOnly):
    """Records each flow at two owners; packets of unknown flows are looked up at one.

    Membership changes are assumed to be known everywhere at once, which favours this
    strategy.
    """

    def __init__(self, data_centres: dict[InstanceId, DataCentreId]) -> None:
        super().__init__(data_centres)
        self._records: dict[tuple[str, FlowId], ServerId] = {}

    def open(
        self, instance: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow and record it."""
        server = super().open(instance, service, flow, choice)
        if server is not None:
            self._instances[instance].table[service, flow] = server
            self._records[service, flow] = server
            self.n_records += 1
            self.n_control_bytes += N_OWNERS * RECORD_BYTES
        return server

    def send(self, instance: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet to the recorded server."""
        known = self._instances[instance].table.get((service, flow))
        if known is not None:
            return Outcome(known)
        server = self._records[service, flow]
        self._instances[instance].table[service, flow] = server
        return Outcome(server, n_hops=1)


class LayersAndRecords:
    """The flow directors over an in-memory network.

    They place flows by the plan's layers and record only exceptions: flows that are
    placed elsewhere than at their default server.
    """

    def __init__(self, data_centres: dict[InstanceId, DataCentreId]) -> None:
        self.fleet = FlowFleet(data_centres)
        self._last_part = 0

    def set_plan(self, plan: Plan, instances: list[InstanceId]) -> None:
        """Apply a plan at some instances."""
        self.fleet.set_plan(plan, instances)

    def open(
        self, instance: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow."""
        server = self.fleet.open(instance, ServiceId(service), flow, choice=choice)
        self.fleet.run(5)
        return server

    def send(self, instance: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet and retransmit it until it is acknowledged."""
        name = (ServiceId(service), flow)
        self._last_part += 1
        self.fleet.received[name] = []
        n_hops_before = self._n_hops()
        names = sorted(self.fleet.nodes)
        position = names.index(instance)
        for attempt in range(_N_ATTEMPTS):
            datagram = self.fleet.datagram(
                Kind.DATA, *name, part=self._last_part, attempt=attempt
            )
            self.fleet.send(names[(position + attempt) % len(names)], datagram)
            self.fleet.run(5)
            server = self._acknowledged_by(name)
            if server is not None:
                return Outcome(server, self._n_hops() - n_hops_before, attempt + 1)
            self.fleet.run(_RETRY_MS)
        return Outcome(None, self._n_hops() - n_hops_before, _N_ATTEMPTS)

    def _acknowledged_by(self, name: tuple[ServiceId, FlowId]) -> ServerId | None:
        answers = self.fleet.received[name]
        if not any(a.kind is Kind.ACK and a.part == self._last_part for a in answers):
            return None
        return next(
            server.server
            for server in self.fleet.servers.values()
            if server.service == name[0] and name[1] in server.flows
        )

    def _n_hops(self) -> int:
        return sum(node.n_hops for node in self.fleet.nodes.values())

    def close(self, service: str, flow: FlowId) -> None:
        """Close a flow."""
        instance = sorted(self.fleet.nodes)[flow % len(self.fleet.nodes)]
        name = (ServiceId(service), flow)
        self.fleet.send(instance, self.fleet.datagram(Kind.CLOSE, *name))
        self.fleet.run(5)

    def crash_server(self, server: ServerId) -> None:
        """Drop all flow state of a server."""
        self.fleet.servers[server].flows.clear()

    def crash(self, instance: InstanceId) -> None:
        """Stop an instance without notice."""
        self.fleet.kill(instance)

    def stop(self, instance: InstanceId) -> None:
        """Drain an instance, then stop it."""
        self.fleet.drain(instance)
        self.fleet.run(500)
        self.fleet.kill(instance)

    def set_member_state(
        self, instance: InstanceId, member: InstanceId, data_centre: DataCentreId | None
    ) -> None:
        """Set one instance's view of a member: its data centre, or None if failed."""
        state = InstanceState.DEAD if data_centre is None else InstanceState.ALIVE
        self.fleet.set_member_state(instance, member, state, data_centre)

    def join(self, instance: InstanceId, data_centre: DataCentreId, plan: Plan) -> None:
        """Start an instance; no other instance knows it yet."""
        self.fleet.join(instance, data_centre, plan, announce=False)

    def wait(self, duration_ms: int) -> None:
        """Advance the virtual time."""
        self.fleet.run(duration_ms)
