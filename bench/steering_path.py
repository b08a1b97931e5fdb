"""Measures the data path on the users' platform against a plain forwarder."""

import asyncio
import contextlib
import logging
import socket
import statistics
import time
from collections.abc import Iterator
from typing import Protocol

from sapphirerail_node.platform.packets import PlatformPacketCodec
from sapphirerail_node.steering.decision_log import DecisionLog
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.packet_service import PacketService
from sapphirerail_standins.packet_endpoints import Flag, Segment, ipv4_number
from sapphirerail_standins.steering_fleet import SteeringFleet, server_entry
from sapphirerail_transport.udp import (
    Address,
    UdpSocket,
    bind_datagram,
    format_address,
)

from .result import Baseline, Figure

__all__ = ["figures"]

N_PACKETS = 4_000
N_FLOWS = 400
N_ROUNDS = 9
N_SERVERS = 60
# At half of a plain forwarder's rate, decisions take as much time as the sockets.
RATIO_MIN = 0.5
DATA = b"x" * 200

# Fits into the sockets' buffers, so that no packet is lost.
N_IN_FLIGHT = 100
ANY_PORT = ("127.0.0.1", 0)
ROUND_TIMEOUT_S = 30


class Forwarder(Protocol):
    """Forwards packets to one server."""

    address: Address

    def n_forwarded(self) -> int:
        """Return how many packets went to the server."""
        ...

    async def close(self) -> None:
        """Close the socket."""
        ...


class PlainForwarder:
    """Forwards each packet with eight bytes in front, without any state."""

    def __init__(self, server: Address) -> None:
        self._server = server
        self._n_forwarded = 0
        self._socket = UdpSocket(bind_datagram(ANY_PORT), self._forward)
        self.address = self._socket.address

    def n_forwarded(self) -> int:
        """Return how many packets went to the server."""
        return self._n_forwarded

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _forward(self, datagram: bytes, _: Address) -> None:
        self._socket.send(bytes(8) + datagram, self._server)
        self._n_forwarded += 1


class SteeringForwarder:
    """Forwards packets with the whole data path of a platform entry instance."""

    def __init__(self, servers: list[Address]) -> None:
        fleet = SteeringFleet()
        fleet.configure()
        # Each has an address of its own: of two with one address the earlier has ended.
        fleet.announce(
            *(
                server_entry(n, address=format_address(address))
                for n, address in enumerate(servers, 1)
            )
        )
        bound = bind_datagram(ANY_PORT)
        host, port = bound.getsockname()
        self.address = (host, port)
        self._service = PacketService(
            fleet.engine,
            PlatformPacketCodec(port),
            DecisionLog(logging.getLogger(__name__)),
            SteeringMetrics(),
        )
        self._service.bind(bound)
        self._service.start_reading()

    def n_forwarded(self) -> int:
        """Return how many packets went to the server."""
        return self._service.n_sent()

    async def close(self) -> None:
        """Close the socket."""
        await self._service.close()


def figures() -> Iterator[Figure]:
    """Yield the packet rate of the data path relative to a plain forwarder."""
    yield asyncio.run(_measure_ratio())


async def _measure_ratio() -> Figure:
    with contextlib.ExitStack() as stack:
        sender = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        servers = [
            stack.enter_context(bind_datagram(ANY_PORT)).getsockname()
            for _ in range(1, N_SERVERS)
        ]
        plain_forwarder = PlainForwarder(servers[0])
        steering_forwarder = SteeringForwarder(servers)
        plain_per_s: list[float] = []
        steered_per_s: list[float] = []
        for n_round in range(N_ROUNDS):
            packets = _packets(n_round)
            plain_per_s.append(await _packets_per_s(sender, plain_forwarder, packets))
            steered_per_s.append(
                await _packets_per_s(sender, steering_forwarder, packets)
            )
        await plain_forwarder.close()
        await steering_forwarder.close()
    # Rounds are paired, so that a change of the machine's speed affects both.
    ratio = statistics.median(
        s / p for s, p in zip(steered_per_s, plain_per_s, strict=True)
    )
    baseline = Baseline("packets a second of a plain forwarder", max(plain_per_s))
    return Figure.at_least(
        "steering_path_rate_ratio", round(ratio, 3), "1", RATIO_MIN, baseline
    )


def _packets(n_round: int) -> list[bytes]:
    """Return packets of open flows, each with new data and an acknowledgement."""
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(*(server_entry(n) for n in range(1, N_SERVERS)))
    tags = [server.tag for server in fleet.engine.directory.servers()]
    first = 1 + n_round * (N_PACKETS // N_FLOWS)
    host, caller = ipv4_number("0.0.0.1"), ipv4_number("100.64.0.7")
    return [
        Segment(
            flags=Flag.ACK,
            echo=tags[n % N_FLOWS % len(tags)],
            dst=host,
            sport=10_000 + n % N_FLOWS,
            dport=80,
            src=caller,
            seq=len(DATA) * (first + n // N_FLOWS),
            ack=first + n // N_FLOWS,
            data=DATA,
        ).encode()
        for n in range(N_PACKETS)
    ]


async def _packets_per_s(
    sender: socket.socket, forwarder: Forwarder, packets: list[bytes]
) -> float:
    """Return the rate in packets per second of receiving, deciding and forwarding."""
    spent_ns = 0
    async with asyncio.timeout(ROUND_TIMEOUT_S):
        for start in range(0, len(packets), N_IN_FLIGHT):
            n_expected = forwarder.n_forwarded() + N_IN_FLIGHT
            for packet in packets[start : start + N_IN_FLIGHT]:
                sender.sendto(packet, forwarder.address)
            began_ns = time.perf_counter_ns()
            while forwarder.n_forwarded() < n_expected:
                await asyncio.sleep(0)
            spent_ns += time.perf_counter_ns() - began_ns
    return len(packets) / (spent_ns / 1e9)
