"""Cost slopes of plan distribution, the store and the operators' command."""

import asyncio
import time
from collections.abc import Iterator

from sapphirerail_core.fleet.listing import ListedInstance
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import format_address, parse_address

from . import plan
from .result import Figure
from .slope import Growth, Slope

__all__ = ["plan_figures", "single_figures", "slopes"]

N_TARGET_INSTANCES = 3900
IN_FORCE_MS_MAX = 4000
CONTROL_BYTES_PER_S_MAX = 28_000
STORE_CALLS_PER_S_MAX = 2000
STATUS_FLEET_SIZES = (50, 100, 200, 400)
N_CONCURRENT_CALLS = 64
PLAN_FLEET_SIZES = (100, 400, 1000)
TARGET_FIGURES = (
    "plan_memory_target",
    "plan_memory_indexed_target",
    "plan_shard_max_target",
    "plan_whole_on_wire_target",
    "plan_delta_on_wire_target",
    "plan_processor_share_target",
    "plan_reader_poll_target",
    "plan_store_writes_target",
)


def single_figures(figures: list[Figure]) -> list[Figure]:
    """Return the figures that were measured at the target size."""
    return [figure for figure in figures if figure.name in TARGET_FIGURES]


def slopes(figures: list[Figure]) -> Iterator[Slope]:
    """Yield the slopes of the control functions, from the figures of `bench.plan`."""
    value_by_name = {figure.name: figure.value for figure in figures}
    rows = (
        ("plan_in_force_max", "s", 4.0, "plan holder", "digests, then deltas"),
        (
            "plan_control_idle",
            "B/s",
            CONTROL_BYTES_PER_S_MAX,
            "plan holder",
            "digests to a bounded number of peers",
        ),
        (
            "plan_control_of_a_change",
            "B",
            None,
            "plan holder",
            "one delta per instance instead of the whole plan",
        ),
        (
            "plan_store_calls",
            "1/s",
            STORE_CALLS_PER_S_MAX,
            "store reader",
            "a few readers per data centre, independent of the number of instances",
        ),
    )
    for stem, unit, limit, role, mechanism in rows:
        yield Slope(
            name=stem,
            role=role,
            unit=unit,
            sizes=PLAN_FLEET_SIZES,
            values=[value_by_name[f"{stem}_{size}"] for size in PLAN_FLEET_SIZES],
            size_of="instances",
            target_size=N_TARGET_INSTANCES,
            limit=limit,
            growth=Growth.LOGARITHMIC,
            mechanism=mechanism,
        )
    yield _operator_status()


def _operator_status() -> Slope:
    return Slope(
        name="operator_status_time",
        role="operators' command",
        unit="ms",
        sizes=STATUS_FLEET_SIZES,
        values=[asyncio.run(_query_all_ms(size)) for size in STATUS_FLEET_SIZES],
        size_of="instances queried",
        target_size=N_TARGET_INSTANCES,
        limit=IN_FORCE_MS_MAX,
        mechanism="queries each listed instance, 64 at a time; the figure includes "
        "client and server of each call, in one process",
    )


async def _query_all_ms(n_instances: int) -> float:
    """Return the time of the given number of the command's calls, to one server."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse({"revision": 1, "contact_age_ms": 1})

    signer = Signer("capacity")
    server = HttpServer(answer, signer)
    address = await server.start(("127.0.0.1", 0))
    entry = ListedInstance(
        InstanceId("osu-1"), DataCentreId("osu"), "", format_address(address)
    )
    call_limit = asyncio.Semaphore(N_CONCURRENT_CALLS)

    async def query() -> None:
        client = HttpClient(parse_address(entry.api_address), signer)
        async with call_limit:
            await client.call("GET", "/plan?since=9")

    start_ns = time.perf_counter_ns()
    await asyncio.gather(*(query() for _ in range(n_instances)))
    spent_ms = (time.perf_counter_ns() - start_ns) / 1e6
    await server.close()
    return spent_ms


def plan_figures() -> list[Figure]:
    """Run the plan benchmark and return its figures."""
    return list(plan.figures())
