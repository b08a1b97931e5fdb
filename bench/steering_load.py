"""Choice of a server under load: ways compared on the same seeded patterns."""

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

__all__ = ["PATTERNS", "WAYS", "Outcome", "Pattern", "figures", "play"]

DATA_CENTRES = ("osu", "madina")
N_INSTANCES = 3
N_SERVERS = 4
N_SLOTS = 2
SERVICE_MS = 50.0
# Two slots at 50 ms in each of four servers run 160 requests a second.
CAPACITY_PER_S = N_SERVERS * N_SLOTS * 1_000 / SERVICE_MS
# Four times the service time, as the users' routes aim at.
AIM_MS = 200
NEAR_MS = 1
FAR_MS = 3
REPORT_MS = 250
SWEEP_MS = 500
FOR_MS = 8_000
COLD_MS = 2_000
# Times of troubles: late enough for a steady state, early enough to see the end.
TROUBLE_MS = 2_000
TROUBLE_END_MS = 5_000


class RandomChoice(ServerSelector):
    """Any server of the own data centre, one elsewhere only if it has none."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        own = self._peers.local.data_centre
        near = [s for s in candidates if s.entry.data_centre == own]
        found = near or candidates
        yield from self._rng.sample(found, len(found))


class LeastKnown(ServerSelector):
    """The least occupied of all, those elsewhere with the penalty."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        yield from sorted(candidates, key=self._score)


class LeastOfOwn(LeastKnown):
    """The least occupied of the own data centre, however full it is."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        own = self._peers.local.data_centre
        near = [s for s in candidates if s.entry.data_centre == own]
        yield from super()._ranked(near or candidates)


class TwoOfAll(ServerSelector):
    """The better of two at random, wherever they are."""

    def _ranked(self, candidates: Sequence[KnownServer]) -> Iterator[KnownServer]:
        two = self._rng.sample(candidates, min(2, len(candidates)))
        yield from sorted(two, key=self._score)
        yield from (server for server in candidates if server not in two)


WAYS: dict[str, type[ServerSelector]] = {
    "drawn": ServerSelector,
    "least_known": LeastKnown,
    "least_of_own": LeastOfOwn,
    "two_of_all": TwoOfAll,
    "random": RandomChoice,
}


@dataclass
class Outcome:
    """What became of the requests of a pattern."""

    latencies_ms: list[float] = field(default_factory=list)
    n_refused: int = 0
    n_far: int = 0

    @property
    def in_aim(self) -> float:
        """Share of all requests that were answered within the aim."""
        n_all = len(self.latencies_ms) + self.n_refused
        return sum(ms <= AIM_MS for ms in self.latencies_ms) / n_all

    @property
    def far(self) -> float:
        """Share of the answered requests that another data centre ran."""
        return self.n_far / len(self.latencies_ms)


class _Server:
    """Slots and a queue in front of them."""

    def __init__(self, entry: ServerEntry) -> None:
        self.entry = entry
        self.slowness = 1.0
        self.ends_ms = [0.0] * N_SLOTS

    def run(self, at_ms: float, service_ms: float) -> float:
        """Return when a request that arrives at a time has been run."""
        begin_ms = max(at_ms, heapq.heappop(self.ends_ms))
        end_ms = begin_ms + service_ms * self.slowness
        heapq.heappush(self.ends_ms, end_ms)
        return end_ms


class _World:
    """Callers, engines and servers on one virtual clock."""

    def __init__(self, way: type[ServerSelector], seed: int) -> None:
        self.rng = random.Random(seed)
        places = {
            f"{place}-{n}": place for place in DATA_CENTRES for n in range(N_INSTANCES)
        }
        self.fleet = SteeringFleet(places)
        self.began_ms = self.fleet.now_ms
        for number, engine in enumerate(self.fleet.engines.values()):
            engine.server_selector = way(
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
        for place in DATA_CENTRES:
            for _ in range(N_SERVERS):
                self.add_server(place)

    def at(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Do something later."""
        self._n_events += 1
        at_ms = self.fleet.now_ms + delay_ms
        heapq.heappush(self._heap, (at_ms, self._n_events, event))

    def run(self) -> None:
        """Play for the length of a pattern, and answer what is open then."""
        for place in DATA_CENTRES:
            self.at(0, lambda p=place: self._arrive(p))
        self.at(REPORT_MS, self._report)
        self.at(SWEEP_MS, self._sweep)
        while self._heap:
            at_ms, _, event = heapq.heappop(self._heap)
            self.fleet.now_ms = int(at_ms)
            event()

    def add_server(self, place: str, cold_ms: int = 0) -> None:
        """Announce one more server."""
        self._n_servers += 1
        entry = server_entry(self._n_servers, data_centre=place, cold_ms=cold_ms)
        self.servers[entry.server] = _Server(entry)
        self.announce()

    def remove_server(self, place: str) -> None:
        """Take the oldest server of a data centre away, as after its drain."""
        first = next(s for s in self.servers.values() if s.entry.data_centre == place)
        del self.servers[first.entry.server]
        self.announce()

    def announce(self) -> None:
        """Let all engines read the servers."""
        self.fleet.announce(*(server.entry for server in self.servers.values()))

    def _is_over(self) -> bool:
        return self.fleet.now_ms >= self.began_ms + FOR_MS

    def _report(self) -> None:
        self.fleet.exchange_reports()
        if not self._is_over():
            self.at(REPORT_MS, self._report)

    def _sweep(self) -> None:
        for engine in self.fleet.engines.values():
            engine.sweep(self.fleet.now_ms)
        if not self._is_over():
            self.at(SWEEP_MS, self._sweep)

    def _arrive(self, place: str) -> None:
        if self._is_over():
            return
        rate = self.load[place] * CAPACITY_PER_S
        self.at(self.rng.expovariate(rate) * 1_000, lambda: self._arrive(place))
        self.n_flows += 1
        flow, came_ms = self.n_flows, self.fleet.now_ms
        instance = f"{place}-{self.rng.randrange(N_INSTANCES)}"
        action = self.fleet.send(opening(flow, FEED), instance)
        if not isinstance(action, Open):
            self.outcome.n_refused += 1
            return
        entry = action.server.entry
        way_ms = NEAR_MS if entry.data_centre == place else FAR_MS
        self.outcome.n_far += entry.data_centre != place
        tag = action.server.tag
        data = later_packet(flow, tag, FEED, n_data_bytes=100)

        def ask() -> None:
            self.fleet.send(data, instance)
            server = self.servers.get(entry.server) or _Server(entry)
            service_ms = self.rng.uniform(0.4, 1.6) * SERVICE_MS
            end_ms = server.run(self.fleet.now_ms + way_ms, service_ms) + way_ms
            self.at(end_ms - self.fleet.now_ms, answer)

        def answer() -> None:
            self.outcome.latencies_ms.append(self.fleet.now_ms - came_ms)
            done = later_packet(
                flow, tag, FEED, sequence=1_101, acknowledged=900, is_finish=True
            )
            self.fleet.send(done, instance)

        self.at(2 * way_ms, ask)


