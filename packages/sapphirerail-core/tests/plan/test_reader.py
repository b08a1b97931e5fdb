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
        held = await _commit(store, "data_centre,Osu,,,,,in,,,", *SERVICES, *SERVERS)
        newest = await _commit(store, "server,b7,,,,,draining,,,")
        store.n_calls.clear()
        assert (await PlanReader(store).read_after(held)).plan == newest
        assert store.n_calls["get"] == 2

    asyncio.run(scenario())


def test_held_revision_needs_the_root_only():
    async def scenario():
        store = MemoryStore()
        held = await _commit(store, *SERVICES)
        store.n_calls.clear()
        assert (await PlanReader(store).read_after(held)).plan is held
        assert store.n_calls["get"] == 1

    asyncio.run(scenario())


def test_store_with_less_gives_its_revision():
    async def scenario():
        store = MemoryStore()
        await _commit(store, *SERVICES)
        old = dict(store.values)
        held = await _commit(store, "data_centre,Osu,,,,,in,,,")
        store.values = old
        assert (await PlanReader(store).read_after(held)).plan.revision == 1

    asyncio.run(scenario())


def test_fork_is_read_whole():
    async def scenario():
        store = MemoryStore()
        await _commit(store, *SERVICES)
        old = dict(store.values)
        held = await _commit(store, "service,mine,c,,,,,,,")
        store.values = old
        await _commit(store, "service,other,c,,,,,,,")
        newest = await _commit(store, "data_centre,Osu,,,,,in,,,")
        found = await PlanReader(store).read_after(held)
        assert found.plan == newest
        assert "mine" not in found.plan.services

    asyncio.run(scenario())


def test_shard_that_is_collected_while_reading_is_read_anew():
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
def test_index_of_servers_is_carried_along(n_revisions):
    async def scenario():
        store = MemoryStore()
        held = await _commit(store, "data_centre,Osu,,,,,in,,,", *SERVICES, *SERVERS)
        assert len(held.servers_by_service["s1"]) == 1
        for n in range(n_revisions):
            await _commit(store, f"server,n{n},,s1,Osu,10.0.1.{n}:1,active,,,")
            await _commit(store, f"server,b{n},,,,,left,,,")
        await _commit(store, "service,fresh,c,,,,,,,")
        merged = (await PlanReader(store).read_after(held)).plan
        assert "servers_by_service" in merged.__dict__
        whole = (await PlanReader(store).read_after(EMPTY_PLAN)).plan
        assert merged.servers_by_service == whole.servers_by_service

    asyncio.run(scenario())
