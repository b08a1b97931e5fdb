"""Detects truncated sheets by the size of the last sheet that stated it."""

from ..errors import SapphirerailError
from ..types import Revision, ServerId, ServerState
from .model import Plan, SheetRecord
from .sheet_line import ServerLine, Sheet

__all__ = [
    "IncompleteSheetError",
    "check_complete",
    "sheet_record_of",
    "unlisted_servers",
]

MIN_SERVERS_SHARE = 0.5
"""A sheet that names a smaller share of the previous one's servers may be truncated."""


class IncompleteSheetError(SapphirerailError):
    """A sheet that seems to be truncated."""


def check_complete(plan: Plan, sheet: Sheet) -> None:
    """Refuse a sheet that may have lost lines.

    The check applies only once an earlier sheet has stated its number of lines; until
    then any sheet passes.

    Raises
    ------
    IncompleteSheetError
        ``sheet.end_missing`` if it does not state its number of lines;
        ``sheet.too_small`` if it names far fewer servers than the previous one.
    """
    previous = plan.sheet
    if previous is None:
        return
    if not sheet.has_line_count:
        raise IncompleteSheetError(
            "sheet.end_missing",
            f"the sheet of revision {previous.revision} stated its {previous.n_lines} "
            "lines and this one has no end line, so it may be truncated; export it "
            "again, or apply it with --partial",
        )
    if sheet.n_servers < previous.n_servers * MIN_SERVERS_SHARE:
        raise IncompleteSheetError(
            "sheet.too_small",
            f"it names {sheet.n_servers} servers, the sheet of revision "
            f"{previous.revision} named {previous.n_servers}; check `sapphirerail "
            "sheet diff`, export it again, or apply it with --partial",
        )


def sheet_record_of(sheet: Sheet, revision: Revision) -> SheetRecord:
    """Return the plan's record of a sheet that states its number of lines."""
    return SheetRecord(revision, sheet.n_lines, sheet.n_servers)


def unlisted_servers(plan: Plan, sheet: Sheet) -> tuple[ServerId, ...]:
    """Return the servers that have not left and are missing in a sheet."""
    named = {line.name for line in sheet.lines if isinstance(line, ServerLine)}
    return tuple(
        sorted(
            name
            for name, server in plan.servers.items()
            if server.state is not ServerState.LEFT and name not in named
        )
    )
