import asyncio

import msgspec

from sapphirerail_core.plan import EMPTY_PLAN, layout
from sapphirerail_core.plan.delta import merge
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.packed_delta import decode_delta
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_node.plan_answer_cache import PlanAnswerCache


def _apply(plan, *rows):
    text = "\n".join(("kind,name,tenant,state", *rows, ""))
    lines = parse_sheet(text.encode()).lines
    return apply_lines(plan, lines, plan.revision, 0).plan


FIRST_PLAN = _apply(EMPTY_PLAN, *(f"service,s{n},t," for n in range(40)))
SECOND_PLAN = _apply(FIRST_PLAN, "service,fresh,t,")


def _answer(cache, plan, since):
    return asyncio.run(cache.answer(plan, since, 7))


def test_up_to_date_peer_gets_neither_delta_nor_plan():
    answer = _answer(PlanAnswerCache(), FIRST_PLAN, 1)
    assert (answer.delta, answer.full, answer.revision) == (None, None, 1)
    assert answer.contact_age_ms == 7


def test_peer_without_a_plan_gets_the_whole_plan():
    assert _answer(PlanAnswerCache(), SECOND_PLAN, 0).full.plan() == SECOND_PLAN


def test_peer_with_an_older_revision_gets_a_delta():
    answer = _answer(PlanAnswerCache(), SECOND_PLAN, 1)
    assert merge(FIRST_PLAN, answer.delta) == SECOND_PLAN


def test_long_delta_is_packed_for_a_peer_that_accepts_it():
    cache = PlanAnswerCache()
    many = _apply(FIRST_PLAN, *(f"service,many{n},t," for n in range(60)))
    plain = _answer(cache, many, 1)
    packed = asyncio.run(cache.answer(many, 1, 9, may_pack=True))
    assert (plain.packed, packed.delta, packed.contact_age_ms) == ("", None, 9)
    assert len(msgspec.json.encode(packed)) < len(msgspec.json.encode(plain)) / 2
    assert (
        merge(FIRST_PLAN, decode_delta(packed))
        == merge(FIRST_PLAN, plain.delta)
        == many
    )


def test_only_changed_shards_are_packed_again(monkeypatch):
    packed = []
    original_pack = layout.pack
    monkeypatch.setattr(
        layout, "pack", lambda shard: packed.append(1) or original_pack(shard)
    )
    cache = PlanAnswerCache()
    assert _answer(cache, FIRST_PLAN, 0).full.plan() == FIRST_PLAN
    n_first = len(packed)
    assert _answer(cache, FIRST_PLAN, 0).full.plan() == FIRST_PLAN
    assert len(packed) == n_first
    assert _answer(cache, SECOND_PLAN, 0).full.plan() == SECOND_PLAN
    assert len(packed) == n_first + 1


def test_peer_with_a_forgotten_revision_gets_the_whole_plan():
    late = _apply(SECOND_PLAN, "service,late,t,")
    late = msgspec.structs.replace(late, forgotten_at=2)
    answer = _answer(PlanAnswerCache(), late, 1)
    assert answer.delta is None
    assert answer.full is not None
