"""Explain a flow, request, server or revision from many decision journals."""

from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from .errors import InputError
from .journal import JournalEntry
from .types import InstanceId

__all__ = [
    "Answer",
    "Explanation",
    "Line",
    "Query",
    "Subject",
    "TimedAnswer",
    "Unreached",
    "answer_query",
    "merge_answers",
    "render_explanation",
    "select_entries",
]


class Subject(Enum):
    """Types of objects that can be explained."""

    FLOW = "flow"
    REQUEST = "request"
    SERVER = "server"
    REVISION = "revision"


class Query(msgspec.Struct, frozen=True):
    """Object whose decisions are requested.

    Parameters
    ----------
    subject : Subject
        Type of the object.
    id : str
        Its id: a number for a flow or a revision, ``FLOW/REQUEST`` or a request's
        number, or the name of a server.
    """

    subject: Subject
    id: str

    @classmethod
    def from_text(cls, subject: str, id_text: str) -> "Query":
        """Validate the input and return a query.

        Raises
        ------
        InputError
            ``explain.unknown_subject`` or ``explain.bad_id``.

        Examples
        --------
        >>> Query.from_text("request", "12/3").id
        '12/3'
        """
        try:
            query = cls(Subject(subject), id_text)
        except ValueError as error:
            known = ", ".join(kind.value for kind in Subject)
            raise InputError(
                "explain.unknown_subject",
                f"unknown subject {subject!r}; expected one of: {known}",
            ) from error
        parts = id_text.split("/") if query.subject is Subject.REQUEST else [id_text]
        is_number = len(parts) <= 2 and all(part.isdecimal() for part in parts)
        if query.subject is not Subject.SERVER and not is_number:
            raise InputError(
                "explain.bad_id",
                f"invalid {subject} id {id_text!r}; expected a number, or "
                "FLOW/REQUEST for a request",
            )
        return query


class Answer(msgspec.Struct, frozen=True):
    """Matching decisions of one instance.

    Parameters
    ----------
    instance : InstanceId
        Instance that answers.
    now_ms : int
        Time of the answer, on the same clock as the entries.
    entries : list of JournalEntry
        Matching decisions, oldest first.
    oldest_ms : int or None
        Time of the oldest entry in its ring buffer; older decisions have been
        overwritten. None if the ring buffer is empty.
    """

    instance: InstanceId
    now_ms: int
    entries: list[JournalEntry]
    oldest_ms: int | None = None


class Unreached(msgspec.Struct, frozen=True):
    """Instance that did not answer, and the reason."""

    instance: InstanceId
    reason: str


class Line(msgspec.Struct, frozen=True):
    """Decision with its age, by which the decisions of all instances are ordered.

    Parameters
    ----------
    ago_ms : int
        Age at the time of the query, in milliseconds.
    entry : JournalEntry
        The decision.
    """

    ago_ms: int
    entry: JournalEntry


class Explanation(msgspec.Struct, frozen=True):
    """Merged answers of all instances.

    Parameters
    ----------
    query : Query
        The query.
    lines : list of Line
        All decisions, oldest first.
    uncertainty_ms : int
        Decisions of different instances that are closer together than this may
        have happened in the opposite order.
    remembered_ms : int
        Period that the journals of all answering instances cover; older decisions
        may be missing.
    answered : list of InstanceId
        Instances that answered, sorted.
    unreached : list of Unreached
        Instances that did not answer.
    """

    query: Query
    lines: list[Line]
    uncertainty_ms: int
    remembered_ms: int
    answered: list[InstanceId]
    unreached: list[Unreached]


class TimedAnswer(msgspec.Struct, frozen=True):
    """Answer with the querying process's send and receive times of the call."""

    answer: Answer
    sent_ms: int
    received_ms: int


def _matches(query: Query, entry: JournalEntry) -> bool:
    match query.subject:
        case Subject.FLOW:
            return entry.flow is not None and str(entry.flow) == query.id
        case Subject.SERVER:
            return entry.server is not None and entry.server == query.id
        case Subject.REVISION:
            return str(entry.revision) == query.id
        case Subject.REQUEST:
            return _matches_request(query.id, entry)


