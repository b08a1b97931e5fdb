"""Facade that reads and changes the plan in the store."""

import time
import uuid
from collections.abc import Sequence

import msgspec

from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.draft import (
    Change,
    LineResult,
    Outcome,
    apply_lines,
    refused_result,
)
from sapphirerail_core.plan.model import Write, WriteId
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sheet_completeness import (
    IncompleteSheetError,
    check_complete,
    sheet_record_of,
    unlisted_servers,
)
from sapphirerail_core.plan.sheet_line import (
    DataCentreLine,
    Refusal,
    RefusalReason,
    ServerLine,
    Sheet,
    SheetLine,
)
from sapphirerail_core.plan.store import Store
from sapphirerail_core.types import Revision, ServerId

__all__ = ["ApplyOptions", "PlanOperator", "SheetReport"]


class ApplyOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options for applying a sheet.

    Parameters
    ----------
    base : Revision or None
        Revision that the sheet is based on: lines about parts that changed since
        then are refused. None means the revision at the start of the call.
    all_or_nothing : bool
        Apply nothing if any line is refused.
    partial : bool
        The sheet is a fragment, so it is not checked for truncation against the last
        whole sheet.
    """

    base: Revision | None = None
    all_or_nothing: bool = False
    partial: bool = False


class SheetReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a sheet or of a single change.

    Parameters
    ----------
    revision : Revision
        Revision of the plan that holds the accepted lines.
    write_id : WriteId
        Name of the write; empty if nothing was written.
    applied : bool
        Whether this call changed the plan.
    withheld : bool
        Whether lines that could be applied were not written: always in `diff`, and
        with `all_or_nothing` if another line is refused.
    n_changed, n_unchanged, n_refused : int
        Numbers of lines by outcome.
    others : tuple of Write
        Concurrent writes by others that took effect before this one.
    lines : tuple of LineResult
        The result of each line.
    not_named : tuple of ServerId
        Servers in the plan that have not left and are missing from the sheet; `diff`
        only.
    doubt : str
        Why `apply` would refuse the sheet as truncated; `diff` only.
    """

    revision: Revision
    write_id: WriteId
    applied: bool
    withheld: bool
    n_changed: int
    n_unchanged: int
    n_refused: int
    others: tuple[Write, ...]
    lines: tuple[LineResult, ...]
    not_named: tuple[ServerId, ...] = ()
    doubt: str = ""


class PlanOperator:
    """Reads and changes the plan for the command line.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    name : str
        Operator's name in the plan's history.
    """

    def __init__(self, store: Store, name: str) -> None:
        self._repository = PlanRepository(store)
        self._name = name

    async def diff(self, sheet: Sheet, options: ApplyOptions) -> SheetReport:
        """Return the report that `apply` would give now, without writing."""
        plan = (await self._repository.read()).plan
        change = _apply_lines(plan, sheet.lines, options, plan.revision)
        report = _report(sheet, change, (), WriteId(""))
        return msgspec.structs.replace(
            report,
            not_named=unlisted_servers(plan, sheet),
            doubt="" if options.partial else _truncation_error(plan, sheet),
        )

    async def change(self, lines: Sequence[SheetLine]) -> SheetReport:
        """Apply lines about existing parts of the plan, in one revision.

        Only a sheet may add a part: otherwise a mistyped name in a single command
        would create one.
        """
        plan = (await self._repository.read()).plan
        known = tuple(line for line in lines if _is_known(plan, line))
        reason = "the plan has no such name; only a sheet can add one"
        refusals = tuple(
            Refusal(line.number, line.name, RefusalReason.UNKNOWN, reason)
            for line in lines
            if not _is_known(plan, line)
        )
        options = ApplyOptions(base=plan.revision, partial=True)
        return await self.apply(Sheet(known, refusals, ""), options)

    async def history(self) -> tuple[Write, ...]:
        """Return the newest writes, oldest first."""
        return (await self._repository.read()).plan.history

    async def store_revision(self) -> Revision:
        """Return the revision in the store; 0 if it holds none."""
        return (await self._repository.read()).plan.revision

    async def apply(self, sheet: Sheet, options: ApplyOptions) -> SheetReport:
        """Apply a sheet's lines in one revision.

        Raises
        ------
        PlanWriteError
            Nothing was written, or the outcome is unknown.
        IncompleteSheetError
            The sheet may be truncated; nothing was written.
        """
        first_revisions: list[Revision] = []

        def decide(plan: Plan) -> Change:
            first_revisions.append(plan.revision)
            if not options.partial:
                check_complete(plan, sheet)
            change = _apply_lines(plan, sheet.lines, options, first_revisions[0])
            if options.all_or_nothing and _n_refused(sheet, change):
                return Change(plan, change.results, 0)
            return _with_sheet_record(sheet, change) if not options.partial else change

        write = Write(
            revision=Revision(0),
            write_id=WriteId(uuid.uuid4().hex),
            operator=self._name,
            at_ms=_now_ms(),
            sheet_digest=sheet.digest,
        )
        committed = await self._repository.commit(decide, write)
        is_written = any(
            known.write_id == write.write_id for known in committed.change.plan.history
        )
        write_id = write.write_id if is_written else WriteId("")
        return _report(sheet, committed.change, committed.others, write_id)


def _with_sheet_record(sheet: Sheet, change: Change) -> Change:
    """Record the size of a sheet with an end line in the plan."""
    if not sheet.has_line_count or change.n_changed == 0:
        return change
    record = sheet_record_of(sheet, change.plan.revision)
    plan = msgspec.structs.replace(change.plan, sheet=record)
    return msgspec.structs.replace(change, plan=plan)


def _truncation_error(plan: Plan, sheet: Sheet) -> str:
    try:
        check_complete(plan, sheet)
    except IncompleteSheetError as error:
        return str(error)
    return ""


def _is_known(plan: Plan, line: SheetLine) -> bool:
    if not isinstance(line, ServerLine) and line.is_removed:
        # Removing a part twice changes nothing; the draft refuses unknown names.
        return True
    if isinstance(line, DataCentreLine):
        return line.name in plan.data_centres
    if isinstance(line, ServerLine):
        return line.name in plan.servers
    return line.name in plan.services


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _apply_lines(
    plan: Plan,
    lines: Sequence[SheetLine],
    options: ApplyOptions,
    first_revision: Revision,
) -> Change:
    base = first_revision if options.base is None else options.base
    return apply_lines(plan, lines, base, _now_ms())


def _n_refused(sheet: Sheet, change: Change) -> int:
    refused = [line for line in change.results if line.outcome is Outcome.REFUSED]
    return len(sheet.refusals) + len(refused)


def _report(
    sheet: Sheet, change: Change, others: tuple[Write, ...], write_id: WriteId
) -> SheetReport:
    lines = [*change.results, *(refused_result(refusal) for refusal in sheet.refusals)]
    lines.sort(key=lambda line: line.number)
    counts = {outcome: 0 for outcome in Outcome}
    for line in lines:
        counts[line.outcome] += 1
    return SheetReport(
        revision=change.plan.revision,
        write_id=write_id,
        applied=bool(write_id),
        withheld=counts[Outcome.CHANGED] > 0 and not write_id,
        n_changed=counts[Outcome.CHANGED],
        n_unchanged=counts[Outcome.UNCHANGED],
        n_refused=counts[Outcome.REFUSED],
        others=others,
        lines=tuple(lines),
    )
