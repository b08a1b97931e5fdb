"""Reports as text or JSON."""

from datetime import UTC, datetime

import msgspec

from sapphirerail_core.plan.draft import LineResult, Outcome
from sapphirerail_core.plan.model import Write

from .operator import SheetReport

__all__ = ["as_json", "sheet_report"]


def as_json(value: object) -> str:
    """Return a report as one line of JSON."""
    return msgspec.json.encode(value).decode()


def sheet_report(report: SheetReport) -> str:
    """Return the report of a sheet as text; unchanged lines are only counted."""
    texts = [_line(line) for line in report.lines]
    texts = [text for text in texts if text]
    texts += [_other(write) for write in report.others]
    texts.append(
        f"{report.n_changed} changed, {report.n_unchanged} unchanged, "
        f"{report.n_refused} refused; plan at revision {report.revision}"
    )
    if report.applied:
        texts.append(f"written as {report.write_id}")
    elif report.withheld:
        texts.append("nothing was written")
    return "\n".join(texts)


def _line(line: LineResult) -> str:
    if line.outcome is Outcome.UNCHANGED:
        return ""
    if line.outcome is Outcome.CHANGED:
        return f"line {line.number}: {line.name}: changed at revision {line.revision}"
    return f"line {line.number}: {line.name}: refused: {line.code}: {line.reason}"


def _other(write: Write) -> str:
    at = datetime.fromtimestamp(write.at_ms / 1000, tz=UTC)
    return (
        f"revision {write.revision} by {write.operator or 'unknown'} came first "
        f"({write.n_changed} changes, {at:%H:%M:%S} UTC, write {write.write_id})"
    )
