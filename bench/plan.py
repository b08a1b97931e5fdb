"""Measures how fast a plan is in force everywhere, and the cost of disseminating it."""

import asyncio
import bisect
import gc
import random
import statistics
import time
import tracemalloc
from collections import Counter
from collections.abc import Iterator

import msgspec

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan import EMPTY_PLAN, Plan, layout
from sapphirerail_core.plan.delta import FullPlan, PlanDelta, delta_since, merge
from sapphirerail_core.plan.draft import Change, apply_lines
from sapphirerail_core.plan.model import Write, WriteId
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.retention import drop_tombstones
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_completeness import (
    IncompleteSheetError,
    check_complete,
    sheet_record_of,
    unlisted_servers,
)
from sapphirerail_core.plan.sheet_line import (
    DataCentreLine,
    ServerLine,
    ServiceLine,
    SheetLine,
)
from sapphirerail_core.plan.sync import SyncConfig
from sapphirerail_core.types import (
    DataCentreId,
    DataCentreState,
    InstanceId,
    Revision,
    ServerId,
    ServerState,
    ServiceId,
    TenantId,
)
from sapphirerail_standins.memory_store import MemoryStore, SlowStore
from sapphirerail_standins.plan_network import NetworkConfig, PlanNetwork
from sapphirerail_standins.virtual_loop import run_in_virtual_time

from .result import Figure

__all__ = ["figures"]

IN_FORCE_MAX_S = 4.0
CONTROL_BYTES_PER_S = 28_000
STORE_CALLS_PER_S = 2000
STORE_WRITES_PER_S = 300
PLAN_MEMORY_BYTES = 32_000_000
STORE_VALUE_BYTES = 1_000_000
MESSAGE_OVERHEAD_BYTES = 75
"""Signature, envelope, UDP and IP headers of a message."""
CALL_OVERHEAD_BYTES = 900
"""HTTP headers, and TCP and IP headers of a separate connection, both directions."""

N_INSTANCES_TODAY = 19
FLEET_SIZES = (100, 400, 1000)
N_INSTANCES_TARGET = 3900
N_SEEDS = 10
IDLE_MS = 5000
N_BURST_INSTANCES = 100
N_BURST_CHANGES = 50
BURST_PAUSE_MS = 100
N_STORM_CHANGES = 100
STORM_PAUSE_MS = 10
N_MERGES = 5
MEAN_JITTER = 0.875
N_WRITES = 50
N_REMOVED = 1000
N_TRUNCATED_LINES = 100
CHANGE_RUN_MS = 5000
N_CHANGES_PER_S = 4000 / 86_400
WORST_NETWORK = NetworkConfig(loss=0.05, unresponsive_watches=True)
USUAL_NETWORK = NetworkConfig(loss=0.05)

DATA_CENTRES = [DataCentreId(f"data-centre-{n}") for n in range(7)]


def figures() -> Iterator[Figure]:
    """Yield the figures of the plan."""
    yield from _current_size_figures()
    for n_instances in FLEET_SIZES:
        yield from _figures_at_size(n_instances, USUAL_NETWORK, "")
    yield from _figures_at_size(N_INSTANCES_TARGET, WORST_NETWORK, "_silent_watches")
    yield from _burst_figures()
    yield from _plan_size_figures()
    yield from _removal_figures()
    yield from _sheet_figures()


def _current_size_figures() -> Iterator[Figure]:
    for config, suffix in (
        (USUAL_NETWORK, ""),
        (WORST_NETWORK, "_silent_watches"),
    ):
        trials = [_Trial(N_INSTANCES_TODAY, seed, config) for seed in range(N_SEEDS)]
        times_s = [time_s for trial in trials for time_s in trial.times_s]
        yield Figure(f"plan_in_force_p50{suffix}_19", statistics.median(times_s), "s")
        yield Figure.at_most(
            f"plan_in_force_max{suffix}_19", max(times_s), "s", IN_FORCE_MAX_S
        )
        n_lost = sum(trial.n_lost for trial in trials)
        n_reverts = sum(trial.n_reverts for trial in trials)
        yield Figure.at_most(f"plan_changes_lost{suffix}_19", n_lost, "1", 0)
        yield Figure.at_most(f"plan_reverts{suffix}_19", n_reverts, "1", 0)
    yield from trials[0].costs("_19")


