import json

import pytest
from typer.testing import CliRunner

from sapphirerail_cli.__main__ import command
from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_standins.platform import Faults, InstanceEntry


def test_apply_tells_where_it_is_in_force(play):
    async def scenario(world):
        result = await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        assert result.exit_code == ExitCode.OK
        assert "line 4: b1: changed at revision 1" in result.stdout
        assert "Osu: revision 1 in force in 2 of 2" in result.stdout
        again = await world.run("sheet", "apply", "FILE", "--json", sheet=world.sheet)
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
        result = await world.run(
            "sheet", "apply", "FILE", "--wait", "0.5", sheet=world.sheet
        )
        assert result.exit_code == ExitCode.NOT_IN_FORCE
        assert "Osu: revision 1 in force in 1 of 2; behind: i0" in result.stdout
        assert "Tema: revision 1 in force in 0 of 1; not known: i9" in result.stdout

    play(scenario)


def test_apply_without_a_key_says_that_nothing_is_known(play):
    async def scenario(world):
        result = await world.run("sheet", "apply", "FILE", sheet=world.sheet, key="")
        assert result.exit_code == ExitCode.OK
        assert "not known where it is in force" in result.stdout

    play(scenario, n_instances=0)


def test_refused_lines_and_the_others(play):
    async def scenario(world):
        sheet = world.sheet + "server,b2,,nowhere,Osu,10.0.0.2:1,active\nrack,r,,,,,\n"
        result = await world.run("sheet", "apply", "FILE", sheet=sheet)
        assert result.exit_code == ExitCode.LINES_REFUSED
        assert "line 5: b2: refused: sheet.unknown_service" in result.stdout
        assert "line 6: r: refused: sheet.unknown_kind" in result.stdout
        assert set((await world.plan()).servers) == {"b1"}

    play(scenario, n_instances=0)


def test_all_or_nothing_writes_nothing(play):
    async def scenario(world):
        sheet = world.sheet + "rack,r,,,,,\n"
        result = await world.run(
            "sheet", "apply", "FILE", "--all-or-nothing", sheet=sheet
        )
        assert result.exit_code == ExitCode.NOTHING_APPLIED
        assert "nothing was written" in result.stdout
        assert (await world.plan()).revision == 0

    play(scenario, n_instances=0)


def test_diff_writes_nothing(play):
    async def scenario(world):
        result = await world.run("sheet", "diff", "FILE", sheet=world.sheet)
        assert result.exit_code == ExitCode.OK
        assert "3 changed" in result.stdout
        assert (await world.plan()).revision == 0

    play(scenario, n_instances=0)


@pytest.mark.parametrize(
    ("sheet", "code", "text"),
    [
        ("{}", ExitCode.OK, "3 usable, 0 refused"),
        ("{}x", ExitCode.LINES_REFUSED, "sheet.cut"),
        ("", ExitCode.NOTHING_APPLIED, "sheet.empty"),
    ],
)
def test_check_asks_nobody(tmp_path, first_sheet, sheet, code, text):
    path = tmp_path / "sheet.csv"
    path.write_text(sheet.format(first_sheet))
    result = CliRunner().invoke(command, ["sheet", "check", str(path)])
    assert result.exit_code == code
    assert text in result.output


def test_missing_file_is_a_usage_error(tmp_path):
    result = CliRunner().invoke(command, ["sheet", "check", str(tmp_path / "none")])
    assert result.exit_code == ExitCode.USAGE


def test_sheet_for_an_old_revision_is_told_of_the_race(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        await world.run("server", "drain", "b1")
        sheet = world.header + "server,b1,,,,,left\n"
        result = await world.run("sheet", "apply", "FILE", "--base", "1", sheet=sheet)
        assert result.exit_code == ExitCode.NOTHING_APPLIED
        assert "sheet.race" in result.stdout
        history = await world.run("plan", "history")
        assert [line.split(" at ")[0] for line in history.stdout.splitlines()] == [
            "revision 1 by ama",
            "revision 2 by ama",
        ]

    play(scenario, n_instances=0)


def test_store_that_is_down(play):
    async def scenario(world):
        await world.admin("/admin/faults", Faults(down=True))
        result = await world.run("sheet", "apply", "FILE", sheet=world.sheet, key="")
        assert result.exit_code == ExitCode.NOT_WRITTEN
        assert "nothing was changed" in result.stderr

    play(scenario, n_instances=0)


def test_lost_answers_are_recognised(play):
    async def scenario(world):
        await world.admin("/admin/faults", Faults(lose_answers=2))
        result = await world.run("sheet", "apply", "FILE", sheet=world.sheet, key="")
        assert result.exit_code == ExitCode.OK
        assert "3 changed" in result.stdout
        assert [write.revision for write in (await world.plan()).history] == [1]

    play(scenario, n_instances=0)


def test_sheet_that_may_be_cut_is_refused_once_one_had_an_end_line(play):
    async def scenario(world):
        n_lines = world.sheet.count("\n") - 1
        whole = world.sheet + f"end,{n_lines},,,,,\n"
        result = await world.run("sheet", "apply", "FILE", sheet=whole)
        assert result.exit_code == ExitCode.OK
        cut = world.header + "server,b1,,,,,draining\n"
        for arguments, text in (
            (("sheet", "apply", "FILE"), "sheet.end_missing"),
            (("sheet", "diff", "FILE"), "apply would refuse the sheet: sheet.end_miss"),
        ):
            result = await world.run(*arguments, sheet=cut)
            assert result.exit_code == ExitCode.NOTHING_APPLIED
            assert text in result.output
        assert (await world.plan()).revision == 1
        # Single commands and parts that are named as such are not compared.
        assert (await world.run("server", "drain", "b1")).exit_code == ExitCode.OK
        part = world.header + "server,b1,,,,,active\n"
        result = await world.run("sheet", "apply", "FILE", "--partial", sheet=part)
        assert result.exit_code == ExitCode.OK
        plan = await world.plan()
        assert (plan.revision, plan.sheet.revision) == (3, 1)
        result = await world.run("sheet", "apply", "FILE", sheet=whole)
        assert result.exit_code == ExitCode.OK

    play(scenario)


def test_diff_names_the_servers_that_a_sheet_leaves_out(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        sheet = world.header + "data_centre,Osu,,,,,in\n"
        result = await world.run("sheet", "diff", "FILE", sheet=sheet)
        assert result.exit_code == ExitCode.OK
        assert "1 not named by the sheet, and left as they are: b1" in result.stdout

    play(scenario, n_instances=0)
