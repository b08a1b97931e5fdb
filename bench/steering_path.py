"""The platform's data path, beside a forwarder that only copies packets."""

import asyncio
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
from sapphirerail_transport.udp import Address, UdpSocket, bind_datagram

from .result import Baseline, Figure

__all__ = ["figures"]

N_PACKETS = 4_000
N_FLOWS = 400
N_ROUNDS = 9
N_SERVERS = 60
# Half of a plain forwarder's rate leaves the decision as much time as the sockets.
RATIO_MIN = 0.5
DATA = b"x" * 200

# Below the sockets' buffers, so that none is lost.
N_AT_ONCE = 100
ANY_PORT = ("127.0.0.1", 0)
ROUND_TIMEOUT_S = 30


class Forwarder(Protocol):
    """Something that passes packets on to one server."""

    address: Address

    def n_passed(self) -> int:
        """Return how many packets went to the server."""
        ...

    async def close(self) -> None:
        """Close the socket."""
        ...


class PlainForwarder:
    """Copies each packet behind eight bytes, and knows nothing."""

    def __init__(self, server: Address) -> None:
        self._server = server
        self._n_passed = 0
        self._socket = UdpSocket(bind_datagram(ANY_PORT), self._copy)
        self.address = self._socket.address

    def n_passed(self) -> int:
        """Return how many packets went to the server."""
        return self._n_passed

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _copy(self, datagram: bytes, _: Address) -> None:
        self._socket.send(bytes(8) + datagram, self._server)
        self._n_passed += 1


class SteeringForwarder:
    """The whole data path of an entry instance on the users' platform."""

    def __init__(self, server: Address) -> None:
        address = f"{server[0]}:{server[1]}"
        fleet = SteeringFleet()
        fleet.configure()
        fleet.announce(*(server_entry(n, address=address) for n in range(1, N_SERVERS)))
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

    def n_passed(self) -> int:
        """Return how many packets went to the server."""
        return self._service.n_sent()

    async def close(self) -> None:
        """Close the socket."""
        await self._service.close()


def figures() -> Iterator[Figure]:
    """Yield the rate of the data path as a ratio to the plain forwarder's."""
    yield asyncio.run(_ratio())


async def _ratio() -> Figure:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        bind_datagram(ANY_PORT) as sink,
    ):
        host, port = sink.getsockname()
        plain_path = PlainForwarder((host, port))
        steered_path = SteeringForwarder((host, port))
        plain: list[float] = []
        steered: list[float] = []
        for n_round in range(N_ROUNDS):
            packets = _packets(n_round)
            plain.append(await _rate(sender, plain_path, packets))
            steered.append(await _rate(sender, steered_path, packets))
        await plain_path.close()
        await steered_path.close()
    # Rounds are paired, so that a machine whose speed drifts slows both.
    ratio = statistics.median(s / p for s, p in zip(steered, plain, strict=True))
    baseline = Baseline("packets a second of a plain forwarder", max(plain))
    return Figure.at_least(
        "steering_path_rate_ratio", round(ratio, 3), "1", RATIO_MIN, baseline
    )


def _packets(n_round: int) -> list[bytes]:
    """Return packets of open flows, each with new data and an answer."""
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


async def _rate(sender: socket.socket, path: Forwarder, packets: list[bytes]) -> float:
    """Return the packets a second of receiving, deciding and sending on."""
    spent_ns = 0
    async with asyncio.timeout(ROUND_TIMEOUT_S):
        for start in range(0, len(packets), N_AT_ONCE):
            wanted = path.n_passed() + N_AT_ONCE
            for packet in packets[start : start + N_AT_ONCE]:
                sender.sendto(packet, path.address)
            began_ns = time.perf_counter_ns()
            while path.n_passed() < wanted:
                await asyncio.sleep(0)
            spent_ns += time.perf_counter_ns() - began_ns
    return len(packets) / (spent_ns / 1e9)
