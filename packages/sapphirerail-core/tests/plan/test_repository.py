import asyncio
import random

import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan import layout
from sapphirerail_core.plan.digest import content_digest
from sapphirerail_core.plan.draft import Outcome, apply_lines
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.repository import PlanRepository, PlanWriteError
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import COLUMNS
from sapphirerail_core.plan.store import StoredValue, StoreUnknownError
from sapphirerail_standins.memory_store import MemoryStore, SlowStore
from sapphirerail_standins.virtual_loop import run_in_virtual_time

NOW_MS = 1_700_000_000_000
SERVICES = [f"service,s{n},adwinsa,,,,,,," for n in range(8)]


async def _no_sleep(duration_ms):
    await asyncio.sleep(0)


def _lines(*rows):
    text = "\n".join((",".join(COLUMNS), *rows, ""))
    return parse_sheet(text.encode()).lines


class _Operator:
    """Commits lines like the command line."""

    def __init__(self, store, name="ama"):
        self.repository = PlanRepository(store, _no_sleep)
        self.name = name
        self.n_writes = 0

    async def commit(self, *rows):
        base = (await self.repository.read()).plan.revision
        return await self.commit_from(base, *rows)

    async def commit_from(self, base, *rows):
        self.n_writes += 1
        lines = _lines(*rows)
        write = Write(
            revision=0, write_id=f"{self.name}-{self.n_writes}", operator=self.name
        )
        return await self.repository.commit(
            lambda plan: apply_lines(plan, lines, base, NOW_MS), write
        )


async def _plan(store):
    return (await PlanRepository(store, _no_sleep).read()).plan


def _live_keys(store):
    root = layout.decode_root(store.values[layout.ROOT_KEY].value)
    keys = {layout.shard_key(i, ref.generation) for i, ref in root.shards.items()}
    return keys | {layout.ROOT_KEY}


def _run(scenario):
    return asyncio.run(scenario)


def test_empty_store_holds_the_empty_plan():
    assert _run(_plan(MemoryStore())).revision == 0


def test_committed_plan_is_read_back():
    async def scenario():
        store = MemoryStore()
        committed = await _Operator(store).commit(
            "data_centre,Osu,,,,,in,,,",
            *SERVICES,
            "server,b1,,s1,Osu,10.0.0.1:1,active,,,",
        )
        plan = await _plan(store)
        assert plan == committed.change.plan
        assert plan.digest == content_digest(plan)
        assert [write.write_id for write in plan.history] == ["ama-1"]
        assert plan.history[0].n_changed == 10

    _run(scenario())


def test_unchanged_commit_writes_nothing():
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit(*SERVICES)
        n_puts = store.n_calls["put"]
        committed = await operator.commit(*SERVICES)
        assert committed.change.n_changed == 0
        assert store.n_calls["put"] == n_puts

    _run(scenario())


def test_small_change_writes_one_shard_and_the_root():
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        before = store.n_calls.copy()
        await operator.commit("server,b1,,s1,Osu,10.0.0.1:1,active,,,")
        assert store.n_calls["put"] - before["put"] == 2
        before = store.n_calls.copy()
        await operator.commit("data_centre,Osu,,,,,out,,,")
        assert store.n_calls["put"] - before["put"] == 1

    _run(scenario())


def test_second_read_fetches_only_changed_shards():
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        repository = PlanRepository(store, _no_sleep)
        await repository.read()
        await operator.commit("server,b1,,s1,Osu,10.0.0.1:1,active,,,")
        before = store.n_calls.copy()
        assert (await repository.read()).plan == await _plan(store)
        n_shards = len(_live_keys(store)) - 1
        # The cached read fetches the root and a shard, the other read the root and all
        # shards.
        assert store.n_calls["get"] - before["get"] == 2 + 1 + n_shards

    _run(scenario())


@pytest.mark.parametrize("is_rewritten", [False, True])
def test_read_discards_the_cached_plan_after_the_store_lost_writes(is_rewritten):
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        saved = dict(store.values)
        await operator.commit("service,t1,c,,,,,,,")
        repository = PlanRepository(store, _no_sleep)
        await repository.read()
        store.values = saved
        if is_rewritten:
            # A different change is committed at the revision that was lost.
            await _Operator(store, "kofi").commit("service,t9,c,,,,,,,")
        found = await repository.read()
        assert found.plan == await _plan(store)
        assert "t1" not in found.plan.services

    _run(scenario())


