"""Runs several flow directors on an in-memory network with a virtual clock."""

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
_RETURN_PATH_MESSAGES = (Locate, NotLocated, Return)


@dataclass
class FakeServer:
    """A backend server that keeps its flows and the instance of their last datagram.

    Attributes
    ----------
    ignored_instances : set of InstanceId
        Instances whose datagrams are lost on the way to this server.
    """

    server: ServerId
    service: ServiceId
    flows: dict[FlowId, tuple[InstanceId, str]] = field(default_factory=dict)
    ignored_instances: set[InstanceId] = field(default_factory=set)
    n_misdirected: int = 0
    n_received: int = 0

    def on_datagram(self, sender: InstanceId, datagram: Datagram) -> Datagram | None:
        """Handle a datagram and return the answer, or None if there is none."""
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
    """Instances, servers and callers; time passes only in `run`.

    Parameters
    ----------
    data_centres : dict of InstanceId to DataCentreId
        The instances and their data centres.
    seed : int
        Seed of all random choices.
    config : FlowConfig
        Settings of all instances.
    """

    def __init__(
        self,
        data_centres: dict[InstanceId, DataCentreId],
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
        self.drops_message: Callable[[InstanceId, InstanceId], bool] = lambda a, b: (
            False
        )
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._ticked_ms = self.now_ms
        for name in data_centres:
            self._add_node(name, data_centres)

    def set_plan(self, plan: Plan, at: Iterable[InstanceId] | None = None) -> None:
        """Apply a plan at some or all instances."""
        for name, server in plan.servers.items():
            self.servers.setdefault(name, FakeServer(name, server.service))
        for name in self.nodes if at is None else at:
            if name in self.nodes:
                node = self.nodes[name]
                node.journal.revision = plan.revision
                self._apply_effects(name, node.director.on_plan(plan, self.now_ms))

    def join(
        self,
        name: InstanceId,
        data_centre: DataCentreId,
        plan: Plan,
        *,
        announce: bool = True,
    ) -> None:
        """Start an instance that already has the plan and the list of members."""
        data_centres = {
            other: node.fleet.self_data_centre for other, node in self.nodes.items()
        }
        data_centres[name] = data_centre
        self._add_node(name, data_centres)
        self.set_plan(plan, [name])
        for other in list(self.nodes):
            if other != name and announce:
                self.set_member_state(other, name, InstanceState.ALIVE, data_centre)

    def set_member_state(
        self,
        at: InstanceId,
        member: InstanceId,
        state: InstanceState,
        data_centre: DataCentreId | None = None,
    ) -> None:
        """Change the state of a member in one instance's view of the fleet."""
        node = self.nodes[at]
        if state is InstanceState.ALIVE and data_centre is not None:
            node.fleet.members[member] = data_centre
        elif state is not InstanceState.ALIVE:
            node.fleet.members.pop(member, None)
        effects = node.director.on_instance_state(member, state, self.now_ms)
        self._apply_effects(at, effects)

    def kill(self, name: InstanceId) -> None:
        """Stop an instance; the others are not notified.

        Call `set_member_state_everywhere` to report the failure to them.
        """
        del self.nodes[name]

    def set_member_state_everywhere(
        self, member: InstanceId, state: InstanceState
    ) -> None:
        """Change the state of a member in the views of all instances."""
        for name in list(self.nodes):
            self.set_member_state(name, member, state)

    def open(
        self,
        at: InstanceId,
        service: ServiceId,
        flow: FlowId,
        traffic_class: TrafficClass = TrafficClass.FEED,
        choice: int = 0,
    ) -> ServerId | None:
        """Open a flow at one of its candidate servers and return the server."""
        director = self.nodes[at].director
        servers = director.candidates(service, flow)
        if not servers:
            return None
        server = servers[choice % len(servers)]
        datagram = self.datagram(Kind.OPEN, service, flow, traffic_class)
        self._apply_effects(at, director.opened(datagram, server, self.now_ms))
        self._apply_effects(at, [SendToServer(server, datagram)])
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
        """Return a datagram of a caller."""
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
        """Deliver a caller's datagram to an instance."""
        node = self.nodes[at]
        effects = node.director.on_caller_datagram(datagram, self.now_ms)
        self._apply_effects(at, effects)

    def send_feed_event(self, server: ServerId, flow: FlowId, part: int) -> None:
        """Send a feed event from a server to the instance of the last datagram."""
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
        self._schedule(lambda: self._deliver_to_instance(instance, server, event))

    def drain(self, name: InstanceId) -> None:
        """Begin the planned stop of an instance."""
        self._apply_effects(name, self.nodes[name].director.drain(self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Advance the clock; deliver due messages and tick all instances."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            next_ms = min(end_ms, self._ticked_ms + TICK_MS)
            self._run_queue(next_ms)
            self.now_ms = next_ms
            if next_ms == self._ticked_ms + TICK_MS:
                self._ticked_ms = next_ms
                for name in list(self.nodes):
                    effects = self.nodes[name].director.tick(self.now_ms)
                    self._apply_effects(name, effects)

    @property
    def n_misdirected(self) -> int:
        """Number of datagrams that reached a server of another service."""
        return sum(server.n_misdirected for server in self.servers.values())

    def _add_node(
        self, name: InstanceId, data_centres: dict[InstanceId, DataCentreId]
    ) -> None:
        fleet = FixedFleet(name, data_centres)
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

    def _schedule(self, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + HOP_MS, self._sequence, action))

    def _apply_effects(self, name: InstanceId, effects: list[Effect]) -> None:
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
        self._schedule(lambda: self._deliver_to_server(name, server, datagram))

    def _deliver_to_server(
        self, name: InstanceId, server: ServerId, datagram: Datagram
    ) -> None:
        known = self.servers.get(server)
        if known is None or name in known.ignored_instances:
            return
        answer = known.on_datagram(name, datagram)
        if answer is not None:
            self._schedule(lambda: self._deliver_to_instance(name, server, answer))

    def _deliver_to_instance(
        self, name: InstanceId, server: ServerId, datagram: Datagram
    ) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        effects = node.director.on_server_datagram(server, datagram, self.now_ms)
        self._apply_effects(name, effects)

    def _to_caller(self, datagram: Datagram) -> None:
        if datagram.kind is Kind.RESET:
            self.resets[datagram.code] += 1
        name = (datagram.service, datagram.flow)
        self.received.setdefault(name, []).append(datagram)

    def _to_peer(self, name: InstanceId, peer: InstanceId, message: Message) -> None:
        node = self.nodes[name]
        if isinstance(message, _RETURN_PATH_MESSAGES):
            node.n_hops += 1
        else:
            n_bytes = len(msgspec.msgpack.encode(message)) + ENVELOPE_BYTES
            node.n_control_bytes += n_bytes
        if not self.drops_message(name, peer):
            self._schedule(lambda: self._deliver_to_peer(name, peer, message))

    def _deliver_to_peer(
        self, name: InstanceId, peer: InstanceId, message: Message
    ) -> None:
        node = self.nodes.get(peer)
        if node is None:
            return
        effects = node.director.on_message(name, message, self.now_ms)
        self._apply_effects(peer, effects)


def _answer(
    datagram: Datagram, kind: Kind, code: RefusalCode = RefusalCode.NONE
) -> Datagram:
    return msgspec.structs.replace(datagram, kind=kind, code=code, body=b"")
