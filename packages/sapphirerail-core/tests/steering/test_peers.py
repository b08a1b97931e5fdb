from sapphirerail_core.rendezvous import hash_key
from sapphirerail_core.steering import Peers
from sapphirerail_core.steering.model import InstanceEntry

LIVE_MS = 1_200


def entry(name, address="10.9.0.1:1"):
    return InstanceEntry(name, name.rpartition("-")[0], address)


def peers_of(local, *others, now_ms=0):
    peers = Peers(entry(local), LIVE_MS, now_ms - LIVE_MS)
    peers.apply([entry(name) for name in (local, *others)], now_ms)
    for name in others:
        peers.on_contact(entry(name), now_ms)
    return peers


def test_ranks_count_only_live_local_instances():
    peers = peers_of("osu-3", "osu-1", "osu-2", "accra-0")
    assert peers.local_rank(0) == 2
    peers.on_contact(entry("osu-2"), 2_000)
    assert peers.local_rank(2_000) == 1


def test_an_unregistered_instance_is_known_by_its_messages():
    peers = peers_of("osu-1")
    peers.on_contact(entry("osu-9"), 0)
    assert "osu-9" in peers.live_local_instances(0)


def test_an_unregistered_instance_stays_known_while_it_is_live():
    # Guards against dropping it, and its load report, at each read of the store, two a
    # second.
    peers = peers_of("osu-1", "osu-2")
    before = peers.on_contact(entry("osu-9"), 0)
    peers.apply([entry("osu-1"), entry("osu-2")], LIVE_MS)
    assert peers.on_contact(entry("osu-9"), LIVE_MS) is before
    peers.apply([entry("osu-1"), entry("osu-2")], 2 * LIVE_MS + 1)
    assert [peer.entry.instance for peer in peers.local_peers()] == ["osu-2"]


def test_instances_known_only_by_messages_are_not_registered():
    # Guards against a lost update: the reader received a message of an instance before
    # it read its entry, saw no change, and never sent it to other data centres.
    peers = peers_of("osu-1", "osu-2")
    peers.on_contact(entry("osu-9"), 0)
    assert [e.instance for e in peers.registered] == ["osu-1", "osu-2"]
    assert len(peers.entries()) == 3


def test_an_instance_with_a_new_address_is_not_live_yet():
    peers = peers_of("osu-1", "osu-2")
    peers.apply([entry("osu-1"), entry("osu-2", "10.9.0.2:1")], 0)
    assert peers.live_local_instances(0) == ["osu-1"]


def test_exactly_one_instance_sends_to_a_cold_server():
    names = ["osu-1", "osu-2", "tema-1", "tema-2"]
    for server in ("i-1", "i-2", "i-3", "i-4"):
        key = hash_key(server)
        senders = [
            local
            for local in names
            if peers_of(local, *(n for n in names if n != local)).is_sender(
                key, "osu", 0
            )
        ]
        assert len(senders) == 1
        assert senders[0].startswith("osu")


def test_a_data_centre_without_instances_has_one_remote_sender():
    names = ["osu-1", "tema-1", "tema-2"]
    key = hash_key("i-1")
    senders = [
        local
        for local in names
        if peers_of(local, *(n for n in names if n != local)).is_sender(key, "cali", 0)
    ]
    assert len(senders) == 1


def test_one_peer_of_each_remote_data_centre_relays():
    peers = peers_of("osu-1", "osu-2", "tema-2", "tema-1", "cali-5")
    assert [p.entry.instance for p in peers.remote_relays()] == ["cali-5", "tema-1"]
