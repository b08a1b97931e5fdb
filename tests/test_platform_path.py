"""Entry processes on the platform's protocols, with stand-ins around them."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

import pytest

from sapphirerail_standins import platform_demo
from sapphirerail_standins.platform_store import StoreFault
from sapphirerail_standins.platform_system import PlatformSystem
from sapphirerail_standins.waiting import wait_until

# Operators' changes are in force within this time.
IN_FORCE_MS = 3_000


def run_scenario(scenario, **sizes):
    async def run():
        async with PlatformSystem(**sizes) as system:
            await scenario(system)

    asyncio.run(run())


async def request_all(flows, text=b"hello"):
    return await asyncio.gather(*(flow.send_request(text) for flow in flows))


async def kill_and_restart(system, victim):
    """Kill an instance, restart it and route all packets to it once it is ready."""
    victim.send_signal(signal.SIGKILL)
    await victim.wait()
    await victim.start()
    await wait_until("ready", lambda: system.is_ready(victim), IN_FORCE_MS)
    system.in_rotation = [victim]


async def is_refused(system) -> bool:
    try:
        await system.open()
    except ConnectionResetError:
        return True
    return False


def test_the_demo_of_the_platform_passes(capsys):
    assert platform_demo.main() == 0
    assert "broken" not in capsys.readouterr().out


def test_requests_of_many_flows_get_their_own_answers():
    async def scenario(system):
        flows = await asyncio.gather(*(system.open() for _ in range(40)))
        answers = await request_all(flows)
        assert {answer.split(b":")[0] for answer in answers} == {
            b"server-1",
            b"server-2",
        }
        assert all(answer.endswith(b":hello") for answer in answers)
        assert all(server.n_misdirected == 0 for server in system.servers)

    run_scenario(scenario)


def test_flows_continue_through_another_instance_after_a_kill():
    async def scenario(system):
        flows = [await system.open() for _ in range(20)]
        before = await request_all(flows)
        victim = system.instances[0]
        victim.send_signal(signal.SIGKILL)
        system.in_rotation.remove(victim)
        assert await request_all(flows) == before
        await victim.start()
        await wait_until("back", lambda: system.is_ready(victim))
        system.in_rotation = [victim]
        assert await request_all(flows) == before

    run_scenario(scenario)


def test_a_planned_stop_leaves_the_rotation_first_and_breaks_no_flow():
    async def scenario(system):
        leaving = system.instances[0]
        flows = [await system.open() for _ in range(20)]
        before = await request_all(flows)
        leaving.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert not await system.is_ready(leaving)
        # Routers detect it later; until then the instance still forwards.
        assert await request_all(flows) == before
        system.in_rotation.remove(leaving)
        assert await leaving.wait() == 0
        assert await request_all(flows) == before
        assert system.store.keys("sapphirerail/instances/") == [
            "sapphirerail/instances/osu-2"
        ]

    run_scenario(scenario)


def test_a_removed_route_is_refused_and_not_restored_by_an_older_version():
    async def scenario(system):
        flow = await system.open()
        await system.configure(5, has_route=False)
        await wait_until("refused", lambda: is_refused(system), IN_FORCE_MS)
        with pytest.raises(ConnectionResetError):
            await flow.send_request(b"x")
        await system.configure(4, has_route=True)
        await asyncio.sleep(1.0)
        assert await is_refused(system)

    run_scenario(scenario)


@pytest.mark.parametrize("name", ["i-00000001", "i-00c0ffee"])
@pytest.mark.parametrize("kind", ["unreadable", "incomplete", "later"])
def test_an_entry_of_another_writer_costs_a_live_server_no_flow(name, kind):
    # Guards against an entry that counts as the departure of a live server, under its
    # own name or with its address.
    async def scenario(system):
        flows = [await system.open() for _ in range(20)]
        before = await request_all(flows)
        whole = system.entry_of(system.servers[0])
        required = ("service", "address", "zone", "slots", "state")
        stray = {
            "unreadable": b"\xff\x00 not an entry",
            "incomplete": {field: whole[field] for field in required},
            "later": whole,
        }
        await system.store.put(f"servers/{name}", stray[kind])
        # A missing entry counts as a departure after 3.5 s without a failed call.
        for _ in range(12):
            assert await request_all(flows) == before
            await asyncio.sleep(0.4)

    run_scenario(scenario)


def test_a_draining_server_keeps_its_flows_and_gets_no_new_ones():
    async def scenario(system):
        leaving = system.servers[0]
        flows = [await system.open() for _ in range(20)]
        before = await request_all(flows)
        await system.announce(leaving, state="draining")
        await asyncio.sleep(IN_FORCE_MS / 1000)
        n_openings = leaving.n_openings
        later = [await system.open() for _ in range(20)]
        await request_all(later)
        assert leaving.n_openings == n_openings
        assert await request_all(flows) == before

    run_scenario(scenario)


def test_an_evacuated_data_centre_gets_no_new_flow_until_it_is_back():
    async def scenario(system):
        await system.store.put("op/evacuate/osu", {})
        await wait_until("refused", lambda: is_refused(system), IN_FORCE_MS)
        await system.store.remove("op/evacuate/osu")

        async def is_open():
            return not await is_refused(system)

        await wait_until("open again", is_open, IN_FORCE_MS)

    run_scenario(scenario)


def test_an_unresponsive_server_delays_new_flows_only_briefly():
    async def scenario(system):
        system.servers[0].is_unresponsive = True
        flows = [await asyncio.wait_for(system.open(), 0.2) for _ in range(20)]
        answers = await request_all(flows)
        assert {answer.split(b":")[0] for answer in answers} == {b"server-2"}

    run_scenario(scenario)


@pytest.mark.parametrize(
    "fault",
    [
        StoreFault.UNRESPONSIVE,
        StoreFault.BUSY,
        StoreFault.RATE_LIMITED,
        StoreFault.SLOW,
    ],
)
def test_without_the_store_flows_open_and_continue(fault):
    async def scenario(system):
        flows = [await system.open() for _ in range(10)]
        before = await request_all(flows)
        system.store.fault = fault
        await asyncio.sleep(2.5)
        assert await request_all(flows) == before
        await request_all([await system.open() for _ in range(10)])
        system.store.fault = StoreFault.NONE
        await system.configure(9, has_route=False)
        await wait_until("refused", lambda: is_refused(system), IN_FORCE_MS)

    run_scenario(scenario)


def test_an_instance_that_starts_without_the_store_reads_from_peers():
    async def scenario(system):
        flows = [await system.open() for _ in range(10)]
        before = await request_all(flows)
        system.store.fault = StoreFault.BUSY
        await kill_and_restart(system, system.instances[0])
        assert await request_all(flows) == before

    run_scenario(scenario)


def test_without_seeds_an_instance_reads_from_peers_that_contact_it():
    async def scenario(system):
        flows = [await system.open() for _ in range(10)]
        before = await request_all(flows)
        system.store.fault = StoreFault.BUSY
        victim = system.instances[0]
        text = victim.settings.read_text()
        lines = [line for line in text.splitlines() if not line.startswith("seeds")]
        victim.settings.write_text("\n".join(lines))
        await kill_and_restart(system, victim)
        assert await request_all(flows) == before

    run_scenario(scenario)


def test_entries_that_expire_during_a_store_outage_break_no_flow():
    async def scenario(system):
        flows = [await system.open() for _ in range(10)]
        before = await request_all(flows)
        system.store.fault = StoreFault.BUSY
        await asyncio.sleep(2.5)
        for server in system.servers:
            await system.withdraw(server)
        system.store.fault = StoreFault.NONE
        await asyncio.sleep(1.5)
        assert await request_all(flows) == before
        for server in system.servers:
            await system.announce(server)
        await asyncio.sleep(1.0)
        assert await request_all(flows) == before

    run_scenario(scenario)


def test_no_change_in_quick_succession_is_missed():
    async def scenario(system):
        for _ in range(3):
            await system.store.put("op/evacuate/osu", {})
            await system.store.remove("op/evacuate/osu")
        for version in (7, 8, 9):
            await system.configure(version, has_route=version == 8)
        await wait_until("refused", lambda: is_refused(system), IN_FORCE_MS)
        await system.configure(10, has_route=True)

        async def all_serve() -> bool:
            states = [await system.state(entry) for entry in system.instances]
            operator_states = [state["picture"]["operator_state"] for state in states]
            return all(t[2][0] == 10 and t[3] == [] for t in operator_states)

        await wait_until("served again by all", all_serve, IN_FORCE_MS)
        await request_all([await system.open() for _ in range(10)])

    run_scenario(scenario)


def test_only_one_instance_of_an_idle_fleet_reads_the_store():
    async def scenario(system):
        await asyncio.sleep(1.0)
        n_before = system.store.n_calls
        await asyncio.sleep(3.0)
        # One read per half second, and one renewal per instance every 5 s.
        n_calls_max = 3.0 / 0.5 + 1 + len(system.instances)
        assert 2 <= system.store.n_calls - n_before <= n_calls_max

    run_scenario(scenario)


def test_a_registration_whose_answer_was_lost_is_repeated():
    async def scenario(system):
        system.store.fault = StoreFault.LOST_ANSWERS
        system.instances[0].send_signal(signal.SIGKILL)
        await system.instances[0].wait()
        await system.instances[0].start()
        await wait_until("ready", lambda: system.is_ready(system.instances[0]))
        system.store.fault = StoreFault.NONE

        def both() -> bool:
            return len(system.store.keys("sapphirerail/instances/")) == 2

        await wait_until("registered", both)
        await request_all([await system.open() for _ in range(4)])

    run_scenario(scenario)


def test_malformed_entries_are_skipped_and_the_others_apply():
    async def scenario(system):
        await system.store.put("servers/i-zz", b"\xff\x00 not an entry")
        await system.store.put("servers/i-00000077", {"service": 7})
        await system.store.put("op/note", b"[")
        await asyncio.sleep(1.0)
        await request_all([await system.open() for _ in range(10)])
        for entry in system.instances:
            state = await system.state(entry)
            assert len(state["picture"]["servers"]) == 2
        await asyncio.sleep(1.5)
        lines = [
            line
            for entry in system.instances
            for line in entry.log_records("server_entry_skipped")
        ]
        # Each reader logs each malformed entry once, not at each read.
        assert 2 <= len(lines) <= 2 * len(system.instances)

    run_scenario(scenario)


def test_changed_settings_are_reloaded_with_and_without_a_signal():
    async def scenario(system):
        entry = system.instances[0]
        text = entry.settings.read_text()
        entry.settings.write_text(text.replace("graceS = 6", "graceS = 5"))
        entry.send_signal(signal.SIGHUP)
        await wait_until("reloaded", lambda: bool(entry.log_records("reloaded")), 1_500)
        entry.settings.write_text("broken = [")
        await wait_until("refused", lambda: bool(entry.log_records("reload_refused")))
        entry.settings.write_text(text)
        await wait_until("reloaded", lambda: len(entry.log_records("reloaded")) >= 2)
        await request_all([await system.open() for _ in range(4)])

    run_scenario(scenario)


def is_bound(address) -> bool:
    # A probe that binds the address itself can make the starting process fail to.
    host, port = address
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    rows = Path("/proc/net/udp").read_text().splitlines()[1:]
    return f"{number:08X}:{port:04X}" in (row.split()[1] for row in rows)


def test_a_signal_to_read_settings_during_the_start_ends_nothing():
    # Soak seed 21: SIGHUP arrived before its handler and ended the process.
    async def scenario(system):
        entry = system.instances[0]
        entry.send_signal(signal.SIGKILL)
        await entry.wait()
        await entry.start()
        # The packet socket is bound before the imports.
        address = (entry.host, system.packet_port)
        async with asyncio.timeout(IN_FORCE_MS / 1000):
            while not is_bound(address):
                await asyncio.sleep(0.001)
        entry.send_signal(signal.SIGHUP)
        await wait_until("ready", lambda: system.is_ready(entry), IN_FORCE_MS)

    run_scenario(scenario)


def test_logs_and_figures_tell_what_was_done_with_a_flow():
    async def scenario(system):
        flow = await system.open()
        await flow.send_request(b"x")
        openings = [
            line
            for entry in system.instances
            for line in entry.log_records("flow_opening")
        ]
        (opening,) = openings
        assert opening["reason"] == "new_flow"
        assert opening["configuration"] == 1
        assert opening["directory_age_ms"] < IN_FORCE_MS
        metrics = [await system.metrics(entry) for entry in system.instances]
        assert any('label="new_flow"' in text for text in metrics)

    run_scenario(scenario)


def test_a_metrics_port_in_use_disables_only_the_metrics():
    async def scenario(system):
        entry = system.instances[0]
        with socket.socket() as taken:
            taken.bind((entry.host, 0))
            taken.listen()
            port = taken.getsockname()[1]
            entry.environment["SAPPHIRERAIL_METRICS_PORT"] = str(port)
            entry.send_signal(signal.SIGKILL)
            await entry.wait()
            await entry.start()
            await wait_until("ready", lambda: system.is_ready(entry))
        assert entry.log_records("metrics_unavailable")
        system.in_rotation = [entry]
        await request_all([await system.open() for _ in range(4)])

    run_scenario(scenario)


def test_a_paused_instance_continues_after_it_resumes():
    async def scenario(system):
        flows = [await system.open() for _ in range(10)]
        before = await request_all(flows)
        paused = system.instances[0]
        paused.send_signal(signal.SIGSTOP)
        system.in_rotation.remove(paused)
        await system.configure(3)
        await asyncio.sleep(1.5)
        assert await request_all(flows) == before
        paused.send_signal(signal.SIGCONT)
        await wait_until("ready", lambda: system.is_ready(paused))
        system.in_rotation = [paused]
        assert await request_all(flows) == before

    run_scenario(scenario)
