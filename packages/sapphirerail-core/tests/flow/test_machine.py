"""Random plan changes, crashes, partitions and packet loss on several directors."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    initialize,
    invariant,
    precondition,
    rule,
)

from sapphirerail_core.datagram import Kind
from sapphirerail_core.types import (
    DataCentreState,
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    ServerState,
    ServiceId,
    TrafficClass,
)
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    DATA_CENTRES,
    SKETCHES,
    add_server,
    change_data_centre,
    change_servers,
    first_plan,
    new_server,
    replace_server,
)

N_INSTANCES = 6
N_TRIES = 8
TRY_MS = 1_000


class FlowMachine(RuleBasedStateMachine):
    """State machine: every open flow stays reachable through any instance."""

    flows = Bundle("flows")

    def __init__(self) -> None:
        super().__init__()
        places = {InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)}
        self.fleet = FlowFleet(places, seed=5)
        self.plan = first_plan()
        self.fleet.set_plan(self.plan)
        self.open_flows: dict[tuple[ServiceId, FlowId], ServerId] = {}
        self.n_flows = {BOOKINGS: 0, SKETCHES: 0}
        self.traffic_class: dict[tuple[ServiceId, FlowId], TrafficClass] = {}
        self.n_joined = N_INSTANCES
        self.n_servers = 0
        self.loss_share = 0.0
        self.partitioned: set[InstanceId] = set()
        self.fleet.drops_message = self.drops_message

    def drops_message(self, sender: InstanceId, receiver: InstanceId) -> bool:
        if (sender in self.partitioned) != (receiver in self.partitioned):
            return True
        return self.fleet.random.random() < self.loss_share

    @initialize()
    def start(self) -> None:
        self.fleet.run(100)

    def instance(self, n: int) -> InstanceId:
        names = sorted(self.fleet.nodes)
        return names[n % len(names)]

    @rule(
        target=flows,
        at=st.integers(0, 99),
        service=st.sampled_from([BOOKINGS, SKETCHES]),
        choice=st.integers(0, 2),
        traffic_class=st.sampled_from(list(TrafficClass)),
    )
    def open(
        self, at: int, service: ServiceId, choice: int, traffic_class: TrafficClass
    ) -> tuple[ServiceId, FlowId]:
        # Both services use the same flow numbers.
        self.n_flows[service] += 1
        flow = FlowId(self.n_flows[service] * 0x9E3779B97F4A7C15 % 2**64)
        name = (service, flow)
        server = self.fleet.open(
            self.instance(at), service, flow, traffic_class, choice
        )
        if server is not None and not self.is_abandoned(server):
            self.open_flows[name] = server
            self.traffic_class[name] = traffic_class
        self.fleet.run(10)
        return name

    def is_abandoned(self, server: ServerId) -> bool:
        """Return whether flows of a server are lost under the newest plan."""
        entry = self.plan.servers[server]
        left = entry.state is ServerState.LEFT
        return left or self.plan.is_evacuated(entry.data_centre)

    @rule(name=flows, at=st.integers(0, 99))
    def send(self, name: tuple[ServiceId, FlowId], at: int) -> None:
        if name in self.open_flows:
            self.send_until_acknowledged(name, at)

    @rule(name=consumes(flows), at=st.integers(0, 99))
    def close(self, name: tuple[ServiceId, FlowId], at: int) -> None:
        if name in self.open_flows:
            datagram = self.fleet.datagram(Kind.CLOSE, *name)
            self.fleet.send(self.instance(at), datagram)
            del self.open_flows[name]

    @rule(duration_ms=st.sampled_from([10, 300, 2_500, 12_000, 40_000]))
    def wait(self, duration_ms: int) -> None:
        self.fleet.run(duration_ms)

    @rule(share=st.sampled_from([0.0, 0.3]))
    def lose(self, share: float) -> None:
        self.loss_share = share

    @rule(
        n=st.integers(0, 99),
        state=st.sampled_from(
            [ServerState.DRAINING, ServerState.ACTIVE, ServerState.ENTERING]
        ),
        n_updated=st.integers(0, N_INSTANCES),
    )
    def change_server(self, n: int, state: ServerState, n_updated: int) -> None:
        names = sorted(
            name
            for name, server in self.plan.servers.items()
            if server.state is not ServerState.LEFT
        )
        self.plan = change_servers(
            self.plan, {names[n % len(names)]: state}, self.fleet.now_ms
        )
        self.distribute_plan(n_updated)

    @rule(n=st.integers(0, 99), n_updated=st.integers(0, N_INSTANCES))
    def leave(self, n: int, n_updated: int) -> None:
        used = set(self.open_flows.values())
        names = sorted(
            name
            for name, server in self.plan.servers.items()
            if server.state is ServerState.DRAINING and name not in used
        )
        if names:
            left = {names[n % len(names)]: ServerState.LEFT}
            self.plan = change_servers(self.plan, left, self.fleet.now_ms)
            self.distribute_plan(n_updated)

    @rule(n=st.integers(0, 99), n_updated=st.integers(0, N_INSTANCES))
    def replace(self, n: int, n_updated: int) -> None:
        names = sorted(
            name
            for name, server in self.plan.servers.items()
            if server.state is ServerState.ACTIVE
        )
        if not names:
            return
        self.n_servers += 1
        replacement = ServerId(f"replacement-{self.n_servers}")
        self.plan = replace_server(
            self.plan, names[n % len(names)], replacement, self.fleet.now_ms
        )
        self.distribute_plan(n_updated)

    @rule(service=st.sampled_from([BOOKINGS, SKETCHES]), n_updated=st.integers(0, 6))
    def enter(self, service: ServiceId, n_updated: int) -> None:
        self.n_servers += 1
        server = new_server(service, 10 + self.n_servers, 9900)
        self.plan = add_server(self.plan, server, self.fleet.now_ms)
        self.distribute_plan(n_updated)

    @rule(n=st.integers(0, 3), n_updated=st.integers(0, N_INSTANCES))
    def take_out(self, n: int, n_updated: int) -> None:
        state = DataCentreState.OUT
        self.plan = change_data_centre(
            self.plan, DATA_CENTRES[n], state, self.fleet.now_ms
        )
        self.open_flows = {
            name: server
            for name, server in self.open_flows.items()
            if not self.is_abandoned(server)
        }
        self.distribute_plan(n_updated)

    @rule(n=st.integers(0, 3), n_updated=st.integers(0, N_INSTANCES))
    def bring_back(self, n: int, n_updated: int) -> None:
        state = DataCentreState.IN
        self.plan = change_data_centre(
            self.plan, DATA_CENTRES[n], state, self.fleet.now_ms
        )
        self.distribute_plan(n_updated)

    def distribute_plan(self, n_updated: int) -> None:
        """Send the plan to some instances; the others get it late."""
        self.fleet.set_plan(self.plan, sorted(self.fleet.nodes)[:n_updated])

    @rule()
    def converge(self) -> None:
        self.fleet.set_plan(self.plan)

    @precondition(lambda self: len(self.fleet.nodes) > 2)
    @rule(n=st.integers(0, 99), delay_ms=st.sampled_from([0, 2_000]))
    def crash(self, n: int, delay_ms: int) -> None:
        name = self.instance(n)
        self.fleet.kill(name)
        self.fleet.run(delay_ms)
        self.fleet.set_member_state_everywhere(name, InstanceState.DEAD)

    @precondition(lambda self: len(self.fleet.nodes) > 2)
    @rule(n=st.integers(0, 99))
    def stop(self, n: int) -> None:
        name = self.instance(n)
        self.fleet.drain(name)
        self.fleet.run(1_000)
        self.fleet.kill(name)
        self.fleet.set_member_state_everywhere(name, InstanceState.LEFT)

    @precondition(lambda self: not self.partitioned and len(self.fleet.nodes) > 2)
    @rule(n=st.integers(0, 99))
    def crash_after_idle(self, n: int) -> None:
        """Every feed regains a return path without a datagram from its caller."""
        self.loss_share = 0.0
        self.converge()
        self.fleet.run(13_000)
        if self.n_eligible_instances() < 2:
            return
        # A feed whose instance fails within two seconds of its opening has a return
        # path only after its caller's next keepalive.
        feeds = [name for name in self.open_flows if self.has_return_path(name)]
        self.crash(n, 0)
        self.fleet.run(4_000)
        for name in feeds:
            assert self.has_return_path(name), self.explain(name)

    def has_return_path(self, name: tuple[ServiceId, FlowId]) -> bool:
        if self.traffic_class[name] is TrafficClass.TRANSACTION:
            return True
        holder, _ = self.fleet.servers[self.open_flows[name]].flows[name[1]]
        return holder in self.fleet.nodes

    def n_eligible_instances(self) -> int:
        places = [node.fleet.self_data_centre for node in self.fleet.nodes.values()]
        return sum(not self.plan.is_evacuated(data_centre) for data_centre in places)

    @precondition(lambda self: not self.partitioned)
    @rule(n=st.integers(1, 3), delay_ms=st.sampled_from([0, 3_000]))
    def partition(self, n: int, delay_ms: int) -> None:
        """Partition the data centres into two sides that see each other as failed."""
        self.partitioned = {
            name
            for name, node in self.fleet.nodes.items()
            if node.fleet.self_data_centre in DATA_CENTRES[:n]
        }
        self.fleet.run(delay_ms)
        self.report_across(InstanceState.DEAD)

    @precondition(lambda self: self.partitioned)
    @rule()
    def heal(self) -> None:
        partitioned, self.partitioned = self.partitioned, set()
        self.report_across(InstanceState.ALIVE, partitioned)

    def report_across(
        self, state: InstanceState, partitioned: set[InstanceId] | None = None
    ) -> None:
        partitioned = self.partitioned if partitioned is None else partitioned
        for at in list(self.fleet.nodes):
            for about, node in list(self.fleet.nodes.items()):
                if (at in partitioned) != (about in partitioned):
                    data_centre = node.fleet.self_data_centre
                    self.fleet.set_member_state(at, about, state, data_centre)

    @precondition(lambda self: not self.partitioned)
    @precondition(lambda self: len(self.fleet.nodes) < N_INSTANCES + 2)
    @rule()
    def join(self) -> None:
        name = InstanceId(f"i{self.n_joined}")
        self.fleet.join(name, DATA_CENTRES[self.n_joined % 4], self.plan)
        self.n_joined += 1

    def send_until_acknowledged(self, name: tuple[ServiceId, FlowId], at: int) -> None:
        """Send a part and retransmit it, as a caller does, until it is acknowledged."""
        part = len(self.fleet.received.get(name, ())) + 1
        for attempt in range(N_TRIES):
            datagram = self.fleet.datagram(Kind.DATA, *name, part=part, attempt=attempt)
            self.fleet.send(self.instance(at + attempt), datagram)
            self.fleet.run(TRY_MS)
            kinds = (
                [(answer.kind, answer.part) for answer in self.fleet.received[name]]
                if name in self.fleet.received
                else []
            )
            assert all(kind is not Kind.RESET for kind, _ in kinds), self.explain(name)
            if (Kind.ACK, part) in kinds:
                return
        raise AssertionError(self.explain(name))

    def explain(self, name: tuple[ServiceId, FlowId]) -> str:
        """Return the instances' journal entries about a flow."""
        entries = [
            entry
            for node in self.fleet.nodes.values()
            for entry in node.journal.entries()
            if entry.flow == name[1]
        ]
        entries.sort(key=lambda entry: entry.at_ms)
        lines = [
            f"{entry.at_ms} {entry.instance} r{entry.revision} {entry.reason.value} "
            f"{entry.server} {entry.detail}"
            for entry in entries
        ]
        server = self.plan.servers[self.open_flows[name]]
        lines += [
            f"{instance} r{node.journal.revision} knows {node.director.lookup(*name)}"
            for instance, node in self.fleet.nodes.items()
        ]
        return "\n".join([f"{name} is at {server}, now {self.fleet.now_ms}", *lines])

    @invariant()
    def no_datagram_at_another_service(self) -> None:
        assert self.fleet.n_misdirected == 0

    def teardown(self) -> None:
        self.loss_share = 0.0
        self.fleet.set_plan(self.plan)
        for n, name in enumerate(list(self.open_flows)):
            self.send_until_acknowledged(name, n)


FlowMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
TestFlowMachine = FlowMachine.TestCase
