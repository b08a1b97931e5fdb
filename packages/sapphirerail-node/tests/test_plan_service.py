import asyncio
import random

import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sync import PlanSync, SyncConfig
from sapphirerail_node.clock import monotonic_ms
from sapphirerail_node.plan_service import PlanService
from sapphirerail_standins.memory_store import MemoryStore
from sapphirerail_transport.http import HttpRequest, HttpServer
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import format_address

SIGNER = Signer("a shared key")
MEMBERS = {f"i{n}": "Osu" for n in range(5)}
CONFIG = SyncConfig(
    repeat_interval_ms=20,
    exchange_interval_ms=50,
    poll_interval_ms=50,
    fetch_timeout_ms=500,
)


class _Directory(FixedFleet):
    """Fixed membership with API addresses."""

    def __init__(self, self_id, members, addresses):
        super().__init__(self_id, members)
        self.addresses = addresses

    def api_address(self, instance):
        return self.addresses.get(instance)

    def revisions(self):
        return {}


class _Fleet:
    """Plan services that fetch over HTTP; messages are delivered by direct calls."""

    def __init__(self, store, members):
        self.store = store
        self.members = members
        self.addresses = {}
        self.services = {}
        self.servers = []
        self.tasks = []
        self.applied_plans = {}

    async def start(self, *names):
        for name in names:
            directory = _Directory(name, self.members, self.addresses)
            sync = PlanSync(CONFIG, directory, Journal(name), random.Random(name))
            service = PlanService(self.store, directory, sync, SIGNER)
            self.applied_plans[name] = []
            service.on_plan.append(self.applied_plans[name].append)
            server = HttpServer(service.handle_plan, SIGNER)
            address = await server.start(("127.0.0.1", 0))
            self.addresses[name] = format_address(address)
            self.services[name] = service
            self.servers.append(server)
            await service.start()
            self.tasks.append(asyncio.create_task(self._run(name)))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for service in self.services.values():
            await service.close()
        for server in self.servers:
            await server.close()

    async def _run(self, name):
        while True:
            self._send(name, self.services[name].tick(monotonic_ms()))
            await asyncio.sleep(0.01)

    def _send(self, sender, effects):
        for effect in effects:
            peer = self.services.get(effect.instance)
            if peer is not None:
                responses = peer.on_message(sender, effect.message, monotonic_ms())
                self._send(effect.instance, responses)

    async def wait_for_revision(self, revision, *names):
        async with asyncio.timeout(10):
            while any(self.services[n].plan.revision < revision for n in names):
                await asyncio.sleep(0.01)


async def _commit(store, row):
    sheet = parse_sheet(f"kind,name,tenant,state\n{row}\n".encode())
    repository = PlanRepository(store)
    base = (await repository.read()).plan.revision
    write = Write(revision=0, write_id=f"{row}/{base}")
    await repository.commit(lambda plan: apply_lines(plan, sheet.lines, base, 0), write)


def _run(scenario, store=None, members=None):
    async def with_fleet():
        fleet = _Fleet(store or MemoryStore(), members or MEMBERS)
        try:
            return await scenario(fleet)
        finally:
            await fleet.close()

    return asyncio.run(with_fleet())


def test_change_reaches_instances_that_do_not_read_the_store():
    async def scenario(fleet):
        await _commit(fleet.store, "data_centre,Osu,,in")
        await fleet.start(*MEMBERS)
        await fleet.wait_for_revision(1, *MEMBERS)
        await _commit(fleet.store, "data_centre,Osu,,out")
        await fleet.wait_for_revision(2, *MEMBERS)
        for name in MEMBERS:
            assert fleet.services[name].plan.is_evacuated("Osu")
            assert [plan.revision for plan in fleet.applied_plans[name]][-1] == 2
        statuses = [fleet.services[name].status() for name in MEMBERS]
        readers = [status for status in statuses if status.is_reader]
        assert len(readers) == 2
        others = [status for status in statuses if not status.is_reader]
        assert sum(status.n_store_calls for status in others) == 0

    _run(scenario)