def _figures_at_size(
    n_instances: int, config: NetworkConfig, suffix: str
) -> Iterator[Figure]:
    trial = _Trial(n_instances, 1, config)
    name = f"{suffix}_{n_instances}"
    yield Figure(f"plan_in_force_p50{name}", statistics.median(trial.times_s), "s")
    yield Figure.at_most(
        f"plan_in_force_max{name}", max(trial.times_s), "s", IN_FORCE_MAX_S
    )
    yield Figure.at_most(f"plan_changes_lost{name}", trial.n_lost, "1", 0)
    yield from trial.costs(name)


class _Trial:
    """Runs one fleet that idles, then applies one change."""

    def __init__(self, n_instances: int, seed: int, config: NetworkConfig) -> None:
        self._n_instances = n_instances
        members = {
            InstanceId(f"i{n}"): DATA_CENTRES[n % _n_data_centres(n_instances)]
            for n in range(n_instances)
        }
        first = _applied(EMPTY_PLAN, _lines(1, 3))
        network = PlanNetwork(members, seed, config)
        network.write(first)
        network.run(CHANGE_RUN_MS)
        network.n_events.clear()
        network.n_bytes.clear()
        network.run(IDLE_MS)
        idle_s = IDLE_MS / 1000
        self._idle_bytes_per_s = _wire_bytes(network) / n_instances / idle_s
        self._store_calls_per_s = network.n_events["store"] / idle_s
        network.n_events.clear()
        network.n_bytes.clear()
        began_ms = network.now_ms
        line = ServerLine(
            number=1, name=ServerId("server-0"), state=ServerState.DRAINING
        )
        second = _applied(first, [line])
        network.write(second)
        network.run(CHANGE_RUN_MS)
        idle_bytes = self._idle_bytes_per_s * CHANGE_RUN_MS / 1000
        self._change_bytes = _wire_bytes(network) / n_instances - idle_bytes
        applied_ms = [
            network.applied_ms.get(
                (name, second.revision), network.now_ms + CHANGE_RUN_MS
            )
            for name in network.syncs
        ]
        self.times_s = [(at_ms - began_ms) / 1000 for at_ms in applied_ms]
        plans = [sync.plan for sync in network.syncs.values()]
        self.n_lost = sum(plan != second for plan in plans)
        self.n_reverts = network.n_reverts

    def costs(self, name: str) -> Iterator[Figure]:
        """Yield the load on an instance and on the store."""
        yield Figure(
            f"plan_control_idle{name}", round(self._idle_bytes_per_s), "byte/s"
        )
        yield Figure(
            f"plan_control_of_a_change{name}", round(self._change_bytes), "byte"
        )
        average_bytes_per_s = (
            self._idle_bytes_per_s + self._change_bytes * N_CHANGES_PER_S
        )
        yield Figure.at_most(
            f"plan_control{name}",
            round(average_bytes_per_s),
            "byte/s",
            CONTROL_BYTES_PER_S,
        )
        yield Figure.at_most(
            f"plan_store_calls{name}",
            round(self._store_calls_per_s, 1),
            "1/s",
            STORE_CALLS_PER_S,
        )


def _burst_figures() -> Iterator[Figure]:
    """Yield the cost of many changes in a row, as made by an operator's script."""
    burst = _Burst(N_BURST_INSTANCES, N_BURST_CHANGES, BURST_PAUSE_MS)
    yield from burst.figures(f"burst_{N_BURST_INSTANCES}")
    for n_instances in (N_INSTANCES_TODAY, *FLEET_SIZES):
        storm = _Burst(n_instances, N_STORM_CHANGES, STORM_PAUSE_MS)
        yield from storm.figures(f"storm_{n_instances}")
    yield from run_in_virtual_time(_commands_at_once())


