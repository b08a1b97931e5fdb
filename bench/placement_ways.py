"""Ways of placing flows: three simple ones, and the flow directors."""

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
_TRY_MS = 200
_N_TRIES = 12


@dataclass
class _Instance:
    """What an instance of a simple way knows."""

    placement: Placement
    table: dict[tuple[str, FlowId], ServerId] = field(default_factory=dict)


class HashOnly:
    """Each packet goes where a hash over the present servers says."""

    uses_table = False

    def __init__(self, places: dict[InstanceId, DataCentreId]) -> None:
        self._instances = {name: _Instance(Placement(Plan())) for name in places}
        self.n_control_bytes = 0
        self.n_records = 0

    def set_plan(self, plan: Plan, at: list[InstanceId]) -> None:
        """Put a plan into force at some instances."""
        for name in at:
            self._instances[name].placement = Placement(plan)

    def open(
        self, at: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow at the hash's answer, or at another candidate."""
        servers = self._instances[at].placement.candidates(ServiceId(service), flow)
        if not servers:
            return None
        server = servers[choice]
        if self.uses_table:
            self._instances[at].table[service, flow] = server
        return server

    def send(self, at: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet to the table's or the hash's answer."""
        known = self._instances[at].table.get((service, flow))
        if known is not None:
            return Outcome(known)
        return Outcome(self.open(at, service, flow))

    def close(self, service: str, flow: FlowId) -> None:
        """End a flow."""
        for instance in self._instances.values():
            instance.table.pop((service, flow), None)

    def crash_server(self, server: ServerId) -> None:
        """Nothing is known of a server but the plan."""

    def crash(self, instance: InstanceId) -> None:
        """End an instance."""
        del self._instances[instance]

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance."""
        del self._instances[instance]

    def tell(
        self, at: InstanceId, about: InstanceId, place: DataCentreId | None
    ) -> None:
        """Instances need not know each other."""

    def join(self, instance: InstanceId, place: DataCentreId, plan: Plan) -> None:
        """Start an instance."""
        self._instances[instance] = _Instance(Placement(plan))

    def wait(self, duration_ms: int) -> None:
        """Nothing depends on time."""


class HashWithTable(HashOnly):
    """As `HashOnly`, but each instance remembers what it has seen."""

    uses_table = True


class RecordAll(HashOnly):
    """Each flow is recorded at two owners; unknown packets go through one.

    The membership is taken as known to all at once, which flatters this way.
    """

    def __init__(self, places: dict[InstanceId, DataCentreId]) -> None:
        super().__init__(places)
        self._records: dict[tuple[str, FlowId], ServerId] = {}

    def open(
        self, at: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow and record it."""
        server = super().open(at, service, flow, choice)
        if server is not None:
            self._instances[at].table[service, flow] = server
            self._records[service, flow] = server
            self.n_records += 1
            self.n_control_bytes += N_OWNERS * RECORD_BYTES
        return server

    def send(self, at: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet to the recorded server."""
        known = self._instances[at].table.get((service, flow))
        if known is not None:
            return Outcome(known)
        server = self._records[service, flow]
        self._instances[at].table[service, flow] = server
        return Outcome(server, n_hops=1)


class LayersAndRecords:
    """The flow directors over an in-memory network."""

    def __init__(self, places: dict[InstanceId, DataCentreId]) -> None:
        self.fleet = FlowFleet(places)
        self._part = 0

    def set_plan(self, plan: Plan, at: list[InstanceId]) -> None:
        """Put a plan into force at some instances."""
        self.fleet.set_plan(plan, at)

    def open(
        self, at: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow."""
        server = self.fleet.open(at, ServiceId(service), flow, choice=choice)
        self.fleet.run(5)
        return server

    def send(self, at: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet, and again until it is acknowledged."""
        name = (ServiceId(service), flow)
        self._part += 1
        self.fleet.received[name] = []
        hops = self._n_hops()
        names = sorted(self.fleet.nodes)
        position = names.index(at)
        for attempt in range(_N_TRIES):
            datagram = self.fleet.datagram(
                Kind.DATA, *name, part=self._part, attempt=attempt
            )
            self.fleet.send(names[(position + attempt) % len(names)], datagram)
            self.fleet.run(5)
            server = self._acknowledged_by(name)
            if server is not None:
                return Outcome(server, self._n_hops() - hops, attempt + 1)
            self.fleet.run(_TRY_MS)
        return Outcome(None, self._n_hops() - hops, _N_TRIES)

    def _acknowledged_by(self, name: tuple[ServiceId, FlowId]) -> ServerId | None:
        answers = self.fleet.received[name]
        if not any(a.kind is Kind.ACK and a.part == self._part for a in answers):
            return None
        return next(
            server.server
            for server in self.fleet.servers.values()
            if server.service == name[0] and name[1] in server.flows
        )

    def _n_hops(self) -> int:
        return sum(node.n_hops for node in self.fleet.nodes.values())

    def close(self, service: str, flow: FlowId) -> None:
        """End a flow."""
        at = sorted(self.fleet.nodes)[flow % len(self.fleet.nodes)]
        name = (ServiceId(service), flow)
        self.fleet.send(at, self.fleet.datagram(Kind.CLOSE, *name))
        self.fleet.run(5)

    def crash_server(self, server: ServerId) -> None:
        """Let a server lose all its flows."""
        self.fleet.servers[server].flows.clear()

    def crash(self, instance: InstanceId) -> None:
        """End an instance."""
        self.fleet.kill(instance)

    def stop(self, instance: InstanceId) -> None:
        """Drain an instance, then end it."""
        self.fleet.drain(instance)
        self.fleet.run(500)
        self.fleet.kill(instance)

    def tell(
        self, at: InstanceId, about: InstanceId, place: DataCentreId | None
    ) -> None:
        """Change what an instance believes of another one."""
        state = InstanceState.DEAD if place is None else InstanceState.ALIVE
        self.fleet.set_member_state(at, about, state, place)

    def join(self, instance: InstanceId, place: DataCentreId, plan: Plan) -> None:
        """Start an instance; nobody knows it yet."""
        self.fleet.join(instance, place, plan, announce=False)

    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        self.fleet.run(duration_ms)
