import random

import msgspec
import pytest

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.effects import SendToPeer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.config import FlowConfig
from sapphirerail_core.flow.context import FlowContext
from sapphirerail_core.flow.messages import Forget, Register, Registered, RegisterMode
from sapphirerail_core.flow.owners import OwnerMap, members_of
from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.flow.record_codec import ServerCodes
from sapphirerail_core.flow.record_store import RecordStore
from sapphirerail_core.flow.registrar import N_RECORDS_PER_MESSAGE, Registrar
from sapphirerail_core.flow.table import FlowMark
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import FlowId, InstanceId, ServerId
from sapphirerail_standins.flow_plans import BOOKINGS, PLACES, first_plan

SELF = InstanceId("i0")
OTHERS = (InstanceId("i1"), InstanceId("i2"))
SERVER = ServerId("bookings-2")


@pytest.fixture
def context() -> FlowContext:
    """Return an instance in a data centre that is out; two others own all."""
    places = dict(zip((SELF, *OTHERS), PLACES, strict=False))
    fleet = FixedFleet(SELF, places)
    plan = first_plan()
    context = FlowContext(FlowConfig(), fleet, Journal(SELF), random.Random(1))
    context.placement = Placement(plan)
    context.codes = ServerCodes(plan)
    context.owners.now = OwnerMap(members_of(fleet, plan, without=SELF))
    return context


@pytest.fixture
def registrar(context: FlowContext) -> Registrar:
    return Registrar(context, RecordStore(context))


def add(context: FlowContext, number: int) -> int:
    datagram = Datagram(
        kind=Kind.OPEN, service=BOOKINGS, flow=FlowId(number), caller="10.0.0.1:5"
    )
    return context.add(datagram, SERVER, 0)


def registers(effects: list[object]) -> list[tuple[InstanceId, Register]]:
    return [
        (effect.instance, effect.message)
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Register)
    ]


def test_an_exception_goes_to_both_owners_at_once(
    context: FlowContext, registrar: Registrar
) -> None:
    sent = registers(registrar.register(add(context, 1), 0, at_once=True))
    assert {owner for owner, _ in sent} == set(OTHERS)
    assert all(message.mode is RegisterMode.HOLD for _, message in sent)


def test_beyond_the_budget_exceptions_wait_for_the_tick(
    context: FlowContext, registrar: Registrar
) -> None:
    budget = context.config.n_immediate_per_s
    for number in range(budget):
        assert registrar.register(add(context, number), 0, at_once=True)
    assert registrar.register(add(context, budget), 0, at_once=True) == []
    assert len(registers(registrar.flush(100))) == 2
    assert registrar.register(add(context, budget + 1), 1_000, at_once=True)


def test_other_records_wait_for_a_fuller_batch(
    context: FlowContext, registrar: Registrar
) -> None:
    registrar.flush(10_000)
    for number in range(N_RECORDS_PER_MESSAGE + 1):
        assert registrar.register(add(context, number), 10_000) == []
    assert registrar.flush(10_100) == []
    sent = registers(registrar.flush(10_000 + context.config.batch_ms))
    assert len(sent) == 2 * 2


def test_a_batch_is_sent_again_until_it_is_acknowledged(
    context: FlowContext, registrar: Registrar
) -> None:
    first = registers(registrar.register(add(context, 1), 0, at_once=True))
    later_ms = context.config.ack_timeout_ms
    assert registers(registrar.flush(later_ms)) == [
        (owner, msgspec.structs.replace(message, age_ms=later_ms))
        for owner, message in first
    ]
    for _, message in first:
        registrar.on_registered(Registered(message.serial))
    assert registrar.flush(100_000) == []
    assert registrar.n_unacknowledged == 0


def test_a_batch_for_a_dead_owner_ends(
    context: FlowContext, registrar: Registrar
) -> None:
    registrar.register(add(context, 1), 0, at_once=True)
    fleet = context.fleet
    assert isinstance(fleet, FixedFleet)
    for owner in OTHERS:
        del fleet.members[owner]
    assert registrar.flush(1_000) == []
    assert registrar.n_unacknowledged == 0


def test_an_unanswered_batch_ends_after_its_attempts(
    context: FlowContext, registrar: Registrar
) -> None:
    registrar.register(add(context, 1), 0, at_once=True)
    n_sent = 2
    for now_ms in range(100, 60_000, 100):
        n_sent += len(registers(registrar.flush(now_ms)))
    assert n_sent == 2 * context.config.n_attempts_max
    assert registrar.n_unacknowledged == 0


def test_ended_flows_are_forgotten_at_both_owners(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    registrar.register(row, 0)
    registrar.forget(row, 0)
    assert not context.table.has(row, FlowMark.REGISTERED)
    effects = registrar.flush(10_000)
    told = {
        effect.instance
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Forget)
    }
    assert told == set(OTHERS)


def test_handing_over_asks_one_owner_and_tells_the_other(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    context.table.mark(row, FlowMark.ANSWERING)
    registrar.hand_over_row(row, 0)
    sent = registers(registrar.flush(10_000))
    assert sorted(message.mode for _, message in sent) == [
        RegisterMode.REFRESH,
        RegisterMode.TAKE_OVER,
    ]
    assert not context.table.has(row, FlowMark.ANSWERING)


def test_an_early_claim_goes_to_one_owner_and_to_the_other_if_the_flow_lives_on(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    first, second = context.owners_of(row)
    assert [owner for owner, _ in registers(registrar.claim_early(row, 0))] == [first]
    assert context.table.has(row, FlowMark.HOLDING)
    registrar.claim_second(row, 200)
    sent = registers(registrar.flush(200, everything=True))
    assert [owner for owner, _ in sent] == [second]


def test_a_new_flow_that_ends_early_is_forgotten_where_it_was_claimed(
    context: FlowContext, registrar: Registrar
) -> None:
    row = add(context, 1)
    context.table.mark(row, FlowMark.NEW)
    registrar.claim_early(row, 0)
    registrar.forget(row, 100)
    effects = registrar.flush(100, everything=True)
    told = [e.instance for e in effects if isinstance(e.message, Forget)]
    assert told == [context.owners_of(row)[0]]


def test_without_budget_nothing_is_claimed_early(
    context: FlowContext, registrar: Registrar
) -> None:
    n_claims = context.config.n_early_per_s
    for number in range(n_claims):
        assert registrar.claim_early(add(context, number), 0)
    row = add(context, n_claims)
    assert registrar.claim_early(row, 0) == []
    assert not context.table.has(row, FlowMark.HOLDING)
    assert registrar.claim_early(row, 1_000)


def test_an_instance_that_stops_claims_nothing(
    context: FlowContext, registrar: Registrar
) -> None:
    context.is_draining = True
    assert registrar.claim_early(add(context, 1), 0) == []
