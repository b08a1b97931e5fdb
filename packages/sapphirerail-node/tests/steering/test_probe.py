import asyncio
import contextlib
import logging
import socket
import time

import pytest

from sapphirerail_core.steering import SteeringConfig
from sapphirerail_core.steering.model import InstanceEntry
from sapphirerail_core.steering.server_state import Health
from sapphirerail_node.clock import monotonic_ms
from sapphirerail_node.steering.decision_log import DecisionLog
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.packet_service import PacketService
from sapphirerail_node.steering.probe import Reach, is_any_answering, probe
from sapphirerail_standins.steering_fleet import SteeringFleet, server_entry

CONFIG = SteeringConfig()
PEER = InstanceEntry("osu-2", "osu", "10.9.0.2:7720")


@contextlib.contextmanager
def listener(*, is_full=False):
    """Return the address of a listening socket; a full one answers no connection."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind(("127.0.0.1", 0))
        listening.listen(0 if is_full else 100)
        for _ in range(4 if is_full else 0):
            # The kernel drops the opening packets of further connections.
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(listening.getsockname())
        yield listening.getsockname()


def closed_address():
    with listener() as address:
        return address


def test_probe_tells_refused_connections_from_unanswered_ones():
    with listener() as open_address, listener(is_full=True) as full_address:
        assert asyncio.run(probe(open_address, CONFIG)) is Reach.REACHED
        assert asyncio.run(probe(full_address, CONFIG)) is Reach.UNANSWERED
    assert asyncio.run(probe(closed_address(), CONFIG)) is Reach.REFUSED


def test_one_host_that_answers_is_enough():
    with listener(is_full=True) as full_address:
        refused = closed_address()
        assert asyncio.run(is_any_answering([full_address, refused], 150))
        assert not asyncio.run(is_any_answering([full_address, full_address], 150))


def health_after_probe(server_address, peer_addresses, *, hears_peer, block_s=0.0):
    """Probe a suspected server and return its health."""
    fleet = SteeringFleet()
    engine = fleet.engine
    address = "{}:{}".format(*server_address)
    engine.apply_servers([server_entry(1, address=address)], 0)
    (server,) = engine.directory.servers()
    metrics = SteeringMetrics()
    service = PacketService(
        engine, None, DecisionLog(logging.getLogger("test")), metrics
    )
    service.link_check_addresses = lambda: peer_addresses

    async def scenario():
        now_ms = monotonic_ms()
        engine.failure_detector.on_no_response(server, now_ms, now_ms)
        service.log_events()
        await asyncio.sleep(0.2)
        if hears_peer:
            engine.peers.on_contact(PEER, monotonic_ms())
        await asyncio.sleep(0.02)
        # Stands for a process that is suspended.
        time.sleep(block_s)
        while server.is_probe_in_flight:
            await asyncio.sleep(0.01)
        await service.close()

    asyncio.run(scenario())
    return server.health


@pytest.mark.parametrize(
    ("is_peer_reached", "hears_peer", "health"),
    [
        (True, True, Health.FAILED),
        (True, False, Health.FAILED),
        # The link of this instance is full: its peers answer no connection either.
        (False, True, Health.SUSPECT),
        # This instance is cut off.
        (False, False, Health.FAILED),
    ],
)
def test_an_unanswered_probe_counts_unless_the_own_link_is_full(
    is_peer_reached, hears_peer, health
):
    # Guards against resets of open flows: at a change of a large configuration all
    # links of a data centre were full for some 300 ms, the probes of two instances
    # failed, and a third one reset the flows of a live server.
    with listener(is_full=True) as server, listener(is_full=True) as full_peer:
        peer = closed_address() if is_peer_reached else full_peer
        assert health_after_probe(server, [peer], hears_peer=hears_peer) is health


def test_a_refused_probe_counts_at_once():
    with listener(is_full=True) as peer:
        health = health_after_probe(closed_address(), [peer], hears_peer=True)
    assert health is Health.FAILED


def test_without_a_live_peer_an_unanswered_probe_counts():
    with listener(is_full=True) as server:
        assert health_after_probe(server, [], hears_peer=False) is Health.FAILED


def test_a_probe_that_a_suspended_process_ends_late_does_not_count():
    with listener(is_full=True) as server:
        health = health_after_probe(server, [], hears_peer=False, block_s=0.4)
    assert health is Health.SUSPECT
