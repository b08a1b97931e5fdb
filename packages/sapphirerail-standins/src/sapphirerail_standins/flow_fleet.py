"""Several flow directors joined by an in-memory network on a virtual clock."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode
from sapphirerail_core.effects import (
    Effect,
    Message,
    SendToCaller,
    SendToPeer,
    SendToServer,
)
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow import FlowConfig, FlowDirector
from sapphirerail_core.flow.messages import Locate, NotLocated, Return
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import (
    DataCentreId,
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    ServiceId,
    TrafficClass,
)

__all__ = ["FakeServer", "FlowFleet", "FlowNode"]

TICK_MS = 100
HOP_MS = 1
ENVELOPE_BYTES = 32  # signature, sender's name and array headers
_CARRIERS = (Locate, NotLocated, Return)


@dataclass
class FakeServer:
    """A backend server that keeps its flows and the instance last heard."""

    server: ServerId
    service: ServiceId
    flows: dict[FlowId, tuple[InstanceId, str]] = field(default_factory=dict)
    mute_to: set[InstanceId] = field(default_factory=set)
    n_misdirected: int = 0
    n_received: int = 0

    def on_datagram(self, sender: InstanceId, datagram: Datagram) -> Datagram | None:
        """Return the answer to a datagram."""
        self.n_received += 1
        if datagram.service != self.service:
            self.n_misdirected += 1
            return None
        if datagram.kind is Kind.OPEN:
            self.flows[datagram.flow] = (sender, datagram.caller)
            return _answer(datagram, Kind.ACK)
        if datagram.kind is Kind.CLOSE:
            self.flows.pop(datagram.flow, None)
            return None
        if datagram.flow not in self.flows:
            return _answer(datagram, Kind.RESET, RefusalCode.FLOW_LOST)
        self.flows[datagram.flow] = (sender, datagram.caller)
        if datagram.kind is Kind.KEEPALIVE:
            return _answer(datagram, Kind.KEEPALIVE)
        return _answer(datagram, Kind.ACK)


@dataclass
class FlowNode:
    """One instance with its own view of the fleet."""

    director: FlowDirector
    fleet: FixedFleet
    journal: Journal
    n_control_bytes: int = 0
    n_hops: int = 0


class FlowFleet:
    """Instances, servers and callers; nothing happens but by `run`.

    Parameters
    ----------
    places : dict of InstanceId to DataCentreId
        The instances and where they stand.
    seed : int
        Seed of all random choices.
    config : FlowConfig
        Settings of all instances.
    """

    def __init__(
        self,
        places: dict[InstanceId, DataCentreId],
        seed: int = 1,
        config: FlowConfig | None = None,
    ) -> None:
        self.now_ms = 1_000_000
        self.random = random.Random(seed)
        self.config = config or FlowConfig()
        self.nodes: dict[InstanceId, FlowNode] = {}
        self.servers: dict[ServerId, FakeServer] = {}
        self.received: dict[tuple[ServiceId, FlowId], list[Datagram]] = {}
        self.resets: Counter[RefusalCode] = Counter()
        self.loses: Callable[[InstanceId, InstanceId], bool] = lambda a, b: False
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._ticked_ms = self.now_ms
        for name in places:
            self._add_node(name, places)

    def set_plan(self, plan: Plan, at: Iterable[InstanceId] | None = None) -> None:
        """Put a plan into force at some or all instances."""
        for name, server in plan.servers.items():
            self.servers.setdefault(name, FakeServer(name, server.service))
        for name in self.nodes if at is None else at:
            if name in self.nodes:
                node = self.nodes[name]
                node.journal.revision = plan.revision
                self._carry_out(name, node.director.on_plan(plan, self.now_ms))

    def join(
        self,
        name: InstanceId,
        place: DataCentreId,
        plan: Plan,
        *,
        announce: bool = True,
    ) -> None:
        """Start an instance that knows the plan and the other instances."""
        places = {
            other: node.fleet.self_data_centre for other, node in self.nodes.items()
        }
        places[name] = place
        self._add_node(name, places)
        self.set_plan(plan, [name])
        for other in list(self.nodes):
            if other != name and announce:
                self.tell(other, name, InstanceState.ALIVE, place)

    def tell(
        self,
        at: InstanceId,
        about: InstanceId,
        state: InstanceState,
        place: DataCentreId | None = None,
    ) -> None:
        """Change what an instance believes of another one."""
        node = self.nodes[at]
        if state is InstanceState.ALIVE and place is not None:
            node.fleet.members[about] = place
        elif state is not InstanceState.ALIVE:
            node.fleet.members.pop(about, None)
        effects = node.director.on_instance_state(about, state, self.now_ms)
        self._carry_out(at, effects)

    def kill(self, name: InstanceId) -> None:
        """End an instance; the others are told by `tell_all`."""
        del self.nodes[name]

    def tell_all(self, about: InstanceId, state: InstanceState) -> None:
        """Change what all instances believe of one."""
        for name in list(self.nodes):
            self.tell(name, about, state)

    def open(
        self,
        at: InstanceId,
        service: ServiceId,
        flow: FlowId,
        traffic_class: TrafficClass = TrafficClass.FEED,
        choice: int = 0,
    ) -> ServerId | None:
        """Open a flow at one of its candidates and return the server."""
        director = self.nodes[at].director
        servers = director.candidates(service, flow)
        if not servers:
            return None
        server = servers[choice % len(servers)]
        datagram = self.datagram(Kind.OPEN, service, flow, traffic_class)
        self._carry_out(at, director.opened(datagram, server, self.now_ms))
        self._carry_out(at, [SendToServer(server, datagram)])
        return server

    def datagram(
        self,
        kind: Kind,
        service: ServiceId,
        flow: FlowId,
        traffic_class: TrafficClass = TrafficClass.FEED,
        part: int = 0,
        attempt: int = 0,
        caller: str | None = None,
        n_parts: int = 1,
    ) -> Datagram:
        """Return a caller's datagram."""
        if caller is None:
            caller = f"10.0.{flow >> 8 & 255}.{flow & 255}:4000"
        return Datagram(
            kind=kind,
            service=service,
            flow=flow,
            traffic_class=traffic_class,
            part=part,
            attempt=attempt,
            n_parts=n_parts,
            caller=caller,
        )

    def send(self, at: InstanceId, datagram: Datagram) -> None:
        """Hand a caller's datagram to an instance."""
        node = self.nodes[at]
        effects = node.director.on_caller_datagram(datagram, self.now_ms)
        self._carry_out(at, effects)

    def emit(self, server: ServerId, flow: FlowId, part: int) -> None:
        """Let a server send an event of a feed to the instance last heard."""
        known = self.servers[server]
        instance, caller = known.flows[flow]
        event = Datagram(
            kind=Kind.DATA,
            service=known.service,
            flow=flow,
            traffic_class=TrafficClass.FEED,
            part=part,
            caller=caller,
        )
        self._later(lambda: self._deliver_to_instance(instance, server, event))

    def drain(self, name: InstanceId) -> None:
        """Begin the planned stop of an instance."""
        self._carry_out(name, self.nodes[name].director.drain(self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            next_ms = min(end_ms, self._ticked_ms + TICK_MS)
            self._run_queue(next_ms)
            self.now_ms = next_ms
            if next_ms == self._ticked_ms + TICK_MS:
                self._ticked_ms = next_ms
                for name in list(self.nodes):
                    effects = self.nodes[name].director.tick(self.now_ms)
                    self._carry_out(name, effects)

    @property
    def n_misdirected(self) -> int:
        """Datagrams that reached a server of another service."""
        return sum(server.n_misdirected for server in self.servers.values())

    def _add_node(
        self, name: InstanceId, places: dict[InstanceId, DataCentreId]
    ) -> None:
        fleet = FixedFleet(name, places)
        journal = Journal(name)
        director = FlowDirector.from_config(
            self.config, fleet, journal, random.Random(self.random.random())
        )
        self.nodes[name] = FlowNode(director, fleet, journal)

    def _run_queue(self, until_ms: int) -> None:
        while self._queue and self._queue[0][0] <= until_ms:
            due_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, due_ms)
            action()

    def _later(self, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + HOP_MS, self._sequence, action))

    def _carry_out(self, name: InstanceId, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendToServer(server, datagram):
                    self._to_server(name, server, datagram)
                case SendToCaller(datagram):
                    self._to_caller(datagram)
                case SendToPeer(peer, message):
                    self._to_peer(name, peer, message)

    def _to_server(
        self, name: InstanceId, server: ServerId, datagram: Datagram
    ) -> None:
        self._later(lambda: self._deliver_to_server(name, server, datagram))

    def _deliver_to_server(
        self, name: InstanceId, server: ServerId, datagram: Datagram
    ) -> None:
        known = self.servers.get(server)
        if known is None or name in known.mute_to:
            return
        answer = known.on_datagram(name, datagram)
        if answer is not None:
            self._later(lambda: self._deliver_to_instance(name, server, answer))

    def _deliver_to_instance(
        self, name: InstanceId, server: ServerId, datagram: Datagram
    ) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        effects = node.director.on_server_datagram(server, datagram, self.now_ms)
        self._carry_out(name, effects)

    def _to_caller(self, datagram: Datagram) -> None:
        if datagram.kind is Kind.RESET:
            self.resets[datagram.code] += 1
        name = (datagram.service, datagram.flow)
        self.received.setdefault(name, []).append(datagram)

    def _to_peer(self, name: InstanceId, peer: InstanceId, message: Message) -> None:
        node = self.nodes[name]
        if isinstance(message, _CARRIERS):
            node.n_hops += 1
        else:
            n_bytes = len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES
            node.n_control_bytes += n_bytes
        if not self.loses(name, peer):
            self._later(lambda: self._deliver_to_peer(name, peer, message))

    def _deliver_to_peer(
        self, name: InstanceId, peer: InstanceId, message: Message
    ) -> None:
        node = self.nodes.get(peer)
        if node is None:
            return
        effects = node.director.on_message(name, message, self.now_ms)
        self._carry_out(peer, effects)


def _answer(
    datagram: Datagram, kind: Kind, code: RefusalCode = RefusalCode.NONE
) -> Datagram:
    return msgspec.structs.replace(datagram, kind=kind, code=code, body=b"")
