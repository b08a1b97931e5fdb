import asyncio
import socket

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_node.datagram_endpoint import DatagramEndpoint
from sapphirerail_node.metrics import Metrics
from sapphirerail_transport.udp import UdpSocket


def _bound_socket():
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.bind(("127.0.0.1", 0))
    return bound


def test_malformed_payloads_and_bad_addresses_are_counted():
    async def scenario():
        received = asyncio.Queue()
        metrics = Metrics()
        endpoint = DatagramEndpoint(
            "caller", lambda d, a: received.put_nowait(d), metrics
        )
        bound = _bound_socket()
        address = bound.getsockname()
        await endpoint.open(bound)
        sender = await UdpSocket.bind(("127.0.0.1", 0), lambda p, a: None)
        sender.send(b"not a datagram", address)
        datagram = Datagram(kind=Kind.DATA, service="s", flow=1)
        sender_metrics = Metrics()
        other = DatagramEndpoint("caller", lambda d, a: None, sender_metrics)
        await other.open(_bound_socket())
        other.send(datagram, f"{address[0]}:{address[1]}")
        other.send(datagram, "no address")
        other.send(datagram, "[::1]:80")
        other.send(datagram, "localhost:80")
        assert await received.get() == datagram
        for opened in (endpoint, other, sender):
            opened.close()
        return metrics, sender_metrics

    metrics, sender_metrics = asyncio.run(scenario())
    assert metrics.counters["caller.dropped.datagram.malformed"] == 1
    assert sender_metrics.counters["caller.bad_address"] == 3


@settings(derandomize=True)
@given(st.binary(max_size=9000))
def test_no_payload_raises_an_exception(payload):
    endpoint = DatagramEndpoint("caller", lambda d, a: None, Metrics())
    endpoint._on_payload(payload, ("127.0.0.1", 1))
