"""Runs a scenario on a whole system and then checks all invariants."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from .clock import LoopClock
from .conversation_kinds import Feed
from .harness import System
from .history import HistoryEvent
from .invariants import Limits, check, report
from .topology import SystemSpec
from .waiting import wait_until
from .workload import Workload

__all__ = ["Scenario", "run_scenario", "wait_for_feed_progress"]

Scenario = Callable[[System, Workload], Awaitable[None]]

RUN_TIMEOUT_MS = 120_000
TRANSACTION_INTERVAL_MS = 30.0
EXCEPTION_MARKERS = (
    "Traceback (most recent call last)",
    "exception was never retrieved",
)


def run_scenario(
    spec: SystemSpec, scenario: Scenario, limits: Limits | None = None
) -> list[HistoryEvent]:
    """Start a system, run a scenario and check the recorded history.

    Parameters
    ----------
    spec : SystemSpec
        What to start.
    scenario : callable
        Coroutine function that is given the system and its workload.
    limits : Limits or None
        Time limits of the invariants.

    Returns
    -------
    list of HistoryEvent
        The complete history, for further checks.

    Raises
    ------
    AssertionError
        An invariant was violated, a process logged an exception, or a process was
        left running.
    """
    return asyncio.run(_run(spec, scenario, limits))


async def _run(
    spec: SystemSpec, scenario: Scenario, limits: Limits | None
) -> list[HistoryEvent]:
    async with asyncio.timeout(RUN_TIMEOUT_MS / 1000), System(spec) as system:
        await system.apply_first_sheet()
        workload = Workload(list(system.callers.values()), TRANSACTION_INTERVAL_MS)
        await scenario(system, workload)
        await wait_until("all requests have an outcome", workload.has_all_outcomes)
        events = await system.history()
        _check_logs(system)
    violations = check(events, limits)
    if violations:
        raise AssertionError(report(violations))
    if system.launcher.pids():
        raise AssertionError(f"processes still running: {system.launcher.pids()}")
    return events


async def wait_for_feed_progress(
    feeds: Sequence[Feed], timeout_ms: int = 20_000
) -> int:
    """Wait until each open feed received events that were sent after the call.

    Up to two events may be in transit at the call, so three are awaited.

    Parameters
    ----------
    feeds : sequence of Feed
        Feeds to wait for; those that have ended are skipped.
    timeout_ms : int
        When to raise `TimeoutError`.

    Returns
    -------
    int
        Milliseconds until the condition held.
    """
    counts = {feed.flow: feed.n_events for feed in feeds}
    start_ms = LoopClock().now_ms()
    await wait_until(
        "every open feed receives new events",
        lambda: all(
            feed.is_done or feed.n_events > counts[feed.flow] + 2 for feed in feeds
        ),
        timeout_ms,
    )
    return LoopClock().now_ms() - start_ms


def _check_logs(system: System) -> None:
    for child in system.launcher.children:
        output = child.output()
        if any(marker in output for marker in EXCEPTION_MARKERS):
            raise AssertionError(f"{child.name} logged an exception:\n{output}")
