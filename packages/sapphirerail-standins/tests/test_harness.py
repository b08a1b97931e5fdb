import asyncio
import os
import sys

import pytest

from sapphirerail_standins.child import Child, ChildError
from sapphirerail_standins.harness import System
from sapphirerail_standins.history import ServerFailed, ServerPlaced
from sapphirerail_standins.sheets import first_sheet, render_sheet
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

READY = "import sys, time; print('{}', flush=True); time.sleep(600)"
STUBBORN = "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN);" + READY


def _first_leaf(error):
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def _is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize("has_links", [False, True])
def test_system_leaves_no_process_running(has_links):
    async def scenario():
        spec = small_system(n_instances=0, has_links=has_links)
        async with System(spec) as system:
            pids = system.launcher.pids()
            await system.servers.kill("bookings-1")
            events = await system.history()
        return pids, events

    pids, events = asyncio.run(scenario())
    n_links = int(has_links)
    assert len(pids) == 1 + n_links + 3 + 5
    assert not any(_is_running(pid) for pid in pids)
    kinds = [type(event) for event in events]
    assert kinds.count(ServerPlaced) == 5
    assert kinds.count(ServerFailed) == 1


def test_system_that_fails_to_start_leaves_no_process_running():
    async def scenario():
        spec = small_system(n_instances=0, settings={"n_slots": "wrong"})
        system = System(spec)
        with pytest.raises(ExceptionGroup) as error_info:
            async with system:
                pass
        return system.launcher.pids(), error_info.value

    pids, group = asyncio.run(scenario())
    assert pids == []
    error_info, others = group.split(ChildError)
    assert others is None
    assert "n_slots" in str(_first_leaf(error_info))


def test_child_that_ignores_sigterm_is_killed():
    async def scenario():
        child = await Child.start("stubborn", [sys.executable, "-c", STUBBORN])
        with pytest.raises(ChildError):
            await child.stop(timeout_ms=100)
        return child

    assert not asyncio.run(scenario()).is_running


def test_suspended_child_exits_on_sigterm():
    async def scenario():
        child = await Child.start("plain", [sys.executable, "-c", READY])
        child.pause()
        return await child.stop()

    assert asyncio.run(scenario()) == -15


def test_timeout_error_names_the_condition():
    with pytest.raises(TimeoutError, match="some condition"):
        asyncio.run(wait_until("some condition", lambda: False, timeout_ms=1))


def test_first_sheet_lists_the_whole_system():
    async def scenario():
        async with System(small_system(n_instances=0)) as system:
            servers = list(system.servers.running.values())
            return render_sheet(first_sheet(system.spec, servers)), servers

    text, servers = asyncio.run(scenario())
    rows = text.splitlines()
    assert len(rows) == 1 + 3 + 2 + 5
    assert all(server.address in text for server in servers)
