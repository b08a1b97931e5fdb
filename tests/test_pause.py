"""An instance is paused past its lease while its data centre is partitioned."""

from sapphirerail_standins.history import Answered
from sapphirerail_standins.scenario import run_scenario
from sapphirerail_standins.sheets import SheetRow
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

# 3 s, twice the lease of 1,500 ms, at one transaction every 30 ms.
N_TRANSACTIONS_IN_3_S = 100
WARM_UP_MS = 6000
SPEC = small_system(
    n_bookings=6,
    n_sketches=0,
    data_centres=("osu", "madina"),
    n_instances=3,
    seed=71,
    has_links=True,
    settings={"service_ms": 100.0, "warm_up_ms": WARM_UP_MS, "silent_ms": 1000},
    node_flags=("--server-warm-up-ms", str(WARM_UP_MS)),
)


async def _wait_for_load(workload, n_transactions):
    n_before = len(workload.transactions)
    await wait_until(
        "load", lambda: len(workload.transactions) >= n_before + n_transactions, 40_000
    )


async def _owner_in_osu(system):
    """Return the instance of osu that owns admission to most servers, and those."""
    admitted = {}
    for instance in system.instances.in_data_centre("osu"):
        status = await system.instances.call(instance.name, "/status")
        admitted[instance.name] = status["requests"]["servers"]
    name = max(admitted, key=lambda name: len(admitted[name]))
    return system.instances.running[name], [s["server"] for s in admitted[name]]


def test_pause_past_the_lease_while_cut_off_breaks_no_promise():
    async def scenario(system, workload):
        async with workload:
            await _wait_for_load(workload, 20)
            paused, admitted = await _owner_in_osu(system)
            assert admitted
            await system.partition("osu")
            paused.child.pause()
            # The paused instance still considers these servers warm when it resumes.
            for name in admitted:
                await system.servers.running[name].turn_cold()
            row = SheetRow("service", "sketches", tenant=SPEC.tenant)
            result = await system.operators.apply([row])
            assert result.is_accepted, result
            outside = [
                instance.name for instance in system.instances.in_data_centre("madina")
            ]
            await system.wait_in_force(result.revision, outside)
            await _wait_for_load(workload, N_TRANSACTIONS_IN_3_S)
            paused.child.resume()
            await _wait_for_load(workload, 30)
            await system.heal("osu")
            await system.wait_in_force(result.revision)
            await system.wait_leases_held()
            await _wait_for_load(workload, 30)

    events = run_scenario(SPEC, scenario)
    assert sum(isinstance(event, Answered) for event in events) > 80
