"""What happened to a flow, a request, a server or a revision, from many journals."""

from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from .errors import InputError
from .journal import Entry
from .types import InstanceId

__all__ = [
    "Answer",
    "Explanation",
    "Line",
    "Query",
    "Subject",
    "TimedAnswer",
    "Unreached",
    "answer",
    "merge",
    "render",
    "select",
]


class Subject(Enum):
    """Kinds of things that can be explained."""

    FLOW = "flow"
    REQUEST = "request"
    SERVER = "server"
    REVISION = "revision"


class Query(msgspec.Struct, frozen=True):
    """What is asked for.

    Parameters
    ----------
    subject : Subject
        Kind of the thing.
    id : str
        Its id: a number for a flow or a revision, ``FLOW/REQUEST`` or a request's
        number, or the name of a server.
    """

    subject: Subject
    id: str

    @classmethod
    def from_text(cls, subject: str, id_text: str) -> "Query":
        """Return a checked query.

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
            raise InputError("explain.unknown_subject", f"use {known}") from error
        parts = id_text.split("/") if query.subject is Subject.REQUEST else [id_text]
        is_number = len(parts) <= 2 and all(part.isdecimal() for part in parts)
        if query.subject is not Subject.SERVER and not is_number:
            raise InputError("explain.bad_id", f"{id_text!r} is not a number")
        return query


class Answer(msgspec.Struct, frozen=True):
    """What one instance knows.

    Parameters
    ----------
    instance : InstanceId
        Who answers.
    now_ms : int
        Its clock at the moment of the answer, the clock of its entries.
    entries : list of Entry
        The decisions that match, oldest first.
    oldest_ms : int or None
        Time of the oldest entry that its ring still holds; older decisions are
        forgotten. None if the ring is empty.
    """

    instance: InstanceId
    now_ms: int
    entries: list[Entry]
    oldest_ms: int | None = None


class Unreached(msgspec.Struct, frozen=True):
    """An instance that gave no answer, and why."""

    instance: InstanceId
    reason: str


class Line(msgspec.Struct, frozen=True):
    """One decision, placed in the common order.

    Parameters
    ----------
    ago_ms : int
        Milliseconds before the question.
    entry : Entry
        The decision.
    """

    ago_ms: int
    entry: Entry


class Explanation(msgspec.Struct, frozen=True):
    """The merged answers.

    Parameters
    ----------
    query : Query
        What was asked.
    lines : list of Line
        All decisions, oldest first.
    uncertainty_ms : int
        Two decisions of different instances that lie closer together may have
        happened the other way round.
    remembered_ms : int
        For how long every instance that answered remembers its decisions; what is
        older may be missing.
    answered : list of InstanceId
        Who answered, sorted.
    unreached : list of Unreached
        Who did not.
    """

    query: Query
    lines: list[Line]
    uncertainty_ms: int
    remembered_ms: int
    answered: list[InstanceId]
    unreached: list[Unreached]


class TimedAnswer(msgspec.Struct, frozen=True):
    """An answer with the asker's clock around the call."""

    answer: Answer
    sent_ms: int
    received_ms: int


def _matches(query: Query, entry: Entry) -> bool:
    match query.subject:
        case Subject.FLOW:
            return entry.flow is not None and str(entry.flow) == query.id
        case Subject.SERVER:
            return entry.server is not None and entry.server == query.id
        case Subject.REVISION:
            return str(entry.revision) == query.id
        case Subject.REQUEST:
            return _matches_request(query.id, entry)


def _matches_request(id_text: str, entry: Entry) -> bool:
    if not entry.request:
        return False
    flow, separator, request = id_text.rpartition("/")
    if separator and str(entry.flow) != flow:
        return False
    return str(entry.request) == request


def select(query: Query, entries: Iterable[Entry]) -> list[Entry]:
    """Return the entries that a query asks for, in their order."""
    return [entry for entry in entries if _matches(query, entry)]


def answer(
    query: Query, instance: InstanceId, entries: Sequence[Entry], now_ms: int
) -> Answer:
    """Return an instance's answer from its journal.

    Parameters
    ----------
    query : Query
        What is asked.
    instance : InstanceId
        The instance that answers.
    entries : sequence of Entry
        All entries of its journal, oldest first.
    now_ms : int
        Its clock, the one that stamps the entries.
    """
    oldest_ms = entries[0].at_ms if entries else None
    return Answer(instance, now_ms, select(query, entries), oldest_ms)


def merge(
    query: Query, answers: Sequence[TimedAnswer], unreached: Sequence[Unreached]
) -> Explanation:
    """Put the answers of several instances into one order.

    Clocks of instances have nothing in common, so that each entry is placed by its
    age: the answering instance's clock says how old it was when the answer was
    made, and the answer was made between the asker's sending and receiving. The
    middle of the two is taken; half of the longest call is the uncertainty of one
    instance's times, so that two instances differ by a whole call at most.

    Parameters
    ----------
    query : Query
        What was asked.
    answers : sequence of TimedAnswer
        What came back.
    unreached : sequence of Unreached
        Who gave no answer.
    """
    asked_ms = max((timed.received_ms for timed in answers), default=0)
    lines = [
        Line(asked_ms - _middle_ms(timed) + timed.answer.now_ms - entry.at_ms, entry)
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


def _middle_ms(timed: TimedAnswer) -> int:
    return (timed.sent_ms + timed.received_ms) // 2


def render(explanation: Explanation) -> str:
    """Return an explanation as text, one decision a line, oldest first."""
    query = explanation.query
    lines = [f"{query.subject.value} {query.id}"]
    lines += [_render_line(line) for line in explanation.lines]
    if not explanation.lines:
        lines.append("no instance that answered remembers a decision about it")
    lines.append(
        f"answered: {len(explanation.answered)} instances; order is certain beyond "
        f"{explanation.uncertainty_ms} ms; all remember the last "
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
