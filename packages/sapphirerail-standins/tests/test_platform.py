import asyncio

import msgspec
import pytest

from sapphirerail_standins.platform import (
    Faults,
    InstanceEntry,
    Instances,
    Platform,
)
from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.udp import parse_address

ENTRY = InstanceEntry("n1", "osu", "127.0.0.1:1", "127.0.0.1:2")


def _with_platform(scenario):
    async def run():
        platform = Platform()
        addresses = await platform.start()
        try:
            await scenario(HttpClient(parse_address(addresses["address"])))
        finally:
            await platform.close()

    asyncio.run(run())


async def _fails(client, method, target, value=None):
    with pytest.raises(HttpError) as refused:
        await client.call(method, target, value)
    return refused.value.code


def test_keys_watches_and_leases():
    async def scenario(client):
        lease = msgspec.json.decode(
            await client.call("POST", "/lease", {"ttl_ms": 9000})
        )["lease"]
        target = f"/kv/plan/root?version=0&lease={lease}"
        await client.call("PUT", target, {"value": "x"})
        assert await _fails(client, "PUT", target, {"value": "y"}) == "kv.conflict"
        found = msgspec.json.decode(await client.call("GET", "/kv/plan/root"))
        assert found == {"value": "x", "version": 1}
        watched = await client.call("GET", "/watch/plan/root?version=0&timeout_ms=5")
        assert msgspec.json.decode(watched) == found
        watched = await client.call("GET", "/watch/plan/root?version=1&timeout_ms=5")
        assert msgspec.json.decode(watched) == {"value": None, "version": 1}
        await client.call("DELETE", f"/lease/{lease}")
        assert await _fails(client, "GET", "/kv/plan/root") == "kv.absent"

    _with_platform(scenario)


def test_write_with_a_lost_answer_is_applied():
    async def scenario(client):
        await client.call("PUT", "/admin/faults", Faults(lose_answers=1))
        target = "/kv/a?version=0"
        code = await _fails(client, "PUT", target, {"value": "x"})
        assert code == "http.unreachable"
        found = msgspec.json.decode(await client.call("GET", "/kv/a"))
        assert found["value"] == "x"
        assert await _fails(client, "PUT", target, {"value": "x"}) == "kv.conflict"

    _with_platform(scenario)


def test_outage_aborts_calls_and_waiting_watches():
    async def scenario(client):
        watch = "/watch/a?version=0&timeout_ms=60000"
        waiting = asyncio.create_task(_fails(client, "GET", watch))
        while True:
            counts = msgspec.json.decode(await client.call("GET", "/admin/counts"))
            if counts["n_waiting"] == 1:
                break
        await client.call("PUT", "/admin/faults", Faults(down=True))
        assert await waiting == "http.unreachable"
        assert await client.call("GET", "/instances")
        await client.call("PUT", "/admin/faults", Faults(list_down=True))
        assert await _fails(client, "GET", "/instances") == "http.unreachable"
        counts = msgspec.json.decode(await client.call("GET", "/admin/counts"))
        assert counts["calls"] == {"GET watch": 1, "GET instances": 2}

    _with_platform(scenario)


def test_instance_list_lags():
    async def scenario(client):
        await client.call("PUT", "/admin/instances", Instances([ENTRY]))
        listed = msgspec.json.decode(
            await client.call("GET", "/instances"), type=Instances
        )
        assert listed.instances == [ENTRY]
        await client.call("PUT", "/admin/faults", Faults(list_lag_ms=60_000))
        await client.call("PUT", "/admin/instances", Instances())
        listed = msgspec.json.decode(
            await client.call("GET", "/instances"), type=Instances
        )
        assert listed.instances == []

    _with_platform(scenario)


@pytest.mark.parametrize(
    ("method", "target", "code"),
    [
        ("GET", "/nothing", "http.no_such_call"),
        ("PUT", "/kv/a?version=x", "http.bad_query"),
        ("POST", "/kv/a", "http.method"),
        ("POST", "/lease/none/renew", "lease.lapsed"),
    ],
)
def test_bad_calls_get_error_codes(method, target, code):
    async def scenario(client):
        assert await _fails(client, method, target, {"value": "x"}) == code

    _with_platform(scenario)
