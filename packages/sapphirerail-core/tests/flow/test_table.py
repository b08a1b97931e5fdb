from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.flow.table import FlowFlag, FlowTable
from sapphirerail_core.types import (
    FlowId,
    InstanceId,
    ServerId,
    ServiceId,
    TrafficClass,
)

BOOKINGS = ServiceId("bookings")
SKETCHES = ServiceId("sketches")
A, B = ServerId("a"), ServerId("b")


def test_row_keeps_its_values() -> None:
    table = FlowTable(10)
    row = table.insert(BOOKINGS, FlowId(2**64 - 1), A, 1_700_000_000_000)
    table.set_caller(row, 2**48 - 1)
    table.set_traffic_class(row, TrafficClass.UPLOAD)
    table.set_holder(row, InstanceId("i7"))
    table.set_flags(row, FlowFlag.CONFIRMED | FlowFlag.SERVER_RESPONDED)
    table.clear_flags(row, FlowFlag.CONFIRMED)
    assert table.flow(row) == 2**64 - 1
    assert table.service(row) == BOOKINGS
    assert table.server(row) == A
    assert table.caller(row) == 2**48 - 1
    assert table.traffic_class(row) is TrafficClass.UPLOAD
    assert table.holder(row) == "i7"
    assert table.has_flag(row, FlowFlag.SERVER_RESPONDED)
    assert not table.has_flag(row, FlowFlag.CONFIRMED)


def test_equal_flow_numbers_of_two_services_are_two_rows() -> None:
    table = FlowTable(10)
    first = table.insert(BOOKINGS, FlowId(1), A, 0)
    second = table.insert(SKETCHES, FlowId(1), B, 0)
    assert table.find(BOOKINGS, FlowId(1)) == first
    assert table.find(SKETCHES, FlowId(1)) == second
    table.remove(first)
    assert table.find(BOOKINGS, FlowId(1)) is None
    assert table.find(SKETCHES, FlowId(1)) == second


def test_reused_row_is_reset() -> None:
    table = FlowTable(10)
    row = table.insert(BOOKINGS, FlowId(1), A, 0)
    table.set_caller(row, 9)
    table.set_flags(row, FlowFlag.COMPLETED)
    table.remove(row)
    assert table.insert(SKETCHES, FlowId(2), B, 5_000) == row
    assert table.caller(row) == 0
    assert not table.has_flag(row, FlowFlag.COMPLETED)
    assert table.idle_ms(row, 6_000) == 1_000


def test_idle_time_counts_both_sides() -> None:
    table = FlowTable(10)
    row = table.insert(BOOKINGS, FlowId(1), A, 0)
    table.record_caller_contact(row, 1_000)
    table.record_server_contact(row, 3_000)
    assert table.idle_ms(row, 4_000) == 1_000
    assert table.caller_idle_ms(row, 4_000) == 3_000


def test_rows_of_servers_and_holders_are_found() -> None:
    table = FlowTable(10)
    rows = [table.insert(BOOKINGS, FlowId(n), (A, B)[n % 2], 0) for n in range(6)]
    for row in rows[:3]:
        table.set_holder(row, InstanceId("i1"))
    for row in rows[3:]:
        table.set_holder(row, InstanceId("i2"))
    table.remove(rows[0])
    assert table.rows_at({A}) == [rows[2], rows[4]]
    assert table.rows_held_by(InstanceId("i1")) == rows[1:3]
    assert list(table.rows(0, table.n_rows)) == rows[1:]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 15)), max_size=120))
def test_order_of_use_is_kept(steps: list[tuple[int, int]]) -> None:
    table = FlowTable(100)
    order: list[int] = []
    for action, number in steps:
        row = table.find(BOOKINGS, FlowId(number))
        if row is None:
            table.insert(BOOKINGS, FlowId(number), A, 0)
            order.append(number)
        elif action == 0:
            table.remove(row)
            order.remove(number)
        else:
            table.touch(row)
            order.remove(number)
            order.append(number)
        oldest = table.oldest()
        assert (None if oldest is None else table.flow(oldest)) == next(
            iter(order), None
        )
        assert len(table) == len(order)
