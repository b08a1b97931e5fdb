"""Replays one seeded series of changes on a strategy of placing flows."""

import random
from dataclasses import dataclass, field
from typing import Protocol

from sapphirerail_core.plan import Plan
from sapphirerail_core.types import (
    DataCentreId,
    DataCentreState,
    FlowId,
    InstanceId,
    ServerId,
    ServerState,
)
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

__all__ = ["Outcome", "PlacementStrategy", "Tally", "replay"]

N_INSTANCES = 14
N_FIRST_FLOWS = 500
N_NEW_FLOWS = 60


@dataclass(frozen=True)
class Outcome:
    """Where one packet arrived, after how many hops and transmissions."""

    server: ServerId | None
    n_hops: int = 0
    n_sent: int = 1


class PlacementStrategy(Protocol):
    """A strategy of placing flows over a fleet of instances."""

    def set_plan(self, plan: Plan, instances: list[InstanceId]) -> None:
        """Apply a plan at some instances."""
        ...

    def open(
        self, instance: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow at the candidate with index `choice` and return its server."""
        ...

    def send(self, instance: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet of an open flow through an instance."""
        ...

    def close(self, service: str, flow: FlowId) -> None:
        """Close a flow."""
        ...

    def crash_server(self, server: ServerId) -> None:
        """Drop all flow state of a server."""
        ...

    def crash(self, instance: InstanceId) -> None:
        """Stop an instance without notice."""
        ...

    def set_member_state(
        self, instance: InstanceId, member: InstanceId, data_centre: DataCentreId | None
    ) -> None:
        """Set one instance's view of a member: its data centre, or None if failed."""
        ...

    def join(self, instance: InstanceId, data_centre: DataCentreId, plan: Plan) -> None:
        """Start an instance with the plan; no other instance knows it yet."""
        ...

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance after a drain."""
        ...

    def wait(self, duration_ms: int) -> None:
        """Advance the virtual time."""
        ...


@dataclass
class Tally:
    """Counts of broken flows and of packets in a replay."""

    n_broken_planned: int = 0
    n_broken_crash: int = 0
    n_misdirected: int = 0
    n_packets: int = 0
    n_hops: int = 0
    n_sent: int = 0
    n_flows: int = 0
    broken_by_step: dict[str, int] = field(default_factory=dict)


class _Series:
    """One replay: the strategy, the plan in force, live instances and open flows."""

    def __init__(self, strategy: PlacementStrategy, seed: int) -> None:
        self.strategy = strategy
        self.random = random.Random(seed)
        self.tally = Tally()
        self.plan = first_plan()
        self.data_centres = {
            InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)
        }
        self.flows: dict[tuple[str, FlowId], ServerId] = {}

    def random_instance(self) -> InstanceId:
        return self.random.choice(sorted(self.data_centres))

    def open_flows(self, n_flows: int, choice: int = 0) -> None:
        for _ in range(n_flows):
            service = BOOKINGS if self.random.random() < 0.7 else SKETCHES
            flow = FlowId(self.random.getrandbits(64))
            server = self.strategy.open(self.random_instance(), service, flow, choice)
            if server is not None:
                self.flows[service, flow] = server
                self.tally.n_flows += 1
        self.strategy.wait(100)

    def check(self, step: str, *, planned: bool = True) -> None:
        """Send a packet of each flow through a random instance; count broken flows."""
        broken = []
        for (service, flow), server in self.flows.items():
            outcome = self.strategy.send(self.random_instance(), service, flow)
            self.tally.n_packets += 1
            self.tally.n_hops += outcome.n_hops
            self.tally.n_sent += outcome.n_sent
            reached = outcome.server
            if reached is not None and self.plan.servers[reached].service != service:
                self.tally.n_misdirected += 1
            if reached != server:
                broken.append((service, flow))
        for name in broken:
            del self.flows[name]
        self.tally.broken_by_step[step] = len(broken)
        if planned:
            self.tally.n_broken_planned += len(broken)
        else:
            self.tally.n_broken_crash += len(broken)

    def apply_plan(self, plan: Plan, share: float = 1.0) -> None:
        """Apply a plan at a share of the instances."""
        self.plan = plan
        names = sorted(self.data_centres)
        self.strategy.set_plan(plan, names[: int(len(names) * share)])

    def close_at(self, server: ServerId) -> None:
        for service, flow in [n for n, s in self.flows.items() if s == server]:
            self.strategy.close(service, flow)
            del self.flows[service, flow]

    def crash(self, instance: InstanceId) -> None:
        del self.data_centres[instance]
        self.strategy.crash(instance)

    def publish_member(self, member: InstanceId, share: float = 1.0) -> None:
        """Publish at a share of the instances whether a member is alive or failed."""
        names = sorted(self.data_centres)
        for name in names[: int(len(names) * share)]:
            if name != member:
                self.strategy.set_member_state(
                    name, member, self.data_centres.get(member)
                )


def replay(strategy: PlacementStrategy, seed: int = 4) -> Tally:
    """Replay the series on a strategy.

    Parameters
    ----------
    strategy : PlacementStrategy
        The strategy, without a plan.
    seed : int
        Seed of flows and instances; equal seeds give equal series.

    Returns
    -------
    Tally
        Counts of broken flows and of packets.
    """
    series = _Series(strategy, seed)
    series.apply_plan(series.plan)
    series.open_flows(N_FIRST_FLOWS)
    series.check("steady")
    series.open_flows(N_NEW_FLOWS, choice=1)
    series.check("overload")
    _change_servers(series)
    _evacuate_and_restore_data_centre(series)
    _change_instances(series)
    _overlap_changes(series)
    return series.tally


def _change_servers(series: _Series) -> None:
    first = ServerId("bookings-0")
    series.apply_plan(add_server(series.plan, new_server(BOOKINGS, 7, 9800)))
    series.open_flows(N_NEW_FLOWS)
    series.check("enter")
    entering = ServerId("bookings-7")
    series.apply_plan(change_servers(series.plan, {entering: ServerState.ENTERING}))
    series.open_flows(N_NEW_FLOWS)
    series.apply_plan(change_servers(series.plan, {entering: ServerState.ACTIVE}))
    series.open_flows(N_NEW_FLOWS)
    series.check("warm-up")
    series.apply_plan(change_servers(series.plan, {first: ServerState.DRAINING}))
    series.open_flows(N_NEW_FLOWS)
    series.check("drain")
    replaced = ServerId("sketches-1")
    series.apply_plan(replace_server(series.plan, replaced, ServerId("sketches-1b")))
    series.open_flows(N_NEW_FLOWS)
    series.check("replace")
    series.close_at(first)
    series.apply_plan(change_servers(series.plan, {first: ServerState.LEFT}))
    series.open_flows(N_NEW_FLOWS)
    series.check("leave")
    drained = change_servers(
        series.plan, {ServerId("bookings-3"): ServerState.DRAINING}
    )
    series.apply_plan(drained, 0.5)
    series.open_flows(N_NEW_FLOWS)
    series.check("mixed revisions")
    series.apply_plan(drained)
    series.check("mixed revisions, after")
    crashed = ServerId("bookings-5")
    series.strategy.crash_server(crashed)
    series.flows = {n: s for n, s in series.flows.items() if s != crashed}
    series.open_flows(N_NEW_FLOWS)
    series.check("server crash", planned=False)


def _evacuate_and_restore_data_centre(series: _Series) -> None:
    data_centre = DATA_CENTRES[1]
    out = change_data_centre(series.plan, data_centre, DataCentreState.OUT)
    series.flows = {
        name: server
        for name, server in series.flows.items()
        if not out.is_evacuated(out.servers[server].data_centre)
    }
    series.apply_plan(out)
    series.open_flows(N_NEW_FLOWS)
    series.check("data centre out")
    series.apply_plan(change_data_centre(series.plan, data_centre, DataCentreState.IN))
    series.open_flows(N_NEW_FLOWS)
    series.check("data centre back")


def _change_instances(series: _Series) -> None:
    joined = InstanceId("i14")
    series.data_centres[joined] = DATA_CENTRES[2]
    series.strategy.join(joined, DATA_CENTRES[2], series.plan)
    series.publish_member(joined, 0.5)
    series.open_flows(N_NEW_FLOWS)
    series.check("instance join, stale list")
    series.publish_member(joined)
    series.check("instance join")
    stopped = InstanceId("i2")
    series.strategy.stop(stopped)
    del series.data_centres[stopped]
    series.publish_member(stopped)
    series.check("instance stop")
    crashed = InstanceId("i5")
    series.crash(crashed)
    series.check("instance crash, not yet noticed", planned=False)
    series.strategy.wait(2_000)
    series.publish_member(crashed)
    series.strategy.wait(2_000)
    series.check("instance crash", planned=False)


def _overlap_changes(series: _Series) -> None:
    drained = change_servers(
        series.plan, {ServerId("sketches-2"): ServerState.DRAINING}
    )
    series.apply_plan(drained, 0.5)
    series.crash(InstanceId("i7"))
    series.open_flows(N_NEW_FLOWS)
    series.check("drain and instance crash", planned=False)
    series.apply_plan(drained)
    series.publish_member(InstanceId("i7"))
    series.strategy.wait(3_000)
    series.check("drain and instance crash, after", planned=False)
    entered = add_server(series.plan, new_server(SKETCHES, 9, 9801))
    series.apply_plan(entered, 0.5)
    joined = InstanceId("i15")
    series.data_centres[joined] = DATA_CENTRES[0]
    series.strategy.join(joined, DATA_CENTRES[0], entered)
    series.publish_member(joined, 0.5)
    series.open_flows(N_NEW_FLOWS)
    series.check("enter and instance join")
