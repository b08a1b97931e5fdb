"""One seeded series of changes, replayed on every way of placing flows."""

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

__all__ = ["Outcome", "Tally", "Way", "replay"]

N_INSTANCES = 14
N_FIRST_FLOWS = 500
N_NEW_FLOWS = 60


@dataclass(frozen=True)
class Outcome:
    """What became of one packet."""

    server: ServerId | None
    n_hops: int = 0
    n_sent: int = 1


class Way(Protocol):
    """A way of placing flows, as the series drives it."""

    def set_plan(self, plan: Plan, at: list[InstanceId]) -> None:
        """Put a plan into force at some instances."""
        ...

    def open(
        self, at: InstanceId, service: str, flow: FlowId, choice: int = 0
    ) -> ServerId | None:
        """Open a flow at a candidate and return its server."""
        ...

    def send(self, at: InstanceId, service: str, flow: FlowId) -> Outcome:
        """Send a packet of an open flow."""
        ...

    def close(self, service: str, flow: FlowId) -> None:
        """End a flow."""
        ...

    def crash_server(self, server: ServerId) -> None:
        """Let a server lose all its flows."""
        ...

    def crash(self, instance: InstanceId) -> None:
        """End an instance without a word."""
        ...

    def tell(
        self, at: InstanceId, about: InstanceId, place: DataCentreId | None
    ) -> None:
        """Tell an instance that another one is there, or is gone."""
        ...

    def join(self, instance: InstanceId, place: DataCentreId, plan: Plan) -> None:
        """Start an instance that knows the plan; nobody knows it yet."""
        ...

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance in a planned way."""
        ...

    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        ...


@dataclass
class Tally:
    """What the series counted."""

    n_broken_planned: int = 0
    n_broken_crash: int = 0
    n_misdirected: int = 0
    n_packets: int = 0
    n_hops: int = 0
    n_sent: int = 0
    n_flows: int = 0
    broken_by_step: dict[str, int] = field(default_factory=dict)


class _Series:
    """State of a replay."""

    def __init__(self, way: Way, seed: int) -> None:
        self.way = way
        self.random = random.Random(seed)
        self.tally = Tally()
        self.plan = first_plan()
        self.places = {
            InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)
        }
        self.flows: dict[tuple[str, FlowId], ServerId] = {}

    def instance(self) -> InstanceId:
        return self.random.choice(sorted(self.places))

    def open_some(self, n_flows: int, choice: int = 0) -> None:
        for _ in range(n_flows):
            service = BOOKINGS if self.random.random() < 0.7 else SKETCHES
            flow = FlowId(self.random.getrandbits(64))
            server = self.way.open(self.instance(), service, flow, choice)
            if server is not None:
                self.flows[service, flow] = server
                self.tally.n_flows += 1
        self.way.wait(100)

    def check(self, step: str, *, planned: bool = True) -> None:
        """Send a packet of each flow through any instance."""
        broken = []
        for (service, flow), server in self.flows.items():
            outcome = self.way.send(self.instance(), service, flow)
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

    def spread(self, plan: Plan, share: float = 1.0) -> None:
        """Put a plan into force at a share of the instances."""
        self.plan = plan
        names = sorted(self.places)
        self.way.set_plan(plan, names[: int(len(names) * share)])

    def close_at(self, server: ServerId) -> None:
        for service, flow in [n for n, s in self.flows.items() if s == server]:
            self.way.close(service, flow)
            del self.flows[service, flow]

    def crash(self, instance: InstanceId) -> None:
        del self.places[instance]
        self.way.crash(instance)

    def tell_all(self, about: InstanceId, share: float = 1.0) -> None:
        names = sorted(self.places)
        for name in names[: int(len(names) * share)]:
            if name != about:
                self.way.tell(name, about, self.places.get(about))


def replay(way: Way, seed: int = 4) -> Tally:
    """Replay the series on a way.

    Parameters
    ----------
    way : Way
        The way, without a plan.
    seed : int
        Seed of flows and instances; equal seeds give equal series.

    Returns
    -------
    Tally
        What became of the flows and packets.
    """
    series = _Series(way, seed)
    series.spread(series.plan)
    series.open_some(N_FIRST_FLOWS)
    series.check("steady")
    series.open_some(N_NEW_FLOWS, choice=1)
    series.check("overload")
    _servers_change(series)
    _data_centre_leaves_and_returns(series)
    _instances_change(series)
    _two_at_once(series)
    return series.tally


def _servers_change(series: _Series) -> None:
    first = ServerId("bookings-0")
    series.spread(add_server(series.plan, new_server(BOOKINGS, 7, 9800)))
    series.open_some(N_NEW_FLOWS)
    series.check("enter")
    entering = ServerId("bookings-7")
    series.spread(change_servers(series.plan, {entering: ServerState.ENTERING}))
    series.open_some(N_NEW_FLOWS)
    series.spread(change_servers(series.plan, {entering: ServerState.ACTIVE}))
    series.open_some(N_NEW_FLOWS)
    series.check("warm-up")
    series.spread(change_servers(series.plan, {first: ServerState.DRAINING}))
    series.open_some(N_NEW_FLOWS)
    series.check("drain")
    replaced = ServerId("sketches-1")
    series.spread(replace_server(series.plan, replaced, ServerId("sketches-1b")))
    series.open_some(N_NEW_FLOWS)
    series.check("replace")
    series.close_at(first)
    series.spread(change_servers(series.plan, {first: ServerState.LEFT}))
    series.open_some(N_NEW_FLOWS)
    series.check("leave")
    drained = change_servers(
        series.plan, {ServerId("bookings-3"): ServerState.DRAINING}
    )
    series.spread(drained, 0.5)
    series.open_some(N_NEW_FLOWS)
    series.check("mixed revisions")
    series.spread(drained)
    series.check("mixed revisions, after")
    crashed = ServerId("bookings-5")
    series.way.crash_server(crashed)
    series.flows = {n: s for n, s in series.flows.items() if s != crashed}
    series.open_some(N_NEW_FLOWS)
    series.check("server crash", planned=False)


def _data_centre_leaves_and_returns(series: _Series) -> None:
    place = DATA_CENTRES[1]
    out = change_data_centre(series.plan, place, DataCentreState.OUT)
    series.flows = {
        name: server
        for name, server in series.flows.items()
        if not out.is_evacuated(out.servers[server].data_centre)
    }
    series.spread(out)
    series.open_some(N_NEW_FLOWS)
    series.check("data centre out")
    series.spread(change_data_centre(series.plan, place, DataCentreState.IN))
    series.open_some(N_NEW_FLOWS)
    series.check("data centre back")


def _instances_change(series: _Series) -> None:
    joined = InstanceId("i14")
    series.places[joined] = DATA_CENTRES[2]
    series.way.join(joined, DATA_CENTRES[2], series.plan)
    series.tell_all(joined, 0.5)
    series.open_some(N_NEW_FLOWS)
    series.check("instance join, stale list")
    series.tell_all(joined)
    series.check("instance join")
    stopped = InstanceId("i2")
    series.way.stop(stopped)
    del series.places[stopped]
    series.tell_all(stopped)
    series.check("instance stop")
    crashed = InstanceId("i5")
    series.crash(crashed)
    series.check("instance crash, not yet noticed", planned=False)
    series.way.wait(2_000)
    series.tell_all(crashed)
    series.way.wait(2_000)
    series.check("instance crash", planned=False)


def _two_at_once(series: _Series) -> None:
    drained = change_servers(
        series.plan, {ServerId("sketches-2"): ServerState.DRAINING}
    )
    series.spread(drained, 0.5)
    series.crash(InstanceId("i7"))
    series.open_some(N_NEW_FLOWS)
    series.check("drain and instance crash", planned=False)
    series.spread(drained)
    series.tell_all(InstanceId("i7"))
    series.way.wait(3_000)
    series.check("drain and instance crash, after", planned=False)
    entered = add_server(series.plan, new_server(SKETCHES, 9, 9801))
    series.spread(entered, 0.5)
    joined = InstanceId("i15")
    series.places[joined] = DATA_CENTRES[0]
    series.way.join(joined, DATA_CENTRES[0], entered)
    series.tell_all(joined, 0.5)
    series.open_some(N_NEW_FLOWS)
    series.check("enter and instance join")
