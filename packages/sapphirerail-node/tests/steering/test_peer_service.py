import asyncio
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirerail_core.steering.messages import (
    DirectoryUpdate,
    LoadReport,
    PeerMessage,
)
from sapphirerail_core.steering.model import (
    InstanceEntry,
    OperatorState,
    RequestKind,
    Route,
    Share,
)
from sapphirerail_core.steering.store_snapshot import SnapshotChanges
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.peer_service import (
    CHANGES_MAX_BYTES,
    NEWS_DELAY_MS,
    PeerService,
)
from sapphirerail_standins.steering_fleet import (
    BOOKINGS,
    SteeringFleet,
    configuration,
    server_entry,
)

READER = InstanceEntry("osu-9", "osu", "10.0.0.9:7720")
PEER = InstanceEntry("osu-1", "osu", "10.0.0.1:7720")


def service():
    metrics = SteeringMetrics()
    return PeerService(SteeringFleet().engine, metrics), metrics


@given(st.binary(max_size=200))
def test_any_bytes_are_taken_or_counted(payload):
    peers, metrics = service()
    peers._on_datagram(payload, ("127.0.0.1", 1))
    assert metrics.counters["peer_messages", "malformed"] == 1


@pytest.mark.parametrize("address", ["", "here", "peer-1:80", "1.2.3.4:0", "::1:5"])
def test_a_sender_that_cannot_be_reached_is_not_kept(address):
    peers, metrics = service()
    entry = InstanceEntry("osu-9", "osu", address)
    payload = msgspec.msgpack.encode(LoadReport(entry, 0, ()))
    peers._on_datagram(payload, ("127.0.0.1", 1))
    assert metrics.counters["peer_messages", "malformed"] == 1
    assert peers._engine.peers.local_peers() == []


def test_a_peer_that_speaks_is_known():
    peers, _ = service()
    entry = InstanceEntry("osu-9", "osu", "10.0.0.9:7720")
    payload = msgspec.msgpack.encode(LoadReport(entry, 0, ()))
    peers._on_datagram(payload, ("127.0.0.1", 1))
    assert [peer.entry for peer in peers._engine.peers.local_peers()] == [entry]


@pytest.mark.parametrize(("n_peers", "interval_ms"), [(6, 250), (24, 500), (500, 750)])
def test_reports_become_rarer_in_a_large_data_centre(n_peers, interval_ms):
    peers, _ = service()
    assert peers.report_interval_ms() == 250
    for n in range(n_peers):
        entry = InstanceEntry(f"osu-{n + 2}", "osu", "10.0.0.9:7720")
        peers._engine.peers.on_contact(entry, 0)
    # Found on the grown site: the interval of the start, without peers, stayed.
    assert peers.report_interval_ms() == interval_ms
    peers.report()
    n_sent = peers._metrics.counters["peer_messages", "sent"]
    peers.tick(peers._reported_at_ms + interval_ms - 250)
    assert peers._metrics.counters["peer_messages", "sent"] == n_sent
    peers.tick(peers._reported_at_ms + interval_ms)
    assert peers._metrics.counters["peer_messages", "sent"] == n_sent + n_peers


def test_deaths_that_are_found_together_are_told_by_one_report():
    # Found on the grown Adwinsa site: twenty servers lost power, and twenty reports to
    # thirty peers within 20 ms filled the link so that probes of live servers failed.
    peers, metrics = service()
    for n in range(2, 32):
        entry = InstanceEntry(f"osu-{n}", "osu", f"10.0.0.{n}:7720")
        peers._engine.peers.on_contact(entry, 0)

    async def find_deaths():
        for _ in range(20):
            peers.tell_news()
            await asyncio.sleep(0)
        await asyncio.sleep(2 * NEWS_DELAY_MS / 1000)

    asyncio.run(find_deaths())
    assert metrics.counters["peer_messages", "sent"] == 30


class Wire:
    """Takes what a reader of the store sends, and hands it to its peers."""

    def __init__(self):
        self.reader, _ = service()
        self.peers = [service()[0] for _ in range(3)]
        self.reader._engine.peers.local = self.reader._own = READER
        self.reader._socket = self
        # One peer is enough: what is sent to it is handed to all.
        self.reader._engine.peers.on_contact(PEER, 0)
        self.sent = []

    def send(self, payload, address):
        self.sent.append(payload)

    def read(self, state, *servers):
        engine = self.reader._engine
        before = engine.store_snapshot()
        engine.refresh.on_read(state.store_revision, 0)
        engine.apply_operator_state(state, 0)
        engine.apply_servers(servers, 0)
        self.reader.relay_read(before)

    def deliver(self):
        sent, self.sent = self.sent, []
        for payload in sent:
            for peer in self.peers:
                peer._on_datagram(payload, ("10.0.0.9", 7720))


