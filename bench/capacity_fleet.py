"""Slopes of membership: neighbours, newcomers, losses and returns."""

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

from .half_loss import half_lost
from .membership import sent_bytes_per_s, tick_us
from .slope import Growth, Slope

__all__ = ["slopes"]

N_NODES = 3900
N_IN_DATA_CENTRE = 557
N_DATA_CENTRES = 7
CONTROL_BYTES_PER_S = 28_000
CONTROL_SHARE = 0.02
CONTROL_MEMORY_BYTES = 32_000_000
TICKS_PER_S = 10
EVENTS_PER_S = (2200 + 120) / 86_400
IN_FORCE_MS = 4000
FLEET_SIZES = (70, 140, 280, 560)
RACK_SIZES = (16, 64, 280, 556)
CUT_SIZES = (28, 70, 140)
TABLE_SIZES = (500, 1000, 2000, N_NODES)
OWNER_SIZES = (70, 140, 280, N_IN_DATA_CENTRE)
N_KEYS = 300
LIMIT_MS = 60_000
SETTLE_MS = 3000
MEASURED_MS = 2000


def _fleet(n_instances: int, n_data_centres: int = N_DATA_CENTRES) -> VirtualFleet:
    each = n_instances // n_data_centres
    names = [DataCentreId("osu"), *(f"dc{n}" for n in range(1, n_data_centres))]
    sizes = {DataCentreId(name): each for name in names}
    fleet = VirtualFleet(sizes, seed=1, know_each_other=True)
    fleet.run(SETTLE_MS)
    return fleet


def slopes() -> Iterator[Slope]:
    """Yield the slopes of membership."""
    yield from _neighbour()
    yield from _member_table()
    yield from _owners()
    yield from _rack()
    yield from _cut()
    yield _event_bytes()


def _neighbour() -> Iterator[Slope]:
    fleets = [_fleet(n_instances) for n_instances in FLEET_SIZES]
    yield Slope(
        name="heartbeat_sent_bytes",
        role="heartbeat neighbour",
        unit="B/s",
        sizes=FLEET_SIZES,
        values=[sent_bytes_per_s(fleet, MEASURED_MS) for fleet in fleets],
        size_of="instances",
        target_size=N_NODES,
        growth=Growth.LOGARITHMIC,
        limit=CONTROL_BYTES_PER_S,
        mechanism="4 ring neighbours, 1 random, 1 elsewhere, whatever the size",
    )
    yield Slope(
        name="heartbeat_processor_share",
        role="heartbeat neighbour",
        unit="of a core",
        sizes=FLEET_SIZES,
        values=[tick_us(fleet) for fleet in fleets],
        size_of="instances",
        target_size=N_NODES,
        growth=Growth.LOGARITHMIC,
        limit=CONTROL_SHARE,
        factor=TICKS_PER_S / 1e6,
        mechanism="a tick looks at neighbours and accused ones only",
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


def _membership(own: MemberRecord, records: list[MemberRecord]) -> Membership:
    journal = Journal(own.instance)
    membership = Membership(FleetConfig(), own, random.Random(1), journal)
    page = MembersPage(tuple(Alive(r) for r in records), InstanceId(""), 0)
    membership.on_message(own.instance, page, 0)
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


def _member_table() -> Iterator[Slope]:
    yield Slope(
        name="member_table_memory",
        role="heartbeat neighbour",
        unit="B",
        sizes=TABLE_SIZES,
        values=[_member_memory(n) for n in TABLE_SIZES],
        size_of="instances",
        target_size=N_NODES,
        limit=CONTROL_MEMORY_BYTES,
        mechanism="every node knows all nodes' names and addresses",
    )
    catch_up = [_catch_up(n) for n in TABLE_SIZES]
    yield Slope(
        name="newcomer_members_bytes",
        role="newcomer",
        unit="B",
        sizes=TABLE_SIZES,
        values=[n_bytes for n_bytes, _ in catch_up],
        size_of="instances",
        target_size=N_NODES,
        mechanism="pages of 12 members from one peer, own data centre first",
    )
    yield Slope(
        name="newcomer_members_time",
        role="newcomer",
        unit="ms",
        sizes=TABLE_SIZES,
        values=[duration_ms for _, duration_ms in catch_up],
        size_of="instances",
        target_size=N_NODES,
        mechanism="its own data centre at once, the others a page a tick",
    )


def _catch_up(n_instances: int) -> tuple[int, int]:
    """Return the bytes of pages and the time in which a newcomer learns all members."""
    fleet = VirtualFleet({}, seed=1)
    records = _records(n_instances)
    fleet.add(records[0].instance, _membership(records[0], records))
    fleet.list_single(records[0])
    newcomer = fleet.start(InstanceId("newcomer"), records[0].data_centre)
    wanted = n_instances + 1
    duration_ms = fleet.run_until(
        lambda: len(newcomer.status(fleet.now_ms).members) == wanted, LIMIT_MS * 2
    )
    return fleet.traffic_of(records[0].instance).n_page_bytes, duration_ms


def _owners() -> Iterator[Slope]:
    names = [InstanceId(f"osu-{n}") for n in range(N_IN_DATA_CENTRE)]
    cold = []
    warm = []
    memory = []
    for size in OWNER_SIZES:
        table = OwnerTable(tuple(names[:size]))
        cold.append(_lookups_us(table))
        warm.append(_lookups_us(table))
        memory.append(_owner_memory(tuple(names[:size])))
    role = "entry instance (owner lookup)"
    common = {"sizes": OWNER_SIZES, "target_size": N_IN_DATA_CENTRE, "role": role}
    yield Slope(
        name="owner_lookup_cold",
        unit="us",
        values=cold,
        size_of="instances of a data centre",
        mechanism="one ranking of a slot, then kept",
        **common,
    )
    yield Slope(
        name="owner_lookup_kept",
        unit="us",
        values=warm,
        size_of="instances of a data centre",
        mechanism="16,384 slots; a change touches only its own slots",
        **common,
    )
    yield Slope(
        name="owner_table_memory",
        unit="B",
        values=memory,
        size_of="instances of a data centre",
        mechanism="all slots of one data centre ranked",
        limit=CONTROL_MEMORY_BYTES,
        **common,
    )


def _lookups_us(table: OwnerTable) -> float:
    start_ns = time.perf_counter_ns()
    for key in range(N_KEYS):
        table.owners(key, 2)
    return (time.perf_counter_ns() - start_ns) / N_KEYS / 1000


def _owner_memory(names: tuple[InstanceId, ...]) -> float:
    """Return the memory of a table; it does not grow with the slots in use."""
    gc.collect()
    tracemalloc.start()
    table = OwnerTable(names)
    for key in range(N_KEYS):
        table.owners(key, 2)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _rack() -> Iterator[Slope]:
    losses = [half_lost(n_instances) for n_instances in RACK_SIZES]
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
        values=[loss.known_ms for loss in losses],
        mechanism="accused neighbours are skipped, so that the next ones are watched",
        **common,
    )
    yield Slope(
        name="half_data_centre_lost_leases_back",
        unit="ms",
        values=[loss.leases_ms for loss in losses],
        mechanism="three arbiters of another data centre vote for one side",
        **common,
    )
    yield Slope(
        name="half_data_centre_lost_bytes",
        unit="B/s",
        values=[loss.most_bytes_per_s for loss in losses],
        limit=CONTROL_BYTES_PER_S,
        mechanism="rumours, pages and votes within a budget of bytes a tick",
        **common,
    )


