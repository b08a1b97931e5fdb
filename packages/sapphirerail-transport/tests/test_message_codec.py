import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.errors import InputError
from sapphirerail_core.request.messages import Claim, Grant
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.message_codec import (
    SHORT_FORM_PURPOSE,
    SHORT_TAG_BYTES,
    MessageCodec,
    WireForm,
)
from sapphirerail_transport.signature import Signer


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_unsigned_payload_is_refused_as_forged(payload):
    with pytest.raises(InputError) as refused:
        MessageCodec(Signer("shared key")).decode(payload)
    assert refused.value.code == "message.forged"


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_random_signed_single_form_is_malformed(payload):
    signer = Signer("shared key")
    with pytest.raises(InputError) as refused:
        MessageCodec(signer).decode(signer.tag(payload) + payload)
    assert refused.value.code == "message.malformed"


SIGNER = Signer("shared key")
CODEC = MessageCodec(SIGNER)
SHORT_SIGNER = SIGNER.derive(SHORT_FORM_PURPOSE, SHORT_TAG_BYTES)
NESTED = b"\x91" * 5_000


def _sign_short(content):
    return SHORT_SIGNER.tag(content) + content


def _refusal(payload):
    with pytest.raises(InputError) as refused:
        CODEC.decode(payload)
    return refused.value.code


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_random_signed_short_form_is_malformed(content):
    assert _refusal(_sign_short(content)) == "message.malformed"


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=20,
)


@settings(derandomize=True)
@given(st.lists(_VALUES, max_size=5), st.booleans())
def test_random_signed_msgpack_raises_only_input_errors(content, is_short):
    signer = SHORT_SIGNER if is_short else SIGNER
    payload = msgspec.msgpack.encode(content)
    try:
        CODEC.decode(signer.tag(payload) + payload)
    except InputError as error:
        assert error.code == "message.malformed"


@pytest.mark.parametrize("start", [b"", b"\x92\xa1a", b"\x93\xa1a\x93\x20\x01\x02"])
@pytest.mark.parametrize("signer", [SIGNER, SHORT_SIGNER])
def test_deeply_nested_payload_is_malformed(start, signer):
    content = start + NESTED
    assert _refusal(signer.tag(content) + content) == "message.malformed"


@settings(derandomize=True)
@given(st.data())
def test_corrupted_short_form_is_refused_as_forged(data):
    payload = bytearray(CODEC.encode_short("osu-1", Claim(1, 2, 3)))
    position = data.draw(st.integers(0, len(payload) - 1))
    payload[position] ^= data.draw(st.integers(1, 255))
    assert _refusal(bytes(payload)) == "message.forged"


def test_tag_of_one_form_is_invalid_for_the_other():
    single = CODEC.encode("osu-1", Claim(1, 2, 3))
    content = single[SIGNER.tag_bytes :]
    assert _refusal(single[:SHORT_TAG_BYTES] + content) == "message.forged"
    short = CODEC.encode_short("osu-1", Claim(1, 2, 3))
    content = short[SHORT_TAG_BYTES:]
    assert _refusal(SHORT_SIGNER.tag(content) * 2 + content) == "message.forged"


def test_both_forms_announce_that_the_sender_decodes_the_short_form():
    single = CODEC.decode(CODEC.encode("osu-1", Claim(1, 2, 3)))
    messages = (Claim(1, 2, 3), Grant(1, 3, "osu-2"))
    short = CODEC.decode(CODEC.encode_short("osu-1", *messages))
    assert single.messages == (Claim(1, 2, 3),)
    assert short.messages == messages
    assert single.accepts_short_form and short.accepts_short_form
    assert single.sender == short.sender == "osu-1"


def test_unknown_message_does_not_affect_the_known_ones():
    content = msgspec.msgpack.encode(["osu-1", [49, "newer"], Claim(1, 2, 3)])
    received = CODEC.decode(_sign_short(content))
    assert received.messages == (Claim(1, 2, 3),)
    assert received.n_undecodable == 1


class _OldEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """Single form of versions before the short form."""

    sender: InstanceId
    message: msgspec.Raw


def test_single_form_is_compatible_with_versions_before_the_short_form():
    content = CODEC.encode("osu-1", Claim(1, 2, 3))[SIGNER.tag_bytes :]
    old = msgspec.msgpack.decode(content, type=_OldEnvelope)
    assert msgspec.msgpack.decode(old.message, type=Claim) == Claim(1, 2, 3)
    content = msgspec.msgpack.encode(old)
    received = CODEC.decode(SIGNER.tag(content) + content)
    assert received.messages == (Claim(1, 2, 3),)
    assert not received.accepts_short_form
    assert WireForm.SINGLE < WireForm.SHORT
