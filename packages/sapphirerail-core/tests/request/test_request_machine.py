"""Invariants of request handling under random faults and transmissions."""

from bench.request_plan import small_plan
from bench.request_world import RequestWorld
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sapphirerail_core.datagram import Kind
from sapphirerail_core.load import LimitConfig
from sapphirerail_core.request import DispatcherConfig
from sapphirerail_core.types import InstanceId

FOREVER_MS = 10**9
SETTLE_MS = 25_000
FLOWS = st.integers(1, 12)


class RequestMachine(RuleBasedStateMachine):
    """Cold servers that can handle one request, in three data centres.

    The network between the instances is faulty.
    """

    def __init__(self):
        super().__init__()
        config = DispatcherConfig(limit=LimitConfig(warm_up_ms=FOREVER_MS))
        self.world = RequestWorld(small_plan(), n_instances=3, seed=5, config=config)
        for server in self.world.servers.values():
            server.turn_cold(0, FOREVER_MS)
        self.world.run(600)
        self.attempts = {}
        self.n_joined = 0

    def usable(self):
        return sorted(
            name
            for name, node in self.world.nodes.items()
            if not (node.is_stopped or node.is_paused or node.is_leaving)
        )

    def may_stop(self, name):
        data_centre = self.world.nodes[name].data_centre
        near = [
            n for n in self.usable() if self.world.nodes[n].data_centre == data_centre
        ]
        return len(near) > 2

    @rule(flow=FLOWS, pick=st.integers(0, 30), deadline_ms=st.integers(50, 3_000))
    def transmit(self, flow, pick, deadline_ms):
        names = self.usable()
        attempt = self.attempts.get(flow, -1) + 1
        self.attempts[flow] = attempt
        self.world.request(
            flow,
            attempt=attempt,
            name=names[pick % len(names)],
            deadline_ms=deadline_ms,
        )

    @rule(flow=FLOWS)
    def cancel(self, flow):
        self.world.request(flow, kind=Kind.CANCEL, name=self.usable()[0])

    @rule(for_ms=st.sampled_from([5, 50, 300, 2_000]))
    def wait(self, for_ms):
        self.world.run(for_ms)

    @rule(loss=st.sampled_from([0.0, 0.2]), duplication=st.sampled_from([0.0, 0.3]))
    def vary_network_faults(self, loss, duplication):
        self.world.faults.loss = loss
        self.world.faults.duplication = duplication
        self.world.faults.delay_max_ms = 30

    @rule(pick=st.integers(0, 30), is_planned=st.booleans())
    def kill_or_drain_instance(self, pick, is_planned):
        name = self.usable()[pick % len(self.usable())]
        if not self.may_stop(name):
            return
        if is_planned:
            self.world.drain(name)
            self.world.schedule(400, lambda: self.world.stop_when_idle(name))
        else:
            self.world.kill(name)

    @rule(pick=st.integers(0, 30), for_ms=st.sampled_from([200, 900, 4_000]))
    def pause(self, pick, for_ms):
        name = self.usable()[pick % len(self.usable())]
        if self.may_stop(name):
            self.world.pause(name)
            self.world.schedule(for_ms, lambda: self.world.resume(name))

    @precondition(lambda self: self.n_joined < 4)
    @rule(data_centre=st.sampled_from(["dc0", "dc1", "dc2"]))
    def join(self, data_centre):
        self.n_joined += 1
        self.world.join(InstanceId(f"{data_centre}-new{self.n_joined}"), data_centre)

    @rule(data_centre=st.sampled_from(["dc0", "dc1", "dc2"]))
    def cut(self, data_centre):
        self.world.faults.isolated_data_centres = {data_centre}

    @rule()
    def heal(self):
        self.world.faults.isolated_data_centres = set()

    @invariant()
    def no_request_runs_twice(self):
        assert not self.world.double_runs({(flow, 1) for flow in self.attempts})

    @invariant()
    def refusals_are_true(self):
        assert not self.world.false_refusals()

    @invariant()
    def cold_servers_are_not_overloaded(self):
        assert self.world.n_overruns() == 0

    def teardown(self):
        self.world.run(SETTLE_MS)
        self.no_request_runs_twice()
        self.refusals_are_true()
        self.cold_servers_are_not_overloaded()


RequestMachine.TestCase.settings = settings(
    max_examples=20,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRequestMachine = RequestMachine.TestCase
