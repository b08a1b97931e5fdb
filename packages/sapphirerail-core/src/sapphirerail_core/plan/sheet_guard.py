"""Whether a sheet is whole, as far as the plan's last sheet tells."""

from ..errors import SapphirerailError
from ..types import Revision, ServerId, ServerState
from .model import Plan, SheetRecord
from .sheet_line import ServerLine, Sheet

__all__ = ["SheetGuardError", "check_whole", "not_named", "record_of"]

LEAST_SHARE = 0.5
"""A sheet that names a smaller share of the last one's servers may be cut."""


class SheetGuardError(SapphirerailError):
    """A sheet that looks like a part of one."""


def check_whole(plan: Plan, sheet: Sheet) -> None:
    """Refuse a sheet that may have lost lines.

    Only planners who state a sheet's number of lines have such a check: without an
    earlier sheet that did so any sheet passes.

    Raises
    ------
    SheetGuardError
        ``sheet.end_missing`` if it does not state its number of lines any more;
        ``sheet.too_small`` if it names far fewer servers.
    """
    last = plan.sheet
    if last is None:
        return
    if not sheet.is_ended:
        raise SheetGuardError(
            "sheet.end_missing",
            f"the sheet of revision {last.revision} stated its {last.n_lines} lines "
            "and this one has no end line, so it may be cut; export it again, or "
            "apply it with --partial",
        )
    if sheet.n_servers < last.n_servers * LEAST_SHARE:
        raise SheetGuardError(
            "sheet.too_small",
            f"it names {sheet.n_servers} servers, the sheet of revision "
            f"{last.revision} named {last.n_servers}; look at `sapphirerail sheet "
            "diff`, export it again, or apply it with --partial",
        )


def record_of(sheet: Sheet, revision: Revision) -> SheetRecord:
    """Return what the plan keeps of a sheet that states its number of lines."""
    return SheetRecord(revision, sheet.n_lines, sheet.n_servers)


def not_named(plan: Plan, sheet: Sheet) -> tuple[ServerId, ...]:
    """Return the servers that have not left and that a sheet does not name."""
    named = {line.name for line in sheet.lines if isinstance(line, ServerLine)}
    return tuple(
        sorted(
            name
            for name, server in plan.servers.items()
            if server.state is not ServerState.LEFT and name not in named
        )
    )
