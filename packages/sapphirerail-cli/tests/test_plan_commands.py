import asyncio

from sapphirerail_cli.exit_code import ExitCode


def test_data_centre_out_and_back(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        result = await world.run("datacentre", "out", "Osu")
        assert result.exit_code == ExitCode.OK
        assert (await world.plan()).is_evacuated("Osu")
        assert "taken out: Osu" in (await world.run("status")).stdout
        await world.run("datacentre", "back", "Osu")
        assert not (await world.plan()).is_evacuated("Osu")

    play(scenario)


def test_mistyped_name_makes_nothing(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        for arguments in (("datacentre", "out", "Oso"), ("server", "drain", "b9")):
            result = await world.run(*arguments)
            assert result.exit_code == ExitCode.NOTHING_APPLIED
            assert "sheet.unknown" in result.stdout
        assert (await world.plan()).revision == 1

    play(scenario, n_instances=0)


def test_many_servers_change_in_one_revision(play):
    async def scenario(world):
        sheet = world.sheet + "server,b2,,bookings,Osu,10.0.0.2:1,active\n"
        await world.run("sheet", "apply", "FILE", sheet=sheet)
        result = await world.run("server", "drain", "b1", "b9", "b2")
        assert result.exit_code == ExitCode.LINES_REFUSED
        assert "line 2: b9: refused: sheet.unknown" in result.stdout
        assert "2 changed, 0 unchanged, 1 refused" in result.stdout
        plan = await world.plan()
        assert plan.revision == 2
        states = {server.state.value for server in plan.servers.values()}
        assert states == {"draining"}

    play(scenario)


def test_service_and_data_centre_are_removed_once_they_are_empty(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        for arguments, code in (
            (("service", "remove", "bookings"), "sheet.service_in_use"),
            (("datacentre", "remove", "Osu"), "sheet.data_centre_in_use"),
            (("service", "remove", "booking"), "sheet.unknown"),
        ):
            refused = await world.run(*arguments)
            assert refused.exit_code == ExitCode.NOTHING_APPLIED
            assert f"refused: {code}" in refused.stdout
        await world.run("server", "leave", "b1")
        await world.run("datacentre", "out", "Osu")
        for arguments in (
            ("service", "remove", "bookings"),
            ("datacentre", "remove", "Osu"),
        ):
            removed = await world.run(*arguments)
            assert removed.exit_code == ExitCode.OK
            assert "1 changed" in removed.stdout
            assert "in force in 2 of 2" in removed.stdout
            again = await world.run(*arguments)
            assert "0 changed, 1 unchanged" in again.stdout
        plan = await world.plan()
        assert (plan.services, plan.data_centres) == ({}, {})
        assert world.instances[0].plans.plan == plan

    play(scenario)


def test_store_that_lost_writes_is_restored_from_an_instance(play):
    async def scenario(world):
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
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
        await world.run("sheet", "apply", "FILE", sheet=world.sheet)
        reports = await asyncio.gather(
            world.run_process("server", "drain", "b1"),
            world.run_process("datacentre", "out", "Osu"),
        )
        revisions = {report["revision"] for report in reports}
        plan = await world.plan()
        assert [write.revision for write in plan.history] == [1, 2, 3]
        assert revisions == {2, 3}
        assert plan.is_evacuated("Osu")
        assert plan.servers["b1"].state.value == "draining"

    play(scenario)
