"""Orphaned shards of writers that crash, pause, or start from an old root."""

import asyncio

import pytest

from sapphirerail_core.plan import layout
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_standins.memory_store import MemoryStore

HEADER = "kind,name,service,tenant,data_centre,address,state\n"
BASIS = (
    HEADER
    + "data_centre,Osu,,,,,in\nservice,s1,,t,,,\nservice,s2,,t,,,\n"
    + "".join(f"server,b{n},s{n},,Osu,10.0.0.{n}:1,active\n" for n in (1, 2))
)
STATES = ("draining", "active")
DRAIN = HEADER + "server,b2,,,,,draining\n"
N_WRITES_PER_CYCLE = layout.N_GENERATIONS + 2


class _Crashed(BaseException):
    """Stops a writer like a crash of its process."""


class _HookedClient:
    """Store client of one writer that runs an action before one of its calls."""

    def __init__(self, store, at_call=None, action=None):
        self.store = store
        self.n_calls = 0
        self.at_call = at_call
        self.action = action

    async def _before(self):
        self.n_calls += 1
        if self.n_calls == self.at_call:
            await self.action()

    async def get(self, key):
        await self._before()
        return await self.store.get(key)

    async def compare_and_swap(self, *arguments):
        await self._before()
        return await self.store.compare_and_swap(*arguments)

    async def delete(self, *arguments):
        await self._before()
        return await self.store.delete(*arguments)


async def _no_sleep(duration_ms):
    await asyncio.sleep(0)


async def _commit(store, text, write_id):
    lines = parse_sheet(text.encode()).lines

    def make_change(plan):
        return apply_lines(plan, lines, plan.revision, 0)

    repository = PlanRepository(store, _no_sleep)
    return await repository.commit(make_change, Write(revision=0, write_id=write_id))


async def _commit_many(store, n_writes, name, server="b1"):
    for number in range(n_writes):
        text = f"{HEADER}server,{server},,,,,{STATES[number % 2]}\n"
        await _commit(store, text, f"{name}-{number}")


async def _read(store):
    """Return the plan; the read verifies it against the root's digest."""
    return (await PlanRepository(store, _no_sleep).read()).plan


def _orphans(store):
    """Return the keys that the root neither refers to nor lists as garbage."""
    root = layout.decode_root(store.values[layout.ROOT_KEY].value)
    referenced = {layout.shard_key(i, ref.generation) for i, ref in root.shards.items()}
    garbage_keys = {garbage.key for garbage in root.garbage}
    return set(store.values) - referenced - garbage_keys - {layout.ROOT_KEY}


async def _crash():
    raise _Crashed


async def _n_calls_of_a_commit():
    store = MemoryStore()
    await _commit(store, BASIS, "basis")
    await _commit_many(store, 3, "first")
    writer = _HookedClient(store)
    await _commit(writer, DRAIN, "kofi")
    return writer.n_calls


N_CALLS = asyncio.run(_n_calls_of_a_commit())


@pytest.mark.parametrize("at_call", range(1, N_CALLS + 1))
def test_shards_of_a_writer_that_crashes_at_any_call_are_collected(at_call):
    async def scenario():
        store = MemoryStore()
        await _commit(store, BASIS, "basis")
        await _commit_many(store, 3, "first")
        with pytest.raises(_Crashed):
            await _commit(_HookedClient(store, at_call, _crash), DRAIN, "kofi")
        await _commit_many(store, N_WRITES_PER_CYCLE, "ama", "b2")
        assert not _orphans(store)
        assert (await _read(store)).servers["b2"].state.value == "active"

    asyncio.run(scenario())


