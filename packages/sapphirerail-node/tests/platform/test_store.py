import asyncio
import time

import pytest

from sapphirerail_core.steering import Forward
from sapphirerail_core.steering.packet import ServiceAddress
from sapphirerail_node.platform.store import HttpPlatformStore
from sapphirerail_standins.link_faults import (
    Direction,
    FaultRule,
    FaultRules,
    LinkFaults,
)
from sapphirerail_standins.platform_store import PlatformStoreStandIn
from sapphirerail_standins.steering_fleet import SteeringFleet, later_packet
from sapphirerail_standins.tcp_relay import TcpRelay

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


class Reader:
    """Reads the store again and again, each time from what it read before."""

    def __init__(self, store):
        self.store = store
        self.snapshot = None

    async def read(self):
        revision = 0
        if self.snapshot is not None:
            revision = self.snapshot.operator_state.store_revision
        read = await self.store.read(self.snapshot, revision)
        self.snapshot = read.snapshot
        return read


def test_read_decodes_all_kinds_of_entries_and_skips_the_rest():
    async def scenario(standin, store):
        await standin.put("aside/other", b"\xff")
        await standin.put("op/config", CONFIGURATION)
        await standin.put("op/evacuate/tema", {})
        await standin.put("servers/i-00000001", SERVER)
        await standin.put("servers/i-00000002", b"not an entry")
        await standin.put("sapphirerail/instances/osu-1", b"[" * 100_000)
        read = await store.read(None, 0)
        assert read.snapshot.operator_state.configuration.revision == 7
        assert read.snapshot.operator_state.evacuated == ("tema",)
        assert [server.server for server in read.snapshot.servers] == ["i-00000001"]
        assert read.n_malformed == {"server": 1, "instance": 1}
        assert read.snapshot.instances == ()
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
        read = await store.read(None, 0)
        assert len(read.snapshot.servers) == 550
        assert standin.n_calls == 3

    run_scenario(scenario)


def test_a_later_read_gets_only_what_changed():
    # Guards against reads of the whole store: with 1,280 routes each of them took
    # longer over a slow link than its timeout, and no instance learned of a drain.
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("op/config", CONFIGURATION)
        for number in range(300):
            await standin.put(f"servers/i-{number:08x}", SERVER)
        await reader.read()
        before = reader.snapshot
        assert (await reader.read()).snapshot == before
        assert reader.snapshot.servers is before.servers
        await standin.put("servers/i-00000001", SERVER | {"state": "draining"})
        await standin.put("servers/i-00000002", b"not an entry")
        await standin.remove("servers/i-00000003")
        await standin.put("op/evacuate/tema", {})
        await standin.put("op/config", CONFIGURATION | {"version": 9})
        read = await reader.read()
        assert standin.n_calls == 3
        servers = {server.server: server for server in read.snapshot.servers}
        assert len(servers) == 298
        assert servers["i-00000001"].is_draining
        assert read.snapshot.operator_state.configuration.revision == 9
        assert read.snapshot.operator_state.evacuated == ("tema",)
        assert read.snapshot.operator_state.store_revision == standin.revision

    run_scenario(scenario)


def test_an_unreadable_entry_of_a_server_is_not_taken_for_a_removed_one():
    # Guards against resets of a live server's flows: bytes of another writer in place
    # of its entry were read as its removal.
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("op/config", CONFIGURATION)
        await standin.put("servers/i-00000001", SERVER)
        await standin.put("servers/nobody", b"not an entry")
        await reader.read()
        assert reader.snapshot.unreadable_servers == ()
        await standin.put("servers/i-00000001", b"\xff\x00 not an entry")
        for newest in (await reader.read(), await store.read(None, 0)):
            assert newest.snapshot.servers == ()
            (unreadable,) = newest.snapshot.unreadable_servers
            assert (unreadable.server, unreadable.identity) == ("i-00000001", 1)
        await standin.put("servers/i-00000001", SERVER)
        await reader.read()
        assert len(reader.snapshot.servers) == 1
        assert reader.snapshot.unreadable_servers == ()
        await standin.put("servers/i-00000001", b"not an entry")
        await reader.read()
        await standin.remove("servers/i-00000001")
        await reader.read()
        assert reader.snapshot.servers == reader.snapshot.unreadable_servers == ()

    run_scenario(scenario)