def test_what_one_reads_is_in_force_at_all_without_a_read_of_theirs():
    wire = Wire()
    wire.read(OperatorState(20, 18, configuration(3), ("madina",)), server_entry(1))
    wire.deliver()
    for peer in wire.peers:
        engine = peer._engine
        assert engine.routes.revision == 3
        assert engine.routes.is_evacuated("madina")
        assert [s.entry.server for s in engine.directory.servers()] == ["i-00000001"]
        assert engine.refresh.wait_ms(0, 0, peer._reported_at_ms) != 0


def test_the_return_of_a_data_centre_reaches_all_though_it_is_no_item_of_the_store():
    # A removed key has no revision that later reads could show.
    wire = Wire()
    wire.read(OperatorState(20, 18, configuration(3), ("madina",)), server_entry(1))
    wire.deliver()
    wire.read(OperatorState(25, 18, configuration(3), ()), server_entry(1))
    wire.deliver()
    assert not any(peer._engine.routes.is_evacuated("madina") for peer in wire.peers)


def test_a_lost_update_is_made_up_for_by_the_next_ones():
    wire = Wire()
    wire.read(OperatorState(20, 18, configuration(3), ()), server_entry(1))
    wire.sent.clear()
    wire.read(OperatorState(21, 18, configuration(3), ()), server_entry(1))
    wire.deliver()
    assert all(peer._engine.routes.revision == 3 for peer in wire.peers)


def test_an_older_picture_reverts_nothing():
    wire = Wire()
    wire.read(OperatorState(20, 18, configuration(3), ()), server_entry(1))
    late = wire.sent
    wire.sent = []
    wire.read(OperatorState(30, 28, configuration(4), ("osu",)), server_entry(1))
    wire.deliver()
    wire.sent = late
    wire.deliver()
    for peer in wire.peers:
        assert peer._engine.routes.revision == 4
        assert peer._engine.routes.is_evacuated("osu")


def test_changes_beyond_what_links_carry_make_the_others_read():
    wire = Wire()
    routes = tuple(
        Route(n << 16 | 80, f"route-{n}", RequestKind.SAFE, (Share(BOOKINGS, 1),))
        for n in range(5_000)
    )
    large = configuration(3, routes=routes)
    wire.read(OperatorState(20, 18, large, ()), server_entry(1))
    assert all(len(payload) < CHANGES_MAX_BYTES for payload in wire.sent)
    for peer in wire.peers:
        peer._engine.refresh.on_read(10, 0)
    wire.deliver()
    assert all(peer._engine.refresh.wait_ms(0, 0, 200) == 0 for peer in wire.peers)
    assert wire.reader._metrics.counters["peer_messages", "too_large"] == 1


def test_an_update_of_a_large_fleet_tells_what_changed_only():
    # 41 kB to each of 44 peers after each change filled the reader's link: on the
    # grown site 320 flows broke and a third of the requests failed.
    wire = Wire()
    servers = [server_entry(n) for n in range(1, 94)]
    for n in range(2, 165):
        entry = InstanceEntry(f"osu-{n}", "osu", f"10.0.1.{n}:7720")
        wire.reader._engine.peers.on_contact(entry, 0)
    state = OperatorState(20, 18, configuration(3), ())
    wire.read(state, *servers)
    wire.read(state, *servers)
    wire.read(state, *servers)
    wire.deliver()
    servers[5] = server_entry(6, is_draining=True)
    del servers[50]
    wire.read(OperatorState(22, 18, configuration(3), ()), *servers)
    assert max(len(payload) for payload in wire.sent) < 600
    wire.deliver()
    for peer in wire.peers:
        known = {s.entry.server: s.entry for s in peer._engine.directory.servers()}
        assert known["i-00000006"].is_draining
        assert peer._engine.refresh.store_revision == 22
        assert len(peer._engine.directory.entries) == 92


def test_the_first_read_of_an_instance_sends_no_picture():
    wire = Wire()
    wire.reader._engine.refresh.on_read(5, 0)
    wire.reader.relay_read(None)
    (payload,) = wire.sent
    assert isinstance(msgspec.msgpack.decode(payload, type=PeerMessage), LoadReport)


@given(st.binary(max_size=100))
def test_changes_that_cannot_be_unpacked_are_refused(changes):
    peer, metrics = service()
    update = DirectoryUpdate(READER, 5, 0, 0, 0, 0, changes)
    peer._on_datagram(msgspec.msgpack.encode(update), ("10.0.0.9", 7720))
    assert metrics.counters["peer_messages", "malformed"] == 1


def test_changes_with_an_address_that_cannot_be_reached_are_refused():
    peer, metrics = service()
    broken = InstanceEntry("osu-8", "osu", "10.0.0.8:x")
    changes = msgspec.msgpack.encode(SnapshotChanges(None, (), (), (broken,), ()))
    update = DirectoryUpdate(READER, 5, 0, 0, 0, 0, zlib.compress(changes))
    peer._on_datagram(msgspec.msgpack.encode(update), ("10.0.0.9", 7720))
    assert metrics.counters["peer_messages", "malformed"] == 1
    assert [p.entry.instance for p in peer._engine.peers.local_peers()] == []
