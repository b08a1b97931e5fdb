"""The operators' command line."""

import asyncio
import getpass
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from sapphirerail_core.errors import InputError, SapphirerailError
from sapphirerail_core.plan.repository import PlanWriteError
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import Sheet
from sapphirerail_core.plan.store import StoreError
from sapphirerail_core.types import Revision
from sapphirerail_transport.store import HttpStore

from . import render
from .exit_code import ExitCode
from .operator import ApplyOptions, Operator, SheetReport
from .settings import CliSettings

__all__ = ["main"]

ResultT = TypeVar("ResultT")

command = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False
)
sheet_command = typer.Typer(no_args_is_help=True, help="The morning sheet.")
command.add_typer(sheet_command, name="sheet")

SheetFile = Annotated[
    Path, typer.Argument(metavar="FILE", help="CSV file; - reads standard input.")
]
PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform", envvar="SAPPHIRERAIL_PLATFORM", help="Platform's address:port."
    ),
]
OperatorOption = Annotated[
    str,
    typer.Option(
        "--operator", envvar="SAPPHIRERAIL_OPERATOR", help="Name for the history."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
BaseOption = Annotated[
    int | None,
    typer.Option(
        "--base", help="Refuse lines about parts that changed after this revision."
    ),
]
AllOption = Annotated[
    bool,
    typer.Option("--all-or-nothing", help="Write nothing if any line is refused."),
]


@sheet_command.command("check")
def check_sheet(file: SheetFile, json: JsonOption = False) -> None:
    """Read a sheet and tell which lines can be used; asks nobody."""
    sheet = _read_sheet(file)
    if json:
        typer.echo(render.as_json(sheet))
    else:
        for refusal in sheet.refusals:
            text = f"{refusal.name}: refused: {refusal.code.value}: {refusal.reason}"
            typer.echo(f"line {refusal.number}: {text}")
        typer.echo(f"{len(sheet.lines)} usable, {len(sheet.refusals)} refused")
    if sheet.refusals:
        raise typer.Exit(ExitCode.LINES_REFUSED)


@sheet_command.command("diff")
def diff_sheet(
    file: SheetFile,
    platform: PlatformOption = "",
    base: BaseOption = None,
    json: JsonOption = False,
) -> None:
    """Tell what applying a sheet would change now."""
    sheet = _read_sheet(file)
    operator = _operator(platform, "")
    options = ApplyOptions(base=_revision(base))
    report = _run(lambda: operator.diff(sheet, options))
    _print_report(report, json)
    if report.n_refused:
        raise typer.Exit(ExitCode.LINES_REFUSED)


@sheet_command.command("apply")
def apply_sheet(
    file: SheetFile,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    base: BaseOption = None,
    all_or_nothing: AllOption = False,
    json: JsonOption = False,
) -> None:
    """Write the lines of a sheet into the plan, in one revision."""
    sheet = _read_sheet(file)
    facade = _operator(platform, operator)
    options = ApplyOptions(base=_revision(base), all_or_nothing=all_or_nothing)
    report = _run(lambda: facade.apply(sheet, options))
    _print_report(report, json)
    if report.n_refused:
        usable = report.n_changed + report.n_unchanged
        nothing = report.withheld or not usable
        code = ExitCode.NOTHING_APPLIED if nothing else ExitCode.LINES_REFUSED
        raise typer.Exit(code)


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


def _operator(platform: str, name: str) -> Operator:
    try:
        settings = CliSettings.from_config(
            platform, name or getpass.getuser(), os.environ
        )
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    return Operator(HttpStore(settings.platform), settings.operator)


def _revision(number: int | None) -> Revision | None:
    return None if number is None else Revision(number)


def _print_report(report: SheetReport, json: bool) -> None:
    typer.echo(render.as_json(report) if json else render.sheet_report(report))


def _run(work: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Run a call of the facade and turn its errors into exit codes."""

    async def scenario() -> ResultT:
        return await work()

    try:
        return asyncio.run(scenario())
    except PlanWriteError as error:
        is_unknown = error.code == "plan.unknown_outcome"
        code = ExitCode.UNKNOWN_OUTCOME if is_unknown else ExitCode.NOT_WRITTEN
        raise _failed(error, code) from error
    except (StoreError, InputError) as error:
        raise _failed(error, ExitCode.NOT_WRITTEN) from error


def _failed(error: SapphirerailError, code: ExitCode) -> typer.Exit:
    typer.echo(str(error), err=True)
    return typer.Exit(code)


def main() -> None:
    """Run the command line."""
    command()


if __name__ == "__main__":
    main()