def _cut() -> Iterator[Slope]:
    cut = [_cut_times_ms(n) for n in CUT_SIZES]
    for number, name in enumerate(
        ("region_link_lost_known", "region_link_back_known", "region_link_back_bytes")
    ):
        yield Slope(
            name=name,
            role="heartbeat neighbour (region link)",
            unit="ms" if number < 2 else "B/s",
            sizes=CUT_SIZES,
            values=[times[number] for times in cut],
            size_of="instances",
            target_size=N_NODES,
            growth=Growth.LOGARITHMIC,
            limit=None if number < 2 else CONTROL_BYTES_PER_S,
            mechanism="silence of a whole data centre; nothing moves inside it",
        )


def _cut_times_ms(n_instances: int) -> tuple[float, float, float]:
    """Return times until a cut between regions and its end are known to all."""
    fleet = _fleet(n_instances)
    far = {name for name in fleet.members if name.startswith(("dc4", "dc5", "dc6"))}
    fleet.link.blocks = lambda sender, target: (sender in far) != (target in far)
    near = [name for name in fleet.members if name not in far]
    n_near = len(near)
    lost_ms = fleet.run_until(
        lambda: all(len(fleet.members[n].live()) == n_near for n in near), LIMIT_MS
    )
    fleet.run(10_000)
    fleet.link.blocks = lambda sender, target: False
    n_all = len(fleet.members)
    before = {name: traffic.n_bytes for name, traffic in fleet.traffic.items()}
    back_ms = fleet.run_until(
        lambda: all(len(m.live()) == n_all for m in fleet.members.values()), LIMIT_MS
    )
    fleet.run(MEASURED_MS)
    most = max(t.n_bytes - before[name] for name, t in fleet.traffic.items())
    return lost_ms, back_ms, most * 1000 / (back_ms + MEASURED_MS)


def _event_bytes() -> Slope:
    values = []
    for n_instances in FLEET_SIZES[:3]:
        fleet = _fleet(n_instances)
        idle = _mean_bytes(fleet)
        fleet.kill(fleet.of(DataCentreId("osu"))[1])
        values.append(max(1.0, _mean_bytes(fleet) - idle))
    return Slope(
        name="death_bytes_per_node",
        role="heartbeat neighbour (2,320 lost or replaced a day)",
        unit="B/s",
        sizes=FLEET_SIZES[:3],
        values=values,
        size_of="instances",
        target_size=N_NODES,
        growth=Growth.LOGARITHMIC,
        limit=CONTROL_BYTES_PER_S,
        factor=EVENTS_PER_S,
        mechanism="rumours, each passed on 2 log2 n times",
    )


def _mean_bytes(fleet: VirtualFleet) -> float:
    """Return the mean bytes that an instance sends in the next five seconds."""
    before = sum(traffic.n_bytes for traffic in fleet.traffic.values())
    fleet.run(5000)
    after = sum(traffic.n_bytes for traffic in fleet.traffic.values())
    return (after - before) / len(fleet.members)