Pattern = Callable[[_World], None]


def _steady(world: _World) -> None:
    """Keep to six tenths of the capacity."""


def _burst(world: _World) -> None:
    """Send a data centre 1.3 times what its own servers run."""
    world.at(TROUBLE_MS, lambda: world.load.update(osu=1.3))
    world.at(TROUBLE_END_MS, lambda: world.load.update(osu=0.6))


def _scale_in(world: _World) -> None:
    """Take two of four servers of a data centre away at 0.7 of its capacity."""
    world.load.update(osu=0.7)
    for n in range(2):
        world.at(TROUBLE_MS + 500 * n, lambda: world.remove_server("osu"))


def _release(world: _World) -> None:
    """Replace the servers of a data centre in turn by cold ones."""
    for n in range(N_SERVERS):
        at_ms = 1_000 + 1_500 * n
        world.at(at_ms, lambda: world.add_server("osu", COLD_MS))
        world.at(at_ms, lambda: world.remove_server("osu"))
        world.at(at_ms + COLD_MS, lambda: _warm(world))


def _warm(world: _World) -> None:
    for server in world.servers.values():
        server.entry = server_entry(
            server.entry.identity, data_centre=server.entry.data_centre
        )
    world.announce()


def _slow_server(world: _World) -> None:
    """Let one server take four times as long for each request."""

    def slow_down(slowness: float) -> None:
        next(iter(world.servers.values())).slowness = slowness

    world.at(TROUBLE_MS, lambda: slow_down(4.0))
    world.at(TROUBLE_END_MS, lambda: slow_down(1.0))


PATTERNS: dict[str, Pattern] = {
    "steady": _steady,
    "burst": _burst,
    "scale_in": _scale_in,
    "release": _release,
    "slow_server": _slow_server,
}


def play(way: str, pattern: str, seed: int = 1) -> Outcome:
    """Return what becomes of the requests of a pattern with a way of choosing."""
    world = _World(WAYS[way], seed)
    PATTERNS[pattern](world)
    world.run()
    return world.outcome


def figures() -> Iterator[Figure]:
    """Yield the share of requests in time for each pattern and way."""
    for pattern in PATTERNS:
        for way in WAYS:
            outcome = play(way, pattern)
            name = f"steering_load_{pattern}_{way}_in_aim"
            yield Figure(name, round(outcome.in_aim, 3), "1")
