"""Compares strategies of server selection under the same seeded load patterns."""

import heapq
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from sapphirerail_core.steering import Open
from sapphirerail_core.steering.directory import KnownServer
from sapphirerail_core.steering.model import ServerEntry
from sapphirerail_core.steering.server_selector import ServerSelector
from sapphirerail_standins.steering_fleet import (
    FEED,
    SteeringFleet,
    configuration,
    later_packet,
    opening,
    server_entry,
)

from .result import Figure

__all__ = ["PATTERNS", "STRATEGIES", "Outcome", "Pattern", "figures", "run_pattern"]

DATA_CENTRES = ("osu", "madina")
N_INSTANCES = 3
N_SERVERS = 4
N_SLOTS = 2
SERVICE_MS = 50.0
# Two slots at 50 ms in each of four servers run 160 requests a second.
CAPACITY_PER_S = N_SERVERS * N_SLOTS * 1_000 / SERVICE_MS
# Four times the service time, the latency target of the users' routes.
LATENCY_TARGET_MS = 200
LOCAL_DELAY_MS = 1
REMOTE_DELAY_MS = 3
REPORT_MS = 250
SWEEP_MS = 500
PATTERN_MS = 8_000
WARM_UP_MS = 2_000
# Start and end of a disturbance: late enough for a steady state before it, early
# enough to see the recovery.
DISTURBANCE_START_MS = 2_000
DISTURBANCE_END_MS = 5_000


class RandomLocal(ServerSelector):
    """Selects a random local server, or a remote one only if there is no local one."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        local = self._peers.local.data_centre
        local_servers = [s for s in candidates if s.entry.data_centre == local]
        preferred = local_servers or candidates
        yield from self._rng.sample(preferred, len(preferred))


class LeastLoaded(ServerSelector):
    """Selects the least loaded of all servers; remote ones have a score penalty."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        yield from sorted(candidates, key=self._score)


class LeastLoadedLocal(LeastLoaded):
    """Selects the least loaded local server, however loaded it is."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        local = self._peers.local.data_centre
        local_servers = [s for s in candidates if s.entry.data_centre == local]
        yield from super()._ranked(local_servers or candidates)


class BetterOfTwo(ServerSelector):
    """Selects the less loaded of two random servers of any data centre."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        yield from sorted(sampled, key=self._score)
        yield from (server for server in candidates if server not in sampled)


STRATEGIES: dict[str, type[ServerSelector]] = {
    "drawn": ServerSelector,
    "least_known": LeastLoaded,
    "least_of_own": LeastLoadedLocal,
    "two_of_all": BetterOfTwo,
    "random": RandomLocal,
}


@dataclass
class Outcome:
    """Latencies and counts of the requests of a pattern."""

    latencies_ms: list[float] = field(default_factory=list)
    n_refused: int = 0
    n_remote: int = 0

    @property
    def share_in_time(self) -> float:
        """Share of all requests that were answered within the latency target."""
        n_requests = len(self.latencies_ms) + self.n_refused
        return sum(ms <= LATENCY_TARGET_MS for ms in self.latencies_ms) / n_requests

    @property
    def remote_share(self) -> float:
        """Share of the answered requests that ran in a remote data centre."""
        return self.n_remote / len(self.latencies_ms)


class _Server:
    """Backend server with slots and one unbounded queue."""

    def __init__(self, entry: ServerEntry) -> None:
        self.entry = entry
        self.slowdown = 1.0
        self.free_at_ms = [0.0] * N_SLOTS

    def run(self, at_ms: float, service_ms: float) -> float:
        """Run a request that arrives at a time, and return when it completes."""
        begin_ms = max(at_ms, heapq.heappop(self.free_at_ms))
        end_ms = begin_ms + service_ms * self.slowdown
        heapq.heappush(self.free_at_ms, end_ms)
        return end_ms


