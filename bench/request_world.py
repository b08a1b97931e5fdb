"""Dispatchers, servers and callers on one virtual clock with a faulty network."""

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
from .request_plan import SERVICE, Flows

__all__ = ["RequestWorld"]

TICK_MS = 20
HEARTBEAT_MS = 100
DEAD_AFTER_MS = 1_500
JOIN_LAG_MAX_MS = 1_000


class RequestWorld:
    """Runs the parts step by step.

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
    is_alone : bool
        Whether the baseline runs in place of the dispatcher.
    is_fresh : bool
        Whether all instances start at 0 and have yet to hear of each other.
    """

    def __init__(
        self,
        plan: Plan,
        n_instances: int = 2,
        seed: int = 1,
        config: DispatcherConfig | None = None,
        *,
        is_alone: bool = False,
        is_fresh: bool = False,
    ) -> None:
        self.plan = plan
        self.is_alone = is_alone
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
        self.on_turn: Callable[[InstanceId, list[Effect]], None] | None = None
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._n_events = 0
        self._replies_to: dict[tuple[ServerId, RunKey], InstanceId] = {}
        self._encoder = msgspec.msgpack.Encoder()
        for place in plan.data_centres:
            for i in range(n_instances):
                name = InstanceId(f"{place}-{i}")
                if is_fresh:
                    self._start_unknown(name, place)
                else:
                    self.join(name, place, is_known=True)
        self._at(0, self._beat)

    def join(
        self, name: InstanceId, place: DataCentreId, *, is_known: bool = False
    ) -> None:
        """Start an instance; the others learn of it with a lag of their own."""
        others = dict(self.nodes)
        live = {n: node.place for n, node in others.items() if not node.is_dead}
        self._start(name, place, live, -60_000 if is_known else self.now_ms)
        for other, known in others.items():
            lag_ms = 0 if is_known else self.random.randrange(JOIN_LAG_MAX_MS)
            self._at(lag_ms, lambda o=other, n=name, p=place: self._learn(o, n, p))
            if is_known:
                known.fleet.add(name, place)

    def _start_unknown(self, name: InstanceId, place: DataCentreId) -> None:
        """Start an instance that hears of each other one with a lag, as they of it."""
        others = dict(self.nodes)
        self._start(name, place, {}, self.now_ms)
        for other, node in others.items():
            for one, two, at in ((name, other, node.place), (other, name, place)):
                lag_ms = self.random.randrange(JOIN_LAG_MAX_MS)
                self._at(lag_ms, lambda o=one, t=two, p=at: self._learn(o, t, p))

    def _start(
        self,
        name: InstanceId,
        place: DataCentreId,
        known: dict[InstanceId, DataCentreId],
        started_at_ms: int,
    ) -> None:
        fleet = LaggingFleet(name, known | {name: place})
        fleet.lease_until_ms = self.now_ms + LEASE_MS
        flows = Flows(self.plan)
        dispatcher = self._dispatcher(name, fleet, flows, started_at_ms)
        dispatcher.on_plan(self.plan, self.now_ms)
        node = Node(dispatcher, fleet, place, flows, started_at_ms, self.now_ms)
        self.nodes[name] = node
        self._at(self.random.randrange(TICK_MS), lambda: self._tick_node(name))

    def _dispatcher(
        self, name: InstanceId, fleet: LaggingFleet, flows: Flows, started_at_ms: int
    ) -> Dispatcher | ReportsOnlyDispatcher:
        random_state = random.Random(self.random.random())
        if self.is_alone:
            return ReportsOnlyDispatcher(flows, random_state)
        return Dispatcher.from_config(
            self.config, fleet, flows, Journal(name), random_state, started_at_ms
        )

    def kill(self, name: InstanceId) -> None:
        """End an instance without notice."""
        self.nodes[name].is_dead = True

    def pause(self, name: InstanceId) -> None:
        """Stop an instance; what comes for it waits."""
        self.nodes[name].is_paused = True

    def wake(self, name: InstanceId) -> None:
        """Let a paused instance go on with what came meanwhile."""
        node = self.nodes[name]
        if not node.is_paused:
            return
        node.is_paused = False
        waiting, node.inbox = node.inbox, []
        for handler in waiting:
            self._run(name, handler)

    def drain(self, name: InstanceId) -> None:
        """Begin a planned stop; the others learn of it with a lag."""
        self.nodes[name].is_leaving = True
        self._run(name, lambda now_ms: self.nodes[name].dispatcher.drain(now_ms))
        for other in self.nodes:
            lag_ms = self.random.randrange(300)
            self._at(lag_ms, lambda o=other: self._unlearn(o, name, InstanceState.LEFT))

    def stop_when_idle(self, name: InstanceId) -> None:
        """End a leaving instance as soon as it owes no outcome."""
        if self.nodes[name].dispatcher.n_in_flight:
            self._at(100, lambda: self.stop_when_idle(name))
        else:
            self.kill(name)

    def set_plan(self, plan: Plan) -> None:
        """Put a plan in force; instances get it with a lag of their own."""
        self.plan = plan
        for name in self.nodes:
            lag_ms = self.random.randrange(1_000)
            self._at(lag_ms, lambda n=name: self._plan_node(n, plan))

    def submit(self, name: InstanceId, datagram: Datagram) -> None:
        """Hand a caller's datagram to an instance."""
        dispatcher = self.nodes[name].dispatcher
        self._run(name, lambda now_ms: dispatcher.submit(datagram, now_ms))

    def deliver(self, sender: InstanceId, target: InstanceId, message: Message) -> None:
        """Hand one instance's message to another one at once."""
        dispatcher = self.nodes[target].dispatcher
        self._run(target, lambda now_ms: dispatcher.on_message(sender, message, now_ms))

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
        live = [n for n, node in self.nodes.items() if not node.is_dead]
        self.submit(name or self.random.choice(sorted(live)), datagram)

    def run(self, for_ms: int) -> None:
        """Let virtual time pass."""
        until_ms = self.now_ms + for_ms
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, event = heapq.heappop(self._heap)
            event()
        self.now_ms = until_ms

    def at(self, delay_ms: int, event: Callable[[], None]) -> None:
        """Do something later."""
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
        """Return how often a cold server got more than it bears."""
        return sum(server.n_overruns for server in self.servers.values())

    def outcomes(self, key: RunKey) -> int:
        """Return how many answers and refusals a request got."""
        return len(self.answers.get(key, [])) + len(self.refusals.get(key, []))

    def _at(self, delay_ms: int, event: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._n_events, event))

    def _beat(self) -> None:
        for node in self.nodes.values():
            if node.is_dead or node.is_paused:
                continue
            peers = [n for n in self.nodes.values() if n.place == node.place]
            awake = [n for n in peers if not (n.is_dead or n.is_paused)]
            live = len(node.fleet.live(node.place))
            if 2 * len(awake) > live or live <= 2:
                node.fleet.lease_until_ms = self.now_ms + LEASE_MS
            node.heard_at_ms = self.now_ms
        for name in list(self.nodes):
            self._suspect(name)
        self._at(HEARTBEAT_MS, self._beat)

    def _suspect(self, name: InstanceId) -> None:
        lost = self.nodes[name]
        for other, node in self.nodes.items():
            if other == name or node.is_dead or node.is_paused:
                continue
            is_cut = self._is_cut(node.place, lost.place)
            silent_ms = self.now_ms - lost.heard_at_ms
            is_member = name in node.fleet.members
            if is_member and (is_cut or silent_ms > DEAD_AFTER_MS):
                lag_ms = self.random.randrange(500) + DEAD_AFTER_MS * is_cut
                self._at(
                    lag_ms,
                    lambda o=other: self._unlearn(o, name, InstanceState.DEAD),
                )
            elif not is_member and not lost.is_leaving and not lost.is_dead:
                is_heard = silent_ms <= HEARTBEAT_MS
                is_announced = self.now_ms >= lost.started_at_ms + JOIN_LAG_MAX_MS
                if not is_cut and is_heard and is_announced:
                    self._learn(other, name, lost.place)

    def _learn(self, name: InstanceId, other: InstanceId, place: DataCentreId) -> None:
        node = self.nodes[name]
        node.fleet.add(other, place)
        self._run(
            name,
            lambda now_ms: node.dispatcher.on_instance_state(
                other, InstanceState.ALIVE, now_ms
            ),
        )

    def _unlearn(
        self, name: InstanceId, other: InstanceId, state: InstanceState
    ) -> None:
        node, lost = self.nodes[name], self.nodes[other]
        if name == other or other not in node.fleet.members:
            return
        alive = not (lost.is_dead or lost.is_paused)
        if state is InstanceState.DEAD and alive:
            if not self._is_cut(node.place, lost.place):
                return
        node.fleet.remove(other, state, lost.heard_at_ms + LEASE_MS + 200)
        self._run(
            name,
            lambda now_ms: node.dispatcher.on_instance_state(other, state, now_ms),
        )

    def _plan_node(self, name: InstanceId, plan: Plan) -> None:
        node = self.nodes[name]
        node.flows.plan = plan
        self._run(name, lambda now_ms: node.dispatcher.on_plan(plan, now_ms))

    def _tick_node(self, name: InstanceId) -> None:
        node = self.nodes[name]
        if node.is_dead:
            return
        if not node.is_paused:
            self._run(name, node.dispatcher.tick)
        self._at(TICK_MS, lambda: self._tick_node(name))

    def _run(self, name: InstanceId, handler: Callable[[int], list[Effect]]) -> None:
        node = self.nodes[name]
        if node.is_dead:
            return
        if node.is_paused:
            node.inbox.append(handler)
            return
        effects = handler(self.now_ms)
        if self.on_turn is not None:
            self.on_turn(name, effects)
        for effect in effects:
            self._carry_out(name, effect)

    def _carry_out(self, name: InstanceId, effect: Effect) -> None:
        if isinstance(effect, SendToCaller):
            self._to_caller(effect.datagram)
        elif isinstance(effect, SendToPeer):
            self._to_peer(name, effect.instance, effect.message)
        elif isinstance(effect, SendToServer):
            self._to_server(name, effect.server, effect.datagram)

    def _to_caller(self, datagram: Datagram) -> None:
        assert datagram.caller == f"caller:{datagram.flow}"
        box = self.refusals if datagram.kind is Kind.REFUSAL else self.answers
        key = run_key(datagram)
        box.setdefault(key, []).append(datagram)
        if datagram.kind is Kind.ANSWER and key in self.sent_at_ms:
            self.latencies_ms.setdefault(key, self.now_ms - self.sent_at_ms[key])

    def _to_peer(self, name: InstanceId, target: InstanceId, message: Message) -> None:
        self.n_messages[type(message).__name__] += 1
        self.n_message_bytes += len(self._encoder.encode(message))
        node = self.nodes.get(target)
        if node is None or self._is_cut(self.nodes[name].place, node.place):
            return
        for _ in range(self._n_copies()):
            self._at(
                self._delay_ms(),
                lambda: self._run(
                    target,
                    lambda now_ms: node.dispatcher.on_message(name, message, now_ms),
                ),
            )

    def _to_server(self, name: InstanceId, server: ServerId, sent: Datagram) -> None:
        place = self.plan.servers[server].data_centre
        if self._is_cut(self.nodes[name].place, place):
            return
        # The way to a server neither doubles nor reorders here: whether a server
        # runs a doubled datagram twice is its own affair.
        if self.random.random() >= self.faults.loss:
            self._at(self._delay_ms(), lambda: self._at_server(name, server, sent))

    def _at_server(self, name: InstanceId, server: ServerId, sent: Datagram) -> None:
        self._replies_to[server, run_key(sent)] = name
        fake = self.servers[server]
        for datagram in fake.on_datagram(sent, self.now_ms):
            self._from_server(server, datagram)
        if sent.kind is not Kind.PROBE:
            self._at(fake.work_ms, lambda: self._tick_server(server))

    def _tick_server(self, server: ServerId) -> None:
        fake = self.servers[server]
        for datagram in fake.tick(self.now_ms):
            self._from_server(server, datagram)
        if fake.is_busy():
            self._at(
                fake.next_completion_ms() - self.now_ms,
                lambda: self._tick_server(server),
            )

    def _from_server(self, server: ServerId, datagram: Datagram) -> None:
        name = self._replies_to[server, run_key(datagram)]
        node = self.nodes[name]
        if self._is_cut(node.place, self.plan.servers[server].data_centre):
            return
        for _ in range(self._n_copies()):
            self._at(
                self._delay_ms(),
                lambda: self._run(
                    name,
                    lambda now_ms: node.dispatcher.on_server_datagram(
                        server, datagram, now_ms
                    ),
                ),
            )

    def _is_cut(self, one: DataCentreId, other: DataCentreId) -> bool:
        return one != other and bool({one, other} & self.faults.cut)

    def _n_copies(self) -> int:
        if self.random.random() < self.faults.loss:
            return 0
        return 2 if self.random.random() < self.faults.duplication else 1

    def _delay_ms(self) -> int:
        return self.random.randint(0, self.faults.delay_max_ms)
