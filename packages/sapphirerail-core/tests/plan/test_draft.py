import pytest

from sapphirerail_core.plan import EMPTY_PLAN
from sapphirerail_core.plan.digest import content_digest
from sapphirerail_core.plan.draft import Outcome, apply_lines
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import COLUMNS
from sapphirerail_core.types import DataCentreState, ServerState

NOW_MS = 1_700_000_000_000
BASIS = (
    "data_centre,Osu,,,,,in,,,",
    "data_centre,Tema,,,,,in,,,",
    "service,bookings,adwinsa,,,,,,,",
    "service,sketches,adwinsa,,,,,,,",
    "server,b1,,bookings,Osu,10.0.0.1:1,active,,,",
    "server,b2,,bookings,Osu,10.0.0.2:1,active,,,",
)


def _apply(plan, *lines, base=None):
    text = "\n".join((",".join(COLUMNS), *lines, ""))
    sheet = parse_sheet(text.encode())
    assert sheet.refusals == ()
    return apply_lines(
        plan, sheet.lines, plan.revision if base is None else base, NOW_MS
    )


def _plan(*lines):
    change = _apply(EMPTY_PLAN, *BASIS)
    for line in lines:
        change = _apply(change.plan, line)
        assert change.results[0].outcome is Outcome.CHANGED
    return change.plan


def _refusal(plan, line, base=None):
    change = _apply(plan, line, base=base)
    assert change.plan is plan
    (result,) = change.results
    assert result.outcome is Outcome.REFUSED
    return result.code


def test_first_sheet_is_one_revision():
    change = _apply(EMPTY_PLAN, *BASIS)
    assert change.plan.revision == 1
    assert {result.revision for result in change.results} == {1}
    assert change.n_changed == len(BASIS)
    assert change.plan.digest == content_digest(change.plan)
    assert [s.seat for s in change.plan.servers.values()] == [0, 1]


def test_order_of_lines_does_not_matter():
    assert _apply(EMPTY_PLAN, *reversed(BASIS)).plan.digest != 0
    servers = _apply(EMPTY_PLAN, *reversed(BASIS)).plan.servers
    assert {server.data_centre for server in servers.values()} == {"Osu"}


def test_applying_twice_changes_nothing():
    plan = _plan()
    change = _apply(plan, *BASIS)
    assert change.plan is plan
    assert {result.outcome for result in change.results} == {Outcome.UNCHANGED}
    assert {result.revision for result in change.results} == {1}


def test_repeated_line_changes_once():
    line = "server,b1,,,,,draining,,,"
    change = _apply(_plan(), line, line)
    assert [r.outcome for r in change.results] == [Outcome.CHANGED, Outcome.UNCHANGED]
    assert change.n_changed == 1


def test_parts_that_the_sheet_does_not_name_are_kept():
    change = _apply(_plan(), "data_centre,Tema,,,,,out,,,")
    assert change.plan.data_centres["Tema"].state is DataCentreState.OUT
    assert set(change.plan.servers) == {"b1", "b2"}
    assert change.plan.servers["b1"].changed_at == 1


@pytest.mark.parametrize(
    ("line", "code"),
    [
        ("service,bookings,condor,,,,,,,", "sheet.tenant_fixed"),
        ("server,b3,,nowhere,Osu,10.0.0.3:1,active,,,", "sheet.unknown_service"),
        (
            "server,b3,,bookings,Nowhere,10.0.0.3:1,active,,,",
            "sheet.unknown_data_centre",
        ),
        ("server,b3,,bookings,Osu,,active,,,", "sheet.missing_field"),
        ("server,b3,,bookings,Osu,10.0.0.3:1,,,,", "sheet.missing_field"),
        ("server,b3,,bookings,Osu,10.0.0.1:1,active,,,", "sheet.address_taken"),
        ("server,b3,,bookings,Osu,10.0.0.3:1,entering,0,,", "sheet.seat_taken"),
        ("server,b1,,sketches,,,,,,", "sheet.service_fixed"),
        ("server,b1,,,Tema,,,,,", "sheet.server_in_use"),
        ("server,b1,,,,10.0.0.9:1,,,,", "sheet.server_in_use"),
        ("server,b1,,,,,,1,,", "sheet.seat_taken"),
    ],
)
def test_refused_line_does_not_change_the_plan(line, code):
    assert _refusal(_plan(), line) == code


