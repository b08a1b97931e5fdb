import json

import pytest
from typer.testing import CliRunner

from sapphirerail_cli import fleet_operator
from sapphirerail_cli.__main__ import command
from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_standins.platform import Faults, InstanceEntry


def test_status_shows_instances_and_drains(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
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
        await world.run("sheet", "apply", "FILE", "--wait", "0.3", sheet=world.sheet)
        result = await world.run("status")
        assert "Osu: revision 1 in force in 1 of 2; behind: i1" in result.stdout
        assert "flows and details without 1 more instances:" in result.stdout
        assert "Osu i1: serving, revision 0" in result.stdout
        assert "Osu i0:" not in result.stdout

    play(scenario)


def test_named_instances_are_asked_while_the_platform_is_down(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
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
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
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


def test_instance_with_another_key_is_not_known(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
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


LOG_LINE = (
    '{"time": "2026-12-04 14:00:01,000", "mono_ms": 1, "instance": "osu-1", '
    '"message": "flow_reset", "class": "flow", "flow": "a:1>b:2", '
    '"reason": "no_route"}'
)


def test_explain_reads_decision_logs_from_a_file_or_standard_input(tmp_path):
    path = tmp_path / "osu-1.log"
    path.write_text(LOG_LINE)
    run = CliRunner().invoke
    told = run(command, ["explain", "log", str(path), "--flow", "a:1"])
    assert told.exit_code == ExitCode.OK
    assert "cause: the configuration in force has no route" in told.stdout
    piped = run(command, ["explain", "log", "-", "--flow", "a:1"], input=LOG_LINE)
    assert piped.stdout == told.stdout


@pytest.mark.parametrize(
    "arguments", [[], ["--flow", "a", "--server", "b"], ["--flow", "a"]]
)
def test_explain_of_logs_refuses_what_it_cannot_use(arguments):
    result = CliRunner().invoke(command, ["explain", "log", "/no/log", *arguments])
    assert result.exit_code == ExitCode.USAGE
