"""Progress display while a revision comes into force."""

import sys

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TaskID, TextColumn

from sapphirerail_core.types import Revision

from . import progress as progress_module
from .fleet_operator import FleetOperator

__all__ = ["watch_revision"]

MS_PER_S = 1000


async def watch_revision(
    fleet: FleetOperator, revision: Revision, wait_s: float
) -> progress_module.Progress:
    """Wait for a revision; on a terminal, show a progress bar per data centre.

    Parameters
    ----------
    fleet : FleetOperator
        Queries the instances.
    revision : Revision
        Revision to wait for.
    wait_s : float
        Longest time to wait.

    Returns
    -------
    Progress
        Rollout progress at the end of the wait.
    """
    console = Console(file=sys.stderr)
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TextColumn("{task.fields[note]}"),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    ) as bars:
        progress_bars = _ProgressBars(bars)
        return await fleet.wait(revision, int(wait_s * MS_PER_S), progress_bars.show)


class _ProgressBars:
    """Progress bars, one for each data centre."""

    def __init__(self, bars: Progress) -> None:
        self._bars = bars
        self._tasks: dict[str, TaskID] = {}

    def show(self, progress: progress_module.Progress) -> None:
        """Update the bars."""
        for part in progress.data_centres:
            name = part.data_centre
            task = self._tasks.get(name)
            if task is None:
                task = self._bars.add_task(name, total=part.n_listed, note="")
                self._tasks[name] = task
            note = f"{len(part.unknown)} not known" if part.unknown else ""
            self._bars.update(
                task, completed=part.n_in_force, total=part.n_listed, note=note
            )
