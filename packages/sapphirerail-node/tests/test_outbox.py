from sapphirerail_core.request.messages import Claim
from sapphirerail_node.outbox import BUNDLE_MAX_BYTES, Outbox
from sapphirerail_transport.message_codec import MessageCodec
from sapphirerail_transport.signature import Signer

_CODEC = MessageCodec(Signer("a key of tests"))


def test_messages_to_one_address_share_a_bundle():
    outbox = Outbox("osu-1", _CODEC)
    for key in range(3):
        outbox.add("tema-1", Claim(key, 0, 0), "10.0.0.1:1")
    outbox.add("tema-2", Claim(7, 0, 0), "10.0.0.2:1")
    sent = {address: _CODEC.decode(payload) for address, payload in outbox.take_all()}
    assert sent["10.0.0.1:1"].messages == tuple(Claim(key, 0, 0) for key in range(3))
    assert sent["10.0.0.2:1"].messages == (Claim(7, 0, 0),)
    assert not outbox


def test_full_bundle_leaves_before_the_next_message():
    outbox = Outbox("osu-1", _CODEC)
    payloads = []
    n_claims = 200
    for key in range(n_claims):
        full = outbox.add("tema-1", Claim(1 << 63 | key, 10_000, 1 << 30), "10.0.0.1:1")
        payloads += [full] if full is not None else []
    payloads += [payload for _, payload in outbox.take_all()]
    assert len(payloads) > 1
    assert max(map(len, payloads)) < BUNDLE_MAX_BYTES + 100
    messages = [m for payload in payloads for m in _CODEC.decode(payload).messages]
    assert [m.key - (1 << 63) for m in messages] == list(range(n_claims))
