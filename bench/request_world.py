"""Simulates dispatchers, servers and callers on virtual time and a faulty network."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from sapphirerail_core.datagram import Datagram, Kind, Run
from sapphirerail_core.effects import (
    Effect,
    Message,
    SendToCaller,
    SendToPeer,
    SendToServer,
)
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan.model import Plan
from sapphirerail_core.request import Dispatcher, DispatcherConfig
from sapphirerail_core.types import (
    DataCentreId,
    FlowId,
    InstanceId,
    InstanceState,
    RequestId,
    ServerId,
    TrafficClass,
)

from .fake_server import FakeServer, RunKey, run_key
from .lagging_fleet import LEASE_MS, LaggingFleet
from .reports_only import ReportsOnlyDispatcher
from .request_node import Faults, Node
from .request_plan import SERVICE, RendezvousFlows

__all__ = ["RequestWorld"]

TICK_MS = 20
HEARTBEAT_MS = 100
FAILURE_DETECTION_MS = 1_500
JOIN_LAG_MAX_MS = 1_000


class RequestWorld:
    """Simulation of the instances' dispatchers with backend servers and callers.

    Parameters
    ----------
    plan : Plan
        Servers and data centres.
    n_instances : int
        Instances in each data centre.
    seed : int
        Seed of all random choices.
    config : DispatcherConfig
        Settings of every dispatcher.
    is_reports_only : bool
        Whether the baseline without claims replaces the dispatcher.
    is_fleet_start : bool
        Whether all instances start at time 0 and don't know each other yet.
    """

    def __init__(
        self,
        plan: Plan,
        n_instances: int = 2,
        seed: int = 1,
        config: DispatcherConfig | None = None,
        *,
        is_reports_only: bool = False,
        is_fleet_start: bool = False,
    ) -> None:
        self.plan = plan
        self.is_reports_only = is_reports_only
        self.config = config or DispatcherConfig()
        self.random = random.Random(seed)
        self.now_ms = 0
        self.faults = Faults()
        self.runs: Counter[RunKey] = Counter()
        self.servers = {
            name: FakeServer(planned, self.runs)
            for name, planned in plan.servers.items()
        }
        self.nodes: dict[InstanceId, Node] = {}
        self.answers: dict[RunKey, list[Datagram]] = {}
        self.refusals: dict[RunKey, list[Datagram]] = {}
        self.sent_at_ms: dict[RunKey, int] = {}
        self.latencies_ms: dict[RunKey, int] = {}
        self.n_messages: Counter[str] = Counter()
        self.n_message_bytes = 0
        self.on_effects: Callable[[InstanceId, list[Effect]], None] | None = None
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._n_events = 0
        self._replies_to: dict[tuple[ServerId, RunKey], InstanceId] = {}
        self._encoder = msgspec.msgpack.Encoder()
        for data_centre in plan.data_centres:
            for i in range(n_instances):
                name = InstanceId(f"{data_centre}-{i}")
                if is_fleet_start:
                    self._start_unannounced(name, data_centre)
                else:
                    self.join(name, data_centre, is_known=True)
        self._at(0, self._exchange_heartbeats)

    def join(
        self, name: InstanceId, data_centre: DataCentreId, *, is_known: bool = False
    ) -> None:
        """Start an instance; each other instance learns of it after a random lag."""
        others = dict(self.nodes)
        live = {
            n: node.data_centre for n, node in others.items() if not node.is_stopped
        }
        self._start(name, data_centre, live, -60_000 if is_known else self.now_ms)
        for other, known in others.items():
            lag_ms = 0 if is_known else self.random.randrange(JOIN_LAG_MAX_MS)
            self._at(
                lag_ms, lambda o=other, n=name, d=data_centre: self._add_member(o, n, d)
            )
            if is_known:
                known.fleet.add(name, data_centre)

    def _start_unannounced(self, name: InstanceId, data_centre: DataCentreId) -> None:
        """Start an instance; it and each other one learn of each other after a lag."""
        others = dict(self.nodes)
        self._start(name, data_centre, {}, self.now_ms)
        for other, node in others.items():
            for one, two, home in (
                (name, other, node.data_centre),
                (other, name, data_centre),
            ):
                lag_ms = self.random.randrange(JOIN_LAG_MAX_MS)
                self._at(lag_ms, lambda o=one, t=two, d=home: self._add_member(o, t, d))

    def _start(
        self,
        name: InstanceId,
        data_centre: DataCentreId,
        known: dict[InstanceId, DataCentreId],
        started_at_ms: int,
    ) -> None:
        fleet = LaggingFleet(name, known | {name: data_centre})
        fleet.lease_until_ms = self.now_ms + LEASE_MS
        flows = RendezvousFlows(self.plan)
        dispatcher = self._dispatcher(name, fleet, flows, started_at_ms)
        dispatcher.on_plan(self.plan, self.now_ms)
        node = Node(dispatcher, fleet, data_centre, flows, started_at_ms, self.now_ms)
        self.nodes[name] = node
        self._at(self.random.randrange(TICK_MS), lambda: self._tick_node(name))

    def _dispatcher(
        self,
        name: InstanceId,
        fleet: LaggingFleet,
        flows: RendezvousFlows,
        started_at_ms: int,
    ) -> Dispatcher | ReportsOnlyDispatcher:
        random_state = random.Random(self.random.random())
        if self.is_reports_only:
            return ReportsOnlyDispatcher(flows, random_state)
        return Dispatcher.from_config(
            self.config, fleet, flows, Journal(name), random_state, started_at_ms
        )

    def kill(self, name: InstanceId) -> None:
        """Stop an instance without notice."""
        self.nodes[name].is_stopped = True

    def pause(self, name: InstanceId) -> None:
        """Suspend an instance; events for it are queued."""
        self.nodes[name].is_paused = True

    def resume(self, name: InstanceId) -> None:
        """Resume a paused instance, which handles the queued events first."""
        node = self.nodes[name]
        if not node.is_paused:
            return
        node.is_paused = False
        handlers, node.inbox = node.inbox, []
        for handler in handlers:
            self._handle(name, handler)

    def drain(self, name: InstanceId) -> None:
        """Begin a planned stop; each other instance learns of it after a random lag."""
        self.nodes[name].is_leaving = True
        self._handle(name, lambda now_ms: self.nodes[name].dispatcher.drain(now_ms))
        for other in self.nodes:
            lag_ms = self.random.randrange(300)
            self._at(
                lag_ms, lambda o=other: self._remove_member(o, name, InstanceState.LEFT)
            )

    def stop_when_idle(self, name: InstanceId) -> None:
        """Stop a leaving instance as soon as it has no request in flight."""
        if self.nodes[name].dispatcher.n_in_flight:
            self._at(100, lambda: self.stop_when_idle(name))
        else:
            self.kill(name)

    def set_plan(self, plan: Plan) -> None:
        """Publish a plan; each instance applies it after a random lag."""
        self.plan = plan
        for name in self.nodes:
            lag_ms = self.random.randrange(1_000)
            self._at(lag_ms, lambda n=name: self._apply_plan(n, plan))

    def submit(self, name: InstanceId, datagram: Datagram) -> None:
        """Deliver a caller's datagram to an instance."""
        dispatcher = self.nodes[name].dispatcher
        self._handle(name, lambda now_ms: dispatcher.submit(datagram, now_ms))

    def deliver(self, sender: InstanceId, target: InstanceId, message: Message) -> None:
        """Deliver a message between two instances without network delay."""
        dispatcher = self.nodes[target].dispatcher
        self._handle(
            target, lambda now_ms: dispatcher.on_message(sender, message, now_ms)
        )

    def request(
        self,
        flow: int,
        request: int = 1,
        *,
        attempt: int = 0,
        name: InstanceId | None = None,
        kind: Kind = Kind.REQUEST,
        traffic_class: TrafficClass = TrafficClass.TRANSACTION,
        idempotent: bool = False,
        deadline_ms: int = 2_000,
    ) -> None:
        """Send a request through a random live instance."""
        datagram = Datagram(
            kind=kind,
            service=SERVICE,
            flow=FlowId(flow),
            request=RequestId(request),
            attempt=attempt,
            traffic_class=traffic_class,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
            caller=f"caller:{flow}",
            body=b"%d/%d" % (flow, request),
        )
        self.sent_at_ms.setdefault((flow, request), self.now_ms)
        live = [n for n, node in self.nodes.items() if not node.is_stopped]
        self.submit(name or self.random.choice(sorted(live)), datagram)

    def run(self, duration_ms: int) -> None:
        """Advance the virtual time and run the events that are due."""
        until_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, event = heapq.heappop(self._heap)
            event()
        self.now_ms = until_ms

    def schedule(self, delay_ms: int, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        self._at(delay_ms, event)

    def double_runs(self, keys: set[RunKey]) -> list[RunKey]:
        """Return the requests of a set that ran more than once."""
        return [key for key in keys if self.runs[key] > 1]

    def false_refusals(self) -> list[RunKey]:
        """Return the requests that ran although a refusal says that they did not."""
        return [
            key
            for key, refusals in self.refusals.items()
            if self.runs[key] and any(r.run is Run.NO for r in refusals)
        ]

    def n_overruns(self) -> int:
        """Return how often a cold server got more requests than it can handle."""
        return sum(server.n_overruns for server in self.servers.values())

    def n_outcomes(self, key: RunKey) -> int:
        """Return how many answers and refusals a request got."""
        return len(self.answers.get(key, [])) + len(self.refusals.get(key, []))

    def _at(self, delay_ms: int, event: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._n_events, event))

    def _exchange_heartbeats(self) -> None:
        for node in self.nodes.values():
            if node.is_stopped or node.is_paused:
                continue
            peers = [
                n for n in self.nodes.values() if n.data_centre == node.data_centre
            ]
            running = [n for n in peers if not (n.is_stopped or n.is_paused)]
            n_live = len(node.fleet.live(node.data_centre))
            if 2 * len(running) > n_live or n_live <= 2:
                node.fleet.lease_until_ms = self.now_ms + LEASE_MS
            node.last_contact_ms = self.now_ms
        for name in list(self.nodes):
            self._check_member(name)
        self._at(HEARTBEAT_MS, self._exchange_heartbeats)

    def _check_member(self, name: InstanceId) -> None:
        suspect = self.nodes[name]
        for other, node in self.nodes.items():
            if other == name or node.is_stopped or node.is_paused:
                continue
            is_partitioned = self._is_partitioned(node.data_centre, suspect.data_centre)
            since_contact_ms = self.now_ms - suspect.last_contact_ms
            is_member = name in node.fleet.members
            if is_member and (
                is_partitioned or since_contact_ms > FAILURE_DETECTION_MS
            ):
                lag_ms = (
                    self.random.randrange(500) + FAILURE_DETECTION_MS * is_partitioned
                )
                self._at(
                    lag_ms,
                    lambda o=other: self._remove_member(o, name, InstanceState.DEAD),
                )
            elif not is_member and not suspect.is_leaving and not suspect.is_stopped:
                is_responding = since_contact_ms <= HEARTBEAT_MS
                is_announced = self.now_ms >= suspect.started_at_ms + JOIN_LAG_MAX_MS
                if not is_partitioned and is_responding and is_announced:
                    self._add_member(other, name, suspect.data_centre)

    def _add_member(
        self, name: InstanceId, other: InstanceId, data_centre: DataCentreId
    ) -> None:
        node = self.nodes[name]
        node.fleet.add(other, data_centre)
        self._handle(
            name,
            lambda now_ms: node.dispatcher.on_instance_state(
                other, InstanceState.ALIVE, now_ms
            ),
        )

    def _remove_member(
        self, name: InstanceId, other: InstanceId, state: InstanceState
    ) -> None:
        node, removed = self.nodes[name], self.nodes[other]
        if name == other or other not in node.fleet.members:
            return
        is_running = not (removed.is_stopped or removed.is_paused)
        if state is InstanceState.DEAD and is_running:
            if not self._is_partitioned(node.data_centre, removed.data_centre):
                return
        node.fleet.remove(other, state, removed.last_contact_ms + LEASE_MS + 200)
        self._handle(
            name,
            lambda now_ms: node.dispatcher.on_instance_state(other, state, now_ms),
        )

    def _apply_plan(self, name: InstanceId, plan: Plan) -> None:
        node = self.nodes[name]
        node.flows.plan = plan
        self._handle(name, lambda now_ms: node.dispatcher.on_plan(plan, now_ms))

    def _tick_node(self, name: InstanceId) -> None:
        node = self.nodes[name]
        if node.is_stopped:
            return
        if not node.is_paused:
            self._handle(name, node.dispatcher.tick)
        self._at(TICK_MS, lambda: self._tick_node(name))

    def _handle(self, name: InstanceId, handler: Callable[[int], list[Effect]]) -> None:
        node = self.nodes[name]
        if node.is_stopped:
            return
        if node.is_paused:
            node.inbox.append(handler)
            return
        effects = handler(self.now_ms)
        if self.on_effects is not None:
            self.on_effects(name, effects)
        for effect in effects:
            self._apply_effect(name, effect)

    def _apply_effect(self, name: InstanceId, effect: Effect) -> None:
        if isinstance(effect, SendToCaller):
            self._to_caller(effect.datagram)
        elif isinstance(effect, SendToPeer):
            self._to_peer(name, effect.instance, effect.message)
        elif isinstance(effect, SendToServer):
            self._to_server(name, effect.server, effect.datagram)

    def _to_caller(self, datagram: Datagram) -> None:
        assert datagram.caller == f"caller:{datagram.flow}"
        outcomes = self.refusals if datagram.kind is Kind.REFUSAL else self.answers
        key = run_key(datagram)
        outcomes.setdefault(key, []).append(datagram)
        if datagram.kind is Kind.ANSWER and key in self.sent_at_ms:
            self.latencies_ms.setdefault(key, self.now_ms - self.sent_at_ms[key])

    def _to_peer(self, name: InstanceId, target: InstanceId, message: Message) -> None:
        self.n_messages[type(message).__name__] += 1
        self.n_message_bytes += len(self._encoder.encode(message))
        node = self.nodes.get(target)
        if node is None or self._is_partitioned(
            self.nodes[name].data_centre, node.data_centre
        ):
            return
        for _ in range(self._n_copies()):
            self._at(
                self._delay_ms(),
                lambda: self._handle(
                    target,
                    lambda now_ms: node.dispatcher.on_message(name, message, now_ms),
                ),
            )

    def _to_server(self, name: InstanceId, server: ServerId, sent: Datagram) -> None:
        data_centre = self.plan.servers[server].data_centre
        if self._is_partitioned(self.nodes[name].data_centre, data_centre):
            return
        # Datagrams to a server are not duplicated or reordered here: whether a server
        # runs a duplicated request twice is outside the dispatcher's control.
        if self.random.random() >= self.faults.loss:
            self._at(self._delay_ms(), lambda: self._at_server(name, server, sent))

    def _at_server(self, name: InstanceId, server: ServerId, sent: Datagram) -> None:
        self._replies_to[server, run_key(sent)] = name
        model = self.servers[server]
        for datagram in model.on_datagram(sent, self.now_ms):
            self._from_server(server, datagram)
        if sent.kind is not Kind.PROBE:
            self._at(model.work_ms, lambda: self._tick_server(server))

    def _tick_server(self, server: ServerId) -> None:
        model = self.servers[server]
        for datagram in model.tick(self.now_ms):
            self._from_server(server, datagram)
        if model.is_busy():
            self._at(
                model.next_completion_ms() - self.now_ms,
                lambda: self._tick_server(server),
            )

    def _from_server(self, server: ServerId, datagram: Datagram) -> None:
        name = self._replies_to[server, run_key(datagram)]
        node = self.nodes[name]
        if self._is_partitioned(
            node.data_centre, self.plan.servers[server].data_centre
        ):
            return
        for _ in range(self._n_copies()):
            self._at(
                self._delay_ms(),
                lambda: self._handle(
                    name,
                    lambda now_ms: node.dispatcher.on_server_datagram(
                        server, datagram, now_ms
                    ),
                ),
            )

    def _is_partitioned(self, one: DataCentreId, other: DataCentreId) -> bool:
        return one != other and bool({one, other} & self.faults.isolated_data_centres)

    def _n_copies(self) -> int:
        if self.random.random() < self.faults.loss:
            return 0
        return 2 if self.random.random() < self.faults.duplication else 1

    def _delay_ms(self) -> int:
        return self.random.randint(0, self.faults.delay_max_ms)
