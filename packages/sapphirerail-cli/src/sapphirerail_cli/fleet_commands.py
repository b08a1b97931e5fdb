"""Commands that query the fleet."""

from typing import Annotated

import typer

from sapphirerail_core.errors import InputError
from sapphirerail_core.explain import Query, render_explanation
from sapphirerail_core.log_timeline import build_timeline, read_log, render_timeline
from sapphirerail_core.types import InstanceId, Revision

from . import render
from .exit_code import ExitCode
from .invocation import JsonOption, PlatformOption, make_facades, run_or_exit
from .revision_watch import watch_revision

__all__ = ["debug", "explain", "status", "wait"]

DEFAULT_TIMEOUT_S = 30.0
LOG_SUBJECT = "log"


def status(platform: PlatformOption = "", json: JsonOption = False) -> None:
    """Show the plan revision by data centre, and the status of each instance."""
    fleet = make_facades(platform).require_fleet()
    report = run_or_exit(fleet.status)
    typer.echo(render.as_json(report) if json else render.fleet_report(report))
    if not report.progress.is_complete:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def wait(
    revision: Annotated[int, typer.Option("--revision", help="Revision to wait for.")],
    platform: PlatformOption = "",
    timeout_s: Annotated[
        float, typer.Option("--timeout", help="Longest time to wait, in seconds.")
    ] = DEFAULT_TIMEOUT_S,
    json: JsonOption = False,
) -> None:
    """Wait until a revision is in force in every listed instance."""
    fleet = make_facades(platform).require_fleet()
    progress = run_or_exit(lambda: watch_revision(fleet, Revision(revision), timeout_s))
    typer.echo(render.as_json(progress) if json else render.progress(progress))
    if not progress.is_complete:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def explain(
    subject: Annotated[
        str, typer.Argument(help="flow, request, server or revision; or log.")
    ],
    identifier: Annotated[
        str,
        typer.Argument(
            metavar="ID", help="Number, FLOW/REQUEST or name; with log: a path, or -."
        ),
    ],
    platform: PlatformOption = "",
    json: JsonOption = False,
    flow: Annotated[
        str | None, typer.Option("--flow", help="With log: part of a flow's name.")
    ] = None,
    server: Annotated[
        str | None, typer.Option("--server", help="With log: a server's name.")
    ] = None,
) -> None:
    """Show what was decided about a subject: where, when, and for which reason."""
    if subject == LOG_SUBJECT:
        _explain_log(identifier, flow, server, json)
        return
    try:
        query = Query.from_text(subject, identifier)
    except InputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    fleet = make_facades(platform).require_fleet()
    explanation = run_or_exit(lambda: fleet.explain(query))
    typer.echo(render.as_json(explanation) if json else render_explanation(explanation))


def _explain_log(path: str, flow: str | None, server: str | None, json: bool) -> None:
    """Print the timeline of a flow or a server from decision logs."""
    if (flow is None) == (server is None):
        typer.echo("explain.one_subject: give either --flow or --server", err=True)
        raise typer.Exit(ExitCode.USAGE)
    try:
        with typer.open_file(path, encoding="utf-8", errors="replace") as file:
            timeline = build_timeline(read_log(file), flow=flow, server=server)
    except OSError as error:
        typer.echo(f"explain.no_log: {path}: {error.strerror}", err=True)
        raise typer.Exit(ExitCode.USAGE) from error
    typer.echo(render.as_json(timeline) if json else render_timeline(timeline))


def debug(
    instance: Annotated[
        str, typer.Argument(metavar="INSTANCE", help="Name of the instance.")
    ],
    platform: PlatformOption = "",
) -> None:
    """Print settings, status and decisions of an instance as JSON; never the key."""
    fleet = make_facades(platform).require_fleet()
    state = run_or_exit(lambda: fleet.debug(InstanceId(instance)))
    typer.echo(render.as_json(state))