def test_other_lines_apply_despite_a_refused_one():
    change = _apply(_plan(), "server,b1,,sketches,,,,,,", "server,b2,,,,,draining,,,")
    assert [r.outcome for r in change.results] == [Outcome.REFUSED, Outcome.CHANGED]
    assert change.plan.revision == 2
    assert change.plan.digest == content_digest(change.plan)


def test_replacement_takes_the_seat_of_a_draining_server():
    plan = _plan("server,b1,,,,,draining,,,")
    change = _apply(plan, "server,b3,,bookings,Osu,10.0.0.3:1,entering,0,,")
    assert change.plan.servers["b3"].seat == 0
    assert _refusal(change.plan, "server,b1,,,,,active,,,") == "sheet.seat_taken"


def test_seat_and_address_of_a_server_that_left_can_be_reused():
    change = _apply(
        _plan(),
        "server,b3,,bookings,Tema,10.0.0.1:1,active,,,",
        "server,b1,,,,,left,,,",
    )
    assert {result.outcome for result in change.results} == {Outcome.CHANGED}
    assert change.plan.servers["b3"].seat == 0


def test_server_that_left_may_enter_another_data_centre():
    plan = _plan("server,b1,,,,,left,,,")
    change = _apply(plan, "server,b1,,,Tema,10.0.0.9:1,entering,,,")
    assert change.plan.servers["b1"].data_centre == "Tema"
    assert change.plan.servers["b1"].state is ServerState.ENTERING


def test_server_that_left_may_not_change_its_service():
    plan = _plan("server,b1,,,,,left,,,")
    line = "server,b1,,sketches,Tema,10.0.0.9:1,entering,,,"
    assert _refusal(plan, line) == "sheet.service_fixed"


def test_changed_layers_mark_the_service_as_changed():
    plan = _plan("server,b1,,,,,draining,,,")
    (layer,) = plan.layers["bookings"]
    assert [seat.server for seat in layer.seats] == ["b1", "b2"]
    assert (layer.ended_at, layer.ended_ms) == (2, NOW_MS)
    assert plan.services["bookings"].changed_at == 2
    assert plan.services["sketches"].changed_at == 1
    assert plan.digest == content_digest(plan)


def test_empty_fields_keep_the_values_in_the_plan():
    plan = _plan("server,b1,,,,,,,3,500")
    assert (plan.servers["b1"].n_slots, plan.servers["b1"].n_flows_max) == (3, 500)
    plan = _apply(plan, "server,b1,,,,,draining,,,").plan
    assert (plan.servers["b1"].n_slots, plan.servers["b1"].n_flows_max) == (3, 500)


def test_line_about_a_part_that_changed_since_the_base_is_refused():
    plan = _plan("server,b1,,,,,draining,,,")
    assert _refusal(plan, "server,b1,,,,,left,,,", base=1) == "sheet.race"
    assert _apply(plan, "server,b2,,,,,left,,,", base=1).n_changed == 1
    assert _apply(plan, "server,b1,,,,,left,,,", base=2).n_changed == 1


def test_line_equal_to_a_concurrent_write_is_unchanged():
    plan = _plan("server,b1,,,,,draining,,,")
    (result,) = _apply(plan, "server,b1,,,,,draining,,,", base=1).results
    assert (result.outcome, result.revision) == (Outcome.UNCHANGED, 2)


def test_thousands_of_servers_of_one_service_get_distinct_seats():
    lines = [
        f"server,n{n},,bookings,Osu,10.1.{n >> 8}.{n & 255}:1,active,,,"
        for n in range(20_000)
    ]
    plan = _apply(_plan(), *lines).plan
    seats = sorted(server.seat for server in plan.servers.values())
    assert seats == list(range(20_002))


def test_lowest_free_seat_is_reused():
    plan = _plan("server,b1,,,,,left,,,")
    plan = _apply(plan, "server,b3,,bookings,Osu,10.0.0.3:1,active,,,").plan
    plan = _apply(plan, "server,b4,,bookings,Osu,10.0.0.4:1,active,,,").plan
    assert (plan.servers["b3"].seat, plan.servers["b4"].seat) == (0, 2)
