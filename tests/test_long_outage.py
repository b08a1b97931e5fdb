"""The store is down for half a minute while requests and failures go on."""

import asyncio

from sapphirerail_standins.clock import LoopClock
from sapphirerail_standins.history import Answered
from sapphirerail_standins.platform import Faults
from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.sheets import server_row
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

OUTAGE_MS = 30_000
N_FEEDS = 20
SPEC = small_system(
    n_bookings=6,
    n_sketches=0,
    data_centres=("osu", "madina"),
    n_instances=3,
    seed=91,
    node_flags=("--stop-linger-ms", "300"),
)


async def _apply_until_accepted(system, rows):
    """Apply a sheet until it is accepted, as an operator does; return all results."""
    results = []
    while not results or not results[-1].is_accepted:
        results.append(await system.operators.apply(rows))
    return results


async def _replace(system, name):
    """Replace an instance by a new one."""
    new_instance = await system.instances.add(
        system.instances.running[name].data_centre
    )
    await system.wait_leases_held()
    assert await system.instances.stop(name) == 0
    return new_instance


def test_half_a_minute_without_the_store_reverts_and_loses_nothing():
    async def scenario(system, workload):
        feeds = workload.open_feeds(N_FEEDS)
        await wait_for_feed_progress(feeds)
        before = max((await system.instances.revisions()).values())
        clock = LoopClock()
        async with workload:
            await system.set_platform_faults(Faults(down=True))
            until_ms = clock.now_ms() + OUTAGE_MS
            row = server_row(system.servers.running["bookings-1"], "draining")
            applying = asyncio.create_task(_apply_until_accepted(system, [row]))
            await _replace(system, "osu-a")
            await wait_for_feed_progress(feeds)
            await system.servers.kill("bookings-2")
            await wait_for_feed_progress(feeds)
            later = workload.open_feeds(8)
            await wait_for_feed_progress(later)
            await wait_until(
                "the outage ends", lambda: clock.now_ms() >= until_ms, 2 * OUTAGE_MS
            )
            assert set((await system.instances.revisions()).values()) == {before}
            assert not applying.done()
            await system.set_platform_faults(Faults())
            results = await applying
            assert len(results) > 1
            await system.wait_in_force(results[-1].revision)
            await wait_for_feed_progress([*feeds, *later])
            assert not any(feed.is_done for feed in later)

    events = run_scenario(SPEC, scenario)
    assert sum(isinstance(event, Answered) for event in events) > 100
