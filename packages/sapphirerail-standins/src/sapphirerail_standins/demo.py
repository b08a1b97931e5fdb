"""Demonstrates a small system: a drain and an instance crash under load."""

import asyncio
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from rich.progress import (
    BarColumn,
    Progress,
    SpinnerColumn,
    TextColumn,
    TimeElapsedColumn,
)

from .clock import LoopClock
from .harness import System
from .invariants import check, report
from .sheets import first_sheet, render_sheet, server_row
from .summary import Summary
from .topology import SystemSpec, small_system
from .waiting import wait_until
from .workload import Workload

__all__ = ["Demo", "main"]

N_FEEDS = 30
N_UPLOADS = 6
N_PARTS = 40
PART_PAUSE_MS = 100.0
SETTLE_MS = 2000
SHEET_NAME = "sample_sheet.csv"


@dataclass
class Demo:
    """Runs the steps of the demonstration on a started system.

    Parameters
    ----------
    system : System
        The started system.
    report_lines : list of str
        Lines of the report, one per change that was made.
    """

    system: System
    report_lines: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.workload = Workload(list(self.system.callers.values()))

    def steps(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        """Return the steps in order, each with its description."""
        return [
            ("applying the sample sheet", self.apply_sheet),
            ("opening feeds and uploads", self.open_flows),
            ("draining a backend server", self.drain_server),
            ("killing an instance", self.kill_instance),
            ("waiting for all answers", self.finish),
        ]

    async def apply_sheet(self) -> None:
        """Apply a sheet of all running data centres, services and servers."""
        rows = first_sheet(self.system.spec, self.system.servers.running.values())
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / SHEET_NAME
            path.write_text(render_sheet(rows), encoding="utf-8")
            result = await self.system.operators.apply(rows, path=str(path))
        if not result.is_accepted:
            raise RuntimeError(
                f"the operator command did not apply the sheet: {result}"
            )
        await self._report_in_force(f"sheet of {len(rows)} lines", result.revision)
        await self.system.wait_leases_held()

    async def open_flows(self) -> None:
        """Start transactions, open feeds and uploads, and wait until all are open."""
        self.workload.start_transactions()
        feeds = self.workload.open_feeds(N_FEEDS)
        uploads = self.workload.start_uploads(
            N_UPLOADS, N_PARTS, pause_ms=PART_PAUSE_MS
        )
        await wait_until(
            "all flows open",
            lambda: (
                all(feed.n_events > 0 or feed.is_done for feed in feeds)
                and all(upload.is_open or upload.is_done for upload in uploads)
            ),
        )

    async def drain_server(self) -> None:
        """Drain the first backend server while its feeds continue."""
        server = next(iter(self.system.servers.running.values()))
        result = await self.system.operators.apply([server_row(server, "draining")])
        await self._report_in_force(f"drain of {server.spec.server}", result.revision)

    async def kill_instance(self) -> None:
        """Kill an instance and wait until every feed gets events again."""
        name = next(iter(self.system.instances.running))
        await self.system.instances.kill(name)
        killed_ms = LoopClock().now_ms()
        await wait_until(
            "every feed gets events after the kill",
            lambda: all(
                feed.is_done or feed.last_event_ms > killed_ms + SETTLE_MS
                for feed in self.workload.feeds
            ),
        )
        gap_ms = max(feed.longest_gap_ms for feed in self.workload.feeds)
        self.report_lines.append(
            f"instance {name} killed; longest gap of a feed {gap_ms} ms"
        )

    async def finish(self) -> None:
        """Wait for the uploads and transactions, then close the feeds."""
        await self.workload.stop_transactions()
        await wait_until("all requests have an outcome", self.workload.has_all_outcomes)
        for feed in self.workload.feeds:
            feed.close()

    async def _report_in_force(self, what: str, revision: int) -> None:
        await self.system.wait_in_force(revision)
        now_ms = LoopClock().now_ms()
        written_ms = await self.system.store_write_ms(revision)
        n_instances = len(self.system.instances.running)
        text = f"{what}: in force on {n_instances} instances"
        self.report_lines.append(f"{text} {now_ms - written_ms} ms after the write")


def demo_spec() -> SystemSpec:
    """Return the system of the demonstration: 3 data centres, 2 services."""
    return small_system(n_bookings=6, n_sketches=3)


async def run_demo(progress: Progress) -> tuple[list[str], bool]:
    """Start the system, run all steps and check the recorded history.

    Returns
    -------
    tuple of list of str and bool
        The report's lines, and whether all invariants held.
    """
    began_ms = LoopClock().now_ms()
    bar = progress.add_task("starting the processes", total=7)
    async with System(demo_spec()) as system:
        pids = system.launcher.pids()
        demo = Demo(system)
        progress.advance(bar)
        for text, step in demo.steps():
            progress.update(bar, description=text)
            await step()
            progress.advance(bar)
        progress.update(bar, description="checking the invariants")
        events = await system.history()
    violations = check(events)
    lines = [
        f"{len(pids)} processes: {len(system.spec.data_centres)} data centres, "
        f"{len(system.spec.servers)} backend servers, 2 services",
        *demo.report_lines,
        *Summary.from_events(events).lines(),
        f"invariant violations {len(violations)}",
        f"processes left       {len(system.launcher.pids())}",
        f"took {(LoopClock().now_ms() - began_ms) / 1000:.1f} s",
    ]
    progress.advance(bar)
    if violations:
        lines.append(report(violations))
    return lines, not violations


async def _run_until_signal(progress: Progress) -> tuple[list[str], bool]:
    """Run the demonstration; SIGTERM cancels it, which ends its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_demo(progress)


def main() -> int:
    """Run the demonstration.

    Returns
    -------
    int
        0 if all invariants held, else 1.
    """
    columns = (
        SpinnerColumn(),
        TextColumn("{task.description:<28}"),
        BarColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*columns) as progress:
        lines, is_ok = asyncio.run(_run_until_signal(progress))
    for line in lines:
        sys.stdout.write(line + "\n")
    return 0 if is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
