import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.errors import InputError
from sapphirerail_transport.message_codec import MessageCodec
from sapphirerail_transport.signature import Signer


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_unsigned_payload_is_forged(payload):
    with pytest.raises(InputError) as refused:
        MessageCodec(Signer("shared key")).decode(payload)
    assert refused.value.code == "message.forged"


@settings(derandomize=True)
@given(st.binary(max_size=300))
def test_signed_nonsense_is_malformed(payload):
    signer = Signer("shared key")
    with pytest.raises(InputError) as refused:
        MessageCodec(signer).decode(signer.tag(payload) + payload)
    assert refused.value.code == "message.malformed"
