import asyncio

import pytest

from sapphirerail_core.plan import EMPTY_PLAN, layout
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.reader import PlanReader
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import COLUMNS
from sapphirerail_standins.memory_store import MemoryStore

SERVICES = [f"service,s{n},adwinsa,,,,,,," for n in range(40)]
SERVERS = [f"server,b{n},,s{n},Osu,10.0.0.{n}:1,active,,," for n in range(40)]


async def _commit(store, *rows):
    text = "\n".join((",".join(COLUMNS), *rows, ""))
    lines = parse_sheet(text.encode()).lines
    write = Write(revision=0, write_id=text)
    committed = await PlanRepository(store).commit(
        lambda plan: apply_lines(plan, lines, plan.revision, 0), write
    )
    assert committed.change.n_changed == len(rows)
    return committed.change.plan


def test_only_changed_shards_are_read():
    async def scenario():
        store = MemoryStore()
        known = await _commit(store, "data_centre,Osu,,,,,in,,,", *SERVICES, *SERVERS)
        newest = await _commit(store, "server,b7,,,,,draining,,,")
        store.n_calls.clear()
        assert (await PlanReader(store).read_newer(known)).plan == newest
        assert store.n_calls["get"] == 2

    asyncio.run(scenario())


def test_known_revision_reads_only_the_root():
    async def scenario():
        store = MemoryStore()
        known = await _commit(store, *SERVICES)
        store.n_calls.clear()
        assert (await PlanReader(store).read_newer(known)).plan is known
        assert store.n_calls["get"] == 1

    asyncio.run(scenario())


def test_store_with_a_lower_revision_returns_that_revision():
    async def scenario():
        store = MemoryStore()
        await _commit(store, *SERVICES)
        old = dict(store.values)
        known = await _commit(store, "data_centre,Osu,,,,,in,,,")
        store.values = old
        assert (await PlanReader(store).read_newer(known)).plan.revision == 1

    asyncio.run(scenario())


def test_fork_of_the_known_plan_is_read_completely():
    async def scenario():
        store = MemoryStore()
        await _commit(store, *SERVICES)
        old = dict(store.values)
        known = await _commit(store, "service,mine,c,,,,,,,")
        store.values = old
        await _commit(store, "service,other,c,,,,,,,")
        newest = await _commit(store, "data_centre,Osu,,,,,in,,,")
        found = await PlanReader(store).read_newer(known)
        assert found.plan == newest
        assert "mine" not in found.plan.services

    asyncio.run(scenario())


def test_read_retries_after_a_shard_was_garbage_collected():
    async def scenario():
        store = MemoryStore()
        await _commit(store, "data_centre,Osu,,,,,in,,,", *SERVICES, *SERVERS)
        real = store.get
        states = iter(["draining", "left"])

        async def slow(key):
            if key != layout.ROOT_KEY:
                for state in states:
                    await _commit(
                        store, *(f"server,b{n},,,,,{state},,," for n in range(40))
                    )
            return await real(key)

        store.get = slow
        assert (await PlanReader(store).read()).plan.revision == 3

    asyncio.run(scenario())


@pytest.mark.parametrize("n_revisions", [1, 5])
def test_incremental_read_updates_the_server_index(n_revisions):
    async def scenario():
        store = MemoryStore()
        known = await _commit(store, "data_centre,Osu,,,,,in,,,", *SERVICES, *SERVERS)
        assert len(known.servers_by_service["s1"]) == 1
        for n in range(n_revisions):
            await _commit(store, f"server,n{n},,s1,Osu,10.0.1.{n}:1,active,,,")
            await _commit(store, f"server,b{n},,,,,left,,,")
        await _commit(store, "service,fresh,c,,,,,,,")
        merged = (await PlanReader(store).read_newer(known)).plan
        assert "servers_by_service" in merged.__dict__
        complete = (await PlanReader(store).read_newer(EMPTY_PLAN)).plan
        assert merged.servers_by_service == complete.servers_by_service

    asyncio.run(scenario())
