"""Random sequences of writes, partitions, pauses, replacements and replays."""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sapphirerail_core.plan import EMPTY_PLAN
from sapphirerail_core.plan.digest import content_digest
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.messages import PlanNews
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_standins.plan_network import NetworkConfig, PlanNetwork

BOUND_MS = 4000
DATA_CENTRES = ("d0", "d1", "d2")
MEMBERS = {f"i{n}": DATA_CENTRES[n % 3] for n in range(8)}
HEADER = "kind,name,service,tenant,data_centre,address,state\n"
BASIS = (
    HEADER
    + "".join(f"data_centre,{name},,,,,in\n" for name in DATA_CENTRES)
    + "service,s,,t,,,\n"
    + "".join(f"server,b{n},s,,d{n % 3},10.0.0.{n}:1,active\n" for n in range(1, 7))
)

names = st.sampled_from(sorted(MEMBERS))


def _apply(plan, text):
    lines = parse_sheet(text.encode()).lines
    return apply_lines(plan, lines, plan.revision, 0).plan


class PlanMachine(RuleBasedStateMachine):
    """A fleet with message loss; revisions only increase, and no plan is lost."""

    @initialize(seed=st.integers(0, 1000), silent=st.booleans())
    def begin(self, seed, silent):
        config = NetworkConfig(loss=0.05, delay_ms=300, unresponsive_watches=silent)
        self.network = PlanNetwork(MEMBERS, seed, config)
        self.random = random.Random(seed)
        self.plans = [EMPTY_PLAN]
        self._write(_apply(EMPTY_PLAN, BASIS))
        self.network.run(BOUND_MS)

    def _write(self, plan):
        if plan is not self.plans[-1]:
            self.plans.append(plan)
        self.network.write(plan)

    @precondition(lambda self: self.network.is_store_up)
    @rule(n=st.integers(1, 6), state=st.sampled_from(["active", "draining", "left"]))
    def change_server(self, n, state):
        line = f"server,b{n},,,,,{state}\n"
        self._write(_apply(self.plans[-1], HEADER + line))

    @precondition(lambda self: self.network.is_store_up)
    @rule(name=st.sampled_from(DATA_CENTRES), state=st.sampled_from(["in", "out"]))
    def change_data_centre(self, name, state):
        line = f"data_centre,{name},,,,,{state}\n"
        self._write(_apply(self.plans[-1], HEADER + line))

    @precondition(lambda self: self.network.is_store_up)
    @rule(name=st.sampled_from(DATA_CENTRES))
    def remove_data_centre(self, name):
        line = f"data_centre,{name},,,,,removed\n"
        self._write(_apply(self.plans[-1], HEADER + line))

    @precondition(lambda self: self.network.is_store_up)
    @rule(removed=st.booleans())
    def remove_or_add_service(self, removed):
        line = f"service,s2,,t,,,{'removed' if removed else ''}\n"
        self._write(_apply(self.plans[-1], HEADER + line))

    @rule(up=st.booleans())
    def switch_store(self, up):
        self.network.is_store_up = up

    @rule(cut=st.sets(st.sampled_from(DATA_CENTRES)))
    def cut_data_centres(self, cut):
        self.network.partitioned = set(cut)

    @rule(name=names)
    def pause(self, name):
        self.network.paused.add(name)

    @rule(name=names)
    def resume(self, name):
        self.network.paused.discard(name)

    @rule(name=names)
    def replace(self, name):
        self.network.start(name)

    @rule(sender=names, receiver=names, back=st.integers(0, 6))
    def replay_old_announcement(self, sender, receiver, back):
        plan = self.plans[max(0, len(self.plans) - 1 - back)]
        announcement = PlanNews(
            plan.revision, plan.digest, self.random.choice([-1, 0, 500])
        )
        self.network.deliver(sender, receiver, announcement)

    @rule(back=st.integers(1, 4))
    def read_from_an_old_store(self, back):
        plan = self.plans[max(0, len(self.plans) - 1 - back)]
        for sync in self.network.syncs.values():
            sync.on_store_plan(plan, self.network.now_ms)

    @rule(duration_ms=st.integers(1, 3000))
    def wait(self, duration_ms):
        self.network.run(duration_ms)

    @rule()
    def heal(self):
        self.network.partitioned = set()
        self.network.paused.clear()
        self.network.is_store_up = True
        newest = self.plans[-1]
        is_converged = self.network.run_until(
            lambda: self.network.all_reached(newest.revision), 2 * BOUND_MS
        )
        assert is_converged
        assert all(s.plan == newest for s in self.network.syncs.values())

    @invariant()
    def no_revision_decreases(self):
        if hasattr(self, "network"):
            assert self.network.n_reverts == 0

    @invariant()
    def every_plan_was_written(self):
        if not hasattr(self, "network"):
            return
        for sync in self.network.syncs.values():
            assert sync.plan == self.plans[sync.plan.revision]
            assert sync.plan.digest == content_digest(sync.plan)


PlanMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestPlanMachine = PlanMachine.TestCase
