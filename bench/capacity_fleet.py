"""Cost slopes of membership: heartbeats, joins, mass failures and partitions."""

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator

from sapphirerail_core.fleet import FleetConfig, Membership
from sapphirerail_core.fleet.messages import Alive, MemberRecord, MembersPage
from sapphirerail_core.fleet.owners import OwnerTable
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_standins.virtual_fleet import VirtualFleet

from .half_loss import measure_half_loss
from .membership import max_sent_bytes_per_s, tick_us
from .slope import Growth, Slope

__all__ = ["slopes"]

N_TARGET_INSTANCES = 3900
N_IN_DATA_CENTRE = 557
N_DATA_CENTRES = 7
CONTROL_BYTES_PER_S_MAX = 28_000
CONTROL_PROCESSOR_SHARE_MAX = 0.02
CONTROL_MEMORY_BYTES_MAX = 32_000_000
TICKS_PER_S = 10
MEMBER_CHANGES_PER_S = (2200 + 120) / 86_400
IN_FORCE_MS_MAX = 4000
FLEET_SIZES = (70, 140, 280, 560)
RACK_SIZES = (16, 64, 280, 556)
PARTITION_SIZES = (28, 70, 140)
TABLE_SIZES = (500, 1000, 2000, N_TARGET_INSTANCES)
OWNER_SIZES = (70, 140, 280, N_IN_DATA_CENTRE)
N_KEYS = 300
TIMEOUT_MS = 60_000
SETTLE_MS = 3000
MEASURED_MS = 2000


def _fleet(n_instances: int, n_data_centres: int = N_DATA_CENTRES) -> VirtualFleet:
    n_each = n_instances // n_data_centres
    names = [DataCentreId("osu"), *(f"dc{n}" for n in range(1, n_data_centres))]
    sizes = {DataCentreId(name): n_each for name in names}
    fleet = VirtualFleet(sizes, seed=1, know_each_other=True)
    fleet.run(SETTLE_MS)
    return fleet


def slopes() -> Iterator[Slope]:
    """Yield the slopes of the membership."""
    yield from _heartbeat_slopes()
    yield from _member_table_slopes()
    yield from _owner_lookup_slopes()
    yield from _rack_failure_slopes()
    yield from _partition_slopes()
    yield _failure_traffic()


def _heartbeat_slopes() -> Iterator[Slope]:
    fleets = [_fleet(n_instances) for n_instances in FLEET_SIZES]
    yield Slope(
        name="heartbeat_sent_bytes",
        role="heartbeat neighbour",
        unit="B/s",
        sizes=FLEET_SIZES,
        values=[max_sent_bytes_per_s(fleet, MEASURED_MS) for fleet in fleets],
        size_of="instances",
        target_size=N_TARGET_INSTANCES,
        growth=Growth.LOGARITHMIC,
        limit=CONTROL_BYTES_PER_S_MAX,
        mechanism="4 ring neighbours, 1 random instance and 1 in another data centre, "
        "independent of the size",
    )
    yield Slope(
        name="heartbeat_processor_share",
        role="heartbeat neighbour",
        unit="of a core",
        sizes=FLEET_SIZES,
        values=[tick_us(fleet) for fleet in fleets],
        size_of="instances",
        target_size=N_TARGET_INSTANCES,
        growth=Growth.LOGARITHMIC,
        limit=CONTROL_PROCESSOR_SHARE_MAX,
        factor=TICKS_PER_S / 1e6,
        mechanism="a tick checks only neighbours and suspected instances",
    )


def _records(n_instances: int) -> list[MemberRecord]:
    return [
        MemberRecord(
            InstanceId(f"instance-{n}"),
            DataCentreId(f"data-centre-{n % N_DATA_CENTRES}"),
            f"10.{n >> 8}.{n & 255}.1:7001",
            f"10.{n >> 8}.{n & 255}.1:7002",
            1_700_000_000_000 + n,
        )
        for n in range(n_instances)
    ]


def _membership(local: MemberRecord, records: list[MemberRecord]) -> Membership:
    journal = Journal(local.instance)
    membership = Membership(FleetConfig(), local, random.Random(1), journal)
    page = MembersPage(tuple(Alive(r) for r in records), InstanceId(""), 0)
    membership.on_message(local.instance, page, 0)
    return membership


