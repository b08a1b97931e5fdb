"""A store entry with missing fields names the address of a server that is alive."""

import asyncio
from pathlib import Path

from deployment import SERVICE, broken_flows, configuration, run_traffic
from system import run_case

SETTLE_S = 6
LENGTH_S = 10
TROUBLE_AT_S = 3


async def case(system, has_trouble):
    """Run the case; return what broke."""
    await system.start_platform(configuration())
    for number, zone in enumerate(("osu", "madina", "osu", "madina"), start=1):
        await system.add_endpoint(f"i-7f3a91{number:02x}", SERVICE, zone)
    await system.start_machines(2)
    await asyncio.sleep(SETTLE_S)
    neighbour = system.endpoints[0]

    def write_entry():
        if not has_trouble:
            return
        # An entry has also version, warmupLeftMs and seqNo; an endpoint's own, born.
        entry = {
            "service": SERVICE,
            "address": neighbour.address,
            "zone": neighbour.zone,
            "slots": 2,
            "state": "ready",
        }
        system.store.put("servers/i-00c0ffee", entry)
        system.record("entry of another writer", address=neighbour.address)

    await run_traffic(system, 24, 20, LENGTH_S, TROUBLE_AT_S, write_entry)
    return broken_flows(system)


run_case(case, Path(__file__).resolve().parent)
