"""Rendering of reports as text or JSON."""

from collections.abc import Sequence
from datetime import UTC, datetime

import msgspec

from sapphirerail_core.plan.draft import LineResult, Outcome
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.sheet_line import Sheet

from .fleet_client import InstanceStatus, UnreachableInstance
from .fleet_operator import FleetReport, RestoreReport
from .plan_operator import SheetReport
from .progress import DataCentreProgress, Progress

__all__ = [
    "as_json",
    "change_report",
    "fleet_report",
    "history",
    "progress",
    "restore_report",
    "sheet_check",
    "sheet_report",
]

N_NAMES_SHOWN = 5
MS_PER_S = 1000


def as_json(value: object) -> str:
    """Return a report as one line of JSON."""
    return msgspec.json.encode(value).decode()


def sheet_check(sheet: Sheet) -> str:
    """Return the refused lines of a sheet as text, and the counts."""
    texts = [
        f"line {refusal.number}: {refusal.name}: refused: "
        f"{refusal.code.value}: {refusal.reason}"
        for refusal in sheet.refusals
    ]
    texts.append(f"{len(sheet.lines)} usable, {len(sheet.refusals)} refused")
    if not sheet.has_line_count:
        texts.append("no end line: a sheet that was cut short can't be detected")
    return "\n".join(texts)


def sheet_report(report: SheetReport) -> str:
    """Return the report of a sheet as text; unchanged lines are only counted."""
    texts = [_line_text(line) for line in report.lines]
    texts = [text for text in texts if text]
    texts += [f"concurrent write: {_write_text(write)}" for write in report.others]
    if report.not_named:
        texts.append(
            f"{len(report.not_named)} not named by the sheet, and left as they are: "
            f"{_join_names(report.not_named)}"
        )
    if report.doubt:
        texts.append(f"apply would refuse the sheet: {report.doubt}")
    texts.append(
        f"{report.n_changed} changed, {report.n_unchanged} unchanged, "
        f"{report.n_refused} refused; plan at revision {report.revision}"
    )
    if report.applied:
        texts.append(f"written as {report.write_id}")
    elif report.withheld:
        texts.append("nothing was written")
    return "\n".join(texts)


def change_report(report: SheetReport, rollout: Progress | None, json: bool) -> str:
    """Return the report of a change and its rollout progress."""
    if json:
        return as_json(msgspec.structs.asdict(report) | {"progress": rollout})
    texts = [sheet_report(report)]
    if rollout is not None:
        texts.append(progress(rollout))
    elif report.applied:
        texts.append("not known where it is in force: no key was given")
    return "\n".join(texts)


def progress(rollout: Progress) -> str:
    """Return the rollout progress of a revision as text, by data centre."""
    if not rollout.data_centres:
        return "the platform lists no instance"
    texts = [_data_centre_text(rollout.revision, part) for part in rollout.data_centres]
    texts.append(
        f"revision {rollout.revision} in force in {rollout.n_in_force} "
        f"of {rollout.n_listed} listed instances"
    )
    return "\n".join(texts)


def fleet_report(report: FleetReport) -> str:
    """Return the state of the fleet as text."""
    texts = []
    if report.store_revision is None:
        texts.append(f"store: no answer ({report.store_error})")
    else:
        texts.append(f"store: revision {report.store_revision}")
    texts.append(progress(report.progress))
    if report.data_centres_out:
        texts.append("taken out: " + ", ".join(report.data_centres_out))
    texts += _drain_texts(report.instances)
    n_more = report.progress.n_listed - len(report.instances)
    if n_more > 0:
        texts.append(f"flows and details without {n_more} more instances:")
    texts += [_instance_text(answer) for answer in report.instances]
    return "\n".join(texts)


def history(writes: Sequence[Write]) -> str:
    """Return the newest writes as text, oldest first."""
    return "\n".join(_write_text(write) for write in writes) or "no writes yet"


def restore_report(report: RestoreReport) -> str:
    """Return the report of a restore as text."""
    texts = [
        f"revision {report.instance_revision} of {report.instance} is in the store as "
        f"revision {report.revision} (the store had {report.store_revision})"
    ]
    texts += [f"discarded: {_write_text(write)}" for write in report.dropped]
    return "\n".join(texts)


def _line_text(line: LineResult) -> str:
    if line.outcome is Outcome.UNCHANGED:
        return ""
    if line.outcome is Outcome.CHANGED:
        return f"line {line.number}: {line.name}: changed at revision {line.revision}"
    return f"line {line.number}: {line.name}: refused: {line.code}: {line.reason}"


def _write_text(write: Write) -> str:
    written_at = datetime.fromtimestamp(write.at_ms / MS_PER_S, tz=UTC)
    return (
        f"revision {write.revision} by {write.operator or 'unknown'} "
        f"at {written_at:%Y-%m-%d %H:%M:%S} UTC, {write.n_changed} changes, "
        f"write {write.write_id}"
    )


def _data_centre_text(revision: int, part: DataCentreProgress) -> str:
    text = f"{part.data_centre}: revision {revision} in force in {part.n_in_force}"
    text += f" of {part.n_listed}"
    if part.behind:
        text += f"; behind: {_join_names(part.behind)}"
    if part.unknown:
        text += f"; not known: {_join_names(part.unknown)}"
    return text


def _join_names(names: Sequence[str]) -> str:
    shown = ", ".join(names[:N_NAMES_SHOWN])
    n_more = len(names) - N_NAMES_SHOWN
    return f"{shown} and {n_more} more" if n_more > 0 else shown


def _drain_texts(answers: Sequence[InstanceStatus | UnreachableInstance]) -> list[str]:
    n_flows: dict[str, int] = {}
    for answer in answers:
        if isinstance(answer, InstanceStatus):
            for server, n_flows_here in answer.flows.draining.items():
                n_flows[server] = n_flows.get(server, 0) + n_flows_here
    return [
        f"draining: {server}: {n_flows[server]} flows left"
        for server in sorted(n_flows)
    ]


def _instance_text(answer: InstanceStatus | UnreachableInstance) -> str:
    head = f"{answer.data_centre} {answer.instance}: "
    if isinstance(answer, UnreachableInstance):
        return head + f"not known ({answer.code}: {answer.reason})"
    plan = answer.plan
    text = f"{answer.phase}, revision {answer.revision}"
    if plan.taken_age_ms is not None:
        text += f" applied {_format_seconds(plan.taken_age_ms)} ago from {plan.source}"
    text += f", {answer.flows.n_flows} flows"
    if plan.contact_age_ms < 0:
        text += ", no store contact yet"
    else:
        text += f", last store contact {_format_seconds(plan.contact_age_ms)} ago"
    if plan.is_store_behind:
        text += f", store behind at revision {plan.store_revision}"
    if plan.store_error:
        text += f", store error {plan.store_error}"
    return head + text


def _format_seconds(time_ms: int) -> str:
    return f"{time_ms / MS_PER_S:.1f} s"
