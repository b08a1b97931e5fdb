"""The fleet keeps serving at twice its capacity, also after a stop and a crash."""

from sapphirerail_standins.history import Answered
from sapphirerail_standins.scenario import run_scenario
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until
from sapphirerail_standins.workload import Workload

DATA_CENTRES = ("osu", "madina", "tema", "kaneshie")
SERVICE_MS = 200.0
# Twice the capacity: seven servers with two slots run 70 requests a second.
TRANSACTION_INTERVAL_MS = 7.0
N_ANSWERS = 100
SPEC = small_system(
    n_bookings=7,
    n_sketches=0,
    data_centres=DATA_CENTRES,
    n_instances=3,
    settings={"service_ms": SERVICE_MS},
    seed=51,
)


def _n_answered(workload):
    return sum(
        isinstance(event, Answered) for callers in workload for event in callers.events
    )


async def _wait_for_answers(callers):
    n_before = _n_answered(callers)
    await wait_until(
        f"{N_ANSWERS} more answers",
        lambda: _n_answered(callers) >= n_before + N_ANSWERS,
        30_000,
    )


def test_fleet_recovers_from_a_stop_and_a_crash_at_twice_its_capacity():
    async def scenario(system, workload):
        callers = list(system.callers.values())
        overload = Workload(callers, TRANSACTION_INTERVAL_MS)
        workload.transactions = overload.transactions
        async with overload:
            await _wait_for_answers(callers)
            names = list(system.instances.running)
            await system.instances.stop(names[0])
            await _wait_for_answers(callers)
            await system.instances.kill(names[1])
            await _wait_for_answers(callers)

    run_scenario(SPEC, scenario)
