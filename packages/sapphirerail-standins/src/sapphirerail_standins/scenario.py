"""Runs a scenario on a whole system and checks all promises after it."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from .clock import LoopClock
from .conversations import Feed
from .harness import System
from .history import HistoryEvent
from .invariants import Limits, check, report
from .topology import SystemSpec
from .waiting import wait_until
from .workload import Workload

__all__ = ["Scenario", "feeds_go_on", "run_scenario"]

Scenario = Callable[[System, Workload], Awaitable[None]]

RUN_TIMEOUT_MS = 120_000
HOLD_INTERVAL_MS = 30.0
FAULT_MARKS = ("Traceback (most recent call last)", "exception was never retrieved")


def run_scenario(
    spec: SystemSpec, scenario: Scenario, limits: Limits | None = None
) -> list[HistoryEvent]:
    """Start a system, run a scenario, and check what was seen.

    Parameters
    ----------
    spec : SystemSpec
        What to start.
    scenario : callable
        What is done; it gets the system and its callers.
    limits : Limits or None
        Times that the promises leave open.

    Returns
    -------
    list of HistoryEvent
        The whole history, for further checks.

    Raises
    ------
    AssertionError
        A promise was broken, an instance logged an exception, or a process was
        left behind.
    """
    return asyncio.run(_run(spec, scenario, limits))


async def _run(
    spec: SystemSpec, scenario: Scenario, limits: Limits | None
) -> list[HistoryEvent]:
    async with asyncio.timeout(RUN_TIMEOUT_MS / 1000), System(spec) as system:
        await system.apply_first_sheet()
        workload = Workload(list(system.callers.values()), HOLD_INTERVAL_MS)
        await scenario(system, workload)
        await wait_until("all requests have an outcome", workload.is_answered)
        events = await system.history()
        _check_logs(system)
    violations = check(events, limits)
    if violations:
        raise AssertionError(report(violations))
    if system.launcher.pids():
        raise AssertionError(f"processes left: {system.launcher.pids()}")
    return events


async def feeds_go_on(feeds: Sequence[Feed], timeout_ms: int = 20_000) -> int:
    """Wait until each open feed had an event that was sent after now.

    Parameters
    ----------
    feeds : sequence of Feed
        Feeds that are expected to live.
    timeout_ms : int
        When to give up.

    Returns
    -------
    int
        Milliseconds until then.
    """
    counts = {feed.flow: feed.n_events for feed in feeds}
    began_ms = LoopClock().now_ms()
    await wait_until(
        "every feed goes on",
        lambda: all(
            feed.is_done or feed.n_events > counts[feed.flow] + 2 for feed in feeds
        ),
        timeout_ms,
    )
    return LoopClock().now_ms() - began_ms


def _check_logs(system: System) -> None:
    for child in system.launcher.children:
        output = child.output()
        if any(mark in output for mark in FAULT_MARKS):
            raise AssertionError(f"{child.name} logged an exception:\n{output}")