def test_fifty_concurrent_writers_all_succeed():
    async def scenario():
        store = SlowStore()
        count = 50
        servers = [
            f"server,b{n},,s{n % 8},Osu,10.0.0.{n}:1,active,,," for n in range(count)
        ]
        await _Operator(store).commit("data_centre,Osu,,,,,in,,,", *SERVICES, *servers)

        async def drain(number):
            repository = PlanRepository(store, random_state=random.Random(number))
            await asyncio.sleep(number / count)
            lines = _lines(f"server,b{number},,,,,draining,,,")
            write = Write(revision=0, write_id=f"w{number}")
            await repository.commit(
                lambda plan: apply_lines(plan, lines, plan.revision, NOW_MS), write
            )

        await asyncio.gather(*(drain(number) for number in range(count)))
        plan = await _plan(store)
        assert plan.revision == 1 + count
        assert {server.state.value for server in plan.servers.values()} == {"draining"}

    run_in_virtual_time(scenario())


def test_replaced_shards_are_garbage_collected():
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        states = ("active", "draining", "left")
        for number in range(30):
            state = states[number % 3]
            await operator.commit(f"server,b1,,s1,Osu,10.0.0.1:1,{state},,,")
        # The shard that the last write replaced is deleted by the next one.
        assert len(set(store.values) - _live_keys(store)) == 1

    _run(scenario())


def test_write_whose_response_was_lost_is_found_in_the_history():
    async def scenario(n_before):
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        n_puts = store.n_calls["put"]

        real = store.compare_and_swap

        async def lossy(*arguments):
            if store.n_calls["put"] - n_puts == n_before:
                store.n_lost_answers = 1
            return await real(*arguments)

        store.compare_and_swap = lossy
        committed = await operator.commit("server,b1,,s1,Osu,10.0.0.1:1,active,,,")
        assert committed.change.results[0].outcome is Outcome.CHANGED
        assert committed.change.results[0].revision == 2
        assert committed.others == ()
        plan = await _plan(store)
        assert plan.revision == 2
        assert [write.write_id for write in plan.history] == ["ama-1", "ama-2"]
        assert set(store.values) >= _live_keys(store)

    for n_before in range(2):
        _run(scenario(n_before))


def test_lost_write_is_retried():
    async def scenario():
        store = MemoryStore(n_lost_writes=2)
        committed = await _Operator(store).commit(*SERVICES)
        assert committed.change.plan.revision == 1
        assert await _plan(store) == committed.change.plan

    _run(scenario())


def test_commit_to_an_unavailable_store_changes_nothing():
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit(*SERVICES)
        store.down = True
        with pytest.raises(PlanWriteError) as failed:
            await operator.commit_from(1, "data_centre,Osu,,,,,in,,,")
        assert failed.value.code == "plan.not_written"
        store.down = False
        assert (await _plan(store)).revision == 1

    _run(scenario())


def test_store_that_fails_after_the_root_write_leaves_the_outcome_unknown():
    async def scenario():
        store = MemoryStore()
        operator = _Operator(store)
        await operator.commit(*SERVICES)
        real = store.compare_and_swap

        async def fail_after_root_write(key, *arguments):
            store.n_lost_answers = int(key == layout.ROOT_KEY)
            try:
                return await real(key, *arguments)
            finally:
                store.down = key == layout.ROOT_KEY

        store.compare_and_swap = fail_after_root_write
        with pytest.raises(PlanWriteError) as failed:
            await operator.commit_from(1, "data_centre,Osu,,,,,in,,,")
        assert failed.value.code == "plan.unknown_outcome"
        assert "ama-2" in failed.value.message
        store.down = False
        store.compare_and_swap = real
        again = await operator.commit("data_centre,Osu,,,,,in,,,")
        assert again.change.results[0].outcome is Outcome.UNCHANGED

    _run(scenario())


class _InterleavingStore(MemoryStore):
    """Runs a concurrent commit between the shards and the root of a write."""

    rival = None

    async def compare_and_swap(self, key, version, value, lease=None):
        if key == layout.ROOT_KEY and self.rival is not None:
            rival, self.rival = self.rival, None
            await rival()
        return await super().compare_and_swap(key, version, value, lease)


@pytest.mark.parametrize(
    ("own", "rival", "outcome", "code"),
    [
        ("data_centre,Osu,,,,,out,,,", "service,t1,c,,,,,,,", Outcome.CHANGED, ""),
        ("service,t2,c,,,,,,,", "service,t3,c,,,,,,,", Outcome.CHANGED, ""),
        ("service,t1,c,,,,,,,", "service,t1,c,,,,,,,", Outcome.UNCHANGED, ""),
        (
            "data_centre,Osu,,,,,out,,,",
            "data_centre,Osu,,,,,out,,,",
            Outcome.UNCHANGED,
            "",
        ),
        (
            "server,b1,,,,,draining,,,",
            "server,b1,,,,,left,,,",
            Outcome.REFUSED,
            "sheet.race",
        ),
    ],
)
def test_concurrent_commits_are_serialized(own, rival, outcome, code):
    async def scenario():
        store = _InterleavingStore()
        ama, kofi = _Operator(store), _Operator(store, "kofi")
        await ama.commit(
            "data_centre,Osu,,,,,in,,,",
            *SERVICES,
            "server,b1,,s1,Osu,10.0.0.1:1,active,,,",
        )
        store.rival = lambda: kofi.commit(rival)
        committed = await ama.commit(own)
        (result,) = committed.change.results
        assert (result.outcome, result.code) == (outcome, code)
        assert [write.write_id for write in committed.others] == ["kofi-1"]
        plan = await _plan(store)
        assert [w.revision for w in plan.history] == list(range(1, plan.revision + 1))
        assert plan == committed.change.plan

    _run(scenario())


