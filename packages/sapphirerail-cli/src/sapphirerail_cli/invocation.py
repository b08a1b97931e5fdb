"""Parts shared by all commands: options, facades, errors as exit codes."""

import asyncio
import getpass
import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated, TypeVar

import typer

from sapphirerail_core.errors import InputError, SapphirerailError
from sapphirerail_core.fleet.listing import InstanceList
from sapphirerail_core.plan.repository import PlanWriteError
from sapphirerail_core.plan.sheet_completeness import IncompleteSheetError
from sapphirerail_core.plan.store import StoreError
from sapphirerail_core.types import Revision
from sapphirerail_transport.listing import HttpInstanceList
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.store import HttpStore

from .exit_code import ExitCode
from .fleet_client import FleetClient, StaticInstanceList
from .fleet_operator import FleetOperator
from .plan_operator import PlanOperator
from .settings import CliSettings

__all__ = [
    "Facades",
    "JsonOption",
    "OperatorOption",
    "PlatformOption",
    "WaitOption",
    "check_store_not_behind",
    "make_facades",
    "run_or_exit",
]

ResultT = TypeVar("ResultT")

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
WaitOption = Annotated[
    float,
    typer.Option("--wait", help="Seconds to watch the change come into force."),
]


@dataclass(frozen=True, slots=True)
class Facades:
    """The facades that the commands call.

    Parameters
    ----------
    plan : PlanOperator
        Changes the plan.
    fleet : FleetOperator or None
        Queries instances; None without the shared key.
    """

    plan: PlanOperator
    fleet: FleetOperator | None

    def require_fleet(self) -> FleetOperator:
        """Return the fleet's facade; exit with a usage error if there is no key."""
        if self.fleet is None:
            typer.echo(
                "give the key in SAPPHIRERAIL_KEY or SAPPHIRERAIL_KEY_FILE", err=True
            )
            raise typer.Exit(ExitCode.USAGE)
        return self.fleet


def make_facades(platform: str, operator: str = "") -> Facades:
    """Return the facades for these options; exit if a setting is invalid."""
    try:
        name = operator or getpass.getuser()
        settings = CliSettings.from_config(platform, name, os.environ)
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    store = HttpStore(settings.platform)
    fleet = None
    if settings.key:
        signer = Signer(settings.key)
        listing: InstanceList = HttpInstanceList(settings.platform)
        if settings.instances:
            listing = StaticInstanceList(settings.instances, signer)
        client = FleetClient(listing, signer)
        fleet = FleetOperator(store, client, settings.operator)
    return Facades(PlanOperator(store, settings.operator), fleet)


def run_or_exit(work: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Run a facade call to completion, and exit with a code if it fails."""

    async def call() -> ResultT:
        return await work()

    try:
        return asyncio.run(call())
    except PlanWriteError as error:
        is_unknown = error.code == "plan.unknown_outcome"
        code = ExitCode.UNKNOWN_OUTCOME if is_unknown else ExitCode.NOT_WRITTEN
        raise _report_failure(error, code) from error
    except StoreError as error:
        message = f"no answer from the store; nothing was changed: {error}"
        typer.echo(message, err=True)
        raise typer.Exit(ExitCode.NOT_WRITTEN) from error
    except IncompleteSheetError as error:
        raise _report_failure(error, ExitCode.NOTHING_APPLIED) from error
    except InputError as error:
        raise _report_failure(error, ExitCode.NOT_WRITTEN) from error
    except SapphirerailError as error:
        raise _report_failure(error, ExitCode.FAILED) from error


async def check_store_not_behind(facades: Facades) -> None:
    """Exit if instances hold a higher revision than the store.

    A change written to a store that lost writes would never come into force:
    instances refuse its revision, which is not above theirs.
    """
    if facades.fleet is None:
        return
    # The fleet is read first: a revision reaches the store before any instance, so
    # a concurrent write does not make the store look behind.
    in_fleet = await facades.fleet.highest_sampled_revision()
    in_store: Revision = await facades.plan.store_revision()
    if in_fleet > in_store:
        typer.echo(
            f"plan.store_behind: the store has revision {in_store}, instances have "
            f"{in_fleet}; see `sapphirerail plan restore`",
            err=True,
        )
        raise typer.Exit(ExitCode.STORE_BEHIND)


def _report_failure(error: SapphirerailError, code: ExitCode) -> typer.Exit:
    typer.echo(str(error), err=True)
    return typer.Exit(code)
