"""Detection of truncated sheets."""

import msgspec
import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan import EMPTY_PLAN
from sapphirerail_core.plan.delta import delta_since, merge
from sapphirerail_core.plan.draft import apply_lines
from sapphirerail_core.plan.layout import assemble, decode_root, encode_root, make_root
from sapphirerail_core.plan.layout import split as split_plan
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_completeness import (
    IncompleteSheetError,
    check_complete,
    sheet_record_of,
    unlisted_servers,
)

HEADER = "kind,name,service,tenant,data_centre,address,state\n"
BASIS = HEADER + "data_centre,Osu,,,,,in\nservice,s1,,t,,,\n"
N_SERVERS = 12
SERVERS = [f"server,b{n},s1,,Osu,10.0.0.{n}:1,active\n" for n in range(N_SERVERS)]
N_LINES = 2 + N_SERVERS


def _payload(servers=SERVERS, end=None):
    n_lines = 2 + len(servers) if end is None else end
    return (BASIS + "".join(servers) + f"end,{n_lines},,,,,\n").encode()


def _apply(plan, sheet):
    plan = apply_lines(plan, sheet.lines, plan.revision, 0).plan
    return msgspec.structs.replace(plan, sheet=sheet_record_of(sheet, plan.revision))


PLAN = _apply(EMPTY_PLAN, parse_sheet(_payload()))


def test_end_line_is_checked_but_not_counted():
    sheet = parse_sheet(_payload())
    assert (sheet.n_lines, sheet.has_line_count, len(sheet.lines)) == (
        N_LINES,
        True,
        N_LINES,
    )
    check_complete(PLAN, sheet)


def test_refused_lines_count_and_empty_ones_do_not():
    payload = _payload([*SERVERS, "rack,r,,,,,\n", "\n", "server\n"], end=N_LINES + 2)
    sheet = parse_sheet(payload)
    assert (sheet.has_line_count, len(sheet.refusals)) == (True, 2)


@pytest.mark.parametrize(
    ("payload", "code"),
    [
        (_payload(end=N_LINES + 1), "sheet.cut"),
        (_payload(end=N_LINES - 1), "sheet.cut"),
        (_payload(end=0), "sheet.cut"),
        (_payload(end="x"), "sheet.bad_end"),
        (_payload(end=""), "sheet.bad_end"),
        (_payload(end="9" * 5000), "sheet.bad_end"),
        (_payload() + SERVERS[0].encode(), "sheet.bad_end"),
        (_payload() + _payload(), "sheet.bad_end"),
    ],
)
def test_file_with_a_wrong_end_line_is_refused(payload, code):
    with pytest.raises(InputError) as refused:
        parse_sheet(payload)
    assert refused.value.code == code


def test_truncation_at_any_byte_is_detected_after_a_sheet_with_an_end_line():
    payload = _payload()
    n_detected = 0
    for n_bytes in range(len(payload)):
        with pytest.raises((InputError, IncompleteSheetError)):
            check_complete(PLAN, parse_sheet(payload[:n_bytes]))
        n_detected += 1
    assert n_detected == len(payload)


def test_any_missing_line_is_detected():
    rows = _payload().splitlines(keepends=True)
    for missing in range(1, len(rows)):
        with pytest.raises((InputError, IncompleteSheetError)):
            check_complete(
                PLAN, parse_sheet(b"".join(rows[:missing] + rows[missing + 1 :]))
            )


def test_sheet_without_end_line_passes_unless_the_previous_one_had_it():
    plan = msgspec.structs.replace(PLAN, sheet=None)
    check_complete(plan, parse_sheet(BASIS.encode()))
    check_complete(plan, parse_sheet(_payload(SERVERS[:1])))


def test_sheet_that_names_far_fewer_servers_is_refused():
    check_complete(PLAN, parse_sheet(_payload(SERVERS[: N_SERVERS // 2])))
    small = parse_sheet(_payload(SERVERS[: N_SERVERS // 2 - 1]))
    with pytest.raises(IncompleteSheetError) as refused:
        check_complete(PLAN, small)
    assert refused.value.code == "sheet.too_small"
    assert "names 5 servers" in refused.value.message
    left = parse_sheet((HEADER + "server,b11,,,,,left\n").encode())
    plan = apply_lines(PLAN, left.lines, PLAN.revision, 0).plan
    assert unlisted_servers(plan, small) == ("b10", "b5", "b6", "b7", "b8", "b9")


def test_sheet_record_is_part_of_deltas_and_of_the_root():
    line = parse_sheet((HEADER + "server,b1,,,,,draining\n").encode()).lines
    newer = apply_lines(PLAN, line, PLAN.revision, 0).plan
    before = msgspec.structs.replace(PLAN, sheet=None)
    assert merge(PLAN, delta_since(newer, PLAN.revision)).sheet == PLAN.sheet
    assert delta_since(newer, PLAN.revision).sheet is None
    assert merge(EMPTY_PLAN, delta_since(newer, 0)).sheet == PLAN.sheet
    assert before.digest == PLAN.digest
    root = decode_root(encode_root(make_root(PLAN, {}, ())))
    assert assemble(root, split_plan(PLAN).values()).sheet == PLAN.sheet
