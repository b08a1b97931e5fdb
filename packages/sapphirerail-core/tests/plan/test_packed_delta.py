import msgspec
import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan import EMPTY_PLAN
from sapphirerail_core.plan.delta import PlanAnswer, delta_since, merge
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.packed_delta import decode_delta, encode_delta
from sapphirerail_core.plan.sheet import parse_sheet

HEADER = "kind,name,service,tenant,data_centre,address,state\n"
BASIS = (
    HEADER
    + "data_centre,Osu,,,,,in\nservice,s1,,t,,,\n"
    + "".join(f"server,b{n},s1,,Osu,10.0.0.{n}:1,active\n" for n in range(100))
)


def _apply(plan, text):
    lines = parse_sheet(text.encode()).lines
    return apply_lines(plan, lines, plan.revision, 0).plan


FIRST = _apply(EMPTY_PLAN, BASIS)
ROWS = [f"server,b{n},,,,,draining\n" for n in range(100)]
MANY = delta_since(_apply(FIRST, HEADER + "".join(ROWS)), FIRST.revision)


def test_long_delta_survives_compression():
    answer = encode_delta(MANY, 7, may_pack=True)
    wire = msgspec.json.encode(answer)
    assert len(wire) < len(msgspec.json.encode(MANY)) / 4
    read = msgspec.json.decode(wire, type=PlanAnswer)
    assert (read.delta, read.contact_age_ms, read.revision) == (None, 7, MANY.revision)
    assert merge(FIRST, decode_delta(read)) == merge(FIRST, MANY)


def test_short_delta_or_old_requester_gets_no_compression():
    short = delta_since(FIRST, FIRST.revision)
    for delta, may_pack in ((short, True), (MANY, False)):
        answer = encode_delta(delta, 0, may_pack=may_pack)
        assert (answer.delta, answer.packed) == (delta, "")
        assert decode_delta(answer) == delta


@pytest.mark.parametrize("packed", ["x", "eA==", "eJwDAAAAAAE=", "é"])
def test_malformed_packed_delta_is_refused(packed):
    with pytest.raises(InputError) as refused:
        decode_delta(PlanAnswer(MANY.revision, 0, packed=packed))
    assert refused.value.code == "plan.malformed_delta"
