import asyncio
import socket

import msgspec

from sapphirerail_core.effects import Message
from sapphirerail_core.request.messages import Claim, Grant
from sapphirerail_node import peers
from sapphirerail_node.metrics import Metrics
from sapphirerail_node.peers import PeerSocket
from sapphirerail_transport.message_codec import MessageCodec
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import format_address

_CODEC = MessageCodec(Signer("a key of tests"))
_SENDER = ("127.0.0.1", 1)


def _payload(message):
    return _CODEC.encode("tema-1", message)


class _Peer:
    def __init__(self, **fields):
        self.handled = []
        self.metrics = Metrics()
        self.socket = PeerSocket(
            "osu-1",
            _CODEC,
            lambda sender, message: self.handled.append(message),
            self.metrics,
            **fields,
        )


def _bound_socket():
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    return bound


def test_signed_message_is_received():
    async def scenario():
        receiver, sender = _Peer(), _Peer()
        bound = _bound_socket()
        await receiver.socket.open(bound)
        await sender.socket.open(_bound_socket())
        address = format_address(bound.getsockname())
        sender.socket.send("osu-1", Claim(1, 2, 3), address)
        while not receiver.handled:
            await asyncio.sleep(0)
        receiver.socket.close()
        sender.socket.close()
        return receiver.handled

    assert asyncio.run(scenario()) == [Claim(1, 2, 3)]


def test_forged_message_is_counted_and_dropped():
    peer = _Peer()
    forged = MessageCodec(Signer("another key")).encode("tema-1", Claim(1, 2, 3))
    peer.socket._on_payload(forged, _SENDER)
    assert not peer.handled
    assert peer.metrics.counters["peer.dropped.message.forged"] == 1


def test_urgent_message_overtakes_queued_ones():
    async def scenario():
        peer = _Peer(urgent=(Grant,))
        peer.socket._on_payload(_payload(Claim(1, 2, 3)), _SENDER)
        peer.socket._on_payload(_payload(Grant(4, 5, "a")), _SENDER)
        before = list(peer.handled)
        while len(peer.handled) < 2:
            await asyncio.sleep(0)
        return before, peer.handled

    before, after = asyncio.run(scenario())
    assert before == [Grant(4, 5, "a")]
    assert after == [Grant(4, 5, "a"), Claim(1, 2, 3)]


def test_full_queue_drops_the_oldest_message(monkeypatch):
    monkeypatch.setattr(peers, "N_QUEUED_MAX", 2)

    async def scenario():
        peer = _Peer()
        for key in range(4):
            peer.socket._on_payload(_payload(Claim(key, 0, 0)), _SENDER)
        while len(peer.handled) < 2:
            await asyncio.sleep(0)
        return peer

    peer = asyncio.run(scenario())
    assert [message.key for message in peer.handled] == [2, 3]
    assert peer.metrics.counters["peer.dropped.queue_full"] == 2


def test_failing_handler_does_not_stop_queued_messages():
    async def scenario():
        handled = []

        def handle(sender, message):
            if message.key == 0:
                raise RuntimeError("first")
            handled.append(message.key)

        peer = PeerSocket("osu-1", _CODEC, handle, Metrics())
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for key in range(3):
            peer._on_payload(_payload(Claim(key, 0, 0)), _SENDER)
        while len(handled) < 2:
            await asyncio.sleep(0)
        return handled

    assert asyncio.run(scenario()) == [1, 2]


async def _two_peers():
    """Return a sender that sends the short form, a receiver and its address."""
    receiver, sender = _Peer(), _Peer()
    bound = _bound_socket()
    await receiver.socket.open(bound)
    await sender.socket.open(_bound_socket())
    sender.socket._on_payload(_CODEC.encode("osu-1", Claim(0, 0, 0)), _SENDER)
    return sender, receiver, format_address(bound.getsockname())


def _close(*peers):
    for peer in peers:
        peer.socket.close()


def test_messages_of_one_payload_are_handled_in_order():
    async def scenario():
        peer = _Peer()
        claims = [Claim(key, 0, 0) for key in range(5)]
        peer.socket._on_payload(_CODEC.encode_short("tema-1", *claims), _SENDER)
        while len(peer.handled) < 5:
            await asyncio.sleep(0)
        return peer

    peer = asyncio.run(scenario())
    assert [message.key for message in peer.handled] == list(range(5))
    assert peer.metrics.counters["peer.received"] == 5


def test_new_peer_is_sent_the_single_form():
    async def scenario():
        sender, receiver, address = await _two_peers()
        for name in ("tema-1", "osu-1"):
            sender.socket.send(name, Claim(1, 0, 0), address)
        while len(receiver.handled) < 2:
            await asyncio.sleep(0)
        _close(sender, receiver)
        return sender.metrics.counters

    counters = asyncio.run(scenario())
    assert counters["peer.sent"] == 2
    assert counters["peer.sent_single"] == 1


def test_undecodable_message_is_counted_and_the_other_handled():
    peer = _Peer(urgent=(Claim,))
    payload = _CODEC.encode_short("tema-1", Claim(1, 2, 3), _NewerMessage("x"))
    peer.socket._on_payload(payload, _SENDER)
    assert peer.handled == [Claim(1, 2, 3)]
    assert peer.metrics.counters["peer.dropped.message.malformed"] == 1


class _NewerMessage(Message, frozen=True, array_like=True, tag=49):
    """A message of a later version."""

    text: str


def _payload_of_old_version(message):
    """Return the single form as encoded by a version that knows no other form."""
    content = msgspec.msgpack.encode(["tema-1", message])
    return Signer("a key of tests").tag(content) + content


def test_peer_downgraded_to_an_older_version_is_sent_the_single_form():
    async def scenario():
        sender, receiver, address = await _two_peers()
        sender.socket._on_payload(_payload_of_old_version(Claim(0, 0, 0)), _SENDER)
        sender.socket.send("tema-1", Claim(1, 0, 0), address)
        _close(sender, receiver)
        return sender.metrics.counters["peer.sent_single"]

    assert asyncio.run(scenario()) == 1


def test_number_of_remembered_short_form_peers_is_bounded(monkeypatch):
    monkeypatch.setattr(peers, "N_SHORT_FORM_PEERS_MAX", 2)
    peer = _Peer(urgent=(Claim,))
    for name in ("a", "b", "c"):
        peer.socket._on_payload(_CODEC.encode(name, Claim(1, 2, 3)), _SENDER)
    assert list(peer.socket._short_form_peers) == ["b", "c"]


def test_grants_survive_the_short_form_with_any_holder():
    grants = [Grant(1, 2, "osu-1"), Grant(3, 4, "tema-1"), Grant(5, 6, "")]

    async def scenario():
        sender, receiver, address = await _two_peers()
        for grant in grants:
            sender.socket.send("osu-1", grant, address)
        while len(receiver.handled) < len(grants):
            await asyncio.sleep(0)
        _close(sender, receiver)
        return receiver.handled, sender.metrics.counters["peer.sent_single"]

    assert asyncio.run(scenario()) == (grants, 0)
