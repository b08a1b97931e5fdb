import json

import pytest
from typer.testing import CliRunner

from sapphirerail_cli.__main__ import command
from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_standins.platform import Faults, InstanceEntry


def test_apply_reports_rollout_by_data_centre(run_scenario):
    async def scenario(cluster):
        result = await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        assert result.exit_code == ExitCode.OK
        assert "line 4: b1: changed at revision 1" in result.stdout
        assert "Osu: revision 1 in force in 2 of 2" in result.stdout
        repeated = await cluster.run(
            "sheet", "apply", "FILE", "--json", sheet=cluster.sheet
        )
        report = json.loads(repeated.stdout)
        assert (report["n_changed"], report["n_unchanged"]) == (0, 3)
        assert report["revision"] == 1
        assert report["progress"]["data_centres"][0]["n_in_force"] == 2

    run_scenario(scenario)


def test_apply_reports_instances_behind_and_unreachable(run_scenario):
    async def scenario(cluster):
        cluster.instances[0].is_frozen = True
        gone = InstanceEntry("i9", "Tema", "", "127.0.0.1:9")
        await cluster.list([*cluster.entries, gone])
        result = await cluster.run(
            "sheet", "apply", "FILE", "--wait", "0.5", sheet=cluster.sheet
        )
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "Osu: revision 1 in force in 1 of 2; behind: i0" in result.stdout
        assert "Tema: revision 1 in force in 0 of 1; not known: i9" in result.stdout

    run_scenario(scenario)


def test_apply_without_key_reports_unknown_rollout(run_scenario):
    async def scenario(cluster):
        result = await cluster.run(
            "sheet", "apply", "FILE", sheet=cluster.sheet, key=""
        )
        assert result.exit_code == ExitCode.OK
        assert "not known where it is in force" in result.stdout

    run_scenario(scenario, n_instances=0)


def test_refused_lines_do_not_block_the_others(run_scenario):
    async def scenario(cluster):
        sheet = (
            cluster.sheet + "server,b2,,nowhere,Osu,10.0.0.2:1,active\nrack,r,,,,,\n"
        )
        result = await cluster.run("sheet", "apply", "FILE", sheet=sheet)
        assert result.exit_code == ExitCode.LINES_REFUSED
        assert "line 5: b2: refused: sheet.unknown_service" in result.stdout
        assert "line 6: r: refused: sheet.unknown_kind" in result.stdout
        assert set((await cluster.plan()).servers) == {"b1"}

    run_scenario(scenario, n_instances=0)


def test_all_or_nothing_writes_nothing(run_scenario):
    async def scenario(cluster):
        sheet = cluster.sheet + "rack,r,,,,,\n"
        result = await cluster.run(
            "sheet", "apply", "FILE", "--all-or-nothing", sheet=sheet
        )
        assert result.exit_code == ExitCode.NOTHING_APPLIED
        assert "nothing was written" in result.stdout
        assert (await cluster.plan()).revision == 0

    run_scenario(scenario, n_instances=0)


def test_diff_writes_nothing(run_scenario):
    async def scenario(cluster):
        result = await cluster.run("sheet", "diff", "FILE", sheet=cluster.sheet)
        assert result.exit_code == ExitCode.OK
        assert "3 changed" in result.stdout
        assert (await cluster.plan()).revision == 0

    run_scenario(scenario, n_instances=0)


@pytest.mark.parametrize(
    ("sheet", "code", "text"),
    [
        ("{}", ExitCode.OK, "3 usable, 0 refused"),
        ("{}x", ExitCode.LINES_REFUSED, "sheet.cut"),
        ("", ExitCode.NOTHING_APPLIED, "sheet.empty"),
    ],
)
def test_check_works_offline(tmp_path, first_sheet, sheet, code, text):
    path = tmp_path / "sheet.csv"
    path.write_text(sheet.format(first_sheet))
    result = CliRunner().invoke(command, ["sheet", "check", str(path)])
    assert result.exit_code == code
    assert text in result.output


def test_missing_file_is_a_usage_error(tmp_path):
    result = CliRunner().invoke(command, ["sheet", "check", str(tmp_path / "none")])
    assert result.exit_code == ExitCode.USAGE


def test_sheet_for_old_revision_is_refused_as_race(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        await cluster.run("server", "drain", "b1")
        sheet = cluster.header + "server,b1,,,,,left\n"
        result = await cluster.run("sheet", "apply", "FILE", "--base", "1", sheet=sheet)
        assert result.exit_code == ExitCode.NOTHING_APPLIED
        assert "sheet.race" in result.stdout
        history = await cluster.run("plan", "history")
        assert [line.split(" at ")[0] for line in history.stdout.splitlines()] == [
            "revision 1 by ama",
            "revision 2 by ama",
        ]

    run_scenario(scenario, n_instances=0)


def test_apply_fails_while_store_is_down(run_scenario):
    async def scenario(cluster):
        await cluster.admin("/admin/faults", Faults(down=True))
        result = await cluster.run(
            "sheet", "apply", "FILE", sheet=cluster.sheet, key=""
        )
        assert result.exit_code == ExitCode.NOT_WRITTEN
        assert "nothing was changed" in result.stderr

    run_scenario(scenario, n_instances=0)


def test_write_with_lost_answers_is_applied_once(run_scenario):
    async def scenario(cluster):
        await cluster.admin("/admin/faults", Faults(lose_answers=2))
        result = await cluster.run(
            "sheet", "apply", "FILE", sheet=cluster.sheet, key=""
        )
        assert result.exit_code == ExitCode.OK
        assert "3 changed" in result.stdout
        assert [write.revision for write in (await cluster.plan()).history] == [1]

    run_scenario(scenario, n_instances=0)


def test_sheet_without_end_line_is_refused_after_one_with_it(run_scenario):
    async def scenario(cluster):
        n_lines = cluster.sheet.count("\n") - 1
        whole = cluster.sheet + f"end,{n_lines},,,,,\n"
        result = await cluster.run("sheet", "apply", "FILE", sheet=whole)
        assert result.exit_code == ExitCode.OK
        cut = cluster.header + "server,b1,,,,,draining\n"
        for arguments, text in (
            (("sheet", "apply", "FILE"), "sheet.end_missing"),
            (("sheet", "diff", "FILE"), "apply would refuse the sheet: sheet.end_miss"),
        ):
            result = await cluster.run(*arguments, sheet=cut)
            assert result.exit_code == ExitCode.NOTHING_APPLIED
            assert text in result.output
        assert (await cluster.plan()).revision == 1
        # Single commands and sheets with --partial skip the check for truncation.
        assert (await cluster.run("server", "drain", "b1")).exit_code == ExitCode.OK
        part = cluster.header + "server,b1,,,,,active\n"
        result = await cluster.run("sheet", "apply", "FILE", "--partial", sheet=part)
        assert result.exit_code == ExitCode.OK
        plan = await cluster.plan()
        assert (plan.revision, plan.sheet.revision) == (3, 1)
        result = await cluster.run("sheet", "apply", "FILE", sheet=whole)
        assert result.exit_code == ExitCode.OK

    run_scenario(scenario)


def test_diff_names_servers_missing_from_the_sheet(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        sheet = cluster.header + "data_centre,Osu,,,,,in\n"
        result = await cluster.run("sheet", "diff", "FILE", sheet=sheet)
        assert result.exit_code == ExitCode.OK
        assert "1 not named by the sheet, and left as they are: b1" in result.stdout

    run_scenario(scenario, n_instances=0)