STRAY_ENTRIES = {
    "unreadable": b"\xff\x00 not an entry",
    "without_required_fields": {
        name: SERVER[name] for name in ("service", "address", "zone", "slots", "state")
    },
    "of_unknown_state": SERVER | {"state": "resting"},
    "of_unknown_service": SERVER | {"service": "elsewhere", "address": "10.0.0.8:80"},
    "of_other_types": SERVER | {"version": 1, "slots": "two"},
    "without_start": {name: SERVER[name] for name in SERVER if name != "born"},
}


@pytest.mark.parametrize("name", ["i-00000001", "i-00000009", "x-00000001"])
@pytest.mark.parametrize("stray", STRAY_ENTRIES)
def test_no_entry_of_another_writer_resets_the_flow_of_a_live_server(name, stray):
    # Guards against an entry that counts as the departure of a live server, under its
    # own name or beside it.
    async def scenario(standin, store):
        fleet = SteeringFleet()
        engine = fleet.engine
        reader = Reader(store)

        async def read():
            fleet.advance(500)
            snapshot = (await reader.read()).snapshot
            state = snapshot.operator_state
            engine.refresh.on_read(state.store_revision, fleet.now_ms)
            engine.apply_store_snapshot(snapshot, fleet.now_ms)

        await standin.put("op/config", CONFIGURATION)
        await standin.put("servers/i-00000001", SERVER)
        await read()
        feed = ServiceAddress(0xC6120001 << 16 | 8443)
        tag = fleet.open(1, feed)
        await standin.put(f"servers/{name}", STRAY_ENTRIES[stray])
        for _ in range(10):
            await read()
            action = fleet.send(later_packet(1, tag, feed))
            assert isinstance(action, Forward), action
            assert action.server.entry.address == SERVER["address"]

    run_scenario(scenario)


def test_an_entry_that_was_removed_and_written_again_is_there():
    async def scenario(standin, store):
        reader = Reader(store)
        await reader.read()
        for _ in range(2):
            await standin.put("servers/i-00000001", SERVER)
            await standin.remove("servers/i-00000001")
        await standin.put("servers/i-00000001", SERVER)
        assert len((await reader.read()).snapshot.servers) == 1

    run_scenario(scenario)


def test_the_whole_store_is_read_if_its_history_is_gone():
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("op/config", CONFIGURATION)
        await standin.put("servers/i-00000001", SERVER)
        await reader.read()
        await standin.remove("servers/i-00000001")
        await standin.put("servers/i-00000002", SERVER)
        standin.forget_history()
        read = await reader.read()
        assert [server.server for server in read.snapshot.servers] == ["i-00000002"]
        assert read.snapshot.operator_state.configuration.revision == 7

    run_scenario(scenario)


@pytest.mark.parametrize("is_refused", [False, True])
def test_the_whole_store_is_read_if_the_known_revision_is_not_its_own(is_refused):
    # Guards against a wrong revision in one message between instances: the instance
    # would have waited for it for good.
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("servers/i-00000001", SERVER)
        await reader.read()
        await standin.remove("servers/i-00000001")
        standin.refuses_later_revisions = is_refused
        read = await store.read(reader.snapshot, 2**62)
        assert read.snapshot.servers == ()
        assert read.snapshot.operator_state.store_revision == standin.revision

    run_scenario(scenario)