def test_polling_finds_changes_that_a_watch_misses():
    async def scenario(fleet):
        await fleet.start(*MEMBERS)
        await _commit(fleet.store, "data_centre,Osu,,in")
        await fleet.wait_for_revision(1, *MEMBERS)

    _run(scenario, MemoryStore(is_watch_unresponsive=True))


def test_new_instance_fetches_the_plan_from_a_peer_while_the_store_is_down():
    async def scenario(fleet):
        await _commit(fleet.store, "data_centre,Osu,,in")
        await fleet.start("i0", "i1")
        await fleet.wait_for_revision(1, "i0", "i1")
        fleet.store.down = True
        await fleet.start("i2")
        await fleet.wait_for_revision(1, "i2")
        assert fleet.services["i2"].status().source in ("i0", "i1")

    _run(scenario)


def test_status_of_a_single_instance_shows_that_the_store_is_down():
    async def scenario(fleet):
        await fleet.start("i0")
        service = fleet.services["i0"]
        async with asyncio.timeout(10):
            while service.status().n_store_errors == 0:
                await asyncio.sleep(0.01)
        status = service.status()
        assert (status.revision, status.source) == (0, "none")
        assert status.contact_age_ms == -1
        assert status.store_error == "kv.unreachable"
        fleet.store.down = False
        await _commit(fleet.store, "data_centre,Osu,,in")
        await fleet.wait_for_revision(1, "i0")
        assert service.status().store_error == ""

    _run(scenario, MemoryStore(down=True), {"i0": "Osu"})


def test_failing_callback_does_not_stop_the_others():
    async def scenario(fleet):
        await fleet.start("i0")
        service = fleet.services["i0"]
        service.on_plan.insert(0, lambda plan: 1 / 0)
        await _commit(fleet.store, "data_centre,Osu,,in")
        await fleet.wait_for_revision(1, "i0")
        await _commit(fleet.store, "data_centre,Osu,,out")
        await fleet.wait_for_revision(2, "i0")
        assert [plan.revision for plan in fleet.applied_plans["i0"]] == [1, 2]

    _run(scenario, members={"i0": "Osu"})


def test_old_backup_in_the_store_does_not_revert_the_plan():
    async def scenario(fleet):
        await _commit(fleet.store, "data_centre,Osu,,in")
        backup = dict(fleet.store.values)
        await fleet.start(*MEMBERS)
        await fleet.wait_for_revision(1, *MEMBERS)
        await _commit(fleet.store, "data_centre,Osu,,out")
        await fleet.wait_for_revision(2, *MEMBERS)
        fleet.store.values = backup
        readers = [s for s in fleet.services.values() if s.status().is_reader]
        async with asyncio.timeout(10):
            while not all(reader.status().is_store_behind for reader in readers):
                await asyncio.sleep(0.01)
        assert {s.plan.revision for s in fleet.services.values()} == {2}

    _run(scenario)


@pytest.mark.parametrize(("since", "is_full"), [("0", True), ("1", False)])
def test_answer_holds_the_whole_plan_or_a_delta(since, is_full):
    async def scenario(fleet):
        await _commit(fleet.store, "data_centre,Osu,,in")
        await _commit(fleet.store, "data_centre,Tema,,in")
        await fleet.start("i0")
        await fleet.wait_for_revision(2, "i0")
        request = HttpRequest("GET", "/plan", {"since": since}, b"")
        answer = (await fleet.services["i0"].handle_plan(request)).value
        assert (answer.full is not None) is is_full
        assert (answer.delta is not None) is not is_full

    _run(scenario, members={"i0": "Osu"})


def test_malformed_since_is_refused():
    async def scenario(fleet):
        await fleet.start("i0")
        request = HttpRequest("GET", "/plan", {"since": "x"}, b"")
        with pytest.raises(InputError):
            await fleet.services["i0"].handle_plan(request)

    _run(scenario, members={"i0": "Osu"})
