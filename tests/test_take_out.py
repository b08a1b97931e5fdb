"""Crashes while operators evacuate a data centre and bring it back."""

import asyncio

from sapphirerail_standins.history import Answered
from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.sheets import data_centre_row
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

SPEC = small_system(
    n_bookings=6, n_sketches=0, data_centres=("osu", "madina"), n_instances=3, seed=81
)
N_FEEDS = 24


async def _open_lasting_feeds(workload, n_feeds):
    """Open feeds that must all stay open from now on."""
    opened = workload.open_feeds(n_feeds)
    await wait_for_feed_progress(opened)
    assert [feed.timeline() for feed in opened if feed.is_done] == []
    return opened


async def _n_packets(servers):
    return [len((await server.record()).events) for server in servers]


def test_crashes_of_servers_during_the_take_out_of_a_data_centre():
    async def scenario(system, workload):
        feeds = workload.open_feeds(N_FEEDS)
        await wait_for_feed_progress(feeds)
        async with workload:
            # One server in the evacuated data centre, one that takes over its flows.
            result, *_ = await asyncio.gather(
                system.operators.apply([data_centre_row("osu", "out")]),
                system.servers.kill("bookings-1"),
                system.servers.kill("bookings-2"),
            )
            assert result.is_accepted, result
            await system.wait_in_force(result.revision)
            await wait_for_feed_progress(feeds)
            later = await _open_lasting_feeds(workload, 8)
            result = await system.operators.apply([data_centre_row("osu", "in")])
            assert result.is_accepted, result
            await system.wait_in_force(result.revision)
            later += await _open_lasting_feeds(workload, 8)
            await wait_for_feed_progress(later)
            assert [feed.timeline() for feed in later if feed.is_done] == []

    events = run_scenario(SPEC, scenario)
    assert sum(isinstance(event, Answered) for event in events) > 20


def test_crash_of_an_instance_while_its_data_centre_comes_back():
    async def scenario(system, workload):
        feeds = workload.open_feeds(N_FEEDS)
        await wait_for_feed_progress(feeds)
        result = await system.operators.apply([data_centre_row("osu", "out")])
        assert result.is_accepted, result
        await system.wait_in_force(result.revision)
        returning = [s for s in system.servers.running.values() if _is_in(s, "osu")]
        async with workload:
            before = await _n_packets(returning)
            result, _ = await asyncio.gather(
                system.operators.apply([data_centre_row("osu", "in")]),
                system.instances.kill("osu-a"),
            )
            assert result.is_accepted, result
            await system.wait_in_force(result.revision)

            async def all_have_work():
                packets = await _n_packets(returning)
                return all(n > was for n, was in zip(packets, before, strict=True))

            await wait_until("work returns", all_have_work)
            await wait_for_feed_progress(feeds)
            await _open_lasting_feeds(workload, 8)

    run_scenario(SPEC, scenario)


def _is_in(server, data_centre):
    return server.spec.data_centre == data_centre
