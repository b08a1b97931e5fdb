"""Membership under packet loss, delays, pauses and partitions, on a virtual clock."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sapphirerail_core.types import InstanceState
from sapphirerail_standins.virtual_fleet import Link, VirtualFleet

SIZES = {"osu": 4, "tema": 3}
NAMES = [f"{place}-{n}" for place, size in SIZES.items() for n in range(size)]
LIMIT_MS = 60_000

_names = st.sampled_from(NAMES)


class MembershipMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = VirtualFleet(SIZES, seed=seed, know_each_other=True)
        self.fleet.deliver_listing()
        self.isolated = set()
        self.fleet.run(3000)

    @rule(duration_ms=st.integers(50, 2500))
    def wait(self, duration_ms):
        for _ in range(0, duration_ms, 50):
            self.fleet.run(50)
            self.check_roles()

    @rule(name=_names)
    def kill(self, name):
        if name in self.fleet.members:
            self.fleet.kill(name)

    @rule(name=_names)
    def leave(self, name):
        if name in self.fleet.members:
            self.fleet.leave(name)

    @rule(name=_names)
    def restart(self, name):
        if name in self.fleet.members:
            self.fleet.kill(name)
        self.fleet.start(name, name.split("-")[0])

    @rule(name=_names, duration_ms=st.integers(100, 4000))
    def pause(self, name, duration_ms):
        if name in self.fleet.members:
            self.fleet.pause(name, duration_ms)

    @rule(
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        duplicates=st.sampled_from([0.0, 0.3]),
        jitter_ms=st.sampled_from([0, 40, 150]),
    )
    def disturb(self, loss, duplicates, jitter_ms):
        link = self.fleet.link
        link.loss, link.duplicates, link.jitter_ms = loss, duplicates, jitter_ms

    @rule(names=st.sets(_names, min_size=1, max_size=4))
    def cut(self, names):
        self.isolated = names
        self.fleet.link.blocks = lambda a, b: (a in names) != (b in names)

    @rule()
    def heal(self):
        self.isolated = set()
        self.fleet.link.blocks = lambda a, b: False

    @invariant()
    def check_roles(self):
        """No role is used by both its old holder and the instance that took it over."""
        if not hasattr(self, "fleet"):
            return
        now_ms = self.fleet.now_ms
        for taker in self.fleet.members.values():
            if not taker.holds_lease(now_ms):
                continue
            for name in self.fleet.of(taker.self_data_centre):
                if taker.state(name) is not InstanceState.DEAD:
                    continue
                if taker.role_valid_from_ms(name) <= now_ms:
                    assert not self.fleet.members[name].holds_lease(now_ms), (
                        taker.self_id,
                        name,
                    )

    def teardown(self):
        """After all faults are removed, running instances find each other again."""
        if not hasattr(self, "fleet"):
            return
        self.fleet.link = Link()
        running = sorted(self.fleet.members)
        if not running:
            return
        self.fleet.listing = [e for e in self.fleet.listing if e.instance in running]
        self.fleet.run(200)
        self.fleet.deliver_listing()
        self.fleet.run_until(self._is_complete, LIMIT_MS)

    def _is_complete(self):
        members = self.fleet.members.values()
        running = tuple(sorted(self.fleet.members))
        return all(
            m.live() == running and m.holds_lease(self.fleet.now_ms) for m in members
        )


MembershipMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=15,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
TestMembershipMachine = MembershipMachine.TestCase
