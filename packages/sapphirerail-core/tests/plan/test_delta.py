import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan import EMPTY_PLAN, layout, retention
from sapphirerail_core.plan.delta import FullPlan, PlanAnswer, delta_since, merge
from sapphirerail_core.plan.digest import content_digest
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import COLUMNS

NOW_MS = 1_700_000_000_000
DAY_MS = 24 * 60 * 60 * 1000
BASIS = (
    "data_centre,Osu,,,,,in,,,",
    "service,bookings,adwinsa,,,,,,,",
    "service,sketches,adwinsa,,,,,,,",
    "server,b1,,bookings,Osu,10.0.0.1:1,active,,,",
    "server,k1,,sketches,Osu,10.0.0.2:1,active,,,",
)


def _apply(plan, *lines, now_ms=NOW_MS):
    text = "\n".join((",".join(COLUMNS), *lines, ""))
    sheet = parse_sheet(text.encode())
    return apply_lines(plan, sheet.lines, plan.revision, now_ms).plan


def _encoded_and_decoded(value):
    return msgspec.json.decode(msgspec.json.encode(value), type=type(value))


def _plans():
    plans = [EMPTY_PLAN, _apply(EMPTY_PLAN, *BASIS)]
    for lines in (
        ("server,b1,,,,,draining,,,",),
        ("data_centre,Osu,,,,,out,,,", "service,rush,adwinsa,,,,,,,"),
        ("server,b1,,,,,left,,,", "server,b2,,bookings,Osu,10.0.0.1:1,entering,,,"),
        ("server,b2,,,,,active,,,",),
        ("data_centre,Osu,,,,,in,,,",),
    ):
        plans.append(_apply(plans[-1], *lines))
    # Two days later the layers expire with the next write.
    plans.append(_apply(plans[-1], "service,late,c,,,,,,,", now_ms=NOW_MS + 2 * DAY_MS))
    return plans


PLANS = _plans()


@pytest.mark.parametrize("newer", PLANS)
@pytest.mark.parametrize("older", PLANS)
def test_delta_between_any_two_revisions_gives_the_newer_plan(older, newer):
    if older.revision > newer.revision:
        assert delta_since(newer, older.revision) is None
        return
    merged = merge(older, _encoded_and_decoded(delta_since(newer, older.revision)))
    assert merged == newer
    assert content_digest(merged) == newer.digest


def test_layers_are_part_of_the_plan_and_expire():
    assert "bookings" in PLANS[2].layers
    assert PLANS[-1].layers == {}


@pytest.mark.parametrize("older", PLANS[2:])
def test_delta_since_an_older_revision_applies(older):
    assert merge(older, delta_since(PLANS[-1], PLANS[1].revision)) == PLANS[-1]


def test_older_delta_is_ignored():
    delta = delta_since(PLANS[2], PLANS[1].revision)
    assert merge(PLANS[4], delta) is PLANS[4]


def test_delta_with_a_gap_is_refused():
    with pytest.raises(InputError) as refused:
        merge(PLANS[1], delta_since(PLANS[5], PLANS[3].revision))
    assert refused.value.code == "plan.gap"


def test_delta_for_a_fork_of_the_plan_is_refused():
    fork = _apply(PLANS[1], "service,other,c,,,,,,,")
    assert fork.revision == PLANS[2].revision
    with pytest.raises(InputError) as refused:
        merge(fork, delta_since(PLANS[4], fork.revision))
    assert refused.value.code == "plan.digest_mismatch"


def test_full_plan_survives_encoding():
    plan = PLANS[4]
    texts = tuple(layout.pack(shard) for shard in layout.split(plan).values())
    full = FullPlan(layout.make_root(plan, {}, ()), texts)
    answer = _encoded_and_decoded(PlanAnswer(plan.revision, 0, full=full))
    assert answer.full.plan() == plan


def test_instances_drop_the_same_tombstones(monkeypatch):
    monkeypatch.setattr(retention, "RETENTION_REVISIONS", 3)
    plan = peer_plan = PLANS[4]
    for number in range(8):
        plan = _apply(plan, f"service,x{number},c,,,,,,,")
        if number % 3 == 0:
            peer_plan = merge(peer_plan, delta_since(plan, peer_plan.revision))
            assert peer_plan == plan
    assert "b1" not in plan.servers
    assert plan.digest == content_digest(plan)
    assert delta_since(plan, plan.forgotten_at - 1) is None
    assert merge(peer_plan, delta_since(plan, peer_plan.revision)) == plan


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.integers(1, len(PLANS) - 1), max_size=12))
def test_deltas_in_any_order_never_lower_the_revision(steps):
    plan = PLANS[1]
    for newest in steps:
        delta = delta_since(PLANS[newest], min(plan.revision, PLANS[newest].revision))
        merged = merge(plan, delta)
        assert merged.revision >= plan.revision
        assert merged == PLANS[merged.revision]
        plan = merged
