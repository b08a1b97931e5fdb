import random

import pytest

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.config import FlowConfig
from sapphirerail_core.flow.context import FlowContext
from sapphirerail_core.flow.placement import Placement
from sapphirerail_core.flow.record_codec import FlowRecord
from sapphirerail_core.flow.record_store import PutResult, RecordStore
from sapphirerail_core.journal import Journal
from sapphirerail_core.types import FlowId, InstanceId, ServerId, TrafficClass
from sapphirerail_standins.flow_plans import BOOKINGS, DATA_CENTRES, first_plan

SELF, I1, I2 = InstanceId("i0"), InstanceId("i1"), InstanceId("i2")
SERVER = ServerId("bookings-2")
N_RECORDS_MAX = 3
RECORD = FlowRecord(FlowId(1), SERVER, 0x0A00_0001_0FA0, TrafficClass.FEED)


@pytest.fixture
def context() -> FlowContext:
    places = dict(zip((SELF, I1, I2), DATA_CENTRES, strict=False))
    config = FlowConfig(n_records_max=N_RECORDS_MAX)
    fleet = FixedFleet(SELF, places)
    context = FlowContext(config, fleet, Journal(SELF), random.Random(1))
    context.placement = Placement(first_plan())
    return context


@pytest.fixture
def store(context: FlowContext) -> RecordStore:
    return RecordStore(context)


def test_first_registration_is_stored_completely(
    context: FlowContext, store: RecordStore
) -> None:
    assert store.put(RECORD, I1, 10_000) == PutResult(None, accepted=True)
    row = context.records.find(BOOKINGS, RECORD.flow)
    assert row is not None
    assert store.read(row) == RECORD
    assert context.records.holder(row) == I1
    assert store.server(BOOKINGS, RECORD.flow) == SERVER


def test_latest_registration_wins_in_any_order_of_arrival(
    store: RecordStore,
) -> None:
    store.put(RECORD, I1, 10_000, age_ms=500)
    late = store.put(RECORD, I2, 10_100, age_ms=2_000)
    assert (late.previous_holder, late.accepted, late.age_ms) == (I1, False, 600)
    newer = store.put(RECORD, I2, 10_200, age_ms=100)
    assert (newer.previous_holder, newer.accepted) == (I1, True)


def test_refresh_replaces_only_a_removed_holder(
    context: FlowContext, store: RecordStore
) -> None:
    store.put(RECORD, I1, 10_000)
    assert not store.put(RECORD, I2, 11_000, sets_holder=False).accepted
    assert isinstance(context.fleet, FixedFleet)
    del context.fleet.members[I1]
    assert store.put(RECORD, I2, 12_000, sets_holder=False).accepted


def test_record_of_unknown_server_is_rejected(
    store: RecordStore,
) -> None:
    unknown = RECORD._replace(server=ServerId("nowhere"))
    assert not store.put(unknown, I1, 0).accepted
    assert store.drop(unknown, 0) is None


def test_registrations_older_than_completion_are_rejected_until_ttl(
    store: RecordStore,
) -> None:
    store.put(RECORD, I1, 10_000)
    assert store.drop(RECORD, 12_000) == I1
    assert store.put(RECORD, I2, 13_000, age_ms=1_500).completed
    assert store.put(RECORD, I2, 13_000, age_ms=500).accepted
    store.drop(RECORD, 14_000)
    store.expire(44_100, 10)
    assert store.put(RECORD, I2, 44_200, age_ms=31_000).accepted


def test_full_store_evicts_the_least_recently_refreshed_record(
    context: FlowContext, store: RecordStore
) -> None:
    for number in range(N_RECORDS_MAX):
        store.put(RECORD._replace(flow=FlowId(number)), I1, 1_000 * number)
    store.put(RECORD._replace(flow=FlowId(0)), I1, 5_000)
    store.put(RECORD._replace(flow=FlowId(9)), I1, 6_000)
    kept = [n for n in range(10) if store.server(BOOKINGS, FlowId(n)) is not None]
    assert kept == [0, 2, 9]
    assert context.records.n_evicted == 1


def test_records_expire_in_order_up_to_the_limit(
    context: FlowContext, store: RecordStore
) -> None:
    ttl_ms = context.config.record_ttl_ms
    for number in range(N_RECORDS_MAX):
        store.put(RECORD._replace(flow=FlowId(number)), I1, 1_000 * number)
    store.expire(ttl_ms + 1_000, 1)
    assert store.server(BOOKINGS, FlowId(0)) is None
    assert store.server(BOOKINGS, FlowId(1)) == SERVER
    store.expire(ttl_ms + 1_000, 10)
    assert [store.server(BOOKINGS, FlowId(n)) for n in (1, 2)] == [None, SERVER]


def test_unknown_servers_holder_is_kept_until_the_next_plan(
    store: RecordStore,
) -> None:
    store.put_unknown(RECORD.flow, I1)
    assert store.unknown_holder(RECORD.flow) == I1
    store.forget_unknown()
    assert store.unknown_holder(RECORD.flow) is None