class _Burst:
    """Runs one fleet that applies single changes in quick succession."""

    def __init__(self, n_instances: int, n_changes: int, pause_ms: int) -> None:
        members = {InstanceId(f"i{n}"): DATA_CENTRES[n % 7] for n in range(n_instances)}
        network = PlanNetwork(members, 1, USUAL_NETWORK)
        plan = _applied(EMPTY_PLAN, _lines(1, n_changes))
        network.write(plan)
        network.run(CHANGE_RUN_MS)
        network.n_events.clear()
        network.n_bytes.clear()
        written_ms: dict[Revision, int] = {}
        began_ms = network.now_ms
        for n in range(n_changes):
            name = ServerId(f"server-{n}")
            line = ServerLine(number=1, name=name, state=ServerState.DRAINING)
            plan = _applied(plan, [line])
            written_ms[plan.revision] = network.now_ms
            network.write(plan)
            network.run(pause_ms)
        burst_s = (network.now_ms - began_ms) / 1000
        self._bytes_per_s = _wire_bytes(network) / n_instances / burst_s
        self._calls_per_s = network.n_events["store"] / burst_s
        network.run(CHANGE_RUN_MS)
        self._longest_delay_ms = _longest_delay_ms(network, written_ms)
        self._n_lost = sum(sync.plan != plan for sync in network.syncs.values())

    def figures(self, name: str) -> Iterator[Figure]:
        """Yield the longest delay of a change, and the load on instances and store."""
        yield Figure.at_most(
            f"plan_in_force_max_{name}",
            self._longest_delay_ms / 1000,
            "s",
            IN_FORCE_MAX_S,
        )
        yield Figure.at_most(
            f"plan_control_{name}",
            round(self._bytes_per_s),
            "byte/s",
            CONTROL_BYTES_PER_S,
        )
        yield Figure.at_most(
            f"plan_store_calls_{name}",
            round(self._calls_per_s),
            "1/s",
            STORE_CALLS_PER_S,
        )
        yield Figure.at_most(f"plan_changes_lost_{name}", self._n_lost, "1", 0)


def _longest_delay_ms(network: PlanNetwork, written_ms: dict[Revision, int]) -> int:
    """Return the longest time from a write until it or a later one is applied."""
    applied: dict[InstanceId, list[tuple[Revision, int]]] = {
        name: [] for name in network.syncs
    }
    for (name, revision), at_ms in network.applied_ms.items():
        applied[name].append((revision, at_ms))
    longest_ms = 0
    for steps in applied.values():
        steps.sort()
        for revision, at_ms in written_ms.items():
            first = bisect.bisect_left(steps, (revision, 0))
            is_applied = first < len(steps)
            first_ms = steps[first][1] if is_applied else network.now_ms + CHANGE_RUN_MS
            longest_ms = max(longest_ms, first_ms - at_ms)
    return longest_ms


async def _commands_at_once() -> list[Figure]:
    """Return the store load of separate commands that all begin within a second."""
    store = SlowStore()
    await _commit(
        PlanRepository(store), _lines(N_STORM_CHANGES, N_STORM_CHANGES), "first"
    )
    store.calls.clear()
    loop = asyncio.get_running_loop()
    began_s = loop.time()

    async def drain(number: int) -> float:
        await asyncio.sleep(number * STORM_PAUSE_MS / 1000)
        start_s = loop.time()
        repository = PlanRepository(store, random_state=random.Random(number))
        name = ServerId(f"server-{number}")
        line = ServerLine(number=1, name=name, state=ServerState.DRAINING)
        await repository.read()
        await _commit(repository, [line], f"drain-{number}")
        return loop.time() - start_s

    waits_s = await asyncio.gather(
        *(drain(number) for number in range(N_STORM_CHANGES))
    )
    seconds = Counter(
        (int(at_s - began_s), "reads" if call == "get" else "writes")
        for at_s, call in store.calls
    )
    return [
        Figure("plan_commands_at_once_wait_max", max(waits_s), "s"),
        *(
            Figure(f"plan_commands_at_once_{kind}", _peak(seconds, kind), "1/s")
            for kind in ("reads", "writes")
        ),
    ]


def _peak(seconds: Counter[tuple[int, str]], kind: str) -> int:
    return max(count for (_, known), count in seconds.items() if known == kind)


def _plan_size_figures() -> Iterator[Figure]:
    """Yield the sizes of a plan of 10,000 services and 28,000 servers."""
    gc.collect()
    tracemalloc.start()
    # Decoding allocates only the objects that an instance holds.
    packed, root = _packed_target()
    before_bytes = tracemalloc.get_traced_memory()[0]
    plan = FullPlan(root, packed).plan()
    gc.collect()
    plan_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    plan.servers_by_service  # noqa: B018
    indexed_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    yield Figure("plan_memory_target", plan_bytes, "byte")
    yield Figure.at_most(
        "plan_memory_indexed_target", indexed_bytes, "byte", PLAN_MEMORY_BYTES
    )
    largest = max(len(text) for text in packed)
    yield Figure.at_most("plan_shard_max_target", largest, "byte", STORE_VALUE_BYTES)
    whole = len(msgspec.json.encode(FullPlan(root, packed)))
    yield Figure("plan_whole_on_wire_target", whole, "byte")
    line = ServerLine(number=1, name=ServerId("server-9"), state=ServerState.DRAINING)
    changed = _applied(plan, [line])
    delta = delta_since(changed, plan.revision)
    assert delta is not None
    assert merge(plan, delta) == changed
    yield Figure("plan_delta_on_wire_target", len(msgspec.json.encode(delta)), "byte")
    yield _processor_share(plan, delta)
    yield _reader_bytes(plan)
    yield asyncio.run(_store_writes())


