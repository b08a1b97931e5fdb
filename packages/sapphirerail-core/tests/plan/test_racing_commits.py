"""Concurrent commits through a store that loses calls and responses."""

import asyncio
import contextlib
import functools
import random

import pytest

from sapphirerail_core.plan import layout
from sapphirerail_core.plan.draft import Outcome, apply_lines
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.repository import PlanRepository, PlanWriteError
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.store import (
    StoreError,
    StoreRejectedError,
    StoreUnknownError,
)
from sapphirerail_standins.memory_store import MemoryStore

HEADER = "kind,name,service,tenant,data_centre,address,state\n"
BASIS = (
    HEADER
    + "".join(f"data_centre,d{n},,,,,in\n" for n in range(3))
    + "service,s0,,t,,,\nservice,s1,,t,,,\n"
    + "".join(f"server,b{n},s{n % 2},,d0,10.0.0.{n}:1,active\n" for n in range(1, 5))
)
LINES = [
    f"server,b{n},,,,,{state}"
    for n in range(1, 5)
    for state in ("active", "draining", "left", "entering")
] + [f"data_centre,d{n},,,,,{state}" for n in range(3) for state in ("in", "out")]
N_OPERATORS = 3
N_COMMITS = 6
FAULTS = 0.2


class _FlakyStore(MemoryStore):
    """Loses calls and responses, delays writes, and lets other writers run between."""

    random_state = random.Random(0)
    is_flaky = False
    late = ()

    async def _call(self, work, *, is_write):
        await self._run_other_tasks()
        draw = self.random_state.random() if self.is_flaky else 1.0
        if draw < FAULTS / 4:
            raise StoreRejectedError("kv.unreachable", "refused")
        if draw < FAULTS / 2:
            raise StoreUnknownError("kv.timeout", "the call is lost")
        if is_write and draw < FAULTS * 3 / 4:
            self.late += (asyncio.create_task(self._write_late(work)),)
            raise StoreUnknownError("kv.timeout", "the call is late")
        answer = await work()
        if is_write and draw < FAULTS:
            raise StoreUnknownError("kv.timeout", "the answer is lost")
        await asyncio.sleep(0)
        return answer

    async def _write_late(self, work):
        for _ in range(10):
            await self._run_other_tasks()
        with contextlib.suppress(StoreError):
            await work()

    async def _run_other_tasks(self):
        for _ in range(self.random_state.randrange(4)):
            await asyncio.sleep(0)

    async def get(self, key):
        work = functools.partial(super().get, key)
        return await self._call(work, is_write=False)

    async def compare_and_swap(self, key, version, value, lease=None):
        work = functools.partial(super().compare_and_swap, key, version, value, lease)
        return await self._call(work, is_write=True)

    async def delete(self, key, version):
        work = functools.partial(super().delete, key, version)
        return await self._call(work, is_write=True)


async def _no_sleep(duration_ms):
    await asyncio.sleep(0)


async def _commit(store, line, write_id):
    repository = PlanRepository(store, _no_sleep)
    lines = parse_sheet((line if "\n" in line else f"{HEADER}{line}\n").encode()).lines
    base = []

    def make_change(plan):
        base.append(plan.revision)
        return apply_lines(plan, lines, base[0], 0)

    return await repository.commit(make_change, Write(revision=0, write_id=write_id))


async def _operator(store, name, random_state, outcomes):
    for number in range(N_COMMITS):
        line = random_state.choice(LINES)
        write_id = f"{name}-{number}"
        try:
            committed = await _commit(store, line, write_id)
        except PlanWriteError as error:
            outcomes[write_id] = (line, error.code)
            continue
        (result,) = committed.change.results
        outcomes[write_id] = (line, result)


async def _run_race(seed):
    store = _FlakyStore()
    store.random_state = random.Random(seed)
    await _commit(store, BASIS, "basis")
    store.is_flaky = True
    outcomes = {}
    operators = [
        _operator(store, f"o{n}", random.Random(f"{seed}/{n}"), outcomes)
        for n in range(N_OPERATORS)
    ]
    await asyncio.gather(*operators)
    store.is_flaky = False
    await asyncio.gather(*store.late)
    plan = (await PlanRepository(store, _no_sleep).read()).plan
    return store, plan, outcomes


def _state(plan, line):
    kind, name = line.split(",")[:2]
    parts = plan.servers if kind == "server" else plan.data_centres
    return parts[name].state.value


@pytest.mark.parametrize("seed", range(150))
def test_reported_outcomes_match_the_store_and_no_line_is_lost(seed):
    store, plan, outcomes = asyncio.run(_run_race(seed))
    revisions = [write.revision for write in plan.history]
    assert revisions == list(range(1, plan.revision + 1))
    in_store = {write.write_id: write.revision for write in plan.history}
    assert len(in_store) == len(revisions)
    last = {}
    for write_id, (line, answer) in outcomes.items():
        if answer == "plan.not_written":
            assert write_id not in in_store
        elif answer != "plan.unknown_outcome":
            is_changed = answer.outcome is Outcome.CHANGED
            assert is_changed == (write_id in in_store)
            assert not is_changed or in_store[write_id] == answer.revision
        if write_id in in_store:
            key = line.split(",")[1]
            last[key] = max(last.get(key, (0, "")), (in_store[write_id], line))
    for _, line in last.values():
        assert _state(plan, line) == line.split(",")[-1]


def test_orphaned_shards_are_bounded_after_concurrent_commits():
    async def scenario():
        n_orphans = 0
        for seed in range(20):
            store, _, _ = await _run_race(seed)
            for number, state in enumerate(("draining", "active") * 2):
                for server in ("b1", "b2"):
                    await _commit(
                        store, f"server,{server},,,,,{state}", f"x{number}{server}"
                    )
            root = layout.decode_root(store.values[layout.ROOT_KEY].value)
            live = {
                layout.shard_key(i, ref.generation) for i, ref in root.shards.items()
            }
            garbage_keys = {garbage.key for garbage in root.garbage}
            n_orphans += len(
                set(store.values) - live - garbage_keys - {layout.ROOT_KEY}
            )
        return n_orphans

    assert asyncio.run(scenario()) <= 20
