import asyncio
import json
import os
import random
import sys

import pytest
from typer.testing import CliRunner

from sapphirerail_cli import fleet_operator
from sapphirerail_cli.__main__ import command
from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_core.explain import Query, answer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Entry, Journal, Reason
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sync import PlanSync, SyncConfig
from sapphirerail_node.plan_service import PlanService
from sapphirerail_standins.platform import Faults, InstanceEntry, Instances, Platform
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
    """The plan of one instance, behind its signed interface."""

    def __init__(self, name, store):
        self.name = name
        fleet = _NoPeers(name, {name: "Osu"})
        config = SyncConfig(repeat_ms=10, poll_ms=20)
        sync = PlanSync(config, fleet, Journal(name), random.Random(1))
        self.plans = PlanService(store, fleet, sync, Signer(KEY))
        self.frozen = False
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
            if not self.frozen:
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
        asked = Query.from_text(query["subject"], query["id"])
        entry = Entry(at_ms=40, reason=Reason.FLOW_OPENED, instance=self.name, flow=7)
        return answer(asked, self.name, [entry], now_ms=100)


class _World:
    """A platform, instances, and the command."""

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
        """Run the command in a process of its own; return its JSON report."""
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
def play(tmp_path):
    """Return a function that runs a scenario in a world."""

    def run(scenario, n_instances=2):
        async def with_world():
            world = _World(tmp_path)
            await world.start(n_instances)
            try:
                await scenario(world)
            finally:
                await world.close()

        asyncio.run(with_world())

    return run


def test_apply_tells_where_it_is_in_force(play):
    async def scenario(world):
        result = await world.run("sheet", "apply", "FILE", sheet=SHEET)
        assert result.exit_code == ExitCode.OK
        assert "line 4: b1: changed at revision 1" in result.stdout
        assert "Osu: revision 1 in force in 2 of 2" in result.stdout
        again = await world.run("sheet", "apply", "FILE", "--json", sheet=SHEET)
        report = json.loads(again.stdout)
        assert (report["n_changed"], report["n_unchanged"]) == (0, 3)
        assert report["revision"] == 1
        assert report["progress"]["data_centres"][0]["n_in_force"] == 2

    play(scenario)


def test_apply_says_what_is_not_known(play):
    async def scenario(world):
        world.instances[0].frozen = True
        gone = InstanceEntry("i9", "Tema", "", "127.0.0.1:9")
        await world.list([*world.entries, gone])
        result = await world.run("sheet", "apply", "FILE", "--wait", "0.5", sheet=SHEET)
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "Osu: revision 1 in force in 1 of 2; behind: i0" in result.stdout
        assert "Tema: revision 1 in force in 0 of 1; not known: i9" in result.stdout

    play(scenario)


def test_apply_without_a_key_says_that_nothing_is_known(play):
    async def scenario(world):
        result = await world.run("sheet", "apply", "FILE", sheet=SHEET, key="")
        assert result.exit_code == ExitCode.OK
        assert "not known where it is in force" in result.stdout

    play(scenario, n_instances=0)


def test_refused_lines_and_the_others(play):
    async def scenario(world):
        sheet = SHEET + "server,b2,,nowhere,Osu,10.0.0.2:1,active\nrack,r,,,,,\n"
        result = await world.run("sheet", "apply", "FILE", sheet=sheet)
        assert result.exit_code == ExitCode.LINES_REFUSED
        assert "line 5: b2: refused: sheet.unknown_service" in result.stdout
        assert "line 6: r: refused: sheet.unknown_kind" in result.stdout
        assert set((await world.plan()).servers) == {"b1"}

    play(scenario, n_instances=0)


def test_all_or_nothing_writes_nothing(play):
    async def scenario(world):
        sheet = SHEET + "rack,r,,,,,\n"
        result = await world.run(
            "sheet", "apply", "FILE", "--all-or-nothing", sheet=sheet
        )
        assert result.exit_code == ExitCode.NOTHING_APPLIED
        assert "nothing was written" in result.stdout
        assert (await world.plan()).revision == 0

    play(scenario, n_instances=0)