def test_writer_that_loses_the_race_keeps_the_equal_shard_of_the_winner():
    async def scenario():
        store = _InterleavingStore()
        ama, kofi = _Operator(store), _Operator(store, "kofi")
        await ama.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        row = "server,b1,,s1,Osu,10.0.0.1:1,active,,,"
        store.rival = lambda: kofi.commit(row)
        committed = await ama.commit(row)
        assert committed.change.results[0].outcome is Outcome.UNCHANGED
        assert (await _plan(store)).servers["b1"].changed_at == 2
        # The loser's shards are deleted, or listed as garbage for the next write.
        await ama.commit("server,b1,,,,,draining,,,")
        await ama.commit("server,b1,,,,,left,,,")
        assert len(set(store.values) - _live_keys(store)) <= 1

    _run(scenario())


def test_shards_of_a_failed_writer_are_garbage_collected():
    async def scenario():
        store = _InterleavingStore()
        ama, kofi = _Operator(store), _Operator(store, "kofi")
        await ama.commit("data_centre,Osu,,,,,in,,,", *SERVICES)

        async def crash():
            raise KeyboardInterrupt

        store.rival = crash
        with pytest.raises(KeyboardInterrupt):
            await kofi.commit("server,b1,,s1,Osu,10.0.0.1:1,active,,,")
        assert len(set(store.values) - _live_keys(store)) == 1
        await ama.commit("server,b1,,s1,Osu,10.0.0.2:1,active,,,")
        await ama.commit("data_centre,Osu,,,,,out,,,")
        assert set(store.values) == _live_keys(store)
        assert (await _plan(store)).servers["b1"].address == "10.0.0.2:1"

    _run(scenario())


class _DelayedRootStore(MemoryStore):
    """Applies the first root write only when the next one arrives."""

    def __init__(self):
        super().__init__()
        self.late = ()

    async def compare_and_swap(self, key, version, value, lease=None):
        put = super().compare_and_swap
        if key == layout.ROOT_KEY and self.late is None:
            self.late = (key, version, value)
            raise StoreUnknownError("kv.timeout", "no answer yet")
        if key == layout.ROOT_KEY and self.late:
            late, self.late = self.late, ()
            await put(*late)
        return await put(key, version, value, lease)


def test_delayed_root_write_keeps_its_shards():
    async def scenario():
        store = _DelayedRootStore()
        operator = _Operator(store)
        await operator.commit("data_centre,Osu,,,,,in,,,", *SERVICES)
        store.late = None
        committed = await operator.commit("server,b1,,s1,Osu,10.0.0.1:1,active,,,")
        assert committed.change.results[0].outcome is Outcome.CHANGED
        plan = await _plan(store)
        assert plan == committed.change.plan
        assert [write.write_id for write in plan.history] == ["ama-1", "ama-2"]

    _run(scenario())


def test_delayed_write_does_not_revert_a_newer_one():
    """A root write that was assumed lost arrives after another write."""

    async def scenario():
        store = MemoryStore()
        ama, kofi = _Operator(store), _Operator(store, "kofi")
        await ama.commit("data_centre,Osu,,,,,in,,,")
        stale_version = store.values[layout.ROOT_KEY].version
        stale = store.values[layout.ROOT_KEY].value
        await kofi.commit("data_centre,Osu,,,,,out,,,")
        with pytest.raises(Exception, match="kv.conflict"):
            await store.compare_and_swap(layout.ROOT_KEY, stale_version, stale)
        assert (await _plan(store)).revision == 2

    _run(scenario())


def test_shard_with_a_wrong_checksum_is_refused():
    async def scenario():
        store = MemoryStore()
        await _Operator(store).commit(*SERVICES)
        key = next(key for key in store.values if key != layout.ROOT_KEY)
        value = store.values[key]
        store.values[key] = StoredValue(
            '{"write_id":"x","packed":"eA=="}', value.version
        )
        with pytest.raises(InputError) as failed:
            await _plan(store)
        assert failed.value.code == "plan.shard_missing"

    _run(scenario())