def _processor_share(plan: Plan, delta: PlanDelta) -> Figure:
    """Return the share of a local core that applying 4,000 changes a day needs."""
    began_s = time.process_time()
    for _ in range(N_MERGES):
        merge(plan, delta).servers_by_service  # noqa: B018
    spent_s = (time.process_time() - began_s) / N_MERGES
    return Figure("plan_processor_share_target", spent_s * N_CHANGES_PER_S, "1")


def _reader_bytes(plan: Plan) -> Figure:
    """Return the traffic of one of the store's readers that polls the root."""
    ref = layout.ShardRef(10_000, 10_000_000, 2**32 - 1, Revision(1_000_000))
    refs = {index: ref for index in range(layout.N_SHARDS)}
    garbage = [layout.Garbage(layout.shard_key(1, 10_000), ref.version)]
    write = Write(
        revision=Revision(1_000_000),
        write_id=WriteId("f" * 32),
        operator="planner",
        at_ms=1_700_000_000_000,
        sheet_digest="a" * 64,
        n_changed=1,
    )
    history = (write,) * layout.HISTORY_LENGTH
    full = msgspec.structs.replace(plan, history=history)
    root = layout.encode_root(layout.make_root(full, refs, garbage))
    n_bytes = len(root) + CALL_OVERHEAD_BYTES
    per_s = n_bytes / (SyncConfig().poll_interval_ms / 1000 * MEAN_JITTER)
    name = "plan_reader_poll_target"
    return Figure.at_most(name, round(per_s), "byte/s", CONTROL_BYTES_PER_S)


async def _store_writes() -> Figure:
    """Return the store writes per second that 4,000 single changes a day cause."""
    store = MemoryStore()
    repository = PlanRepository(store)
    states = (ServerState.DRAINING, ServerState.LEFT)
    servers = [ServerId(f"server-{n}") for n in range(N_WRITES)]
    await _commit(repository, _lines(100, N_WRITES), "first")
    store.n_calls.clear()
    for state in states:
        for name in servers:
            line = ServerLine(number=1, name=name, state=state)
            await _commit(repository, [line], f"{name}/{state.value}")
    n_calls = store.n_calls["put"] + store.n_calls["delete"]
    per_change = n_calls / (len(states) * len(servers))
    return Figure.at_most(
        "plan_store_writes_target",
        round(per_change * N_CHANGES_PER_S, 4),
        "1/s",
        STORE_WRITES_PER_S,
    )


async def _commit(
    repository: PlanRepository, lines: list[SheetLine], write_id: str
) -> None:
    def decide(plan: Plan) -> Change:
        return apply_lines(plan, lines, plan.revision, 0)

    write = Write(revision=Revision(0), write_id=WriteId(write_id))
    committed = await repository.commit(decide, write)
    assert committed.change.n_changed == len(lines)


def _removal_figures() -> Iterator[Figure]:
    """Yield the cost of removing a tenth of the services, and what the plan keeps."""
    full = _applied(EMPTY_PLAN, _lines(10_000, 28_000))
    removed_names = {ServiceId(f"address-{n}") for n in range(N_REMOVED)}
    lines: list[SheetLine] = [
        ServerLine(number=1, name=name, state=ServerState.LEFT)
        for name, server in full.servers.items()
        if server.service in removed_names
    ]
    lines += [
        ServiceLine(number=1, name=name, is_removed=True) for name in removed_names
    ]
    began_s = time.perf_counter()
    removed = _applied(full, lines)
    spent_s = time.perf_counter() - began_s
    delta = delta_since(removed, full.revision)
    assert delta is not None
    assert merge(full, delta) == removed
    yield Figure.at_most("plan_removal_time_target", spent_s, "s", IN_FORCE_MAX_S)
    n_bytes = len(msgspec.json.encode(delta))
    yield Figure("plan_removal_delta_target", n_bytes, "byte")
    forgotten = drop_tombstones(removed, removed.revision)
    n_kept = sum(
        server.service in removed_names for server in forgotten.servers.values()
    )
    n_kept += len(forgotten.removed_services) + len(
        removed_names & forgotten.services.keys()
    )
    yield Figure.at_most("plan_removed_parts_kept_target", n_kept, "1", 0)
    for name, plan in (("full", full), ("removed", removed), ("forgotten", forgotten)):
        packed = [layout.pack(shard) for shard in layout.split(plan).values()]
        n_bytes = sum(len(text) for text in packed)
        yield Figure(f"plan_in_store_{name}_target", n_bytes, "byte")


