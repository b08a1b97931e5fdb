import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.errors import InputError
from sapphirerail_core.types import FlowId, ServiceId
from sapphirerail_transport.datagram_codec import (
    DATAGRAM_MAX_BYTES,
    decode_datagram,
    encode_datagram,
)

_SAMPLE = Datagram(kind=Kind.REQUEST, service=ServiceId("s"), flow=FlowId(1))


@given(st.integers(0, 2**64 - 1), st.binary(max_size=100))
def test_round_trip(flow, body):
    datagram = Datagram(
        kind=Kind.DATA, service=ServiceId("s"), flow=FlowId(flow), body=body
    )
    assert decode_datagram(encode_datagram(datagram)) == datagram


@given(st.binary(max_size=200))
def test_random_bytes_raise_only_input_errors(payload):
    try:
        decode_datagram(payload)
    except InputError as error:
        assert error.code.startswith("datagram.")


@given(st.data())
def test_truncated_or_corrupted_datagram_raises_only_input_errors(data):
    payload = bytearray(encode_datagram(_SAMPLE))
    position = data.draw(st.integers(0, len(payload) - 1))
    payload[position] = data.draw(st.integers(0, 255))
    length = data.draw(st.integers(0, len(payload)))
    try:
        decode_datagram(bytes(payload[:length]))
    except InputError as error:
        assert error.code.startswith("datagram.")


def test_oversized_payload_is_refused():
    with pytest.raises(InputError) as refused:
        decode_datagram(b"x" * (DATAGRAM_MAX_BYTES + 1))
    assert refused.value.code == "datagram.too_long"


def test_negative_number_or_unknown_version_is_refused():
    for changed, code in (
        ({"part": -1}, "datagram.malformed"),
        ({"flow": FlowId(-1)}, "datagram.malformed"),
        ({"version": 2}, "datagram.version"),
    ):
        fields = {"kind": Kind.DATA, "service": "s", "flow": 1} | changed
        with pytest.raises(InputError) as refused:
            decode_datagram(encode_datagram(Datagram(**fields)))
        assert refused.value.code == code


def test_deep_nesting_after_the_last_field_is_malformed():
    fields = encode_datagram(_SAMPLE)
    # The first byte holds the array's length; one more element follows the fields.
    payload = bytes([0xDC, 0, (fields[0] & 15) + 1]) + fields[1:] + b"\x91" * 5_000
    with pytest.raises(InputError) as refused:
        decode_datagram(payload)
    assert refused.value.code == "datagram.malformed"
