import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirerail_core.steering.messages import LoadReport
from sapphirerail_core.steering.model import InstanceEntry
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.peer_service import PeerService
from sapphirerail_standins.steering_fleet import SteeringFleet


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
    assert peers._engine.peers.near() == []


def test_a_peer_that_speaks_is_known():
    peers, _ = service()
    entry = InstanceEntry("osu-9", "osu", "10.0.0.9:7720")
    payload = msgspec.msgpack.encode(LoadReport(entry, 0, ()))
    peers._on_datagram(payload, ("127.0.0.1", 1))
    assert [peer.entry for peer in peers._engine.peers.near()] == [entry]


@pytest.mark.parametrize(("n_peers", "interval_ms"), [(6, 250), (24, 500), (500, 750)])
def test_reports_become_rarer_in_a_large_data_centre(n_peers, interval_ms):
    peers, _ = service()
    assert peers.report_interval_ms() == 250
    for n in range(n_peers):
        entry = InstanceEntry(f"osu-{n + 2}", "osu", "10.0.0.9:7720")
        peers._engine.peers.on_heard(entry, 0)
    # Found on the grown site: the interval of the start, without peers, stayed.
    assert peers.report_interval_ms() == interval_ms
    peers.report()
    n_sent = peers._metrics.counters["peer_messages", "sent"]
    peers.tick(peers._reported_at_ms + interval_ms - 250)
    assert peers._metrics.counters["peer_messages", "sent"] == n_sent
    peers.tick(peers._reported_at_ms + interval_ms)
    assert peers._metrics.counters["peer_messages", "sent"] == n_sent + n_peers
