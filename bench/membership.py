"""Membership: failure detection, false positives, traffic, processor time per tick."""

import time
from collections.abc import Iterator

from sapphirerail_core.effects import SendToPeer
from sapphirerail_core.fleet.messages import Rumours, Suspected
from sapphirerail_core.rendezvous import hash_key
from sapphirerail_core.types import DataCentreId, InstanceId, InstanceState
from sapphirerail_standins.virtual_fleet import VirtualFleet

from .half_loss import count_double_role_steps, measure_half_loss
from .result import Figure

__all__ = [
    "FLEET_SIZES",
    "data_centre_sizes",
    "figures",
    "max_sent_bytes_per_s",
    "tick_us",
]

DATA_CENTRES = ("osu", "madina", "tema", "kaneshie")
N_TODAY = 19
FLEET_SIZES = (19, 100, 400, 1000)
DETECTION_MS_MAX = 1500
CONTROL_BYTES_PER_S_MAX = 28_000
TIMEOUT_MS = 30_000
HALF_SIZES = (16, 32)
LEASE_EXPIRED_MS = 5000
SETTLE_MS = 3000
MEASURED_MS = 2000
LOSS_MS = 60_000
LOSS_SEEDS = range(2)
N_KEYS = 1000
N_TICKS = 40


def data_centre_sizes(n_instances: int) -> dict[DataCentreId, int]:
    """Return the number of instances for each of four data centres."""
    sizes = dict.fromkeys(map(DataCentreId, DATA_CENTRES), n_instances // 4)
    for name in DATA_CENTRES[: n_instances % 4]:
        sizes[DataCentreId(name)] += 1
    return sizes


def _settled(n_instances: int, seed: int = 0) -> VirtualFleet:
    fleet = VirtualFleet(
        data_centre_sizes(n_instances), seed=seed, know_each_other=True
    )
    fleet.run(SETTLE_MS)
    return fleet


def max_sent_bytes_per_s(fleet: VirtualFleet, duration_ms: int) -> float:
    """Run the fleet; return the bytes per second of the instance that sends most."""
    before = {name: traffic.n_bytes for name, traffic in fleet.traffic.items()}
    fleet.run(duration_ms)
    max_bytes = max(t.n_bytes - before[name] for name, t in fleet.traffic.items())
    return max_bytes * 1000 / duration_ms


def tick_us(fleet: VirtualFleet) -> float:
    """Return the processor time per tick, with received messages, in microseconds."""
    name = fleet.of(DataCentreId("osu"))[0]
    membership = fleet.members[name]
    peers = membership.live(DataCentreId("osu"))
    inbox = [
        (peer, effect.message)
        for peer in peers[1:6]
        for effect in fleet.members[peer].tick(fleet.now_ms)
        if isinstance(effect, SendToPeer)
    ]
    start_ns = time.process_time_ns()
    for n_tick in range(N_TICKS):
        now_ms = fleet.now_ms + 100 * n_tick
        membership.tick(now_ms)
        for peer, message in inbox[:6]:
            membership.on_message(peer, message, now_ms)
    return (time.process_time_ns() - start_ns) / N_TICKS / 1000


def _detection_ms(n_instances: int, seed: int) -> tuple[int, int]:
    """Return the detection times of a failure: in its data centre, and everywhere."""
    fleet = _settled(n_instances, seed)
    victim = InstanceId("osu-1")
    fleet.kill(victim)

    def is_detected_by(names: list[InstanceId]) -> bool:
        return all(
            fleet.members[name].state(victim) is InstanceState.DEAD for name in names
        )

    near = fleet.of(DataCentreId("osu"))
    near_ms = fleet.run_until(lambda: is_detected_by(near), TIMEOUT_MS)
    far_ms = fleet.run_until(lambda: is_detected_by(list(fleet.members)), TIMEOUT_MS)
    return near_ms, near_ms + far_ms


def _rack_failure_ms(n_instances: int) -> tuple[int, int]:
    """Return the times to detect half a data centre's failure and to regain leases."""
    fleet = _settled(n_instances)
    kaneshie = DataCentreId("kaneshie")
    for victim in fleet.of(kaneshie)[::2]:
        fleet.kill(victim)
    detected_ms = fleet.run_until(lambda: _is_detected(fleet, kaneshie), TIMEOUT_MS)
    lease_ms = fleet.run_until(lambda: _has_leases(fleet, kaneshie), TIMEOUT_MS)
    return detected_ms, detected_ms + lease_ms


def _minority_lease_ms(list_lag_ms: int | None) -> int:
    """Return the time until two of five hold leases after three failed at once."""
    fleet = _settled(N_TODAY)
    osu = DataCentreId("osu")
    for victim in fleet.of(osu)[::2]:
        fleet.kill(victim)
    fleet.listing = [e for e in fleet.listing if e.instance in fleet.members]
    waited_ms = list_lag_ms or LEASE_EXPIRED_MS
    fleet.run(waited_ms)
    if list_lag_ms is not None:
        fleet.deliver_listing()
    limit_ms = 2 * TIMEOUT_MS
    return waited_ms + fleet.run_until(lambda: _has_leases(fleet, osu), limit_ms)


def _is_detected(fleet: VirtualFleet, data_centre: DataCentreId) -> bool:
    names = tuple(fleet.of(data_centre))
    return all(fleet.members[name].live(data_centre) == names for name in names)


def _has_leases(fleet: VirtualFleet, data_centre: DataCentreId) -> bool:
    names = fleet.of(data_centre)
    return all(fleet.members[name].holds_lease(fleet.now_ms) for name in names)


def _n_false_failures(seed: int) -> int:
    """Return how often a live instance is declared failed at 5% message loss."""
    fleet = _settled(N_TODAY, seed)
    fleet.link.loss = 0.05
    false_failures: list[InstanceId] = []

    def record_failure(instance: InstanceId, state: InstanceState, now_ms: int) -> list:
        if state is InstanceState.DEAD:
            false_failures.append(instance)
        return []

    for membership in fleet.members.values():
        membership.on_state_change.append(record_failure)
    fleet.run(LOSS_MS)
    return len(false_failures)


def _n_owners_moved_by_one_reporter(n_instances: int) -> int:
    """Return how many owners change when one instance suspects all others."""
    fleet = _settled(n_instances)
    osu = DataCentreId("osu")
    reporter = fleet.of(osu)[0]
    before = _owners(fleet, osu, reporter)
    updates = tuple(
        Suspected(status.instance, status.incarnation, reporter, TIMEOUT_MS)
        for status in fleet.members[reporter].status(fleet.now_ms).members
        if status.instance != reporter
    )
    n_moved = 0
    for _ in range(30):
        for name, membership in fleet.members.items():
            if name != reporter:
                membership.on_message(reporter, Rumours(updates[:50]), fleet.now_ms)
        fleet.run(100)
        after = _owners(fleet, osu, reporter)
        n_moved += sum(before[key] != after[key] for key in before)
    return n_moved


def _owners(
    fleet: VirtualFleet, data_centre: DataCentreId, excluded: InstanceId
) -> dict[tuple[InstanceId, int], tuple[InstanceId, ...]]:
    return {
        (name, n): membership.owners(hash_key(str(n)), 2, data_centre)
        for name, membership in fleet.members.items()
        if name != excluded
        for n in range(N_KEYS // 50)
    }


def figures() -> Iterator[Figure]:
    """Yield the figures of the membership."""
    yield from _detection()
    yield Figure.at_most(
        "membership_false_deaths_5pct_loss_19",
        sum(_n_false_failures(seed) for seed in LOSS_SEEDS),
        "deaths",
        0,
    )
    for n_instances in (N_TODAY, 8):
        yield Figure.at_most(
            f"membership_owners_moved_by_one_opinion_{n_instances}",
            _n_owners_moved_by_one_reporter(n_instances),
            "owners",
            0,
        )
    yield from _cost()


def _detection() -> Iterator[Figure]:
    detections = [_detection_ms(N_TODAY, seed) for seed in range(5)]
    near_ms = max(near for near, _ in detections)
    far_ms = max(far for _, far in detections)
    name = "membership_death_known_in_data_centre_max_19"
    yield Figure.at_most(name, near_ms, "ms", DETECTION_MS_MAX)
    yield Figure("membership_death_known_everywhere_max_19", far_ms, "ms")
    detected_ms, lease_ms = _rack_failure_ms(N_TODAY)
    yield Figure("membership_rack_noticed_19", detected_ms, "ms")
    yield Figure("membership_rack_lease_back_19", lease_ms, "ms")
    for n_instances in HALF_SIZES:
        half = measure_half_loss(n_instances)
        name = f"membership_half_of_{n_instances}_lease_back"
        yield Figure(name, half.leases_recovered_ms, "ms")
        name = f"membership_half_of_{n_instances}_sent_bytes_per_s"
        value = half.max_bytes_per_s
        yield Figure.at_most(name, value, "B/s", CONTROL_BYTES_PER_S_MAX)
        name = f"membership_split_of_{n_instances}_roles_used_twice"
        yield Figure.at_most(name, count_double_role_steps(n_instances), "steps", 0)
    name = "membership_two_of_five_lease_back_list_lags_10s"
    yield Figure(name, _minority_lease_ms(10_000), "ms")
    name = "membership_two_of_five_lease_back_no_list"
    yield Figure(name, _minority_lease_ms(None), "ms")


def _cost() -> Iterator[Figure]:
    for n_instances in FLEET_SIZES:
        fleet = (
            _settled(n_instances) if n_instances < 1000 else _just_started(n_instances)
        )
        value = max_sent_bytes_per_s(fleet, MEASURED_MS if n_instances < 1000 else 500)
        name = f"membership_sent_bytes_per_s_{n_instances}"
        yield Figure.at_most(name, value, "B/s", CONTROL_BYTES_PER_S_MAX)
        yield Figure(f"membership_tick_{n_instances}", tick_us(fleet), "us")


def _just_started(n_instances: int) -> VirtualFleet:
    fleet = VirtualFleet(data_centre_sizes(n_instances), know_each_other=True)
    fleet.run(500)
    return fleet
