import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_core.explain import (
    Query,
    Subject,
    TimedAnswer,
    Unreached,
    answer_query,
    merge_answers,
    render_explanation,
    select_entries,
)
from sapphirerail_core.journal import Journal, Reason


def _journal(name, revision=3):
    journal = Journal(name)
    journal.revision = revision
    return journal


def _filled():
    journal = _journal("osu-1")
    journal.record(10, Reason.FLOW_OPENED, flow=7, server="s-1")
    journal.record(20, Reason.REQUEST_REFUSED, flow=7, request=2, server="s-2")
    journal.record(30, Reason.REQUEST_REFUSED, flow=8, request=2, detail="late")
    journal.revision = 4
    journal.record(40, Reason.PLAN_APPLIED)
    return journal


@pytest.mark.parametrize(
    ("subject", "id_text", "times_ms"),
    [
        ("flow", "7", [10, 20]),
        ("request", "2", [20, 30]),
        ("request", "8/2", [30]),
        ("server", "s-2", [20]),
        ("revision", "4", [40]),
        ("flow", "9", []),
    ],
)
def test_query_selects_matching_entries(subject, id_text, times_ms):
    query = Query.from_text(subject, id_text)
    assert [e.at_ms for e in select_entries(query, _filled().entries())] == times_ms


@pytest.mark.parametrize(
    ("subject", "id_text", "code"),
    [
        ("weather", "1", "explain.unknown_subject"),
        ("flow", "x", "explain.bad_id"),
        ("request", "1/2/3", "explain.bad_id"),
        ("revision", "", "explain.bad_id"),
    ],
)
def test_invalid_query_is_rejected(subject, id_text, code):
    with pytest.raises(InputError) as error:
        Query.from_text(subject, id_text)
    assert error.value.code == code


def _timed(name, offset_ms, events_ms, sent_ms=1000, received_ms=1010):
    """Return the answer of an instance whose clock is offset by `offset_ms`."""
    journal = _journal(name)
    for at_ms in events_ms:
        journal.record(at_ms + offset_ms, Reason.FLOW_OPENED, flow=7)
    now_ms = (sent_ms + received_ms) // 2 + offset_ms
    found = answer_query(Query(Subject.FLOW, "7"), name, journal.entries(), now_ms)
    return TimedAnswer(found, sent_ms, received_ms)


def test_merge_orders_by_age_despite_unsynchronized_clocks():
    answers = [
        _timed("osu-1", 5_000_000, [100, 300]),
        _timed("osu-2", -900, [200, 400], received_ms=1030),
    ]
    merged = merge_answers(Query(Subject.FLOW, "7"), answers, [])
    instances = [line.entry.instance for line in merged.lines]
    assert instances == ["osu-1", "osu-2", "osu-1", "osu-2"]
    assert [line.ago_ms for line in merged.lines] == [930, 830, 730, 630]
    assert merged.uncertainty_ms == 30
    assert merged.remembered_ms == 815


def test_entries_of_one_instance_keep_their_order_within_a_millisecond():
    journal = _journal("osu-1")
    journal.record(5, Reason.FLOW_OPENED, flow=7)
    journal.record(5, Reason.FLOW_CLOSED, flow=7)
    query = Query(Subject.FLOW, "7")
    timed = TimedAnswer(answer_query(query, "osu-1", journal.entries(), 9), 0, 1)
    reasons = [line.entry.reason for line in merge_answers(query, [timed], []).lines]
    assert reasons == [Reason.FLOW_OPENED, Reason.FLOW_CLOSED]


def test_unreached_instances_are_named():
    query = Query(Subject.FLOW, "7")
    missing = [Unreached("osu-3", "http.timeout"), Unreached("osu-2", "http.timeout")]
    merged = merge_answers(query, [_timed("osu-1", 0, [100])], missing)
    text = render_explanation(merged)
    assert "no answer: osu-2 (http.timeout)" in text
    assert "flow.opened" in text
    assert "revision 3" in text
    assert [u.instance for u in merged.unreached] == ["osu-2", "osu-3"]


def test_empty_explanation_reports_no_decision():
    merged = merge_answers(Query(Subject.FLOW, "7"), [], [Unreached("osu-1", "x")])
    assert "no instance that answered remembers" in render_explanation(merged)
