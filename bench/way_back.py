"""Measures how long feeds are mute after an instance crashes or stops.

A feed is mute while its return path, from its server back to its caller, leads to an
instance that is gone. The fleet runs on virtual time.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sapphirerail_core.datagram import Kind
from sapphirerail_core.flow import FlowConfig
from sapphirerail_core.types import FlowId, InstanceId, InstanceState, ServerId
from sapphirerail_node.shutdown import OpenWork, Shutdown
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import BOOKINGS, DATA_CENTRES, first_plan

from .result import Baseline, Figure

__all__ = ["figures"]

N_INSTANCES = 14
N_FEEDS = 1_400
OPENED_WITHIN_MS = 20_000  # five new feeds per second and instance
KEEPALIVE_PERIODS_MS = (10_000, 30_000, 120_000)
DETECTION_MS = 1_400  # docs/design/membership.md: 1.2 to 1.4 s
STEP_MS = 100
OBSERVED_MS = 130_000
SEEDS = range(6)
GAP_BOUND_MS = 2_000  # detection, one tick, and the delays to caller and server
LOSS_SHARE = 0.05
CONTROL_BYTES_PER_S_BOUND = 28_000  # per second and instance, at the target fleet
NEW_FEEDS_PER_S = 41  # per instance, at the target fleet
NEW_SHORT_FEEDS_PER_S = 2_000
SHORT_LIFETIME_MS = 1_000
COUNTED_MS = 6_000
N_STOPPED_FEEDS = 300
STOP_LOSS_SHARES = (0.0, 0.2, 0.5)
STOP_LINGER_MS = 2_000  # default of the settings, as is the timeout
STOP_TIMEOUT_MS = 60_000
SHUTDOWN_INTERVAL_MS = 50


@dataclass
class _CrashRun:
    """Simulates a crash at a random time while feeds open and send keepalives."""

    seed: int
    config: FlowConfig
    loss_share: float = 0.0
    gaps_ms: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        data_centres = {
            InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)
        }
        self.random = random.Random(self.seed)
        loss_random = random.Random(self.seed)
        self.fleet = FlowFleet(data_centres, self.seed, self.config)
        self.fleet.drops_message = lambda sender, receiver: (
            loss_random.random() < self.loss_share
        )
        self.fleet.set_plan(first_plan())
        self.fleet.run(15_000)
        self.began_ms = self.fleet.now_ms
        self.servers: dict[FlowId, ServerId] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        for _ in range(N_FEEDS):
            self._at(self.random.randrange(OPENED_WITHIN_MS), self._open)

    def run(self) -> list[int]:
        """Return how long each feed of the crashed instance was mute."""
        crash_ms = self.random.randrange(OPENED_WITHIN_MS // 2, OPENED_WITHIN_MS)
        self._run_until(crash_ms)
        crashed = self._random_instance()
        mute = {
            flow
            for flow, server in self.servers.items()
            if self.fleet.servers[server].flows[flow][0] == crashed
        }
        self.fleet.kill(crashed)
        for elapsed_ms in range(STEP_MS, OBSERVED_MS, STEP_MS):
            self._run_until(crash_ms + elapsed_ms)
            if elapsed_ms == DETECTION_MS:
                self.fleet.set_member_state_everywhere(crashed, InstanceState.DEAD)
            recovered = {
                flow for flow in mute if self._holder(flow) in self.fleet.nodes
            }
            self.gaps_ms += [elapsed_ms] * len(recovered)
            mute -= recovered
            if not mute:
                break
        return self.gaps_ms + [OBSERVED_MS] * len(mute)

    def _holder(self, flow: FlowId) -> InstanceId:
        return self.fleet.servers[self.servers[flow]].flows[flow][0]

    def _open(self) -> None:
        flow = FlowId(self.random.getrandbits(64))
        server = self.fleet.open(self._random_instance(), BOOKINGS, flow)
        if server is None:
            return
        self.fleet.run(3)
        self.servers[flow] = server
        period_ms = KEEPALIVE_PERIODS_MS[len(self.servers) % len(KEEPALIVE_PERIODS_MS)]
        self._after(period_ms, lambda: self._keep_alive(flow, period_ms))

    def _keep_alive(self, flow: FlowId, period_ms: int) -> None:
        datagram = self.fleet.datagram(Kind.KEEPALIVE, BOOKINGS, flow)
        self.fleet.send(self._random_instance(), datagram)
        self._after(period_ms, lambda: self._keep_alive(flow, period_ms))

    def _random_instance(self) -> InstanceId:
        return self.random.choice(sorted(self.fleet.nodes))

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._at(self.fleet.now_ms - self.began_ms + delay_ms, action)

    def _at(self, at_ms: int, action: Callable[[], None]) -> None:
        key = (at_ms, self.random.getrandbits(32), action)
        heapq.heappush(self._events, key)

    def _run_until(self, end_ms: int) -> None:
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self._advance_to(at_ms)
            action()
        self._advance_to(end_ms)

    def _advance_to(self, until_ms: int) -> None:
        remaining_ms = self.began_ms + until_ms - self.fleet.now_ms
        if remaining_ms > 0:
            self.fleet.run(remaining_ms)


def figures() -> Iterator[Figure]:
    """Yield the gaps after crashes at random times, and the traffic of the claims."""
    gaps_ms = _gaps_ms()
    yield Figure("mute_after_crash_feeds", len(gaps_ms), "flows")
    yield Figure("mute_after_crash_median", _quantile(gaps_ms, 0.5), "ms")
    yield Figure.at_most("mute_after_crash_max", gaps_ms[-1], "ms", GAP_BOUND_MS)
    yield Figure.at_most("mute_after_crash_late", _n_late(gaps_ms), "flows", 0)
    lossy_gaps_ms = _gaps_ms(LOSS_SHARE)
    yield Figure("mute_after_crash_late_lossy", _n_late(lossy_gaps_ms), "flows")
    yield Figure("mute_after_crash_p99_lossy", _quantile(lossy_gaps_ms, 0.99), "ms")
    yield from _stop_figures()
    yield Figure.at_most(
        "claim_bytes_per_s_41_feeds",
        _claim_bytes_per_s(NEW_FEEDS_PER_S),
        "B/s",
        CONTROL_BYTES_PER_S_BOUND,
        Baseline("later_only", _claim_bytes_per_s(NEW_FEEDS_PER_S, n_early_per_s=0)),
    )
    yield Figure.at_most(
        "claim_bytes_per_s_2000_short_feeds",
        _claim_bytes_per_s(NEW_SHORT_FEEDS_PER_S, SHORT_LIFETIME_MS),
        "B/s",
        CONTROL_BYTES_PER_S_BOUND,
    )


def _stop_figures() -> Iterator[Figure]:
    """Yield the mute feeds and durations of planned stops when messages are lost."""
    for loss_share in STOP_LOSS_SHARES:
        name = f"stop_at_{loss_share:.0%}_loss".replace("%", "_percent")
        results = [_stop(seed, loss_share) for seed in SEEDS]
        n_mute = sum(n_flows for n_flows, _ in results)
        yield Figure.at_most(f"{name}_mute", n_mute, "flows", 0)
        longest_ms = max(duration_ms for _, duration_ms in results)
        yield Figure.at_most(f"{name}_longest", longest_ms, "ms", STOP_TIMEOUT_MS)


def _stop(seed: int, loss_share: float) -> tuple[int, int]:
    """Return the number of mute feeds after a planned stop, and its duration."""
    run = _CrashRun(seed, FlowConfig(), loss_share)
    fleet = run.fleet
    leaving = InstanceId("i0")
    for number in range(N_STOPPED_FEEDS):
        fleet.open(leaving, BOOKINGS, FlowId(number))
    fleet.run(4_000)
    shutdown = Shutdown(STOP_LINGER_MS, STOP_TIMEOUT_MS)
    began_ms = fleet.now_ms
    shutdown.begin(began_ms)
    fleet.drain(leaving)
    flows = fleet.nodes[leaving].director
    is_complete = False
    while not is_complete and not shutdown.is_overdue(fleet.now_ms):
        fleet.run(SHUTDOWN_INTERVAL_MS)
        open_work = OpenWork(n_unacknowledged=flows.n_unacknowledged)
        is_complete = shutdown.is_complete(fleet.now_ms, open_work)
    fleet.kill(leaving)
    holders = [h for s in fleet.servers.values() for h, _ in s.flows.values()]
    n_mute = sum(holder not in fleet.nodes for holder in holders)
    return n_mute, fleet.now_ms - began_ms


def _gaps_ms(loss_share: float = 0.0) -> list[int]:
    runs = (_CrashRun(seed, FlowConfig(), loss_share) for seed in SEEDS)
    return sorted(gap for run in runs for gap in run.run())


def _quantile(values: list[int], share: float) -> int:
    return values[int(share * (len(values) - 1))]


def _n_late(gaps_ms: list[int]) -> int:
    return sum(gap > GAP_BOUND_MS for gap in gaps_ms)


def _claim_bytes_per_s(
    n_new_per_s: int, lifetime_ms: int | None = None, n_early_per_s: int | None = None
) -> float:
    """Return the control bytes per second of all instances when one opens feeds.

    This equals what one instance sends when all of them open as many.
    """
    config = FlowConfig()
    if n_early_per_s is not None:
        config = FlowConfig(n_early_registrations_per_s=n_early_per_s)
    data_centres = {
        InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)
    }
    fleet = FlowFleet(data_centres, config=config)
    fleet.set_plan(first_plan())
    fleet.run(15_000)
    opener = next(iter(data_centres))
    open_flows: deque[tuple[int, FlowId]] = deque()
    n_opened = 0
    for elapsed_ms in range(1, COUNTED_MS + 1):
        while n_opened * 1_000 < n_new_per_s * elapsed_ms:
            flow = FlowId(fleet.random.getrandbits(64))
            fleet.open(opener, BOOKINGS, flow)
            open_flows.append((fleet.now_ms, flow))
            n_opened += 1
        fleet.run(1)
        while (
            lifetime_ms
            and open_flows
            and open_flows[0][0] + lifetime_ms <= fleet.now_ms
        ):
            _, flow = open_flows.popleft()
            fleet.send(opener, fleet.datagram(Kind.CLOSE, BOOKINGS, flow))
    n_bytes = sum(node.n_control_bytes for node in fleet.nodes.values())
    return n_bytes * 1_000 / COUNTED_MS