def _store_after_outdated_writer_crash(n_between):
    """Return a store where a writer with an old base wrote a shard and crashed."""

    async def scenario():
        store = MemoryStore()
        await _commit(store, BASIS, "basis")

        async def overtake():
            # The generation that the writer is about to use is used and replaced.
            await _commit_many(store, n_between, "ama", "b2")

        n_reads = 1 + 2
        writer = _HookedClient(store, n_reads + 1, overtake)
        put = writer.compare_and_swap

        async def put_or_crash(key, *arguments):
            if key == layout.ROOT_KEY:
                raise _Crashed
            return await put(key, *arguments)

        writer.compare_and_swap = put_or_crash
        with pytest.raises(_Crashed):
            await _commit(writer, DRAIN, "kofi")
        assert len(_orphans(store)) == 1
        return store

    return asyncio.run(scenario())


@pytest.mark.parametrize("server", ["b1", "b2"])
def test_shard_of_an_outdated_writer_that_crashes_is_collected(server, monkeypatch):
    store = _store_after_outdated_writer_crash(4)
    n_writes = N_WRITES_PER_CYCLE
    if server == "b1":
        # The shard itself is not written any more, so the orphan is found by the one
        # key that each write checks.
        monkeypatch.setattr(layout, "N_GENERATIONS", 6)
        n_writes = layout.N_GENERATIONS * layout.N_SHARDS + 2
    before = store.n_calls.copy()
    asyncio.run(_commit_many(store, n_writes, "kwame", server))
    assert not _orphans(store)
    calls = store.n_calls - before
    # A change reads the root, two shards and one key that may hold an orphan, writes
    # a shard and the root, and deletes the shard that the previous change replaced.
    assert calls["get"] <= 4 * n_writes + 1
    assert calls["put"] <= 2 * n_writes + 1
    assert calls["delete"] <= n_writes + 1


@pytest.mark.parametrize("n_between", [1, 2, 3, 15, 16, 17, 40])
@pytest.mark.parametrize("at_call", range(1, N_CALLS + 1))
def test_writer_paused_during_garbage_collection_corrupts_nothing(at_call, n_between):
    async def scenario():
        store = MemoryStore()
        await _commit(store, BASIS, "basis")
        await _commit_many(store, 3, "first")

        async def overtake():
            # The generations of the shard of b1 wrap around, and the shard of the
            # paused writer changes.
            await _commit_many(store, n_between, "ama")
            text = f"{HEADER}server,b3,s2,,Osu,10.0.0.3:1,active\n"
            await _commit(store, text, "kwame")

        committed = await _commit(
            _HookedClient(store, at_call, overtake), DRAIN, "kofi"
        )
        plan = await _read(store)
        assert plan == committed.change.plan
        assert plan.servers["b3"].state.value == "active"
        assert plan.servers["b2"].state.value == "draining"
        numbers = [write.revision for write in plan.history]
        assert numbers == list(range(numbers[0], plan.revision + 1))
        await _commit_many(store, N_WRITES_PER_CYCLE, "later")
        await _commit_many(store, N_WRITES_PER_CYCLE, "later-still", "b2")
        assert not _orphans(store)

    asyncio.run(scenario())


def test_reader_with_an_old_root_does_not_use_a_reused_key():
    async def scenario():
        store = MemoryStore()
        await _commit(store, BASIS, "basis")
        n_root = 1

        async def overtake():
            await _commit_many(store, layout.N_GENERATIONS, "ama")

        reader = _HookedClient(store, n_root + 1, overtake)
        read = await _read(reader)
        assert read == await _read(store)
        assert read.revision == 1 + layout.N_GENERATIONS

    asyncio.run(scenario())


def test_orphans_of_many_crashed_writers_do_not_block_a_shard():
    async def scenario():
        store = MemoryStore()
        await _commit(store, BASIS, "basis")
        root_put = 1 + 2 + 1 + 1
        for number in range(layout.N_GENERATIONS - 2):
            # Each writer finds the shards of the previous ones: two more calls each.
            writer = _HookedClient(store, root_put + 1 + 2 * number, _crash)
            with pytest.raises(_Crashed):
                await _commit(writer, DRAIN, f"kofi-{number}")
        assert len(_orphans(store)) == layout.N_GENERATIONS - 2
        await _commit_many(store, 2, "ama", "b2")
        assert not _orphans(store)

    asyncio.run(scenario())
