"""Commands that change single parts of the plan, and look at its history."""

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
    facades,
    run,
)
from .operator import SheetReport
from .sheet_commands import DEFAULT_WAIT_S, finish_change

__all__ = ["data_centre_command", "plan_command", "server_command", "service_command"]

LINE_NUMBER = 1

data_centre_command = typer.Typer(
    no_args_is_help=True, help="Take data centres out of service and back."
)
service_command = typer.Typer(
    no_args_is_help=True, help="Remove services from the plan."
)
server_command = typer.Typer(
    no_args_is_help=True, help="Move backend servers through their planned life."
)
plan_command = typer.Typer(no_args_is_help=True, help="The plan in the store.")

NameArgument = Annotated[str, typer.Argument(metavar="NAME")]
NamesArgument = Annotated[
    list[str], typer.Argument(metavar="NAME...", help="All in one revision.")
]


@data_centre_command.command("out")
def take_out(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Send no more packets to a data centre's servers; its flows are given up."""
    line = _data_centre_line(name, DataCentreState.OUT)
    _change([line], platform, operator, wait_s, json)


@data_centre_command.command("back")
def bring_back(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Let a data centre's servers take work again."""
    line = _data_centre_line(name, DataCentreState.IN)
    _change([line], platform, operator, wait_s, json)


@data_centre_command.command("remove")
def remove_data_centre(
    name: NameArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Remove a data centre that is out and whose servers have all left."""
    line = DataCentreLine(number=LINE_NUMBER, name=DataCentreId(name), is_removed=True)
    _change([line], platform, operator, wait_s, json)


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
    _change([line], platform, operator, wait_s, json)


@server_command.command("enter")
def enter_server(
    names: NamesArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Let a new server take work, one request at a time at first."""
    _change(
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
    """Let a server take work, or take it again after a drain."""
    _change(_server_lines(names, ServerState.ACTIVE), platform, operator, wait_s, json)


@server_command.command("drain")
def drain_server(
    names: NamesArgument,
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    wait_s: WaitOption = DEFAULT_WAIT_S,
    json: JsonOption = False,
) -> None:
    """Give a server no new work; its flows go on."""
    _change(
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
    """Take a server out of the plan; flows that are left there end."""
    _change(_server_lines(names, ServerState.LEFT), platform, operator, wait_s, json)


@plan_command.command("history")
def show_history(platform: PlatformOption = "", json: JsonOption = False) -> None:
    """Show the newest writes, in the one order that they took effect in."""
    history = run(facades(platform).plan.history)
    typer.echo(render.as_json(history) if json else render.history(history))


@plan_command.command("restore")
def restore_plan(
    platform: PlatformOption = "",
    operator: OperatorOption = "",
    json: JsonOption = False,
) -> None:
    """Write the newest plan of any instance into a store that lost writes."""
    found = facades(platform, operator)
    report = run(found.needed_fleet().restore)
    typer.echo(render.as_json(report) if json else render.restored(report))


def _data_centre_line(name: str, state: DataCentreState) -> SheetLine:
    return DataCentreLine(number=LINE_NUMBER, name=DataCentreId(name), state=state)


def _server_lines(names: list[str], state: ServerState) -> list[SheetLine]:
    return [
        ServerLine(number=number, name=ServerId(name), state=state)
        for number, name in enumerate(names, start=LINE_NUMBER)
    ]


def _change(
    lines: list[SheetLine], platform: str, operator: str, wait_s: float, json: bool
) -> None:
    found = facades(platform, operator)

    async def work() -> SheetReport:
        await check_store_not_behind(found)
        return await found.plan.change(lines)

    finish_change(found, run(work), wait_s, json)
