"""The platform's data path, beside a forwarder that only copies packets."""

import socket
import statistics
import time
from collections.abc import Callable, Iterator

from sapphirerail_core.steering import Forward
from sapphirerail_node.platform.packets import PlatformPacketCodec
from sapphirerail_standins.packet_peers import Flag, Segment, number
from sapphirerail_standins.steering_fleet import (
    FEED,
    SteeringFleet,
    opening,
    server_entry,
)

from .result import Baseline, Figure

__all__ = ["figures"]

N_PACKETS = 4_000
N_FLOWS = 400
N_ROUNDS = 9
N_SERVERS = 60
# Half of a plain forwarder's rate leaves the decision as much time as the sockets.
RATIO_MIN = 0.5
DATA = b"x" * 200

Work = Callable[[bytes], tuple[bytes, tuple[str, int]]]


def figures() -> Iterator[Figure]:
    """Yield the rate of the data path as a ratio to the plain forwarder's."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forwarder,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink,
    ):
        for bound in (sender, forwarder, sink):
            bound.bind(("127.0.0.1", 0))
        sender.connect(forwarder.getsockname())
        target = sink.getsockname()
        packets = _packets()
        steer = _steering(target)

        def copy(datagram: bytes) -> tuple[bytes, tuple[str, int]]:
            return bytes(8) + datagram, target

        plain: list[float] = []
        steered: list[float] = []
        for _ in range(N_ROUNDS):
            plain.append(_rate(sender, forwarder, packets, copy))
            steered.append(_rate(sender, forwarder, packets, steer))
    # Rounds are paired, so that a machine whose speed drifts slows both.
    ratio = statistics.median(s / p for s, p in zip(steered, plain, strict=True))
    baseline = Baseline("packets a second of a plain forwarder", max(plain))
    yield Figure.at_least(
        "steering_path_rate_ratio", round(ratio, 3), "1", RATIO_MIN, baseline
    )


def _steering(target: tuple[str, int]) -> Work:
    """Return the whole data path but the sockets."""
    fleet = SteeringFleet()
    fleet.configure()
    address = f"{target[0]}:{target[1]}"
    fleet.announce(*(server_entry(n, address=address) for n in range(1, N_SERVERS)))
    codec = PlatformPacketCodec(8172)
    engine = fleet.engine
    engine.on_packet(opening(1, FEED), fleet.now_ms)

    def steer(datagram: bytes) -> tuple[bytes, tuple[str, int]]:
        now_ms = time.monotonic_ns() // 1_000_000
        packet = codec.decode(datagram)
        action = engine.on_packet(packet, now_ms)
        assert isinstance(action, Forward), action
        return codec.for_server(packet, action.server.entry, None)

    return steer


def _packets() -> list[bytes]:
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(*(server_entry(n) for n in range(1, N_SERVERS)))
    tags = [server.tag for server in fleet.engine.directory.servers()]
    host, caller = number("0.0.0.1"), number("100.64.0.7")
    return [
        Segment(
            flags=Flag.ACK,
            echo=tags[n % N_FLOWS % len(tags)],
            dst=host,
            sport=10_000 + n % N_FLOWS,
            dport=80,
            src=caller,
            seq=1_000 + len(DATA) * (n // N_FLOWS),
            ack=1_000 + n // N_FLOWS,
            data=DATA,
        ).encode()
        for n in range(N_PACKETS)
    ]


def _rate(
    sender: socket.socket, forwarder: socket.socket, packets: list[bytes], work: Work
) -> float:
    """Return the packets a second of receiving, deciding and sending on."""
    spent_ns = 0
    for packet in packets:
        sender.send(packet)
        began_ns = time.perf_counter_ns()
        datagram, _ = forwarder.recvfrom(2_048)
        forwarder.sendto(*work(datagram))
        spent_ns += time.perf_counter_ns() - began_ns
    return len(packets) / (spent_ns / 1e9)
