import csv
import io

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import (
    COLUMNS,
    DataCentreLine,
    RefusalReason,
    ServerLine,
    ServiceLine,
)
from sapphirerail_core.types import DataCentreState, ServerState

HEADER = "kind,name,tenant,service,data_centre,address,state,seat,slots,connections"
SERVER = "server,b1,,bookings,Osu,10.0.0.1:9000,active,3,2,4000"


def _sheet(*lines, end="\n", prefix=b""):
    return parse_sheet(prefix + "".join(line + end for line in lines).encode())


def _code(line):
    (refusal,) = _sheet(HEADER, line).refusals
    assert refusal.number == 2
    assert refusal.reason
    return refusal.code


def test_each_kind_of_line_is_parsed():
    sheet = _sheet(
        HEADER,
        "data_centre,Bogotá-Norte,,,,,out,,,",
        "service,bookings,adwinsa,,,,,,,",
        SERVER,
    )
    assert sheet.refusals == ()
    assert sheet.lines == (
        DataCentreLine(number=2, name="Bogotá-Norte", state=DataCentreState.OUT),
        ServiceLine(number=3, name="bookings", tenant="adwinsa"),
        ServerLine(
            number=4,
            name="b1",
            service="bookings",
            data_centre="Osu",
            address="10.0.0.1:9000",
            state=ServerState.ACTIVE,
            seat=3,
            n_slots=2,
            n_flows_max=4000,
        ),
    )


@pytest.mark.parametrize("end", ["\n", "\r\n"])
@pytest.mark.parametrize("prefix", [b"", b"\xef\xbb\xbf"])
def test_line_breaks_and_byte_order_mark_are_accepted(end, prefix):
    sheet = _sheet(HEADER, SERVER, "", SERVER, end=end, prefix=prefix)
    assert [line.number for line in sheet.lines] == [2, 4]
    assert sheet.refusals == ()


def test_quoted_fields_are_parsed():
    sheet = _sheet(HEADER, 'service,"rush, ""old""","adwinsa",,,,"",,,')
    assert sheet.lines[0].name == 'rush, "old"'


def test_columns_may_be_reordered_or_missing():
    sheet = _sheet("state,kind,name", "out,data_centre,Osu")
    assert sheet.lines == (
        DataCentreLine(number=2, name="Osu", state=DataCentreState.OUT),
    )


def test_names_are_normalized():
    sheet = _sheet(
        HEADER, "data_centre,Bogota\u0301,,,,,in,,,", "data_centre,Bogotá,,,,,in,,,"
    )
    assert {line.name for line in sheet.lines} == {"Bogotá"}


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("rack,r1,,,,,,,,", RefusalReason.UNKNOWN_KIND),
        (",b1,,,,,,,,", RefusalReason.UNKNOWN_KIND),
        ("server,b1", RefusalReason.MALFORMED),
        (SERVER + ",", RefusalReason.MALFORMED),
        ('server,"b1,,bookings,Osu,10.0.0.1:1,active,,,', RefusalReason.MALFORMED),
        ('server,"b"1,,bookings,Osu,10.0.0.1:1,active,,,', RefusalReason.MALFORMED),
        ("server,,,bookings,Osu,10.0.0.1:1,active,,,", RefusalReason.MISSING_FIELD),
        ("service,bookings,,,,,,,,", RefusalReason.MISSING_FIELD),
        ("data_centre," + "x" * 65 + ",,,,,in,,,", RefusalReason.BAD_NAME),
        ("data_centre,a\x00b,,,,,in,,,", RefusalReason.BAD_NAME),
        ("data_centre,Bogotá Norte,,,,,in,,,", RefusalReason.BAD_NAME),
        ("data_centre,Osu,,,,,gone,,,", RefusalReason.BAD_STATE),
        ("data_centre,Osu,,,,,active,,,", RefusalReason.BAD_STATE),
        ("server,b1,,s,Osu,10.0.0.1:1,in,,,", RefusalReason.BAD_STATE),
        ("server,b1,,s,Osu,localhost:1,active,,,", RefusalReason.BAD_ADDRESS),
        ("server,b1,,s,Osu,10.0.0.1,active,,,", RefusalReason.BAD_ADDRESS),
        ("server,b1,,s,Osu,10.0.0.1:0,active,,,", RefusalReason.BAD_ADDRESS),
        ("server,b1,,s,Osu,10.0.0.1:65536,active,,,", RefusalReason.BAD_ADDRESS),
        ("server,b1,,s,Osu,10.0.0.1:²,active,,,", RefusalReason.BAD_ADDRESS),
        ("server,b1,,s,Osu,10.0.0.1:1,active,-1,,", RefusalReason.BAD_NUMBER),
        ("server,b1,,s,Osu,10.0.0.1:1,active,,0,", RefusalReason.BAD_NUMBER),
        ("server,b1,,s,Osu,10.0.0.1:1,active,,,1e3", RefusalReason.BAD_NUMBER),
        (
            "server,b1,,s,Osu,10.0.0.1:1,active,,," + "9" * 5000,
            RefusalReason.BAD_NUMBER,
        ),
        ("data_centre,Osu,adwinsa,,,,in,,,", RefusalReason.UNUSED_FIELD),
        ("service,bookings,adwinsa,,,,active,,,", RefusalReason.UNUSED_FIELD),
        ("server,b1,adwinsa,s,Osu,10.0.0.1:1,active,,,", RefusalReason.UNUSED_FIELD),
    ],
)
def test_invalid_line_is_refused(line, code):
    assert _code(line) is code


