"""Test cluster: a platform, instances, and the operators' command."""

import asyncio
import json
import os
import random
import sys

import pytest
from typer.testing import CliRunner

from sapphirerail_cli.__main__ import command
from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_core.explain import Query, answer_query
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal, JournalEntry, Reason
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sync import PlanSync, SyncConfig
from sapphirerail_node.plan_service import PlanService
from sapphirerail_standins.platform import InstanceEntry, Instances, Platform
from sapphirerail_transport.http import HttpClient, HttpResponse, HttpServer
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.store import HttpStore
from sapphirerail_transport.udp import format_address, parse_address

KEY = "a shared key"
HEADER = "kind,name,tenant,service,data_centre,address,state\n"
SHEET = (
    HEADER
    + "data_centre,Osu,,,,,in\n"
    + "service,bookings,adwinsa,,,,\n"
    + "server,b1,,bookings,Osu,10.0.0.1:1,active\n"
)


class _NoPeers(FixedFleet):
    def api_address(self, instance):
        return None

    def revisions(self):
        return {}


class _Instance:
    """Plan service of one instance behind its signed HTTP interface."""

    def __init__(self, name, store):
        self.name = name
        fleet = _NoPeers(name, {name: "Osu"})
        config = SyncConfig(repeat_interval_ms=10, poll_interval_ms=20)
        sync = PlanSync(config, fleet, Journal(name), random.Random(1))
        self.plans = PlanService(store, fleet, sync, Signer(KEY))
        self.is_frozen = False
        self.server = HttpServer(self._handle, Signer(KEY))

    async def start(self):
        address = await self.server.start(("127.0.0.1", 0))
        self.task = asyncio.create_task(self._run())
        return InstanceEntry(self.name, "Osu", "", format_address(address))

    async def close(self):
        self.task.cancel()
        await self.plans.close()
        await self.server.close()

    async def _run(self):
        while True:
            if not self.is_frozen:
                self.plans.tick(asyncio.get_running_loop().time() * 1000)
            await asyncio.sleep(0.01)

    async def _handle(self, request):
        if request.path == "/plan":
            return await self.plans.handle_plan(request)
        if request.path == "/explain":
            return HttpResponse(self._explain(request.query))
        if request.path == "/debug":
            return HttpResponse({"settings": {"instance": self.name, "seed": "0"}})
        return HttpResponse(
            {
                "instance": self.name,
                "data_centre": "Osu",
                "phase": "serving",
                "revision": self.plans.plan.revision,
                "uptime_ms": 5,
                "plan": self.plans.status(),
                "flows": {"n_flows": 7, "draining": {"b1": 3}},
            }
        )

    def _explain(self, query):
        parsed_query = Query.from_text(query["subject"], query["id"])
        entry = JournalEntry(
            at_ms=40, reason=Reason.FLOW_OPENED, instance=self.name, flow=7
        )
        return answer_query(parsed_query, self.name, [entry], now_ms=100)


class _Cluster:
    """A platform and instances in this process, and a runner for the command."""

    header = HEADER
    sheet = SHEET

    def __init__(self, tmp_path):
        self.tmp_path = tmp_path
        self.instances = []

    async def start(self, n_instances):
        self.platform = Platform()
        self.address = (await self.platform.start())["address"]
        self.store = HttpStore.from_address(self.address)
        self.instances = [_Instance(f"i{n}", self.store) for n in range(n_instances)]
        self.entries = [await instance.start() for instance in self.instances]
        await self.list(self.entries)

    async def close(self):
        for instance in self.instances:
            await instance.close()
        await self.platform.close()

    async def admin(self, target, value):
        client = HttpClient(parse_address(self.address))
        await client.call("PUT", target, value)

    async def list(self, entries):
        await self.admin("/admin/instances", Instances(entries))

    async def run(self, *arguments, key=KEY, sheet=None, instances=""):
        if sheet is not None:
            path = self.tmp_path / "sheet.csv"
            path.write_text(sheet)
            arguments = [str(path) if a == "FILE" else a for a in arguments]
        environment = {
            "SAPPHIRERAIL_PLATFORM": self.address,
            "SAPPHIRERAIL_KEY": key,
            "SAPPHIRERAIL_OPERATOR": "ama",
            "SAPPHIRERAIL_INSTANCES": instances,
        }
        runner = CliRunner()
        return await asyncio.to_thread(
            runner.invoke, command, list(arguments), env=environment
        )

    async def run_process(self, *arguments):
        """Run the command in a separate process; return its JSON report."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sapphirerail_cli",
            *arguments,
            "--json",
            stdout=asyncio.subprocess.PIPE,
            env=os.environ
            | {"SAPPHIRERAIL_PLATFORM": self.address, "SAPPHIRERAIL_KEY": KEY},
        )
        output, _ = await process.communicate()
        assert process.returncode == ExitCode.OK
        return json.loads(output)

    async def plan(self):
        return (await PlanRepository(self.store).read()).plan


@pytest.fixture
def first_sheet():
    """Return the sheet of the test cluster."""
    return SHEET


@pytest.fixture
def run_scenario(tmp_path):
    """Return a function that runs a scenario in a new cluster."""

    def run(scenario, n_instances=2):
        async def in_cluster():
            cluster = _Cluster(tmp_path)
            await cluster.start(n_instances)
            try:
                await scenario(cluster)
            finally:
                await cluster.close()

        asyncio.run(in_cluster())

    return run
