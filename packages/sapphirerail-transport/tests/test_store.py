import asyncio

import pytest

from sapphirerail_core.plan.store import (
    ABSENT,
    LeaseExpiredError,
    StoreConflictError,
    StoreRejectedError,
    StoreUnknownError,
)
from sapphirerail_standins.platform import Faults, Platform
from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.store import HttpStore
from sapphirerail_transport.udp import parse_address

KEY = "plan/root é"


def _run(scenario):
    async def with_platform():
        platform = Platform()
        address = (await platform.start())["address"]
        admin = HttpClient(parse_address(address))
        try:
            await scenario(HttpStore.from_address(address), admin)
        finally:
            await platform.close()

    asyncio.run(with_platform())


async def _set(admin, **faults):
    await admin.call("PUT", "/admin/faults", Faults(**faults))


def test_write_read_delete():
    async def scenario(store, admin):
        assert await store.get(KEY) is None
        first = await store.compare_and_swap(KEY, ABSENT, "a")
        second = await store.compare_and_swap(KEY, first, "b")
        found = await store.get(KEY)
        assert (found.value, found.version) == ("b", second)
        await store.delete(KEY, second)
        await store.delete(KEY, second)
        assert await store.get(KEY) is None

    _run(scenario)


def test_wrong_version_is_a_conflict():
    async def scenario(store, admin):
        version = await store.compare_and_swap(KEY, ABSENT, "a")
        with pytest.raises(StoreConflictError):
            await store.compare_and_swap(KEY, ABSENT, "b")
        with pytest.raises(StoreConflictError):
            await store.delete(KEY, version + 1)
        assert (await store.get(KEY)).value == "a"

    _run(scenario)


def test_too_large_value_is_reported_as_not_written():
    async def scenario(store, admin):
        with pytest.raises(StoreRejectedError) as failed:
            await store.compare_and_swap(KEY, ABSENT, "x" * 1_100_000)
        assert failed.value.code == "kv.too_large"

    _run(scenario)


def test_write_with_a_lost_answer_has_an_unknown_outcome():
    async def scenario(store, admin):
        await _set(admin, lose_answers=1)
        with pytest.raises(StoreUnknownError):
            await store.compare_and_swap(KEY, ABSENT, "a")
        assert (await store.get(KEY)).value == "a"

    _run(scenario)


def test_write_on_a_closed_connection_has_an_unknown_outcome():
    async def scenario(store, admin):
        await _set(admin, down=True)
        with pytest.raises(StoreUnknownError):
            await store.compare_and_swap(KEY, ABSENT, "a")

    _run(scenario)


def test_write_on_a_refused_connection_is_reported_as_not_written():
    async def scenario():
        probe = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = probe.sockets[0].getsockname()[1]
        probe.close()
        await probe.wait_closed()
        with pytest.raises(StoreRejectedError):
            await HttpStore(("127.0.0.1", port)).compare_and_swap(KEY, ABSENT, "a")

    asyncio.run(scenario())


def test_watch_returns_a_change_or_none_after_its_timeout():
    async def scenario(store, admin):
        version = await store.compare_and_swap(KEY, ABSENT, "a")
        assert await store.watch(KEY, version, 20) is None
        watch = asyncio.create_task(store.watch(KEY, version, 10_000))
        await asyncio.sleep(0)
        await store.compare_and_swap(KEY, version, "b")
        assert (await watch).value == "b"

    _run(scenario)


def test_revoking_a_lease_deletes_its_key():
    async def scenario(store, admin):
        lease = await store.grant_lease(60_000)
        await store.compare_and_swap(KEY, ABSENT, "a", lease)
        await store.renew_lease(lease)
        await store.revoke_lease(lease)
        await store.revoke_lease(lease)
        assert await store.get(KEY) is None
        with pytest.raises(LeaseExpiredError):
            await store.renew_lease(lease)

    _run(scenario)
