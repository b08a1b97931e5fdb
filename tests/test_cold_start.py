"""A backend server turns cold again while instances join and stop."""

import asyncio

from sapphirerail_standins.history import Answered, ColdOverload
from sapphirerail_standins.scenario import run_scenario
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

SETTINGS = {"service_ms": 100.0, "warm_up_ms": 4000, "silent_ms": 1000}
SPEC = small_system(
    n_bookings=4,
    n_sketches=0,
    data_centres=("osu", "madina"),
    n_instances=3,
    seed=101,
    node_flags=("--stop-linger-ms", "300"),
    settings=SETTINGS,
)


async def _admission_owner(system, server):
    for name in system.instances.running:
        status = await system.instances.call(name, "/status")
        if server in [s["server"] for s in status["requests"]["servers"]]:
            return name
    raise AssertionError(f"no instance is the admission owner of {server}")


def test_server_cold_again_while_an_instance_joins_and_its_owner_stops():
    async def scenario(system, workload):
        async with workload:
            await wait_until("load", lambda: len(workload.transactions) > 20)
            owner = await _admission_owner(system, "bookings-1")
            server = system.servers.running["bookings-1"]
            _, _, exit_code = await asyncio.gather(
                server.turn_cold(),
                system.instances.add("osu"),
                system.instances.stop(owner),
            )
            assert exit_code == 0
            n_transactions = len(workload.transactions)
            await wait_until(
                "more load", lambda: len(workload.transactions) > n_transactions + 100
            )

    events = run_scenario(SPEC, scenario)
    assert sum(isinstance(event, ColdOverload) for event in events) <= 1
    assert sum(isinstance(event, Answered) for event in events) > 60