def _matches_request(id_text: str, entry: JournalEntry) -> bool:
    if not entry.request:
        return False
    flow, separator, request = id_text.rpartition("/")
    if separator and str(entry.flow) != flow:
        return False
    return str(entry.request) == request


def select_entries(query: Query, entries: Iterable[JournalEntry]) -> list[JournalEntry]:
    """Return the entries that match a query, in their original order."""
    return [entry for entry in entries if _matches(query, entry)]


def answer_query(
    query: Query, instance: InstanceId, entries: Sequence[JournalEntry], now_ms: int
) -> Answer:
    """Answer a query from the decision journal of one instance.

    Parameters
    ----------
    query : Query
        The query.
    instance : InstanceId
        The instance that answers.
    entries : sequence of JournalEntry
        All entries of its decision journal, oldest first.
    now_ms : int
        Current time, on the same clock as the entries.
    """
    oldest_ms = entries[0].at_ms if entries else None
    return Answer(instance, now_ms, select_entries(query, entries), oldest_ms)


def merge_answers(
    query: Query, answers: Sequence[TimedAnswer], unreached: Sequence[Unreached]
) -> Explanation:
    """Merge the answers of several instances, oldest decision first.

    The clocks of the instances are not synchronized, so each entry is ordered by its
    age: the answering instance's clock gives the age at the time of the answer, and
    the answer was created between the send and receive times of the call. The
    midpoint of the two is used; the error for one instance is at most half the
    duration of the longest call, so two instances differ by at most one whole call.

    Parameters
    ----------
    query : Query
        The query.
    answers : sequence of TimedAnswer
        Answers received.
    unreached : sequence of Unreached
        Instances that did not answer.
    """
    queried_ms = max((timed.received_ms for timed in answers), default=0)
    lines = [
        Line(
            queried_ms - _midpoint_ms(timed) + timed.answer.now_ms - entry.at_ms, entry
        )
        for timed in answers
        for entry in timed.answer.entries
    ]
    lines.sort(key=lambda line: -line.ago_ms)
    calls_ms = [timed.received_ms - timed.sent_ms for timed in answers]
    remembered = [
        timed.answer.now_ms - timed.answer.oldest_ms
        for timed in answers
        if timed.answer.oldest_ms is not None
    ]
    return Explanation(
        query=query,
        lines=lines,
        uncertainty_ms=max(calls_ms, default=0),
        remembered_ms=min(remembered, default=0),
        answered=sorted(timed.answer.instance for timed in answers),
        unreached=sorted(unreached, key=lambda missing: missing.instance),
    )


def _midpoint_ms(timed: TimedAnswer) -> int:
    return (timed.sent_ms + timed.received_ms) // 2


def render_explanation(explanation: Explanation) -> str:
    """Format an explanation as text, one decision per line, oldest first."""
    query = explanation.query
    lines = [f"{query.subject.value} {query.id}"]
    lines += [_render_line(line) for line in explanation.lines]
    if not explanation.lines:
        lines.append("no instance that answered remembers a matching decision")
    lines.append(
        f"answered: {len(explanation.answered)} instances; order uncertain within "
        f"{explanation.uncertainty_ms} ms; all journals cover the last "
        f"{explanation.remembered_ms / 1000:.1f} s"
    )
    lines += [f"no answer: {u.instance} ({u.reason})" for u in explanation.unreached]
    return "\n".join(lines)


def _render_line(line: Line) -> str:
    entry = line.entry
    parts = [
        f"-{line.ago_ms / 1000:.3f} s",
        entry.instance,
        f"revision {entry.revision}",
        entry.reason.value,
    ]
    if entry.flow is not None:
        parts.append(f"flow {entry.flow}")
    if entry.request:
        parts.append(f"request {entry.request}")
    if entry.server is not None:
        parts.append(f"server {entry.server}")
    if entry.detail:
        parts.append(entry.detail)
    return "  ".join(parts)
