import asyncio

import pytest

from sapphirerail_node.platform.store import HttpPlatformStore
from sapphirerail_standins.platform_store import PlatformStoreStandIn

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "feed",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "kind": "safe",
            "service": "s1",
        }
    ],
    "services": [{"name": "s1", "warmupS": 2.0, "warmupPerS": 0.0}],
    "limits": {"idleTimeoutMs": 15_000},
}
SERVER = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "osu",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "seqNo": 4,
    "born": 1_790_200_568_448,
}


def run_scenario(scenario):
    """Run a scenario with a stand-in for the store and the client under test."""

    async def run():
        standin = PlatformStoreStandIn()
        address = await standin.start(("127.0.0.1", 0))
        try:
            await scenario(standin, HttpPlatformStore(address))
        finally:
            await standin.close()

    asyncio.run(run())


def test_read_decodes_all_kinds_of_entries_and_skips_the_rest():
    async def scenario(standin, store):
        await standin.put("aside/other", b"\xff")
        await standin.put("op/config", CONFIGURATION)
        await standin.put("op/evacuate/tema", {})
        await standin.put("servers/i-00000001", SERVER)
        await standin.put("servers/i-00000002", b"not an entry")
        read = await store.read()
        assert read.snapshot.operator_state.configuration.revision == 7
        assert read.snapshot.operator_state.evacuated == ("tema",)
        assert [server.server for server in read.snapshot.servers] == ["i-00000001"]
        assert (read.n_malformed, read.snapshot.instances) == (1, ())
        assert standin.n_calls == 1

    run_scenario(scenario)


@pytest.mark.parametrize("character", ["-", "+", "&", "%", "ü"])
def test_pages_are_read_with_any_character_in_keys(character):
    async def scenario(standin, store):
        for number in range(1_100):
            key = (
                f"a{character}{number:04}" if number % 2 else f"servers/i-{number:08x}"
            )
            await standin.put(key, SERVER)
        read = await store.read()
        assert len(read.snapshot.servers) == 550
        assert standin.n_calls == 3

    run_scenario(scenario)


def test_invalid_configuration_keeps_the_last_valid_one():
    async def scenario(standin, store):
        await standin.put("op/config", CONFIGURATION)
        await store.read()
        route = CONFIGURATION["routes"][0] | {"host": "not-a-host"}
        await standin.put("op/config", CONFIGURATION | {"routes": [route]})
        read = await store.read()
        assert read.snapshot.operator_state.configuration.revision == 7
        await standin.put("op/config", CONFIGURATION | {"version": 9})
        read = await store.read()
        assert read.snapshot.operator_state.configuration.revision == 9

    run_scenario(scenario)


def test_ended_evacuation_is_absent_from_the_next_read():
    async def scenario(standin, store):
        await standin.put("op/evacuate/tema", {})
        assert (await store.read()).snapshot.operator_state.evacuated == ("tema",)
        await standin.remove("op/evacuate/tema")
        assert (await store.read()).snapshot.operator_state.evacuated == ()

    run_scenario(scenario)
