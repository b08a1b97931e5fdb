"""Commands that check, compare and apply sheets."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import Sheet
from sapphirerail_core.types import Revision

from . import render
from .exit_code import ExitCode
from .invocation import (
    Facades,
    JsonOption,
    OperatorOption,
    PlatformOption,
    WaitOption,
    check_store_not_behind,
    make_facades,
    run_or_exit,
)
from .plan_operator import ApplyOptions, SheetReport
from .progress import Progress
from .revision_watch import watch_revision

__all__ = ["command", "finish_change"]

DEFAULT_WAIT_S = 10.0

command = typer.Typer(no_args_is_help=True, help="Check, compare and apply sheets.")

SheetFile = Annotated[
    Path, typer.Argument(metavar="FILE", help="CSV file; - reads standard input.")
]
BaseOption = Annotated[
    int | None,
    typer.Option(
        "--base",
        help="Refuse lines about parts of the plan that changed since this revision.",
    ),
]
AllOption = Annotated[
    bool,
    typer.Option("--all-or-nothing", help="Write nothing if any line is refused."),
]
PartialOption = Annotated[
    bool,
    typer.Option(
        "--partial", help="The sheet is a fragment: skip the check for truncation."
    ),
]


@command.command()
def check(file: SheetFile, json: JsonOption = False) -> None:
    """Check which lines of a sheet are usable, without any network access."""
    sheet = _read_sheet(file)
    typer.echo(render.as_json(sheet) if json else render.sheet_check(sheet))
    if sheet.refusals:
        raise typer.Exit(ExitCode.LINES_REFUSED)


@command.command()
def diff(
    file: SheetFile,
    platform: PlatformOption = "",
    base: BaseOption = None,
    partial: PartialOption = False,
    json: JsonOption = False,
) -> None:
    """Show what applying a sheet would change now, without writing."""
    sheet = _read_sheet(file)
    facades = make_facades(platform)
    options = ApplyOptions(base=_to_revision(base), partial=partial)
    report = run_or_exit(lambda: facades.plan.diff(sheet, options))
    typer.echo(render.as_json(report) if json else render.sheet_report(report))
    if report.doubt:
        raise typer.Exit(ExitCode.NOTHING_APPLIED)
    if report.n_refused:
        raise typer.Exit(ExitCode.LINES_REFUSED)


@command.command()
def apply(
    file: SheetFile,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    base: BaseOption = None,
    all_or_nothing: AllOption = False,
    partial: PartialOption = False,
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Apply the lines of a sheet to the plan, in one revision."""
    sheet = _read_sheet(file)
    facades = make_facades(platform, operator)
    options = ApplyOptions(
        base=_to_revision(base), all_or_nothing=all_or_nothing, partial=partial
    )

    async def work() -> SheetReport:
        await check_store_not_behind(facades)
        return await facades.plan.apply(sheet, options)

    finish_change(facades, run_or_exit(work), wait_s, json)


def finish_change(
    facades: Facades, report: SheetReport, wait_s: float, json: bool
) -> None:
    """Wait for a change to come into force, print the report, and set the exit code.

    Parameters
    ----------
    facades : Facades
        Facades of the plan and the fleet.
    report : SheetReport
        Result of each line.
    wait_s : float
        Longest time to wait; 0 asks each instance once.
    json : bool
        Whether to print JSON.
    """
    progress: Progress | None = None
    fleet = facades.fleet
    if fleet is not None and not report.withheld and report.revision > 0:
        progress = run_or_exit(lambda: watch_revision(fleet, report.revision, wait_s))
    typer.echo(render.change_report(report, progress, json))
    if report.n_refused:
        is_none_applied = report.withheld or report.n_changed + report.n_unchanged == 0
        code = ExitCode.NOTHING_APPLIED if is_none_applied else ExitCode.LINES_REFUSED
        raise typer.Exit(code)
    if progress is not None and progress.n_in_force < progress.n_listed:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def _read_sheet(file: Path) -> Sheet:
    try:
        payload = sys.stdin.buffer.read() if str(file) == "-" else file.read_bytes()
    except OSError as error:
        typer.echo(f"{file}: {error.strerror}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    try:
        return parse_sheet(payload)
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.NOTHING_APPLIED) from error


def _to_revision(number: int | None) -> Revision | None:
    return None if number is None else Revision(number)
