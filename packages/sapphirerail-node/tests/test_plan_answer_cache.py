import asyncio

import msgspec

from sapphirerail_core.plan import EMPTY_PLAN, layout
from sapphirerail_core.plan.delta import merge
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.packed_delta import delta_of
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_node.plan_answer_cache import PlanAnswerCache


def _applied(plan, *rows):
    text = "\n".join(("kind,name,tenant,state", *rows, ""))
    lines = parse_sheet(text.encode()).lines
    return apply_lines(plan, lines, plan.revision, 0).plan


FIRST = _applied(EMPTY_PLAN, *(f"service,s{n},t," for n in range(40)))
SECOND = _applied(FIRST, "service,fresh,t,")


def _answer(answers, plan, since):
    return asyncio.run(answers.answer(plan, since, 7))


def test_peer_that_lacks_nothing_gets_neither():
    answer = _answer(PlanAnswerCache(), FIRST, 1)
    assert (answer.delta, answer.full, answer.revision) == (None, None, 1)
    assert answer.contact_age_ms == 7


def test_newcomer_gets_all():
    assert _answer(PlanAnswerCache(), SECOND, 0).full.plan() == SECOND


def test_others_get_what_changed():
    answer = _answer(PlanAnswerCache(), SECOND, 1)
    assert merge(FIRST, answer.delta) == SECOND


def test_long_delta_is_packed_for_a_peer_that_can_read_it():
    answers = PlanAnswerCache()
    many = _applied(FIRST, *(f"service,many{n},t," for n in range(60)))
    plain = _answer(answers, many, 1)
    packed = asyncio.run(answers.answer(many, 1, 9, may_pack=True))
    assert (plain.packed, packed.delta, packed.contact_age_ms) == ("", None, 9)
    assert len(msgspec.json.encode(packed)) < len(msgspec.json.encode(plain)) / 2
    assert merge(FIRST, delta_of(packed)) == merge(FIRST, plain.delta) == many


def test_whole_plan_follows_the_plan(monkeypatch):
    packed = []
    real = layout.pack
    monkeypatch.setattr(layout, "pack", lambda shard: packed.append(1) or real(shard))
    answers = PlanAnswerCache()
    assert _answer(answers, FIRST, 0).full.plan() == FIRST
    n_first = len(packed)
    assert _answer(answers, FIRST, 0).full.plan() == FIRST
    assert len(packed) == n_first
    assert _answer(answers, SECOND, 0).full.plan() == SECOND
    assert len(packed) == n_first + 1


def test_holder_of_a_forgotten_revision_gets_all():
    late = _applied(SECOND, "service,late,t,")
    late = msgspec.structs.replace(late, forgotten_at=2)
    answer = _answer(PlanAnswerCache(), late, 1)
    assert answer.delta is None
    assert answer.full is not None
