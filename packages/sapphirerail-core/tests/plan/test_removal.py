"""Removal of services and data centres, and reuse of their names."""

import asyncio

import pytest

from sapphirerail_core.plan import EMPTY_PLAN, layout, retention
from sapphirerail_core.plan.delta import delta_since, merge
from sapphirerail_core.plan.digest import content_digest
from sapphirerail_core.plan.draft import Outcome, apply_lines
from sapphirerail_core.plan.model import Write
from sapphirerail_core.plan.repository import PlanRepository
from sapphirerail_core.plan.sheet import parse_sheet
from sapphirerail_core.plan.sheet_line import COLUMNS
from sapphirerail_standins.memory_store import MemoryStore

NOW_MS = 1_700_000_000_000
BASIS = (
    "data_centre,Osu,,,,,in,,,",
    "data_centre,Tema,,,,,in,,,",
    "service,bookings,adwinsa,,,,,,,",
    "service,sketches,adwinsa,,,,,,,",
    "server,b1,,bookings,Osu,10.0.0.1:1,active,,,",
    "server,b2,,bookings,Tema,10.0.0.2:1,active,,,",
    "server,k1,,sketches,Osu,10.0.0.3:1,active,,,",
)
LEAVE = ("server,b1,,,,,left,,,", "server,b2,,,,,left,,,")
REMOVE = "service,bookings,,,,,removed,,,"
REMOVE_TEMA = "data_centre,Tema,,,,,removed,,,"


def _lines(*rows):
    text = "\n".join((",".join(COLUMNS), *rows, ""))
    sheet = parse_sheet(text.encode())
    assert sheet.refusals == ()
    return sheet.lines


def _change(plan, *rows, base=None):
    known = plan.revision if base is None else base
    return apply_lines(plan, _lines(*rows), known, NOW_MS)


def _plan(*sheets):
    plan = EMPTY_PLAN
    for rows in (BASIS, *sheets):
        change = _change(plan, *rows)
        assert {result.outcome for result in change.results} == {Outcome.CHANGED}
        assert change.plan.digest == content_digest(change.plan)
        plan = change.plan
    return plan


def _result(plan, row, base=None):
    change = _change(plan, row, base=base)
    assert change.plan is plan
    (result,) = change.results
    return result


def test_service_is_removed_by_the_sheet_in_which_its_servers_leave():
    plan = _plan((REMOVE, *LEAVE))
    assert set(plan.services) == {"sketches"}
    assert plan.removed_services["bookings"].tenant == "adwinsa"
    assert "bookings" not in plan.layers
    assert "bookings" not in plan.servers_by_service


def test_data_centre_is_removed_once_it_is_evacuated_and_empty():
    plan = _plan(("data_centre,Tema,,,,,out,,,",), (LEAVE[1], REMOVE_TEMA))
    assert set(plan.data_centres) == {"Osu"}
    assert plan.is_evacuated("Tema")
    assert plan.was_evacuated("Tema")


@pytest.mark.parametrize(
    ("row", "code", "reason"),
    [
        (REMOVE, "sheet.service_in_use", "2 of its servers have not left"),
        ("service,bookings,x,,,,removed,,,", "sheet.tenant_fixed", "'adwinsa'"),
        ("service,booking,,,,,removed,,,", "sheet.unknown", "no service"),
        (REMOVE_TEMA, "sheet.data_centre_in_use", "it is in service"),
        ("data_centre,Tem,,,,,removed,,,", "sheet.unknown", "no data centre"),
    ],
)
def test_invalid_removal_is_refused(row, code, reason):
    result = _result(_plan(), row)
    assert (result.number, result.code) == (2, code)
    assert reason in result.reason


def test_removal_of_a_data_centre_with_servers_is_refused():
    result = _result(_plan(("data_centre,Tema,,,,,out,,,",)), REMOVE_TEMA)
    assert result.code == "sheet.data_centre_in_use"
    assert "1 of its servers" in result.reason


def test_removal_is_refused_if_a_server_enters_in_the_same_sheet():
    plan = _plan(LEAVE)
    change = _change(plan, REMOVE, "server,b3,,bookings,Osu,10.0.0.9:1,active,,,")
    assert [r.outcome for r in change.results] == [Outcome.REFUSED, Outcome.CHANGED]


