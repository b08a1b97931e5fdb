"""Run a tenant of present-day size through a day's changes: ``python -m lab.today``.

The system has four data centres with four instances each, and two services with 7 and 4
backend servers. Its load is slot holds at a steady rate, feeds and uploads. After each
step the refusals, the unanswered holds and the longest feed gap of that step are
printed as one line of JSON.
"""

import asyncio
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import typer

from sapphirerail_standins.clock import LoopClock
from sapphirerail_standins.harness import System
from sapphirerail_standins.history import Answered, HistoryEvent, Refused, TimedOut
from sapphirerail_standins.invariants import check, report
from sapphirerail_standins.sheets import data_centre_row, server_row
from sapphirerail_standins.summary import Summary
from sapphirerail_standins.topology import BOOKINGS, SystemSpec, small_system
from sapphirerail_standins.waiting import wait_until
from sapphirerail_standins.workload import Workload

DATA_CENTRES = ("osu", "madina", "tema", "kaneshie")
N_INSTANCES = 4
N_BOOKINGS = 7
N_SKETCHES = 4
STEP_MS = 4_000


class StepReport(msgspec.Struct, frozen=True):
    """Outcomes for callers during one step."""

    step: str
    took_ms: int
    n_answered: int
    refusals: dict[str, int]
    n_without_outcome: int
    longest_feed_gap_ms: int


@dataclass
class Day:
    """A series of planned changes and failures under load.

    Parameters
    ----------
    system : System
        The system under load.
    workload : Workload
        Load of the callers.
    reports : list of StepReport
        One for each completed step.
    """

    system: System
    workload: Workload
    reports: list[StepReport] = field(default_factory=list)

    def steps(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        """Return the steps in order."""
        return [
            ("steady", self.steady),
            ("drain a server", self.drain),
            ("activate it again", self.activate),
            ("stop an instance", self.stop_instance),
            ("kill an instance", self.kill_instance),
            ("take a data centre out", self.take_out),
            ("bring it back", self.bring_back),
        ]

    async def run(self) -> None:
        """Run all steps."""
        for name, step in self.steps():
            started_ms = LoopClock().now_ms()
            for feed in self.workload.feeds:
                feed.longest_gap_ms = 0
            await step()
            await asyncio.sleep(STEP_MS / 1000)
            events = await self.system.history()
            recent = [event for event in events if event.at_ms >= started_ms]
            self.reports.append(self._report(name, started_ms, recent))

    def _report(
        self, name: str, started_ms: int, events: list[HistoryEvent]
    ) -> StepReport:
        refused = Counter(
            f"{event.code.name} run {event.run.name}"
            for event in events
            if isinstance(event, Refused)
        )
        open_feeds = [feed for feed in self.workload.feeds if not feed.is_done]
        return StepReport(
            step=name,
            took_ms=LoopClock().now_ms() - started_ms,
            n_answered=sum(isinstance(event, Answered) for event in events),
            refusals=dict(refused),
            n_without_outcome=sum(isinstance(event, TimedOut) for event in events),
            longest_feed_gap_ms=max((f.longest_gap_ms for f in open_feeds), default=0),
        )

    async def steady(self) -> None:
        """Change nothing, as a baseline."""

    async def drain(self) -> None:
        """Drain the first backend server."""
        await self._set_first_server("draining")

    async def activate(self) -> None:
        """Activate the drained server again."""
        await self._set_first_server("active")

    async def stop_instance(self) -> None:
        """Stop the instance with the most flows gracefully."""
        await self.system.instances.stop(await self._busiest_instance())

    async def kill_instance(self) -> None:
        """Kill the instance with the most flows."""
        await self.system.instances.kill(await self._busiest_instance())

    async def take_out(self) -> None:
        """Evacuate a data centre."""
        await self._set_data_centre("out")

    async def bring_back(self) -> None:
        """Return the evacuated data centre to service."""
        await self._set_data_centre("in")

    async def _busiest_instance(self) -> str:
        n_flows = {}
        for name in self.system.instances.running:
            status = await self.system.instances.call(name, "/status")
            n_flows[name] = status["flows"]["n_flows"]
        return max(n_flows, key=lambda name: n_flows[name])

    async def _set_first_server(self, state: str) -> None:
        server = next(iter(self.system.servers.running.values()))
        result = await self.system.operators.apply([server_row(server, state)])
        await self.system.wait_in_force(result.revision)

    async def _set_data_centre(self, state: str) -> None:
        rows = [data_centre_row(DATA_CENTRES[-1], state)]
        result = await self.system.operators.apply(rows)
        await self.system.wait_in_force(result.revision)


def today_spec(service_ms: float) -> SystemSpec:
    """Return the specification of a tenant of present-day size."""
    return small_system(
        settings={"service_ms": service_ms},
        n_bookings=N_BOOKINGS,
        n_sketches=N_SKETCHES,
        data_centres=DATA_CENTRES,
        n_instances=N_INSTANCES,
    )


async def run_day(
    hold_interval_ms: float, n_feeds: int, service_ms: float
) -> list[str]:
    """Run the series and return the lines of the report."""
    async with System(today_spec(service_ms)) as system:
        await system.apply_first_sheet()
        callers = list(system.callers.values())
        async with Workload(callers, hold_interval_ms) as workload:
            # Feeds send nothing to their server, so only the fleet can restore them.
            workload.feeds += [
                callers[number % len(callers)].feed(BOOKINGS, sends_keepalives=False)
                for number in range(n_feeds)
            ]
            day = Day(system, workload)
            await day.run()
        await wait_until("all holds are answered", workload.has_all_outcomes)
        events = await system.history()
    lines = [msgspec.json.encode(step).decode() for step in day.reports]
    violations = check(events)
    lines += Summary.from_events(events).lines()
    return [*lines, f"broken promises {len(violations)}", report(violations)]


def main(
    hold_interval_ms: float = 10.0, n_feeds: int = 100, service_ms: float = 20.0
) -> None:
    """Run the series and print the report.

    Capacity is 14 slots / service_ms; with 200 ms, a hold every 7 ms is twice that.
    """
    for line in asyncio.run(run_day(hold_interval_ms, n_feeds, service_ms)):
        sys.stdout.write(line + "\n")


if __name__ == "__main__":
    application = typer.Typer(pretty_exceptions_enable=False)
    application.command()(main)
    application()
