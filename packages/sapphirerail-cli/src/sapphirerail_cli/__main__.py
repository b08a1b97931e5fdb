"""Entry point of the operators' command line."""

import typer

from . import fleet_commands, plan_commands, sheet_commands

__all__ = ["command", "main"]

command = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False
)
command.add_typer(sheet_commands.command, name="sheet")
command.add_typer(plan_commands.data_centre_command, name="datacentre")
command.add_typer(plan_commands.service_command, name="service")
command.add_typer(plan_commands.server_command, name="server")
command.add_typer(plan_commands.plan_command, name="plan")
command.command("status")(fleet_commands.status)
command.command("wait")(fleet_commands.wait)
command.command("explain")(fleet_commands.explain)
command.command("debug")(fleet_commands.debug)


def main() -> None:
    """Run the command line."""
    command()


if __name__ == "__main__":
    main()