def test_removing_twice_changes_nothing():
    plan = _plan((REMOVE, *LEAVE))
    for row in (REMOVE, *LEAVE):
        result = _result(plan, row)
        assert (result.outcome, result.revision) == (Outcome.UNCHANGED, 2)


def test_removed_name_can_be_reused_for_a_new_service():
    plan = _plan(
        (REMOVE, *LEAVE),
        ("service,bookings,adwinsa,,,,,,,",),
        ("server,b1,,bookings,Osu,10.0.0.9:1,entering,,,",),
    )
    assert plan.removed_services == {}
    assert plan.services["bookings"].changed_at == 3
    assert plan.layers == {}


def test_name_is_reserved_for_its_tenant_until_the_tombstone_is_dropped(monkeypatch):
    plan = _plan((REMOVE, *LEAVE))
    row = "service,bookings,condor,,,,,,,"
    assert _result(plan, row).code == "sheet.tenant_fixed"
    monkeypatch.setattr(retention, "RETENTION_REVISIONS", 2)
    for number in range(4):
        plan = _change(plan, f"service,x{number},adwinsa,,,,,,,").plan
    assert (plan.removed_services, set(plan.servers)) == ({}, {"k1"})
    assert plan.digest == content_digest(plan)
    assert _change(plan, row).plan.services["bookings"].tenant == "condor"


def test_sheet_based_on_an_old_revision_does_not_restore_a_removed_service(monkeypatch):
    plan = _plan((REMOVE, *LEAVE))
    row = "service,bookings,adwinsa,,,,,,,"
    assert _result(plan, row, base=1).code == "sheet.race"
    monkeypatch.setattr(retention, "RETENTION_REVISIONS", 2)
    for number in range(4):
        plan = _change(plan, f"service,x{number},adwinsa,,,,,,,").plan
    assert _result(plan, row, base=1).code == "sheet.race"
    assert _change(plan, row, base=plan.forgotten_at).n_changed == 1


def _plans():
    sheets = (
        (LEAVE[0], "data_centre,Tema,,,,,out,,,"),
        (LEAVE[1], REMOVE, REMOVE_TEMA),
        ("service,other,condor,,,,,,,",),
        ("service,bookings,adwinsa,,,,,,,", "data_centre,Tema,,,,,in,,,"),
        ("server,b1,,bookings,Tema,10.0.0.9:1,entering,,,",),
        ("server,b1,,,,,left,,,", REMOVE),
    )
    return [_plan(*sheets[:n]) for n in range(len(sheets) + 1)]


PLANS = _plans()


@pytest.mark.parametrize("newer", PLANS)
@pytest.mark.parametrize("older", PLANS)
def test_delta_contains_removals_and_reused_names(older, newer):
    if older.revision > newer.revision:
        return
    older.servers_by_service  # noqa: B018
    merged = merge(older, delta_since(newer, older.revision))
    assert merged == newer
    assert content_digest(merged) == newer.digest
    index = merged.__dict__.pop("servers_by_service")
    assert index == newer.servers_by_service


def test_stored_plan_shrinks_once_tombstones_are_dropped(monkeypatch):
    monkeypatch.setattr(retention, "RETENTION_REVISIONS", 2)

    async def scenario():
        store = MemoryStore()
        repository = PlanRepository(store)

        async def commit(number, *rows):
            def make_change(plan):
                return _change(plan, *rows)

            await repository.commit(
                make_change, Write(revision=0, write_id=str(number))
            )

        many = [f"service,many{n},adwinsa,,,,,,," for n in range(200)]
        servers = [f"server,m{n},,many{n},Osu,10.1.0.{n}:1" for n in range(200)]
        await commit(0, *BASIS, *many, *[f"{row},active,,," for row in servers])
        full = len(store.values)
        await commit(1, *[f"server,m{n},,,,,left,,," for n in range(200)])
        await commit(2, *[f"service,many{n},,,,,removed,,," for n in range(200)])
        for number in range(3, 9):
            await commit(number, f"data_centre,D{number},,,,,in,,,")
        return full, store, (await repository.read()).plan

    full, store, plan = asyncio.run(scenario())
    assert full > layout.N_SHARDS * 3 // 4
    assert set(plan.services) == {"bookings", "sketches"}
    assert set(plan.servers) == {"b1", "b2", "k1"}
    assert plan.removed_services == {}
    # Only the root and the shards of two services remain.
    assert len(store.values) == 3