def _member_memory(n_instances: int) -> int:
    gc.collect()
    tracemalloc.start()
    records = _records(n_instances)
    membership = _membership(records[0], records)
    for record in records[:N_DATA_CENTRES]:
        membership.live(record.data_centre)
    del records
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _member_table_slopes() -> Iterator[Slope]:
    yield Slope(
        name="member_table_memory",
        role="heartbeat neighbour",
        unit="B",
        sizes=TABLE_SIZES,
        values=[_member_memory(n) for n in TABLE_SIZES],
        size_of="instances",
        target_size=N_TARGET_INSTANCES,
        limit=CONTROL_MEMORY_BYTES_MAX,
        mechanism="each instance stores the names and addresses of all instances",
    )
    join_costs = [_join_cost(n) for n in TABLE_SIZES]
    yield Slope(
        name="newcomer_members_bytes",
        role="newcomer",
        unit="B",
        sizes=TABLE_SIZES,
        values=[n_bytes for n_bytes, _ in join_costs],
        size_of="instances",
        target_size=N_TARGET_INSTANCES,
        mechanism="pages of 12 members from one peer, the local data centre first",
    )
    yield Slope(
        name="newcomer_members_time",
        role="newcomer",
        unit="ms",
        sizes=TABLE_SIZES,
        values=[duration_ms for _, duration_ms in join_costs],
        size_of="instances",
        target_size=N_TARGET_INSTANCES,
        mechanism="the local data centre at once, the others one page per tick",
    )


def _join_cost(n_instances: int) -> tuple[int, int]:
    """Return the page bytes and the time until a new instance knows all members."""
    fleet = VirtualFleet({}, seed=1)
    records = _records(n_instances)
    fleet.add(records[0].instance, _membership(records[0], records))
    fleet.list_single(records[0])
    newcomer = fleet.start(InstanceId("newcomer"), records[0].data_centre)
    n_expected = n_instances + 1
    duration_ms = fleet.run_until(
        lambda: len(newcomer.status(fleet.now_ms).members) == n_expected, TIMEOUT_MS * 2
    )
    return fleet.traffic_of(records[0].instance).n_page_bytes, duration_ms


def _owner_lookup_slopes() -> Iterator[Slope]:
    names = [InstanceId(f"osu-{n}") for n in range(N_IN_DATA_CENTRE)]
    cold = []
    warm = []
    memory = []
    for size in OWNER_SIZES:
        table = OwnerTable(tuple(names[:size]))
        cold.append(_lookup_us(table))
        warm.append(_lookup_us(table))
        memory.append(_owner_memory(tuple(names[:size])))
    role = "entry instance (owner lookup)"
    common = {"sizes": OWNER_SIZES, "target_size": N_IN_DATA_CENTRE, "role": role}
    yield Slope(
        name="owner_lookup_cold",
        unit="us",
        values=cold,
        size_of="instances of a data centre",
        mechanism="one ranking per slot, then cached",
        **common,
    )
    yield Slope(
        name="owner_lookup_kept",
        unit="us",
        values=warm,
        size_of="instances of a data centre",
        mechanism="16,384 slots; a change re-ranks only the affected slots",
        **common,
    )
    yield Slope(
        name="owner_table_memory",
        unit="B",
        values=memory,
        size_of="instances of a data centre",
        mechanism="ranking of all slots for one data centre",
        limit=CONTROL_MEMORY_BYTES_MAX,
        **common,
    )


def _lookup_us(table: OwnerTable) -> float:
    start_ns = time.perf_counter_ns()
    for key in range(N_KEYS):
        table.owners(key, 2)
    return (time.perf_counter_ns() - start_ns) / N_KEYS / 1000


