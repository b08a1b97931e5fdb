import asyncio

import pytest

from sapphirerail_standins.clock import LoopClock, VirtualClock
from sapphirerail_standins.key_value import KeyValueStore
from sapphirerail_transport.http import HttpError


def _code(call, *arguments):
    with pytest.raises(HttpError) as refused:
        call(*arguments)
    return refused.value.status, refused.value.code


def test_compare_and_swap():
    store = KeyValueStore(VirtualClock())
    first = store.put("a", "1", 0)
    assert _code(store.put, "a", "2", 0) == (409, "kv.conflict")
    second = store.put("a", "2", first)
    assert second > first
    assert store.get("a").value == "2"


def test_versions_are_never_reused():
    store = KeyValueStore(VirtualClock())
    first = store.put("a", "1", 0)
    store.delete("a", first)
    assert _code(store.get, "a") == (404, "kv.absent")
    assert store.put("a", "1", 0) > first


def test_value_above_the_size_limit_is_rejected():
    store = KeyValueStore(VirtualClock())
    assert _code(store.put, "a", "x" * 1_000_001, 0) == (413, "kv.too_large")


def test_expired_lease_deletes_its_keys():
    clock = VirtualClock()
    store = KeyValueStore(clock)
    lease = store.grant(100)
    store.put("a", "1", 0, lease)
    clock.run_until(80)
    store.renew(lease)
    clock.run_until(150)
    assert store.get("a").value == "1"
    clock.run_until(181)
    assert _code(store.get, "a") == (404, "kv.absent")
    assert _code(store.renew, lease) == (404, "lease.lapsed")


def test_watch_returns_a_change_or_times_out():
    async def scenario():
        store = KeyValueStore(LoopClock())
        waiting = asyncio.create_task(store.watch("a", 0, 10_000))
        while not store.n_waiting:
            await asyncio.sleep(0)
        version = store.put("a", "1", 0)
        assert (await waiting).value == "1"
        assert await store.watch("a", version, 1) is None

    asyncio.run(scenario())


def test_aborted_watch_gets_no_answer():
    async def scenario():
        store = KeyValueStore(LoopClock())
        waiting = asyncio.create_task(store.watch("a", 0, 10_000))
        while not store.n_waiting:
            await asyncio.sleep(0)
        store.abort_watches()
        with pytest.raises(ConnectionAbortedError):
            await waiting

    asyncio.run(scenario())
