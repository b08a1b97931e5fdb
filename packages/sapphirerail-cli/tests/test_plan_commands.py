import asyncio

from sapphirerail_cli.exit_code import ExitCode


def test_data_centre_out_and_back(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        result = await cluster.run("datacentre", "out", "Osu")
        assert result.exit_code == ExitCode.OK
        assert (await cluster.plan()).is_evacuated("Osu")
        assert "taken out: Osu" in (await cluster.run("status")).stdout
        await cluster.run("datacentre", "back", "Osu")
        assert not (await cluster.plan()).is_evacuated("Osu")

    run_scenario(scenario)


def test_mistyped_name_creates_nothing(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        for arguments in (("datacentre", "out", "Oso"), ("server", "drain", "b9")):
            result = await cluster.run(*arguments)
            assert result.exit_code == ExitCode.NOTHING_APPLIED
            assert "sheet.unknown" in result.stdout
        assert (await cluster.plan()).revision == 1

    run_scenario(scenario, n_instances=0)


def test_many_servers_change_in_one_revision(run_scenario):
    async def scenario(cluster):
        sheet = cluster.sheet + "server,b2,,bookings,Osu,10.0.0.2:1,active\n"
        await cluster.run("sheet", "apply", "FILE", sheet=sheet)
        result = await cluster.run("server", "drain", "b1", "b9", "b2")
        assert result.exit_code == ExitCode.LINES_REFUSED
        assert "line 2: b9: refused: sheet.unknown" in result.stdout
        assert "2 changed, 0 unchanged, 1 refused" in result.stdout
        plan = await cluster.plan()
        assert plan.revision == 2
        states = {server.state.value for server in plan.servers.values()}
        assert states == {"draining"}

    run_scenario(scenario)


def test_service_and_data_centre_are_removed_only_when_empty(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        for arguments, code in (
            (("service", "remove", "bookings"), "sheet.service_in_use"),
            (("datacentre", "remove", "Osu"), "sheet.data_centre_in_use"),
            (("service", "remove", "booking"), "sheet.unknown"),
        ):
            refused = await cluster.run(*arguments)
            assert refused.exit_code == ExitCode.NOTHING_APPLIED
            assert f"refused: {code}" in refused.stdout
        await cluster.run("server", "leave", "b1")
        await cluster.run("datacentre", "out", "Osu")
        for arguments in (
            ("service", "remove", "bookings"),
            ("datacentre", "remove", "Osu"),
        ):
            removed = await cluster.run(*arguments)
            assert removed.exit_code == ExitCode.OK
            assert "1 changed" in removed.stdout
            assert "in force in 2 of 2" in removed.stdout
            repeated = await cluster.run(*arguments)
            assert "0 changed, 1 unchanged" in repeated.stdout
        plan = await cluster.plan()
        assert (plan.services, plan.data_centres) == ({}, {})
        assert cluster.instances[0].plans.plan == plan

    run_scenario(scenario)


def test_store_that_lost_writes_is_restored_from_an_instance(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        root = await cluster.store.get("plan-root")
        await cluster.run("server", "drain", "b1")
        # The root is replaced by an old backup.
        lost = await cluster.store.get("plan-root")
        await cluster.store.compare_and_swap("plan-root", lost.version, root.value)
        refused = await cluster.run("datacentre", "out", "Osu")
        assert refused.exit_code == ExitCode.STORE_BEHIND
        assert "plan restore" in refused.stderr
        result = await cluster.run("plan", "restore")
        assert result.exit_code == ExitCode.OK
        assert "as revision 3 (the store had 1)" in result.stdout
        plan = await cluster.plan()
        assert (plan.revision, plan.servers["b1"].state.value) == (3, "draining")
        assert (await cluster.run("wait", "--revision", "3")).exit_code == ExitCode.OK
        repeated = await cluster.run("plan", "restore")
        assert repeated.exit_code == ExitCode.FAILED
        assert "plan.not_behind" in repeated.stderr

    run_scenario(scenario)


def test_concurrent_changes_of_two_operators_are_serialized(run_scenario):
    async def scenario(cluster):
        await cluster.run("sheet", "apply", "FILE", sheet=cluster.sheet)
        reports = await asyncio.gather(
            cluster.run_process("server", "drain", "b1"),
            cluster.run_process("datacentre", "out", "Osu"),
        )
        revisions = {report["revision"] for report in reports}
        plan = await cluster.plan()
        assert [write.revision for write in plan.history] == [1, 2, 3]
        assert revisions == {2, 3}
        assert plan.is_evacuated("Osu")
        assert plan.servers["b1"].state.value == "draining"

    run_scenario(scenario)