def test_diff_writes_nothing(play):
    async def scenario(world):
        result = await world.run("sheet", "diff", "FILE", sheet=SHEET)
        assert result.exit_code == ExitCode.OK
        assert "3 changed" in result.stdout
        assert (await world.plan()).revision == 0

    play(scenario, n_instances=0)


@pytest.mark.parametrize(
    ("sheet", "code", "text"),
    [
        (SHEET, ExitCode.OK, "3 usable, 0 refused"),
        (SHEET + "x", ExitCode.LINES_REFUSED, "sheet.cut"),
        ("", ExitCode.NOTHING_APPLIED, "sheet.empty"),
    ],
)
def test_check_asks_nobody(tmp_path, sheet, code, text):
    path = tmp_path / "sheet.csv"
    path.write_text(sheet)
    result = CliRunner().invoke(command, ["sheet", "check", str(path)])
    assert result.exit_code == code
    assert text in result.output


def test_missing_file_is_a_usage_error(tmp_path):
    result = CliRunner().invoke(command, ["sheet", "check", str(tmp_path / "none")])
    assert result.exit_code == ExitCode.USAGE


def test_sheet_for_an_old_revision_is_told_of_the_race(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        await world.run("server", "drain", "b1")
        sheet = HEADER + "server,b1,,,,,left\n"
        result = await world.run("sheet", "apply", "FILE", "--base", "1", sheet=sheet)
        assert result.exit_code == ExitCode.NOTHING_APPLIED
        assert "sheet.race" in result.stdout
        history = await world.run("plan", "history")
        assert [line.split(" at ")[0] for line in history.stdout.splitlines()] == [
            "revision 1 by ama",
            "revision 2 by ama",
        ]

    play(scenario, n_instances=0)


def test_data_centre_out_and_back(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        result = await world.run("datacentre", "out", "Osu")
        assert result.exit_code == ExitCode.OK
        assert (await world.plan()).is_out("Osu")
        assert "taken out: Osu" in (await world.run("status")).stdout
        await world.run("datacentre", "back", "Osu")
        assert not (await world.plan()).is_out("Osu")

    play(scenario)


def test_mistyped_name_makes_nothing(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        for arguments in (("datacentre", "out", "Oso"), ("server", "drain", "b9")):
            result = await world.run(*arguments)
            assert result.exit_code == ExitCode.NOTHING_APPLIED
            assert "sheet.unknown" in result.stdout
        assert (await world.plan()).revision == 1

    play(scenario, n_instances=0)


def test_status_shows_instances_and_drains(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        result = await world.run("status")
        assert result.exit_code == ExitCode.OK
        assert "store: revision 1" in result.stdout
        assert "draining: b1: 6 flows left" in result.stdout
        assert "Osu i0: serving, revision 1" in result.stdout
        await world.admin("/admin/faults", Faults(down=True, list_down=True))
        without = await world.run("status")
        assert without.exit_code == ExitCode.FAILED

    play(scenario)


def test_status_of_a_large_fleet_details_those_that_are_behind(play, monkeypatch):
    monkeypatch.setattr(fleet_operator, "N_DETAILED", 1)

    async def scenario(world):
        world.instances[1].frozen = True
        await world.run("sheet", "apply", "FILE", "--wait", "0.3", sheet=SHEET)
        result = await world.run("status")
        assert "Osu: revision 1 in force in 1 of 2; behind: i1" in result.stdout
        assert "flows and details without 1 more instances:" in result.stdout
        assert "Osu i1: serving, revision 0" in result.stdout
        assert "Osu i0:" not in result.stdout

    play(scenario)


def test_named_instances_are_asked_while_the_platform_is_down(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        await world.admin("/admin/faults", Faults(down=True))
        instances = f"{world.entries[0].api_address},127.0.0.1:9"
        result = await world.run("status", instances=instances)
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "store: no answer (http.unreachable)" in result.stdout
        assert "Osu i0: serving, revision 1" in result.stdout
        assert "(not known) 127.0.0.1:9: not known" in result.stdout

    play(scenario)


def test_explain_gathers_and_names_who_gave_no_answer(play):
    async def scenario(world):
        gone = InstanceEntry("i9", "Tema", "", "127.0.0.1:9")
        await world.list([*world.entries, gone])
        result = await world.run("explain", "flow", "7")
        assert result.exit_code == ExitCode.OK
        assert result.stdout.count("flow.opened") == 2
        assert "no answer: i9" in result.stdout
        other = await world.run("explain", "flow", "8", "--json")
        assert json.loads(other.stdout)["lines"] == []

    play(scenario)


@pytest.mark.parametrize("arguments", [("rack", "1"), ("flow", "x")])
def test_explain_refuses_what_it_does_not_know(arguments):
    result = CliRunner().invoke(command, ["explain", *arguments])
    assert result.exit_code == ExitCode.USAGE
    assert "explain." in result.output


def test_wait(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        assert (await world.run("wait", "--revision", "1")).exit_code == ExitCode.OK
        late = await world.run("wait", "--revision", "2", "--timeout", "0.3", "--json")
        assert late.exit_code == ExitCode.NOT_IN_FORCE
        assert json.loads(late.stdout)["data_centres"][0]["behind"] == ["i0", "i1"]

    play(scenario)


def test_wait_needs_a_key(play):
    async def scenario(world):
        result = await world.run("wait", "--revision", "1", key="")
        assert result.exit_code == ExitCode.USAGE

    play(scenario, n_instances=0)


def test_store_that_is_down(play):
    async def scenario(world):
        await world.admin("/admin/faults", Faults(down=True))
        result = await world.run("sheet", "apply", "FILE", sheet=SHEET, key="")
        assert result.exit_code == ExitCode.NOT_WRITTEN
        assert "nothing was changed" in result.stderr

    play(scenario, n_instances=0)


def test_lost_answers_are_recognised(play):
    async def scenario(world):
        await world.admin("/admin/faults", Faults(lose_answers=2))
        result = await world.run("sheet", "apply", "FILE", sheet=SHEET, key="")
        assert result.exit_code == ExitCode.OK
        assert "3 changed" in result.stdout
        assert [write.revision for write in (await world.plan()).history] == [1]

    play(scenario, n_instances=0)


def test_store_that_lost_writes_is_restored_from_an_instance(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        root = await world.store.get("plan-root")
        await world.run("server", "drain", "b1")
        # An old backup of the root comes back.
        lost = await world.store.get("plan-root")
        await world.store.compare_and_swap("plan-root", lost.version, root.value)
        refused = await world.run("datacentre", "out", "Osu")
        assert refused.exit_code == ExitCode.STORE_BEHIND
        assert "plan restore" in refused.stderr
        result = await world.run("plan", "restore")
        assert result.exit_code == ExitCode.OK
        assert "as revision 3 (the store had 1)" in result.stdout
        plan = await world.plan()
        assert (plan.revision, plan.servers["b1"].state.value) == (3, "draining")
        assert (await world.run("wait", "--revision", "3")).exit_code == ExitCode.OK
        again = await world.run("plan", "restore")
        assert again.exit_code == ExitCode.FAILED
        assert "plan.not_behind" in again.stderr

    play(scenario)


def test_two_operators_racing_end_in_one_order(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        reports = await asyncio.gather(
            world.run_process("server", "drain", "b1"),
            world.run_process("datacentre", "out", "Osu"),
        )
        revisions = {report["revision"] for report in reports}
        plan = await world.plan()
        assert [write.revision for write in plan.history] == [1, 2, 3]
        assert revisions == {2, 3}
        assert plan.is_out("Osu")
        assert plan.servers["b1"].state.value == "draining"

    play(scenario)


def test_instance_with_another_key_is_not_known(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=SHEET)
        result = await world.run("status", key="another key")
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "not known (http.unsigned" in result.stdout
        assert "another key" not in result.output

    play(scenario)


def test_debug_prints_what_one_instance_knows(play):
    async def scenario(world):
        result = await world.run("debug", "i1")
        assert result.exit_code == ExitCode.OK
        assert json.loads(result.stdout)["settings"]["instance"] == "i1"

    play(scenario)


def test_debug_of_an_instance_that_is_not_listed_names_those_that_are(play):
    async def scenario(world):
        result = await world.run("debug", "i9")
        assert result.exit_code == ExitCode.FAILED
        assert "instance.unknown" in result.stderr
        assert "i0, i1" in result.stderr

    play(scenario)