def _sheet_figures() -> Iterator[Figure]:
    """Yield the time to check the target's sheet, and the truncations not detected."""
    payload = _sheet_text(10_000, 28_000)
    sheet = parse_sheet(payload)
    plan = apply_lines(EMPTY_PLAN, sheet.lines, Revision(0), 0).plan
    n_plain_bytes = len(layout.encode_root(layout.make_root(plan, {}, ())))
    plan = msgspec.structs.replace(plan, sheet=sheet_record_of(sheet, plan.revision))
    n_recorded_bytes = len(layout.encode_root(layout.make_root(plan, {}, ())))
    yield Figure("sheet_record_in_root", n_recorded_bytes - n_plain_bytes, "byte")
    began_s = time.perf_counter()
    check_complete(plan, parse_sheet(payload))
    n_unlisted = len(unlisted_servers(plan, sheet))
    spent_s = time.perf_counter() - began_s
    assert n_unlisted == 0
    yield Figure.at_most("sheet_check_time_target", spent_s, "s", IN_FORCE_MAX_S)
    small = _sheet_text(N_TRUNCATED_LINES, N_TRUNCATED_LINES)
    rows = small.splitlines(keepends=True)
    plan = msgspec.structs.replace(
        plan, sheet=sheet_record_of(parse_sheet(small), plan.revision)
    )
    n_undetected = sum(
        not _is_detected(plan, b"".join(rows[:n_rows])) for n_rows in range(len(rows))
    )
    yield Figure.at_most("sheet_cuts_unnoticed", n_undetected, "1", 0)


def _is_detected(plan: Plan, payload: bytes) -> bool:
    try:
        check_complete(plan, parse_sheet(payload))
    except (InputError, IncompleteSheetError):
        return True
    return False


def _sheet_text(n_services: int, n_servers: int) -> bytes:
    """Return the sheet of a plan, including its end line."""
    rows = [f"data_centre,{name},,,,,in" for name in DATA_CENTRES]
    rows += [f"service,address-{n},,tenant-{n % 900},,," for n in range(n_services)]
    rows += [
        f"server,server-{n},address-{n % n_services},,{DATA_CENTRES[n % 7]},"
        f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000,active"
        for n in range(n_servers)
    ]
    head = "kind,name,service,tenant,data_centre,address,state"
    return "\n".join((head, *rows, f"end,{len(rows)},,,,,", "")).encode()


def _packed_target() -> tuple[tuple[str, ...], layout.Root]:
    plan = _applied(EMPTY_PLAN, _lines(10_000, 28_000))
    texts = tuple(layout.pack(shard) for shard in layout.split(plan).values())
    return texts, layout.make_root(plan, {}, ())


def _n_data_centres(n_instances: int) -> int:
    return 4 if n_instances == N_INSTANCES_TODAY else len(DATA_CENTRES)


def _wire_bytes(network: PlanNetwork) -> int:
    payload = network.n_bytes["message"] + network.n_bytes["fetch"]
    overhead = network.n_events["message"] * MESSAGE_OVERHEAD_BYTES
    return payload + overhead + network.n_events["fetch"] * CALL_OVERHEAD_BYTES


def _applied(plan: Plan, lines: list[SheetLine]) -> Plan:
    change = apply_lines(plan, lines, Revision(plan.revision), 0)
    assert change.n_changed == len(lines)
    return change.plan


def _lines(n_services: int, n_servers: int) -> list[SheetLine]:
    lines: list[SheetLine] = [
        DataCentreLine(number=1, name=name, state=DataCentreState.IN)
        for name in DATA_CENTRES
    ]
    services = [ServiceId(f"address-{n}") for n in range(n_services)]
    lines += [
        ServiceLine(number=1, name=name, tenant=TenantId(f"tenant-{n % 900}"))
        for n, name in enumerate(services)
    ]
    lines += [
        ServerLine(
            number=1,
            name=ServerId(f"server-{n}"),
            service=services[n % n_services],
            data_centre=DATA_CENTRES[n % len(DATA_CENTRES)],
            address=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000",
            state=ServerState.ACTIVE,
        )
        for n in range(n_servers)
    ]
    return lines
