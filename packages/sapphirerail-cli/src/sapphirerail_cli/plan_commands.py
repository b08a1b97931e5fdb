"""Commands that change single parts of the plan, show its history or restore it."""

from typing import Annotated

import typer

from sapphirerail_core.plan.sheet_line import (
    DataCentreLine,
    ServerLine,
    ServiceLine,
    SheetLine,
)
from sapphirerail_core.types import (
    DataCentreId,
    DataCentreState,
    ServerId,
    ServerState,
    ServiceId,
)

from . import render
from .invocation import (
    JsonOption,
    OperatorOption,
    PlatformOption,
    WaitOption,
    check_store_not_behind,
    make_facades,
    run_or_exit,
)
from .plan_operator import SheetReport
from .sheet_commands import DEFAULT_WAIT_S, finish_change

__all__ = ["data_centre_command", "plan_command", "server_command", "service_command"]

LINE_NUMBER = 1

data_centre_command = typer.Typer(
    no_args_is_help=True,
    help="Evacuate data centres, return them to service, or remove them.",
)
service_command = typer.Typer(
    no_args_is_help=True, help="Remove services from the plan."
)
server_command = typer.Typer(
    no_args_is_help=True, help="Change the planned state of backend servers."
)
plan_command = typer.Typer(
    no_args_is_help=True,
    help="Show the plan's history, or restore the plan in the store.",
)

NameArgument = Annotated[str, typer.Argument(metavar="NAME")]
NamesArgument = Annotated[
    list[str],
    typer.Argument(metavar="NAME...", help="Names to change in one revision."),
]


@data_centre_command.command("out")
def take_out(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Stop sending packets to a data centre's servers, and abandon its flows."""
    line = _data_centre_line(name, DataCentreState.OUT)
    _apply_change([line], platform, operator, wait_s, json)


@data_centre_command.command("back")
def bring_back(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Return a data centre's servers to service."""
    line = _data_centre_line(name, DataCentreState.IN)
    _apply_change([line], platform, operator, wait_s, json)


@data_centre_command.command("remove")
def remove_data_centre(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Remove an evacuated data centre whose servers have all left."""
    line = DataCentreLine(number=LINE_NUMBER, name=DataCentreId(name), is_removed=True)
    _apply_change([line], platform, operator, wait_s, json)


@service_command.command("remove")
def remove_service(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Remove a service whose servers have all left."""
    line = ServiceLine(number=LINE_NUMBER, name=ServiceId(name), is_removed=True)
    _apply_change([line], platform, operator, wait_s, json)


@server_command.command("enter")
def enter_server(
    names: NamesArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Add a new server to service, with one request at a time at first."""
    _apply_change(
        _server_lines(names, ServerState.ENTERING), platform, operator, wait_s, json
    )


@server_command.command("activate")
def activate_server(
    names: NamesArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Put a server into service, also after a drain."""
    _apply_change(
        _server_lines(names, ServerState.ACTIVE), platform, operator, wait_s, json
    )


@server_command.command("drain")
def drain_server(
    names: NamesArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Drain a server: no new work, existing flows continue."""
    _apply_change(
        _server_lines(names, ServerState.DRAINING), platform, operator, wait_s, json
    )


@server_command.command("leave")
def leave_server(
    names: NamesArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Remove a server from the plan; its remaining flows end."""
    _apply_change(
        _server_lines(names, ServerState.LEFT), platform, operator, wait_s, json
    )


@plan_command.command("history")
def show_history(platform: PlatformOption = "", json: JsonOption = False) -> None:
    """Show the newest writes in the order in which they took effect."""
    history = run_or_exit(make_facades(platform).plan.history)
    typer.echo(render.as_json(history) if json else render.history(history))


@plan_command.command("restore")
def restore_plan(
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    json: JsonOption = False,
) -> None:
    """Restore a store that lost writes, from the newest plan of any instance."""
    facades = make_facades(platform, operator)
    report = run_or_exit(facades.require_fleet().restore)
    typer.echo(render.as_json(report) if json else render.restore_report(report))


def _data_centre_line(name: str, state: DataCentreState) -> SheetLine:
    return DataCentreLine(number=LINE_NUMBER, name=DataCentreId(name), state=state)


def _server_lines(names: list[str], state: ServerState) -> list[SheetLine]:
    return [
        ServerLine(number=number, name=ServerId(name), state=state)
        for number, name in enumerate(names, start=LINE_NUMBER)
    ]


def _apply_change(
    lines: list[SheetLine], platform: str, operator: str, wait_s: float, json: bool
) -> None:
    facades = make_facades(platform, operator)

    async def work() -> SheetReport:
        await check_store_not_behind(facades)
        return await facades.plan.change(lines)

    finish_change(facades, run_or_exit(work), wait_s, json)
