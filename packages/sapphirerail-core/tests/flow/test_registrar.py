import random

import msgspec
import pytest

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.effects import SendToPeer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.config import FlowConfig
from sapphirerail_core.flow.context import FlowContext
from sapphirerail_core.flow.messages import Forget, Register, Registered, RegisterMode
from sapphirerail_core.flow.owners import OwnerMap, eligible_owners
from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.flow.record_codec import ServerCodes
from sapphirerail_core.flow.record_store import RecordStore
from sapphirerail_core.flow.registrar import N_RECORDS_PER_MESSAGE, Registrar
from sapphirerail_core.flow.table import FlowFlag
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import FlowId, InstanceId, ServerId
from sapphirerail_standins.flow_plans import BOOKINGS, DATA_CENTRES, first_plan

SELF = InstanceId("i0")
OTHERS = (InstanceId("i1"), InstanceId("i2"))
SERVER = ServerId("bookings-2")


@pytest.fixture
def context() -> FlowContext:
    """Return an instance that owns no flows, as in an evacuated data centre.

    Two other instances own all flows.
    """
    places = dict(zip((SELF, *OTHERS), DATA_CENTRES, strict=False))
    fleet = FixedFleet(SELF, places)
    plan = first_plan()
    context = FlowContext(FlowConfig(), fleet, Journal(SELF), random.Random(1))
    context.placement = Placement(plan)
    context.codes = ServerCodes(plan)
    context.owners.current = OwnerMap(eligible_owners(fleet, plan, excluded=SELF))
    return context


@pytest.fixture
def registrar(context: FlowContext) -> Registrar:
    return Registrar(context, RecordStore(context))


def add(context: FlowContext, number: int) -> int:
    datagram = Datagram(
        kind=Kind.OPEN, service=BOOKINGS, flow=FlowId(number), caller="10.0.0.1:5"
    )
    return context.put(datagram, SERVER, 0)


def registers(effects: list[object]) -> list[tuple[InstanceId, Register]]:
    return [
        (effect.instance, effect.message)
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Register)
    ]


def test_exception_is_sent_to_both_owners_immediately(
    context: FlowContext, registrar: Registrar
) -> None:
    sent = registers(registrar.register(add(context, 1), 0, urgent=True))
    assert {owner for owner, _ in sent} == set(OTHERS)
    assert all(message.mode is RegisterMode.SET_HOLDER for _, message in sent)


def test_exceptions_beyond_the_rate_limit_wait_for_the_tick(
    context: FlowContext, registrar: Registrar
) -> None:
    n_per_s = context.config.n_immediate_per_s
    for number in range(n_per_s):
        assert registrar.register(add(context, number), 0, urgent=True)
    assert registrar.register(add(context, n_per_s), 0, urgent=True) == []
    assert len(registers(registrar.flush(100))) == 2
    assert registrar.register(add(context, n_per_s + 1), 1_000, urgent=True)


def test_other_records_are_batched(context: FlowContext, registrar: Registrar) -> None:
    registrar.flush(10_000)
    for number in range(N_RECORDS_PER_MESSAGE + 1):
        assert registrar.register(add(context, number), 10_000) == []
    assert registrar.flush(10_100) == []
    sent = registers(registrar.flush(10_000 + context.config.batch_ms))
    assert len(sent) == 2 * 2


def test_batch_is_retransmitted_until_acknowledged(
    context: FlowContext, registrar: Registrar
) -> None:
    first = registers(registrar.register(add(context, 1), 0, urgent=True))
    later_ms = context.config.ack_timeout_ms
    assert registers(registrar.flush(later_ms)) == [
        (owner, msgspec.structs.replace(message, age_ms=later_ms))
        for owner, message in first
    ]
    for _, message in first:
        registrar.on_registered(Registered(message.serial))
    assert registrar.flush(100_000) == []
    assert registrar.n_unacknowledged == 0


def test_batch_for_failed_owner_is_dropped(
    context: FlowContext, registrar: Registrar
) -> None:
    registrar.register(add(context, 1), 0, urgent=True)
    fleet = context.fleet
    assert isinstance(fleet, FixedFleet)
    for owner in OTHERS:
        del fleet.members[owner]
    assert registrar.flush(1_000) == []
    assert registrar.n_unacknowledged == 0


def test_unacknowledged_batch_is_dropped_after_its_attempts(
    context: FlowContext, registrar: Registrar
) -> None:
    registrar.register(add(context, 1), 0, urgent=True)
    n_sent = 2
    for now_ms in range(100, 60_000, 100):
        n_sent += len(registers(registrar.flush(now_ms)))
    assert n_sent == 2 * context.config.n_attempts_max
    assert registrar.n_unacknowledged == 0


def test_completed_flows_are_forgotten_at_both_owners(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    registrar.register(row, 0)
    registrar.forget(row, 0)
    assert not context.table.has_flag(row, FlowFlag.REGISTERED)
    effects = registrar.flush(10_000)
    recipients = {
        effect.instance
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Forget)
    }
    assert recipients == set(OTHERS)


def test_hand_over_goes_to_one_owner_and_refreshes_the_other(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    context.table.set_flags(row, FlowFlag.RETURN_PATH)
    registrar.hand_over_row(row, 0)
    sent = registers(registrar.flush(10_000))
    assert sorted(message.mode for _, message in sent) == [
        RegisterMode.REFRESH,
        RegisterMode.TAKE_OVER,
    ]
    assert not context.table.has_flag(row, FlowFlag.RETURN_PATH)


def test_early_registration_reaches_second_owner_if_flow_stays_open(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    first, second = context.owners_of(row)
    assert [owner for owner, _ in registers(registrar.register_early(row, 0))] == [
        first
    ]
    assert context.table.has_flag(row, FlowFlag.HOLDER_SETTLED)
    registrar.register_second_owner(row, 200)
    sent = registers(registrar.flush(200, everything=True))
    assert [owner for owner, _ in sent] == [second]


def test_short_flow_is_forgotten_where_it_was_registered(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    context.table.set_flags(row, FlowFlag.NEW)
    registrar.register_early(row, 0)
    registrar.forget(row, 100)
    effects = registrar.flush(100, everything=True)
    recipients = [e.instance for e in effects if isinstance(e.message, Forget)]
    assert recipients == [context.owners_of(row)[0]]


def test_early_registrations_stop_at_the_rate_limit(
    context: FlowContext, registrar: Registrar
) -> None:
    n_registrations = context.config.n_early_registrations_per_s
    for number in range(n_registrations):
        assert registrar.register_early(add(context, number), 0)
    row = add(context, n_registrations)
    assert registrar.register_early(row, 0) == []
    assert not context.table.has_flag(row, FlowFlag.HOLDER_SETTLED)
    assert registrar.register_early(row, 1_000)


def test_draining_instance_registers_no_feed_early(
    context: FlowContext, registrar: Registrar
) -> None:
    context.is_draining = True
    assert registrar.register_early(add(context, 1), 0) == []
