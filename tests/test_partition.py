"""A data centre is partitioned from the others and from the platform."""

from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.sheets import data_centre_row, server_row
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

SPEC = small_system(
    n_bookings=6, data_centres=("osu", "madina", "tema"), seed=51, has_links=True
)


async def _n_answered_from(system, data_centre, n_transactions):
    """Send transactions in one data centre; return how many were answered."""
    callers = system.callers[data_centre]
    transactions = [callers.transaction("bookings") for _ in range(n_transactions)]
    await wait_until(
        f"transactions of {data_centre}",
        lambda: all(transaction.is_done for transaction in transactions),
    )
    return sum(transaction.is_answered for transaction in transactions)


def _instances_outside_osu(system):
    return [
        name
        for name, instance in system.instances.running.items()
        if instance.data_centre != "osu"
    ]


def test_cut_off_data_centre_serves_and_takes_the_newest_plan_afterwards():
    async def scenario(system, workload):
        await system.partition("osu")

        async def serves():
            answered = [
                await _n_answered_from(system, data_centre, 4)
                for data_centre in ("osu", "madina")
            ]
            return answered == [4, 4]

        await wait_until("both sides serve", serves, 40_000)
        row = server_row(system.servers.running["bookings-2"], "draining")
        result = await system.operators.apply([row])
        assert result.is_accepted, result
        await system.wait_in_force(result.revision, _instances_outside_osu(system))
        await system.heal("osu")
        await system.wait_in_force(result.revision)
        assert await _n_answered_from(system, "osu", 4) == 4

    run_scenario(SPEC, scenario)


def test_taken_out_while_it_is_cut_off():
    async def scenario(system, workload):
        feeds = workload.open_feeds(12)
        await wait_for_feed_progress(feeds)
        await system.partition("osu")
        result = await system.operators.apply([data_centre_row("osu", "out")])
        assert result.is_accepted, result
        await system.wait_in_force(result.revision, _instances_outside_osu(system))
        await system.heal("osu")
        await system.wait_in_force(result.revision)
        for server in system.servers.running.values():
            if server.spec.data_centre == "osu":
                system.servers.record_failed(server.spec.server)
        await wait_for_feed_progress(feeds)

    run_scenario(SPEC, scenario)


def test_two_data_centres_cut_off_at_once_each_serve_and_agree_afterwards():
    async def scenario(system, workload):
        for data_centre in ("osu", "madina"):
            await system.partition(data_centre)

        async def all_serve():
            answered = [
                await _n_answered_from(system, data_centre, 4)
                for data_centre in ("osu", "madina", "tema")
            ]
            return answered == [4, 4, 4]

        await wait_until("all three sides serve", all_serve, 40_000)
        row = server_row(system.servers.running["bookings-3"], "draining")
        result = await system.operators.apply([row])
        assert result.is_accepted, result
        inside = [i.name for i in system.instances.in_data_centre("tema")]
        await system.wait_in_force(result.revision, inside)
        for data_centre in ("osu", "madina"):
            await system.heal(data_centre)
        await system.wait_in_force(result.revision)
        for data_centre in ("osu", "madina", "tema"):
            assert await _n_answered_from(system, data_centre, 4) == 4

    run_scenario(SPEC, scenario)
