"""Compares strategies of placing flows on one replayed series of changes."""

import random
import time
from collections import Counter
from collections.abc import Iterator

from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.flow.record_codec import RECORD_BYTES
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import (
    FlowId,
    InstanceId,
    ServerId,
    ServerState,
    TrafficClass,
)
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    DATA_CENTRES,
    add_server,
    change_servers,
    first_plan,
    new_server,
    replace_server,
)

from .placement_series import Tally, replay
from .placement_strategies import HashOnly, HashWithTable, LayersAndRecords, RecordAll
from .result import Baseline, Figure

__all__ = ["figures"]

N_INSTANCES = 14
IMBALANCE_BOUND = 1.25
CONTROL_BYTES_PER_S_BOUND = 28_000  # per second and instance, at the target fleet
NEW_FLOWS_PER_S = 41  # per instance: the target's 160,000 over 3,900 instances
MEASURED_S = 10
N_DECISIONS = 20_000


def figures() -> Iterator[Figure]:
    """Yield the figures of each strategy."""
    data_centres = {
        InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)
    }
    hash_only = replay(HashOnly(data_centres))
    with_table = replay(HashWithTable(data_centres))
    record_all = replay(RecordAll(data_centres))
    directors = LayersAndRecords(data_centres)
    tally = replay(directors)
    yield from _broken(tally, hash_only, with_table, record_all)
    yield from _packets(tally, record_all, directors)
    yield from _imbalance()
    yield from _seats()
    yield from _control_bytes()
    yield from _decisions()


def _broken(
    tally: Tally, hash_only: Tally, with_table: Tally, record_all: Tally
) -> Iterator[Figure]:
    for name, other in (
        ("hash_only", hash_only),
        ("hash_with_table", with_table),
        ("record_all", record_all),
    ):
        yield Figure.at_most(
            f"flows_broken_planned_vs_{name}",
            tally.n_broken_planned,
            "flows",
            0,
            Baseline(name, other.n_broken_planned),
        )
        yield Figure.at_most(
            f"flows_broken_crash_vs_{name}",
            tally.n_broken_crash,
            "flows",
            0,
            Baseline(name, other.n_broken_crash),
        )
    for step, n_broken in tally.broken_by_step.items():
        name = step.replace(",", "").replace(" ", "_")
        baseline = Baseline("hash_with_table", with_table.broken_by_step[step])
        yield Figure.at_most(f"flows_broken_{name}", n_broken, "flows", 0, baseline)


def _packets(
    tally: Tally, record_all: Tally, directors: LayersAndRecords
) -> Iterator[Figure]:
    n_misdirected = tally.n_misdirected + directors.fleet.n_misdirected
    yield Figure.at_most("packets_misdirected", n_misdirected, "packets", 0)
    baseline = Baseline("record_all", record_all.n_hops / record_all.n_packets)
    yield Figure(
        "extra_hops_per_packet", tally.n_hops / tally.n_packets, "1", baseline=baseline
    )
    n_again = tally.n_sent - tally.n_packets
    yield Figure("packets_sent_again_share", n_again / tally.n_packets, "1")


def _imbalance() -> Iterator[Figure]:
    placement = Placement(first_plan())
    random_state = random.Random(2)
    counts: Counter[ServerId] = Counter()
    modulo: Counter[int] = Counter()
    n_flows = 10_000
    for _ in range(n_flows):
        flow = FlowId(random_state.getrandbits(64))
        counts[placement.candidates(BOOKINGS, flow)[0]] += 1
        modulo[flow % 7] += 1
    value = max(counts.values()) * len(counts) / n_flows
    baseline = Baseline("hash_modulo", max(modulo.values()) * 7 / n_flows)
    yield Figure.at_most(
        "imbalance_max_over_mean", value, "1", IMBALANCE_BOUND, baseline
    )


def _seats() -> Iterator[Figure]:
    """Yield the share of new flows that need a record after a server was replaced."""
    first, replacement = ServerId("bookings-0"), ServerId("bookings-0b")
    first_left = {first: ServerState.LEFT}
    same_seat = change_servers(
        replace_server(first_plan(), first, replacement), first_left
    )
    added = add_server(first_plan(), new_server(BOOKINGS, 7, 9_800))
    new_seat = change_servers(added, first_left)
    baseline = Baseline("seat_of_its_own", _exception_share(new_seat))
    value = _exception_share(same_seat)
    yield Figure.at_most("exceptions_after_replacement", value, "1", 0, baseline)


def _exception_share(plan: Plan) -> float:
    placement = Placement(plan)
    random_state = random.Random(5)
    flows = [FlowId(random_state.getrandbits(64)) for _ in range(N_DECISIONS // 4)]
    n_exceptions = sum(
        placement.candidates(BOOKINGS, flow)[0] != placement.default(BOOKINGS, flow)
        for flow in flows
    )
    return n_exceptions / len(flows)


def _control_bytes() -> Iterator[Figure]:
    """Yield the control traffic of new flows at the target's rate during a drain."""
    for traffic_class in (TrafficClass.TRANSACTION, TrafficClass.FEED):
        value = _bytes_per_s(traffic_class)
        n_bytes_record_all = NEW_FLOWS_PER_S * 2 * RECORD_BYTES
        yield Figure.at_most(
            f"control_bytes_per_s_{traffic_class.name.lower()}_drain",
            value,
            "B/s",
            CONTROL_BYTES_PER_S_BOUND,
            Baseline("record_all_payload", n_bytes_record_all),
        )


def _bytes_per_s(traffic_class: TrafficClass) -> float:
    data_centres = {
        InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(N_INSTANCES)
    }
    fleet = FlowFleet(data_centres)
    plan = first_plan()
    fleet.set_plan(plan)
    draining = {ServerId("bookings-0"): ServerState.DRAINING}
    fleet.set_plan(change_servers(plan, draining))
    fleet.run(1_000)
    step_ms = 1_000 // NEW_FLOWS_PER_S
    for _ in range(MEASURED_S * NEW_FLOWS_PER_S):
        for name in data_centres:
            flow = FlowId(fleet.random.getrandbits(64))
            fleet.open(name, BOOKINGS, flow, traffic_class)
        fleet.run(step_ms)
    n_bytes = sum(node.n_control_bytes for node in fleet.nodes.values())
    return n_bytes / N_INSTANCES / (MEASURED_S * NEW_FLOWS_PER_S * step_ms / 1_000)


def _decisions() -> Iterator[Figure]:
    """Yield the rate of placement decisions relative to plain modulo hashing."""
    random_state = random.Random(3)
    flows = [FlowId(random_state.getrandbits(64)) for _ in range(N_DECISIONS)]
    placement = Placement(first_plan())
    servers = [f"s{n}" for n in range(7)]
    start = time.perf_counter()
    for flow in flows:
        servers[hash(flow) % 7]
    modulo_s = time.perf_counter() - start
    start = time.perf_counter()
    for flow in flows:
        placement.layer_servers(BOOKINGS, flow)
    placement_s = time.perf_counter() - start
    yield Figure("decisions_ratio_to_modulo", modulo_s / placement_s, "1")