def _owner_memory(names: tuple[InstanceId, ...]) -> float:
    """Return the memory of a table; it does not depend on the number of used slots."""
    gc.collect()
    tracemalloc.start()
    table = OwnerTable(names)
    for key in range(N_KEYS):
        table.owners(key, 2)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _rack_failure_slopes() -> Iterator[Slope]:
    losses = [measure_half_loss(n_instances) for n_instances in RACK_SIZES]
    common = {
        "role": "heartbeat neighbour (rack loss)",
        "sizes": RACK_SIZES,
        "size_of": "instances of a data centre",
        "target_size": RACK_SIZES[-1],
        "growth": Growth.LOGARITHMIC,
    }
    yield Slope(
        name="half_data_centre_lost_known",
        unit="ms",
        values=[loss.detected_ms for loss in losses],
        mechanism="suspected neighbours are skipped, so that the next ones are "
        "monitored",
        **common,
    )
    yield Slope(
        name="half_data_centre_lost_leases_back",
        unit="ms",
        values=[loss.leases_recovered_ms for loss in losses],
        mechanism="three arbiters of another data centre vote for one partition side",
        **common,
    )
    yield Slope(
        name="half_data_centre_lost_bytes",
        unit="B/s",
        values=[loss.max_bytes_per_s for loss in losses],
        limit=CONTROL_BYTES_PER_S_MAX,
        mechanism="updates, member pages and votes within a byte budget per tick",
        **common,
    )


def _partition_slopes() -> Iterator[Slope]:
    costs = [_partition_costs(n) for n in PARTITION_SIZES]
    for number, name in enumerate(
        ("region_link_lost_known", "region_link_back_known", "region_link_back_bytes")
    ):
        yield Slope(
            name=name,
            role="heartbeat neighbour (region link)",
            unit="ms" if number < 2 else "B/s",
            sizes=PARTITION_SIZES,
            values=[times[number] for times in costs],
            size_of="instances",
            target_size=N_TARGET_INSTANCES,
            growth=Growth.LOGARITHMIC,
            limit=None if number < 2 else CONTROL_BYTES_PER_S_MAX,
            mechanism="no response from a whole data centre; its owners do not change",
        )


def _partition_costs(n_instances: int) -> tuple[float, float, float]:
    """Return the times until all detect a region partition and its end, and a rate.

    The rate is the most bytes per second that an instance sent after the end.
    """
    fleet = _fleet(n_instances)
    isolated = {
        name for name in fleet.members if name.startswith(("dc4", "dc5", "dc6"))
    }
    fleet.link.blocks = lambda sender, target: (
        (sender in isolated) != (target in isolated)
    )
    remaining = [name for name in fleet.members if name not in isolated]
    n_remaining = len(remaining)
    detected_ms = fleet.run_until(
        lambda: all(len(fleet.members[n].live()) == n_remaining for n in remaining),
        TIMEOUT_MS,
    )
    fleet.run(10_000)
    fleet.link.blocks = lambda sender, target: False
    n_all = len(fleet.members)
    before = {name: traffic.n_bytes for name, traffic in fleet.traffic.items()}
    healed_ms = fleet.run_until(
        lambda: all(len(m.live()) == n_all for m in fleet.members.values()), TIMEOUT_MS
    )
    fleet.run(MEASURED_MS)
    max_bytes = max(t.n_bytes - before[name] for name, t in fleet.traffic.items())
    return detected_ms, healed_ms, max_bytes * 1000 / (healed_ms + MEASURED_MS)


def _failure_traffic() -> Slope:
    values = []
    for n_instances in FLEET_SIZES[:3]:
        fleet = _fleet(n_instances)
        idle = _mean_sent_bytes(fleet)
        fleet.kill(fleet.of(DataCentreId("osu"))[1])
        values.append(max(1.0, _mean_sent_bytes(fleet) - idle))
    return Slope(
        name="death_bytes_per_node",
        role="heartbeat neighbour (2,320 lost or replaced a day)",
        unit="B/s",
        sizes=FLEET_SIZES[:3],
        values=values,
        size_of="instances",
        target_size=N_TARGET_INSTANCES,
        growth=Growth.LOGARITHMIC,
        limit=CONTROL_BYTES_PER_S_MAX,
        factor=MEMBER_CHANGES_PER_S,
        mechanism="gossip of updates, each forwarded 2 log2 n times",
    )


def _mean_sent_bytes(fleet: VirtualFleet) -> float:
    """Run for 5 s and return the mean bytes that an instance sends."""
    before = sum(traffic.n_bytes for traffic in fleet.traffic.values())
    fleet.run(5000)
    after = sum(traffic.n_bytes for traffic in fleet.traffic.values())
    return (after - before) / len(fleet.members)
