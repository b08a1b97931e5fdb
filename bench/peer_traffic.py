"""Peer traffic per request: datagrams and bytes, by message type."""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from sapphirerail_core.effects import Effect, Message, SendToPeer
from sapphirerail_core.request.messages import Forward
from sapphirerail_core.request.short_forms import shortened
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.datagram_codec import encode_datagram
from sapphirerail_transport.message_codec import MessageCodec
from sapphirerail_transport.signature import Signer

from .request_plan import small_plan
from .request_world import RequestWorld
from .result import Figure

__all__ = [
    "CONTROL_BYTES_PER_S_MAX",
    "PeerTraffic",
    "figures",
    "measure_traffic",
]

UDP_HEADER_BYTES = 28
CONTROL_BYTES_PER_S_MAX = 28_000
N_DATA_CENTRES = 4
N_INSTANCES_TODAY = 4
N_SERVERS_TODAY = 11
N_REQUESTS_PER_SERVER_S = 40
"""Two slots of about 50 ms each."""
N_REQUESTS = 400
N_WARM_UP = 300
INTERVAL_MS = 20
WORK_MS = 50
SETTLE_MS = 1_000
OUTCOME_WAIT_MS = 3_000
SEED = 7
CLAIM_TYPES = ("Claim", "Grant", "Granted", "Withdraw")
ROLE_TYPES = ("LoadNotice", "RoleClaim", "RoleRelease")


@dataclass
class PeerTraffic:
    """Datagrams and bytes between the instances of a fleet, including headers.

    Parameters
    ----------
    n_messages, n_bytes : Counter
        Number of messages and of bytes by message type.
    n_forwarded_bytes : int
        Bytes of the callers' datagrams within Forward messages.
    """

    n_messages: Counter[str] = field(default_factory=Counter)
    n_bytes: Counter[str] = field(default_factory=Counter)
    n_forwarded_bytes: int = 0

    def claim_bytes_per_request(self) -> float:
        """Return the bytes of claims and their answers per request."""
        return sum(self.n_bytes[name] for name in CLAIM_TYPES) / N_REQUESTS

    def control_bytes_per_request(self) -> float:
        """Return the bytes per request, without the forwarded caller's datagram.

        The headers and the encoding overhead of Forward messages count. Messages that
        are sent independently of requests, such as LoadNotice, do not.
        """
        names = (*CLAIM_TYPES, "Forward", "Taken")
        n_bytes = sum(self.n_bytes[name] for name in names)
        return (n_bytes - self.n_forwarded_bytes) / N_REQUESTS

    def role_bytes_per_s(self) -> float:
        """Return the bytes per second of the messages about roles, of all servers."""
        n_bytes = sum(self.n_bytes[name] for name in ROLE_TYPES)
        return n_bytes / (N_REQUESTS * INTERVAL_MS + OUTCOME_WAIT_MS) * 1000


class _Meter:
    """Encodes the messages of each turn as on the wire and counts them."""

    def __init__(self) -> None:
        self.traffic = PeerTraffic()
        self._codec = MessageCodec(Signer("a key for the bench"))

    def on_effects(self, sender: InstanceId, effects: list[Effect]) -> None:
        """Count the messages that one turn of an instance sends to others."""
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._count(sender, shortened(effect.message, effect.instance))

    def _count(self, sender: InstanceId, message: Message) -> None:
        name = type(message).__name__
        payload = self._codec.encode_short(sender, message)
        self.traffic.n_messages[name] += 1
        self.traffic.n_bytes[name] += len(payload) + UDP_HEADER_BYTES
        if isinstance(message, Forward):
            self.traffic.n_forwarded_bytes += len(encode_datagram(message.datagram))


def measure_traffic(
    n_instances: int, n_data_centres: int, n_servers: int, *, idempotent: bool = False
) -> PeerTraffic:
    """Return the traffic of `N_REQUESTS` requests for a given fleet size.

    The requests arrive one by one at warm servers, so that none is queued or refused.

    Parameters
    ----------
    n_instances : int
        Number of instances in each data centre.
    n_data_centres : int
        Number of data centres.
    n_servers : int
        Number of servers in total.
    idempotent : bool
        Whether the requests are idempotent and need no claims.
    """
    plan = small_plan(n_data_centres, n_servers)
    world = RequestWorld(plan, n_instances, SEED)
    world.faults.delay_max_ms = 1
    for server in world.servers.values():
        server.work_ms = WORK_MS
    world.run(SETTLE_MS)
    for number in range(N_WARM_UP):
        world.schedule(INTERVAL_MS * number, lambda n=number: world.request(-1 - n))
    world.run(INTERVAL_MS * N_WARM_UP + OUTCOME_WAIT_MS)
    return _measure(world, idempotent)


def _measure(world: RequestWorld, idempotent: bool) -> PeerTraffic:
    meter = _Meter()
    world.on_effects = meter.on_effects
    world.answers.clear()
    random_state = random.Random(SEED)
    for _ in range(N_REQUESTS):
        # Random flow numbers have the same encoded length as those of real callers.
        flow = random_state.getrandbits(64)
        world.request(flow, idempotent=idempotent)
        world.run(INTERVAL_MS)
    world.run(OUTCOME_WAIT_MS)
    assert len(world.answers) == N_REQUESTS
    return meter.traffic


def figures() -> Iterator[Figure]:
    """Yield the traffic of requests at the current size."""
    for name, idempotent in (("idempotent", True), ("claimed", False)):
        traffic = measure_traffic(
            N_INSTANCES_TODAY,
            N_DATA_CENTRES,
            N_SERVERS_TODAY,
            idempotent=idempotent,
        )
        yield from _message_figures(name, traffic)
        if not idempotent:
            yield from _full_load_figures(traffic)


def _message_figures(name: str, traffic: PeerTraffic) -> Iterator[Figure]:
    n_datagrams = sum(traffic.n_messages.values()) / N_REQUESTS
    yield Figure(f"peer_{name}_datagrams", n_datagrams, "1")
    for kind, n_bytes in sorted(traffic.n_bytes.items()):
        if kind not in ROLE_TYPES:
            yield Figure(f"peer_{name}_{kind}_bytes", n_bytes / N_REQUESTS, "B")
    forwarded_bytes = traffic.n_forwarded_bytes / N_REQUESTS
    yield Figure(f"peer_{name}_forwarded_datagram_bytes", forwarded_bytes, "B")
    yield Figure(f"peer_{name}_control_bytes", traffic.control_bytes_per_request(), "B")


def _full_load_figures(traffic: PeerTraffic) -> Iterator[Figure]:
    """Yield an instance's traffic at full load of the current size, all claimed."""
    n_instances = N_DATA_CENTRES * N_INSTANCES_TODAY
    n_requests_s = N_SERVERS_TODAY * N_REQUESTS_PER_SERVER_S / n_instances
    role_bytes_per_s = traffic.role_bytes_per_s() / n_instances
    yield Figure("peer_role_bytes_today", role_bytes_per_s, "B/s")
    yield Figure.at_most(
        "peer_control_full_load_today",
        traffic.control_bytes_per_request() * n_requests_s + role_bytes_per_s,
        "B/s",
        CONTROL_BYTES_PER_S_MAX,
    )
