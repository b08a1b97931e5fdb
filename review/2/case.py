"""A machine that was cut off reads a large configuration while a zone is taken out."""

import asyncio
import random
from pathlib import Path

from deployment import (
    HOLD_PORT,
    HOST,
    SERVICE,
    configuration,
    route,
)
from packets import FlowEndedError
from proxy import StoreProxy
from system import run_case

BOUNDS = {"contactMs": 5000, "configApplyMs": 5000, "drainMs": 5000}
CONTACT_S = 5
CONFIG_APPLY_S = 5
# The slowest link of the grown deployments, 5 Mbit/s.
LINK_BYTES_PER_S = 625_000
N_MORE_ROUTES = 1_400
SETTLE_S = 6
CUT_S = 5.5
N_REQUESTS = 10
# Times after the end of the cut at which requests are sent to each machine.
CHECKS_S = (14, 30)


def grown_configuration():
    """Return a version with many routes more, and without the route for holds."""
    grown = configuration(version=9)
    grown["routes"] = [r for r in grown["routes"] if r["name"] != "hold"]
    choices = random.Random(1)
    for _ in range(N_MORE_ROUTES):
        name = f"r-{choices.getrandbits(36):09x}"
        added = route(name, choices.randrange(1_024, 65_536), "safe", SERVICE)
        added["host"] = f"198.18.{choices.randrange(1, 255)}.{choices.randrange(255)}"
        grown["routes"].append(added)
    return grown


async def count_runs(client, machine, name):
    """Send holds directly to a machine; return how many of them ran."""
    client.machine = machine
    n_run = 0
    for number in range(N_REQUESTS):
        try:
            flow = await client.open((HOST, HOLD_PORT))
            await flow.request(f"hold-{name}-{number}", 20, 2)
            n_run += 1
        except FlowEndedError:
            continue
    client.machine = None
    return n_run


async def case(system, has_trouble):
    """Run the case; return what broke."""
    loop = asyncio.get_running_loop()
    await system.start_platform(configuration())
    for number, zone in enumerate(("osu", "madina", "osu", "madina"), start=1):
        await system.add_endpoint(f"i-7f3a91{number:02x}", SERVICE, zone)
    proxy = StoreProxy(system.store.address, LINK_BYTES_PER_S)
    await proxy.start("127.0.5.1")
    late = "front-osu-2"
    await system.start_machines(2, BOUNDS, {late: proxy.address})
    await asyncio.sleep(SETTLE_S)
    client = system.add_client()

    if has_trouble:
        proxy.is_cut = True
        system.record("cut off from the store", machine=late)
    cut_until_s = loop.time() + CUT_S
    await asyncio.sleep(1)
    system.store.put("op/config", grown_configuration())
    acked_s = loop.time()
    size = len(system.store.items["op/config"]["value"])
    system.record("configuration acknowledged", version=9, dropped="hold", bytes=size)
    await asyncio.sleep(cut_until_s - loop.time())
    has_read = asyncio.Event()
    proxy.on_request = lambda line: has_read.set() if "/kv-watch" in line else None
    proxy.is_cut = False
    system.record("cut has healed", machine=late)
    if has_trouble:
        await asyncio.wait_for(has_read.wait(), CONTACT_S + 3)
        system.record("the machine reads the store", machine=late)
        await asyncio.sleep(0.05)
    system.store.put("op/evacuate/madina", {})
    system.record("evacuation acknowledged", zone="madina")

    broken = []
    for check_s in CHECKS_S:
        await asyncio.sleep(cut_until_s + check_s - loop.time())
        since_s = round(loop.time() - acked_s)
        for machine in system.machines:
            n_run = await count_runs(client, machine, f"{machine.name}-{check_s}")
            system.record("holds", machine=machine.name, run=n_run, of=N_REQUESTS)
            if n_run:
                broken.append(
                    f"CONFIG: {n_run} of {N_REQUESTS} requests that {machine.name} "
                    f"got {since_s} s after version 9 was acknowledged ran with a "
                    "route that it dropped"
                )
    proxy.close()
    return broken


run_case(case, Path(__file__).resolve().parent)
