import json

import pytest
from typer.testing import CliRunner

from sapphirerail_cli import fleet_operator
from sapphirerail_cli.__main__ import command
from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_standins.platform import Faults, InstanceEntry


def test_status_shows_instances_and_drains(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        result = await cluster.run("status")
        assert result.exit_code == ExitCode.OK
        assert "store: revision 1" in result.stdout
        assert "draining: b1: 6 flows left" in result.stdout
        assert "Osu i0: serving, revision 1" in result.stdout
        await cluster.admin("/admin/faults", Faults(down=True, list_down=True))
        failed = await cluster.run("status")
        assert failed.exit_code == ExitCode.FAILED

    run_scenario(scenario)


def test_status_of_large_fleet_details_instances_behind_first(
    run_scenario, monkeypatch
):
    monkeypatch.setattr(fleet_operator, "N_INSTANCES_DETAILED", 1)

    async def scenario(cluster):
        cluster.instances[1].is_frozen = True
        await cluster.run(
            "sheet", "apply", "FILE", "--wait", "0.3", sheet=cluster.sheet
        )
        result = await cluster.run("status")
        assert "Osu: revision 1 in force in 1 of 2; behind: i1" in result.stdout
        assert "flows and details without 1 more instances:" in result.stdout
        assert "Osu i1: serving, revision 0" in result.stdout
        assert "Osu i0:" not in result.stdout

    run_scenario(scenario)


def test_given_instances_are_queried_while_platform_is_down(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        await cluster.admin("/admin/faults", Faults(down=True))
        instances = f"{cluster.entries[0].api_address},127.0.0.1:9"
        result = await cluster.run("status", instances=instances)
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "store: no answer (http.unreachable)" in result.stdout
        assert "Osu i0: serving, revision 1" in result.stdout
        assert "(not known) 127.0.0.1:9: not known" in result.stdout

    run_scenario(scenario)


def test_explain_merges_answers_and_names_unreachable_instances(run_scenario):
    async def scenario(cluster):
        gone = InstanceEntry("i9", "Tema", "", "127.0.0.1:9")
        await cluster.list([*cluster.entries, gone])
        result = await cluster.run("explain", "flow", "7")
        assert result.exit_code == ExitCode.OK
        assert result.stdout.count("flow.opened") == 2
        assert "no answer: i9" in result.stdout
        other = await cluster.run("explain", "flow", "8", "--json")
        assert json.loads(other.stdout)["lines"] == []

    run_scenario(scenario)


@pytest.mark.parametrize("arguments", [("rack", "1"), ("flow", "x")])
def test_explain_refuses_invalid_subject(arguments):
    result = CliRunner().invoke(command, ["explain", *arguments])
    assert result.exit_code == ExitCode.USAGE
    assert "explain." in result.output


def test_wait(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        assert (await cluster.run("wait", "--revision", "1")).exit_code == ExitCode.OK
        timed_out = await cluster.run(
            "wait", "--revision", "2", "--timeout", "0.3", "--json"
        )
        assert timed_out.exit_code == ExitCode.NOT_IN_FORCE
        assert json.loads(timed_out.stdout)["data_centres"][0]["behind"] == ["i0", "i1"]

    run_scenario(scenario)


def test_wait_needs_a_key(run_scenario):
    async def scenario(cluster):
        result = await cluster.run("wait", "--revision", "1", key="")
        assert result.exit_code == ExitCode.USAGE

    run_scenario(scenario, n_instances=0)


def test_instance_with_another_key_is_unreachable(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        result = await cluster.run("status", key="another key")
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "not known (http.unsigned" in result.stdout
        assert "another key" not in result.output

    run_scenario(scenario)


def test_debug_prints_state_of_one_instance(run_scenario):
    async def scenario(cluster):
        result = await cluster.run("debug", "i1")
        assert result.exit_code == ExitCode.OK
        assert json.loads(result.stdout)["settings"]["instance"] == "i1"

    run_scenario(scenario)


def test_debug_of_unlisted_instance_names_listed_ones(run_scenario):
    async def scenario(cluster):
        result = await cluster.run("debug", "i9")
        assert result.exit_code == ExitCode.FAILED
        assert "instance.unknown" in result.stderr
        assert "i0, i1" in result.stderr

    run_scenario(scenario)


LOG_LINE = (
    '{"time": "2026-12-04 14:00:01,000", "mono_ms": 1, "instance": "osu-1", '
    '"message": "flow_reset", "class": "flow", "flow": "a:1>b:2", '
    '"reason": "no_route"}'
)


def test_explain_reads_decision_logs_from_a_file_or_standard_input(tmp_path):
    path = tmp_path / "osu-1.log"
    path.write_text(LOG_LINE)
    run = CliRunner().invoke
    from_file = run(command, ["explain", "log", str(path), "--flow", "a:1"])
    assert from_file.exit_code == ExitCode.OK
    assert "cause: the configuration in force has no route" in from_file.stdout
    piped = run(command, ["explain", "log", "-", "--flow", "a:1"], input=LOG_LINE)
    assert piped.stdout == from_file.stdout


@pytest.mark.parametrize(
    "arguments", [[], ["--flow", "a", "--server", "b"], ["--flow", "a"]]
)
def test_explain_log_refuses_invalid_arguments(arguments):
    result = CliRunner().invoke(command, ["explain", "log", "/no/log", *arguments])
    assert result.exit_code == ExitCode.USAGE
