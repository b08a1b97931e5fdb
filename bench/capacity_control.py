"""Slopes of the plan, the store and the operators' command."""

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

N_NODES = 3900
IN_FORCE_MS = 4000
CONTROL_BYTES_PER_S = 28_000
STORE_CALLS_PER_S = 2000
CALL_SIZES = (50, 100, 200, 400)
N_CALLS_AT_A_TIME = 64
PLAN_SIZES = (100, 400, 1000)
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
    """Return the figures that were measured at the target's size itself."""
    return [figure for figure in figures if figure.name in TARGET_FIGURES]


def slopes(figures: list[Figure]) -> Iterator[Slope]:
    """Yield the slopes of control, from the figures of `bench.plan`."""
    found = {figure.name: figure.value for figure in figures}
    rows = (
        ("plan_in_force_max", "s", 4.0, "plan holder", "digests, then deltas"),
        (
            "plan_control_idle",
            "B/s",
            CONTROL_BYTES_PER_S,
            "plan holder",
            "digests to a bounded number of peers",
        ),
        (
            "plan_control_of_a_change",
            "B",
            None,
            "plan holder",
            "a delta once a node, not the plan",
        ),
        (
            "plan_store_calls",
            "1/s",
            STORE_CALLS_PER_S,
            "store reader",
            "a few readers a data centre, whatever the number of nodes",
        ),
    )
    for stem, unit, limit, role, mechanism in rows:
        yield Slope(
            name=stem,
            role=role,
            unit=unit,
            sizes=PLAN_SIZES,
            values=[found[f"{stem}_{size}"] for size in PLAN_SIZES],
            size_of="instances",
            target_size=N_NODES,
            limit=limit,
            growth=Growth.LOGARITHMIC,
            mechanism=mechanism,
        )
    yield _operator()


def _operator() -> Slope:
    return Slope(
        name="operator_status_time",
        role="operators' command",
        unit="ms",
        sizes=CALL_SIZES,
        values=[asyncio.run(_ask_all_ms(size)) for size in CALL_SIZES],
        size_of="instances asked",
        target_size=N_NODES,
        limit=IN_FORCE_MS,
        mechanism="asks each listed instance, 64 at a time; the figure holds both "
        "ends of each call in one process",
    )


async def _ask_all_ms(n_instances: int) -> float:
    """Return the time to ask one server so many times, as the command does."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse({"revision": 1, "contact_age_ms": 1})

    signer = Signer("capacity")
    server = HttpServer(answer, signer)
    address = await server.start(("127.0.0.1", 0))
    entry = ListedInstance(
        InstanceId("osu-1"), DataCentreId("osu"), "", format_address(address)
    )
    allowed = asyncio.Semaphore(N_CALLS_AT_A_TIME)

    async def ask() -> None:
        client = HttpClient(parse_address(entry.api_address), signer)
        async with allowed:
            await client.call("GET", "/plan?since=9")

    start_ns = time.perf_counter_ns()
    await asyncio.gather(*(ask() for _ in range(n_instances)))
    spent_ms = (time.perf_counter_ns() - start_ns) / 1e6
    await server.close()
    return spent_ms


def plan_figures() -> list[Figure]:
    """Run the plan's bench once."""
    return list(plan.figures())
