from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.flow.record_codec import (
    RECORD_BYTES,
    FlowRecord,
    ServerCodes,
    pack_records,
)
from sapphirerail_core.types import FlowId, ServerId, TrafficClass
from sapphirerail_standins.flow_plans import first_plan

PLAN = first_plan()
RECORDS = st.builds(
    FlowRecord,
    st.integers(0, 2**64 - 1).map(FlowId),
    st.sampled_from(sorted(PLAN.servers)),
    st.integers(0, 2**48 - 1),
    st.sampled_from(list(TrafficClass)),
    st.integers(0, 255).map(lambda age: age * 100),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(RECORDS, max_size=50))
def test_records_survive_a_round_trip(records: list[FlowRecord]) -> None:
    payload = pack_records(records)
    assert len(payload) == RECORD_BYTES * len(records)
    assert list(ServerCodes(PLAN).unpack(payload)) == records


def test_record_of_unknown_server_yields_its_flow() -> None:
    record = FlowRecord(FlowId(6), ServerId("new"), 0, TrafficClass.FEED)
    assert list(ServerCodes(PLAN).unpack(pack_records([record]))) == [FlowId(6)]


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_any_payload_is_decoded_without_error(payload: bytes) -> None:
    n_records = len(list(ServerCodes(PLAN).unpack(payload)))
    assert n_records == len(payload) // RECORD_BYTES