class _Simulation:
    """Simulation of callers, steering engines and servers on a virtual clock."""

    def __init__(self, strategy: type[ServerSelector], seed: int) -> None:
        self.rng = random.Random(seed)
        data_centres = {
            f"{data_centre}-{n}": data_centre
            for data_centre in DATA_CENTRES
            for n in range(N_INSTANCES)
        }
        self.fleet = SteeringFleet(data_centres)
        self.began_ms = self.fleet.now_ms
        for number, engine in enumerate(self.fleet.engines.values()):
            engine.server_selector = strategy(
                engine.config,
                engine.directory,
                engine.routes,
                engine.peers,
                random.Random(seed + number),
            )
        self.servers: dict[str, _Server] = {}
        self.load = dict.fromkeys(DATA_CENTRES, 0.6)
        self.outcome = Outcome()
        self.n_flows = 0
        self._n_servers = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        self.fleet.configure(configuration(per_s=2.0))
        for data_centre in DATA_CENTRES:
            for _ in range(N_SERVERS):
                self.add_server(data_centre)

    def schedule(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        self._n_events += 1
        at_ms = self.fleet.now_ms + delay_ms
        heapq.heappush(self._heap, (at_ms, self._n_events, event))

    def run(self) -> None:
        """Run a pattern to its end, and then complete the requests in flight."""
        for data_centre in DATA_CENTRES:
            self.schedule(0, lambda d=data_centre: self._arrive(d))
        self.schedule(REPORT_MS, self._report)
        self.schedule(SWEEP_MS, self._sweep)
        while self._heap:
            at_ms, _, event = heapq.heappop(self._heap)
            self.fleet.now_ms = int(at_ms)
            event()

    def add_server(self, data_centre: str, cold_ms: int = 0) -> None:
        """Add a server and announce it."""
        self._n_servers += 1
        entry = server_entry(self._n_servers, data_centre=data_centre, cold_ms=cold_ms)
        self.servers[entry.server] = _Server(entry)
        self.announce()

    def remove_server(self, data_centre: str) -> None:
        """Remove the oldest server of a data centre, as after its drain."""
        first = next(
            s for s in self.servers.values() if s.entry.data_centre == data_centre
        )
        del self.servers[first.entry.server]
        self.announce()

    def announce(self) -> None:
        """Announce the present servers to all engines."""
        self.fleet.announce(*(server.entry for server in self.servers.values()))

    def _is_over(self) -> bool:
        return self.fleet.now_ms >= self.began_ms + PATTERN_MS

    def _report(self) -> None:
        self.fleet.exchange_reports()
        if not self._is_over():
            self.schedule(REPORT_MS, self._report)

    def _sweep(self) -> None:
        for engine in self.fleet.engines.values():
            engine.sweep(self.fleet.now_ms)
        if not self._is_over():
            self.schedule(SWEEP_MS, self._sweep)

    def _arrive(self, data_centre: str) -> None:
        if self._is_over():
            return
        rate = self.load[data_centre] * CAPACITY_PER_S
        self.schedule(
            self.rng.expovariate(rate) * 1_000, lambda: self._arrive(data_centre)
        )
        self.n_flows += 1
        flow, opened_ms = self.n_flows, self.fleet.now_ms
        instance = f"{data_centre}-{self.rng.randrange(N_INSTANCES)}"
        action = self.fleet.send(opening(flow, FEED), instance)
        if not isinstance(action, Open):
            self.outcome.n_refused += 1
            return
        entry = action.server.entry
        delay_ms = (
            LOCAL_DELAY_MS if entry.data_centre == data_centre else REMOTE_DELAY_MS
        )
        self.outcome.n_remote += entry.data_centre != data_centre
        tag = action.server.tag
        data = later_packet(flow, tag, FEED, n_data_bytes=100)

        def send_request() -> None:
            self.fleet.send(data, instance)
            server = self.servers.get(entry.server) or _Server(entry)
            service_ms = self.rng.uniform(0.4, 1.6) * SERVICE_MS
            end_ms = server.run(self.fleet.now_ms + delay_ms, service_ms) + delay_ms
            self.schedule(end_ms - self.fleet.now_ms, receive_answer)

        def receive_answer() -> None:
            self.outcome.latencies_ms.append(self.fleet.now_ms - opened_ms)
            last = later_packet(
                flow, tag, FEED, sequence=1_101, acknowledged=900, is_finish=True
            )
            self.fleet.send(last, instance)

        self.schedule(2 * delay_ms, send_request)


Pattern = Callable[[_Simulation], None]


def _steady(simulation: _Simulation) -> None:
    """Keep the load at six tenths of the capacity."""


def _burst(simulation: _Simulation) -> None:
    """Send a data centre 1.3 times the capacity of its local servers."""
    simulation.schedule(DISTURBANCE_START_MS, lambda: simulation.load.update(osu=1.3))
    simulation.schedule(DISTURBANCE_END_MS, lambda: simulation.load.update(osu=0.6))


def _scale_in(simulation: _Simulation) -> None:
    """Remove two of four servers of a data centre at a load of 0.7 of its capacity."""
    simulation.load.update(osu=0.7)
    for n in range(2):
        simulation.schedule(
            DISTURBANCE_START_MS + 500 * n, lambda: simulation.remove_server("osu")
        )


def _release(simulation: _Simulation) -> None:
    """Replace the servers of a data centre one by one with cold ones."""
    for n in range(N_SERVERS):
        at_ms = 1_000 + 1_500 * n
        simulation.schedule(at_ms, lambda: simulation.add_server("osu", WARM_UP_MS))
        simulation.schedule(at_ms, lambda: simulation.remove_server("osu"))
        simulation.schedule(at_ms + WARM_UP_MS, lambda: _announce_warm(simulation))


def _announce_warm(simulation: _Simulation) -> None:
    for server in simulation.servers.values():
        server.entry = server_entry(
            server.entry.identity, data_centre=server.entry.data_centre
        )
    simulation.announce()


def _slow_server(simulation: _Simulation) -> None:
    """Slow one server down to four times the service time."""

    def slow_down(slowdown: float) -> None:
        next(iter(simulation.servers.values())).slowdown = slowdown

    simulation.schedule(DISTURBANCE_START_MS, lambda: slow_down(4.0))
    simulation.schedule(DISTURBANCE_END_MS, lambda: slow_down(1.0))


PATTERNS: dict[str, Pattern] = {
    "steady": _steady,
    "burst": _burst,
    "scale_in": _scale_in,
    "release": _release,
    "slow_server": _slow_server,
}


def run_pattern(strategy: str, pattern: str, seed: int = 1) -> Outcome:
    """Run a pattern with a strategy and return the outcome of its requests."""
    simulation = _Simulation(STRATEGIES[strategy], seed)
    PATTERNS[pattern](simulation)
    simulation.run()
    return simulation.outcome


def figures() -> Iterator[Figure]:
    """Yield the share of requests in time for each pattern and strategy."""
    for pattern in PATTERNS:
        for strategy in STRATEGIES:
            outcome = run_pattern(strategy, pattern)
            name = f"steering_load_{pattern}_{strategy}_in_aim"
            yield Figure(name, round(outcome.share_in_time, 3), "1")
