"""Operators who control a system through the ``sapphirerail`` command."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from .clock import LoopClock
from .history import HistoryEvent, PlanChanged, SheetAccepted
from .launcher import environment, program_path
from .sheets import SheetRow, render_sheet

__all__ = ["CommandResult", "Operators"]

COMMAND_TIMEOUT_MS = 60_000
OUTCOME_CHANGED = "changed"
EXIT_OK = 0
EXIT_NOT_IN_FORCE = 7


@dataclass(frozen=True)
class CommandResult:
    """Exit code and output of the command."""

    exit_code: int
    output: str
    errors: str

    @property
    def is_accepted(self) -> bool:
        """Whether all lines were accepted, whether or not they are in force yet."""
        return self.exit_code in (EXIT_OK, EXIT_NOT_IN_FORCE)

    @property
    def report(self) -> dict[str, Any]:
        """The JSON report; empty if the output is not JSON."""
        try:
            return msgspec.json.decode(self.output, type=dict[str, Any])
        except msgspec.MsgspecError:
            return {}

    @property
    def revision(self) -> int:
        """The revision that holds the accepted lines; 0 if it is not known."""
        return int(self.report.get("revision", 0))


class Operators:
    """Runs the command and records the lines that it reports as accepted.

    Parameters
    ----------
    platform : str
        The platform's address.
    """

    def __init__(self, platform: str) -> None:
        self.events: list[HistoryEvent] = []
        self._platform = platform

    async def run(
        self,
        *arguments: str,
        standard_input: str = "",
        timeout_ms: int = COMMAND_TIMEOUT_MS,
    ) -> CommandResult:
        """Run the command until it exits; kill it after a timeout."""
        process = await asyncio.create_subprocess_exec(
            program_path("sapphirerail"),
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment() | {"SAPPHIRERAIL_PLATFORM": self._platform},
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                output, errors = await process.communicate(standard_input.encode())
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        assert process.returncode is not None
        return CommandResult(process.returncode, output.decode(), errors.decode())

    async def apply(
        self,
        rows: Sequence[SheetRow],
        *flags: str,
        operator: str = "tests",
        path: str = "-",
    ) -> CommandResult:
        """Apply a sheet, from standard input or a file; record accepted lines.

        The command doesn't wait for the lines to be in force, because the checks
        measure how long that takes.
        """
        asked_ms = LoopClock().now_ms()
        result = await self.run(
            "sheet",
            "apply",
            path,
            "--json",
            "--wait",
            "0",
            "--operator",
            operator,
            *flags,
            standard_input=render_sheet(rows),
        )
        self._record_accepted(rows, result, asked_ms)
        return result

    def _record_accepted(
        self, rows: Sequence[SheetRow], result: CommandResult, asked_ms: int
    ) -> None:
        changed = {
            line["name"]
            for line in result.report.get("lines", [])
            if line.get("outcome") == OUTCOME_CHANGED
        }
        if not changed:
            return
        at_ms = LoopClock().now_ms()
        accepted = SheetAccepted(
            at_ms=at_ms, revision=result.revision, n_lines=len(changed)
        )
        self.events.append(accepted)
        for row in rows:
            if row.name in changed and row.state:
                event = PlanChanged(
                    at_ms=at_ms,
                    subject=row.name,
                    state=row.state,
                    asked_ms=asked_ms,
                )
                self.events.append(event)
