"""Command line of the entry instance."""

import asyncio
import os
import sys
from dataclasses import fields
from typing import Annotated, Any

import typer

from .application import Application
from .exit_code import ExitCode
from .log import LogContext, configure_logging
from .settings import Settings, SettingsError, SettingSource

__all__ = ["main"]

KEY_VARIABLE = "SAPPHIRERAIL_KEY"
ENVIRONMENT_PREFIX = "SAPPHIRERAIL_"

command = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def _option(flag: str, text: str) -> Any:
    variable = ENVIRONMENT_PREFIX + flag.removeprefix("--").replace("-", "_").upper()
    return typer.Option(flag, envvar=variable, help=text)


@command.command()
def run(
    context: typer.Context,
    instance: Annotated[str, _option("--instance", "Name of this instance.")] = "",
    data_centre: Annotated[
        str, _option("--data-centre", "Data centre of this instance.")
    ] = "",
    caller_address: Annotated[
        str, _option("--caller-address", "Address of the socket for callers.")
    ] = "127.0.0.1:0",
    server_address: Annotated[
        str, _option("--server-address", "Address of the socket for backend servers.")
    ] = "127.0.0.1:0",
    peer_address: Annotated[
        str, _option("--peer-address", "Address of the socket for other instances.")
    ] = "127.0.0.1:0",
    api_address: Annotated[
        str, _option("--api-address", "Address of the operators' API.")
    ] = "127.0.0.1:0",
    peer_advertised: Annotated[
        str | None,
        _option("--peer-advertised", "Address where peers reach this instance."),
    ] = None,
    api_advertised: Annotated[
        str | None,
        _option("--api-advertised", "Address where peers and operators reach the API."),
    ] = None,
    platform_address: Annotated[
        str, _option("--platform", "Address of the platform's service.")
    ] = "",
    statsd_address: Annotated[
        str | None,
        _option("--statsd", "Address of the statsd server; no metrics if absent."),
    ] = None,
    n_flows_max: Annotated[
        int, _option("--n-flows-max", "Capacity of the local flow table.")
    ] = 300_000,
    server_warm_up_ms: Annotated[
        int, _option("--server-warm-up-ms", "Longest warm-up of any server.")
    ] = 5_000,
    stop_linger_ms: Annotated[
        int,
        _option("--stop-linger-ms", "Time without traffic that completes a shutdown."),
    ] = 2_000,
    stop_timeout_ms: Annotated[
        int, _option("--stop-timeout-ms", "Timeout of a graceful shutdown.")
    ] = 60_000,
    ready_timeout_ms: Annotated[
        int, _option("--ready-timeout-ms", "Timeout of the wait for a first plan.")
    ] = 3_000,
    log_level: Annotated[
        str, _option("--log-level", "Minimum level: debug, info, warning or error.")
    ] = "info",
    seed: Annotated[int, _option("--seed", "Seed of random choices.")] = 0,
    print_settings: Annotated[
        bool, typer.Option("--print-settings", help="Print each value and its source.")
    ] = False,
) -> None:
    """Run one entry instance until it receives SIGTERM or SIGINT.

    The shared key is read only from the environment variable SAPPHIRERAIL_KEY.
    """
    config = {name: context.params[name] for name in _field_names()}
    config["key"] = os.environ.get(KEY_VARIABLE, "")
    try:
        settings = Settings.from_config(config)
    except SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.SETTINGS) from error
    if print_settings:
        _print_settings(context, settings)
        return
    log_context = LogContext(settings.instance, settings.data_centre)
    configure_logging(settings.log_level, log_context)
    raise typer.Exit(asyncio.run(_serve(settings, log_context)))


async def _serve(settings: Settings, log_context: LogContext) -> ExitCode:
    try:
        application = Application.from_config(settings, log_context)
    except OSError as error:
        typer.echo(f"settings.address_in_use: {error.strerror}", err=True)
        return ExitCode.ADDRESS_IN_USE
    return await application.run()


def _field_names() -> list[str]:
    return [field.name for field in fields(Settings) if field.name != "key"]


def _print_settings(context: typer.Context, settings: Settings) -> None:
    for name, text in settings.printable().items():
        typer.echo(f"{name} = {text}  ({_source(context, name).value})")


def _source(context: typer.Context, name: str) -> SettingSource:
    if name == "key":
        return SettingSource.ENVIRONMENT
    origin = context.get_parameter_source(name)
    if origin is None:
        return SettingSource.DEFAULT
    return {
        "COMMANDLINE": SettingSource.FLAG,
        "ENVIRONMENT": SettingSource.ENVIRONMENT,
    }.get(origin.name, SettingSource.DEFAULT)


def main() -> None:
    """Run the command line."""
    command()


if __name__ == "__main__":
    sys.exit(main())