@pytest.mark.parametrize(
    ("payload", "code"),
    [
        (b"", "sheet.empty"),
        (b"\xef\xbb\xbf\r\n  \n", "sheet.empty"),
        (b"\xff\xfe", "sheet.not_utf8"),
        (b"name,state\n", "sheet.bad_header"),
        (b"kind,name,kind\n", "sheet.bad_header"),
        (b"kind,name,colour\n", "sheet.bad_header"),
        (b"\nkind,name\n", "sheet.bad_header"),
        (b'kind,"name\n', "sheet.bad_header"),
    ],
)
def test_invalid_file_is_refused(payload, code):
    with pytest.raises(InputError) as refused:
        parse_sheet(payload)
    assert refused.value.code == code


def test_header_without_lines_is_an_empty_sheet():
    sheet = _sheet(HEADER)
    assert (sheet.lines, sheet.refusals) == ((), ())


@pytest.mark.parametrize("n_bytes", range(len(HEADER) + 2, len(HEADER) + 20))
def test_truncated_file_refuses_its_last_line(n_bytes):
    complete = f"{HEADER}\n{SERVER}\n".encode()
    sheet = parse_sheet(complete[:n_bytes])
    assert sheet.lines == ()
    assert [refusal.code for refusal in sheet.refusals] == [RefusalReason.CUT]


def test_unclosed_quote_invalidates_only_its_own_line():
    sheet = _sheet(HEADER, 'server,"b1,,bookings,Osu', SERVER)
    assert [line.number for line in sheet.lines] == [3]
    assert [refusal.number for refusal in sheet.refusals] == [2]


def test_equal_lines_are_both_accepted():
    assert [line.number for line in _sheet(HEADER, SERVER, SERVER).lines] == [2, 3]


def test_contradictory_lines_are_all_refused():
    other = SERVER.replace("active", "draining")
    sheet = _sheet(HEADER, SERVER, other, SERVER, "data_centre,b1,,,,,in,,,")
    assert [line.number for line in sheet.lines] == [5]
    assert [refusal.number for refusal in sheet.refusals] == [2, 3, 4]
    assert {refusal.code for refusal in sheet.refusals} == {RefusalReason.CONTRADICTION}
    assert "2, 3, 4" in sheet.refusals[0].reason


def test_hundred_thousand_lines_are_parsed():
    lines = [
        f"server,b{n},,s,Osu,10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000,active,,,"
        for n in range(100_000)
    ]
    sheet = _sheet(HEADER, *lines)
    assert len(sheet.lines) == 100_000
    assert sheet.lines[-1].number == 100_001


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.lists(st.text(max_size=8), min_size=10, max_size=10), max_size=8))
def test_every_written_line_is_accepted_or_refused_once(rows):
    rows = [
        [cell.replace("\n", " ").replace("\r", " ") for cell in row] for row in rows
    ]
    rows = [row for row in rows if any(cell.strip() for cell in row)]
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n", quoting=csv.QUOTE_ALL)
    writer.writerows([COLUMNS, *rows])
    sheet = parse_sheet(text.getvalue().encode())
    numbers = [line.number for line in sheet.lines]
    numbers += [refusal.number for refusal in sheet.refusals]
    assert sorted(numbers) == list(range(2, len(rows) + 2))


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_any_bytes_give_lines_or_a_sheet_error(payload):
    try:
        parse_sheet(f"{HEADER}\n".encode() + payload)
    except InputError as error:
        assert error.code.startswith("sheet.")
