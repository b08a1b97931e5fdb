"""Sheets while the store is down, is slow or loses answers, and two at once."""

import asyncio

from sapphirerail_standins.history import Answered, RevisionSeen
from sapphirerail_standins.platform import Faults
from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.sheets import data_centre_row, server_row
from sapphirerail_standins.topology import ServerSpec, small_system
from sapphirerail_standins.waiting import wait_until

SPEC = small_system(n_bookings=4, data_centres=("osu", "madina"), seed=41)
NODE_FLAGS = ("--stop-linger-ms", "300")


def _rows(system, names, state):
    return [server_row(system.servers.running[name], state) for name in names]


def test_lost_answer_of_a_write_is_recognised():
    async def scenario(system, workload):
        before = max((await system.instances.revisions()).values())
        await system.set_platform_faults(Faults(lose_answers=2))
        rows = _rows(system, ["bookings-1"], "draining")
        result = await system.operators.apply(rows)
        assert result.is_accepted, result
        assert result.revision == before + 1
        await system.wait_in_force(result.revision)
        again = await system.operators.apply(rows)
        assert (again.is_accepted, again.revision) == (True, result.revision)

    run_scenario(SPEC, scenario)


def test_store_outage_changes_nothing_and_serving_goes_on():
    async def scenario(system, workload):
        feeds = workload.open_feeds(10)
        await wait_for_feed_progress(feeds)
        before = max((await system.instances.revisions()).values())
        await system.set_platform_faults(Faults(down=True))
        rows = _rows(system, ["bookings-1"], "draining")
        result = await system.operators.apply(rows)
        assert not result.is_accepted
        workload.send_transactions(5)
        await wait_until("transactions have an outcome", workload.has_all_outcomes)
        new_instance = await system.instances.add("osu")
        await system.wait_in_force(before, [new_instance.name])
        await wait_for_feed_progress(feeds)
        await system.set_platform_faults(Faults())
        result = await system.operators.apply(rows)
        assert result.is_accepted, result
        await system.wait_in_force(result.revision)
        await wait_for_feed_progress(feeds)
        assert not any(feed.is_done for feed in feeds)

    run_scenario(SPEC, scenario)


def test_slow_store_delays_a_sheet_but_loses_nothing():
    async def scenario(system, workload):
        await system.set_platform_faults(Faults(delay_ms=300))
        rows = _rows(system, ["bookings-1"], "draining")
        result = await system.operators.apply(rows)
        assert result.is_accepted, result
        await system.wait_in_force(result.revision)

    run_scenario(SPEC, scenario)


def test_two_racing_sheets_end_in_one_order():
    async def scenario(system, workload):
        names = [f"bookings-{number}" for number in (1, 2, 3)]
        one, two = await asyncio.gather(
            system.operators.apply(_rows(system, names[:2], "draining"), operator="a"),
            system.operators.apply(_rows(system, names[1:], "draining"), operator="b"),
        )
        assert one.revision != two.revision
        last = max(one.revision, two.revision)
        await system.wait_in_force(last)
        for sheet in (one, two):
            for line in sheet.report["lines"]:
                assert line["outcome"] in ("changed", "unchanged", "refused")
        refused = {
            line["name"]
            for sheet in (one, two)
            for line in sheet.report["lines"]
            if line["outcome"] == "refused"
        }
        assert refused <= {"bookings-2"}
        rows = _rows(system, names, "draining")
        again = await system.operators.apply(rows)
        assert (again.is_accepted, again.revision) == (True, last)

    run_scenario(SPEC, scenario)


def test_all_instances_replaced_one_by_one_while_the_store_is_down():
    async def scenario(system, workload):
        feeds = workload.open_feeds(10)
        await wait_for_feed_progress(feeds)
        before = max((await system.instances.revisions()).values())
        await system.set_platform_faults(Faults(down=True))
        async with workload:
            for name, instance in list(system.instances.running.items()):
                new_instance = await system.instances.add(instance.data_centre)
                await system.wait_in_force(before, [new_instance.name])
                await system.wait_leases_held()
                assert await system.instances.stop(name) == 0
                await wait_for_feed_progress(feeds)
        assert not any(feed.is_done for feed in feeds)
        await system.wait_in_force(before)

    spec = small_system(
        n_bookings=2,
        n_sketches=1,
        data_centres=("osu", "madina"),
        seed=42,
        node_flags=NODE_FLAGS,
    )
    events = run_scenario(spec, scenario)
    assert any(isinstance(event, Answered) for event in events)


def test_entering_server_gets_work_and_cold_start_is_kept():
    async def scenario(system, workload):
        server = await system.servers.add(
            ServerSpec("bookings-9", "bookings", "osu", settings={"starts_cold": True})
        )
        result = await system.operators.apply([server_row(server, "entering")])
        assert result.is_accepted, result
        await system.wait_in_force(result.revision)

        async def has_work():
            return any(e.is_new_work for e in (await server.record()).events[:2000])

        async with workload:
            await wait_until("the new server has work", has_work, 30_000)

    run_scenario(SPEC, scenario)


def test_data_centre_taken_out_and_back():
    async def scenario(system, workload):
        feeds = workload.open_feeds(10)
        await wait_for_feed_progress(feeds)
        result = await system.operators.apply([data_centre_row("osu", "out")])
        assert result.is_accepted, result
        await system.wait_in_force(result.revision)
        evacuated = [
            system.servers.running[name] for name in ("bookings-1", "bookings-3")
        ]
        assert {server.spec.data_centre for server in evacuated} == {"osu"}

        async def n_packets():
            return [len((await server.record()).events) for server in evacuated]

        async with workload:
            before = await n_packets()
            await wait_until(
                "100 transactions are sent", lambda: len(workload.transactions) > 100
            )
            assert await n_packets() == before
            result = await system.operators.apply([data_centre_row("osu", "in")])
            await system.wait_in_force(result.revision)

            async def all_have_work():
                return all(
                    n > was for n, was in zip(await n_packets(), before, strict=True)
                )

            await wait_until("work returns", all_have_work)

    events = run_scenario(SPEC, scenario)
    assert any(isinstance(event, RevisionSeen) for event in events)


def test_race_while_the_store_is_slow_and_loses_answers_writes_each_line_once():
    async def scenario(system, workload):
        before = max((await system.instances.revisions()).values())
        names = [f"bookings-{number}" for number in (1, 2, 3)]
        await system.set_platform_faults(Faults(delay_ms=200, lose_answers=2))
        one, two = await asyncio.gather(
            system.operators.apply(_rows(system, names[:2], "draining"), operator="a"),
            system.operators.apply(_rows(system, names[1:], "draining"), operator="b"),
        )
        for sheet in (one, two):
            assert sheet.is_accepted, sheet
            outcomes = {line["outcome"] for line in sheet.report["lines"]}
            assert outcomes <= {"changed", "unchanged", "refused"}
        last = max(one.revision, two.revision)
        assert last == before + 2
        await system.set_platform_faults(Faults())
        await system.wait_in_force(last)
        again = await system.operators.apply(_rows(system, names, "draining"))
        assert (again.is_accepted, again.revision) == (True, last)

    run_scenario(SPEC, scenario)