def test_malformed_parts_of_a_configuration_keep_those_in_force():
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("op/config", CONFIGURATION)
        await reader.read()
        routes = reader.snapshot.operator_state.configuration.routes
        broken = CONFIGURATION["routes"][0] | {"host": "not-a-host"}
        changed = CONFIGURATION | {"version": 8, "routes": [broken]}
        await standin.put("op/config", changed)
        read = await reader.read()
        assert read.snapshot.operator_state.configuration.revision == 8
        assert read.snapshot.operator_state.configuration.routes == routes
        assert read.n_malformed == {"route": 1}
        standin.forget_history()
        assert (await reader.read()).snapshot.operator_state.configuration.routes == (
            routes
        )

    run_scenario(scenario)


def test_unreadable_configuration_keeps_the_one_in_force():
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("op/config", CONFIGURATION)
        await reader.read()
        await standin.put("op/config", b"{")
        read = await reader.read()
        assert read.snapshot.operator_state.configuration.revision == 7
        assert read.n_malformed == {"configuration": 1}
        await standin.put("op/config", CONFIGURATION | {"version": 9})
        read = await reader.read()
        assert read.snapshot.operator_state.configuration.revision == 9

    run_scenario(scenario)


def test_ended_evacuation_is_absent_from_the_next_read():
    async def scenario(standin, store):
        reader = Reader(store)
        await standin.put("op/evacuate/tema", {})
        assert (await reader.read()).snapshot.operator_state.evacuated == ("tema",)
        await standin.remove("op/evacuate/tema")
        assert (await reader.read()).snapshot.operator_state.evacuated == ()

    run_scenario(scenario)


# Half of the slowest link of the deployments.
SLOW_LINK_BYTES_PER_S = 2.5e6 / 8
CONFIG_APPLY_S = 3.0
RECOVERY_S = 12.0


def configuration_of(n_routes):
    routes = [
        CONFIGURATION["routes"][0]
        | {"name": f"route-{n}", "host": f"198.18.{n // 250}.{n % 250}"}
        for n in range(n_routes)
    ]
    return CONFIGURATION | {"routes": routes}


def run_behind_slow_link(scenario):
    async def through_relay(standin, store):
        rules = FaultRules(seed=1)
        faults = LinkFaults(bytes_per_s=SLOW_LINK_BYTES_PER_S)
        rules.add(FaultRule(direction=Direction.BACK, faults=faults))
        relay = TcpRelay("store", store.address, rules)
        address = await relay.start(("127.0.0.1", 0))
        try:
            await scenario(standin, Reader(HttpPlatformStore(address)))
        finally:
            await relay.close()

    run_scenario(through_relay)


@pytest.mark.parametrize("n_routes", [1_500, 5_000])
def test_large_configuration_is_read_over_a_slow_link(n_routes):
    # Guards against a fixed timeout: a read that took longer than a second failed, and
    # was begun again from its start, until the end of the deployment.
    async def scenario(standin, reader):
        await standin.put("op/config", configuration_of(n_routes))
        began_s = time.monotonic()
        read = await reader.read()
        assert time.monotonic() - began_s < RECOVERY_S
        assert len(read.snapshot.operator_state.configuration.routes) == n_routes

    run_behind_slow_link(scenario)


def test_changes_behind_a_large_configuration_are_read_in_time():
    async def scenario(standin, reader):
        table = configuration_of(1_500)
        await standin.put("op/config", table)
        await reader.read()
        began_s = time.monotonic()
        await standin.put("servers/i-00000001", SERVER | {"state": "draining"})
        (server,) = (await reader.read()).snapshot.servers
        assert server.is_draining
        assert time.monotonic() - began_s < CONFIG_APPLY_S / 10
        del table["routes"][7]
        await standin.put("op/config", table | {"version": 8})
        read = await reader.read()
        assert time.monotonic() - began_s < CONFIG_APPLY_S
        assert len(read.snapshot.operator_state.configuration.routes) == 1_499

    run_behind_slow_link(scenario)
