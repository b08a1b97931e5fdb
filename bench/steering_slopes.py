"""Measures how the cost of peer messages grows with the size of a data centre."""

import time
from collections.abc import Callable, Iterator

import msgspec

from sapphirerail_core.steering.messages import (
    DirectoryUpdate,
    LoadReport,
    PeerMessage,
    ServerLoad,
)
from sapphirerail_core.steering.model import InstanceEntry
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_node.steering.metrics import SteeringMetrics
from sapphirerail_node.steering.peer_service import PeerService
from sapphirerail_standins.steering_fleet import SteeringFleet, server_entry
from sapphirerail_transport.udp import Address

from .result import Baseline, Figure

__all__ = ["figures"]

SIZES = (30, 100, 300)
N_LOADS = 20
N_ROUNDS = 15
N_MESSAGES = 60
# Costs may grow with the logarithm of the number of instances.
GROWTH_MAX = 1.7
SENDER: Address = ("10.9.0.1", 1)
# The time of the measurement's reads, long before any message.
EARLIER_MS = -1_000_000


class Receiver:
    """An instance of a data centre with many others, each with a load report."""

    def __init__(self, n_instances: int) -> None:
        self.engine = SteeringFleet().engine
        self.service = PeerService(self.engine, SteeringMetrics())
        self.entries = [
            InstanceEntry(
                InstanceId(f"osu-{n}"),
                DataCentreId("osu"),
                f"10.9.{n // 200}.{n % 200 + 1}:7720",
            )
            for n in range(2, n_instances + 1)
        ]
        servers = [server_entry(n) for n in range(1, n_instances * 3 // 4)]
        self.engine.apply_servers(servers, EARLIER_MS)
        self.engine.peers.apply(self.entries, EARLIER_MS)
        self.engine.refresh.on_read(10, EARLIER_MS)
        tags = [server.tag for server in self.engine.directory.servers()]
        self.loads = tuple(
            ServerLoad(tag, 0.5, 0, False) for tag in (tags * N_LOADS)[:N_LOADS]
        )
        for entry in self.entries:
            self._receive(LoadReport(entry, 0, self.loads))

    def receive_reports(self) -> None:
        """Handle load reports of many peers."""
        for n in range(N_MESSAGES):
            entry = self.entries[n % len(self.entries)]
            self._receive(LoadReport(entry, 0, self.loads))

    def receive_updates(self) -> None:
        """Handle updates of a reader that found nothing new."""
        digest = self.engine.store_snapshot().digest()
        for n in range(N_MESSAGES):
            age_ms = N_MESSAGES - n
            update = DirectoryUpdate(
                self.entries[0], 10, age_ms, 9_000, 0, digest, None
            )
            self._receive(update)

    def _receive(self, message: PeerMessage) -> None:
        self.service._on_datagram(msgspec.msgpack.encode(message), SENDER)


def figures() -> Iterator[Figure]:
    """Yield how much more a message costs at the largest size than at the smallest."""
    yield _growth("steering_report_cost_growth", Receiver.receive_reports)
    yield _growth("steering_update_cost_growth", Receiver.receive_updates)


def _growth(name: str, receive: Callable[[Receiver], None]) -> Figure:
    receivers = [Receiver(size) for size in SIZES]
    best_us = [float("inf")] * len(SIZES)
    # Rounds alternate, so that a change of the machine's speed affects all sizes.
    for _ in range(N_ROUNDS):
        for n, receiver in enumerate(receivers):
            began_ns = time.perf_counter_ns()
            receive(receiver)
            spent_us = (time.perf_counter_ns() - began_ns) / 1_000 / N_MESSAGES
            best_us[n] = min(best_us[n], spent_us)
    baseline = Baseline(
        f"us a message among {SIZES[0]} instances", round(best_us[0], 1)
    )
    growth = round(best_us[-1] / best_us[0], 2)
    return Figure.at_most(name, growth, "1", GROWTH_MAX, baseline)
