"""Cost slopes of the data path, flow records, claims and admission gates."""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

import msgspec

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow import FlowConfig, FlowDirector
from sapphirerail_core.flow.table import FlowTable
from sapphirerail_core.journal import Journal
from sapphirerail_core.load.config import LimitConfig
from sapphirerail_core.load.gate import ServerGate
from sapphirerail_core.request.claim_replica import ClaimReplica
from sapphirerail_core.request.keys import RequestKey
from sapphirerail_core.request.messages import Claim
from sapphirerail_core.types import DataCentreId, FlowId, InstanceId, ServerId
from sapphirerail_transport.udp import Address, UdpSocket

from .peer_traffic import CONTROL_BYTES_PER_S_MAX, measure_traffic
from .request_plan import SERVICE, small_plan
from .slope import Growth, Slope

__all__ = ["slopes"]

N_TARGET_INSTANCES = 3900
N_OPEN_FLOWS = 55_000_000
N_NEW_FLOWS_PER_S = 160_000
N_TARGET_SERVERS = 28_000
N_REQUESTS_PER_SERVER_S = 40
"""Two slots of about 50 ms each; the requirements give no request rate."""
DATAGRAMS_PER_FLOW_S = 1
"""An assumption; the requirements give no datagram rate."""
N_DATAGRAMS_PER_REQUEST = 6
CLAIM_LIFETIME_S = 10
N_CLAIM_REPLICAS = 3

CONTROL_MEMORY_BYTES_MAX = 32_000_000
FLOWS_PER_INSTANCE = N_OPEN_FLOWS / N_TARGET_INSTANCES
REQUESTS_PER_INSTANCE_S = (
    N_TARGET_SERVERS * N_REQUESTS_PER_SERVER_S / N_TARGET_INSTANCES
)
CLAIMS_PER_INSTANCE_S = REQUESTS_PER_INSTANCE_S * N_CLAIM_REPLICAS
TABLE_SIZES = (2_000, 8_000, 32_000, 128_000)
PATH_SIZES = (1_000, 4_000, 16_000, 64_000)
CLAIM_SIZES = (1_000, 2_000, 4_000, 8_000)
GATE_SIZES = (10, 50, 250, 1_000)
PEER_SIZES = (4, 16, 64)
N_PEER_DATA_CENTRES = 3
N_IN_DATA_CENTRE = 557
N_PATH_CALLS = 4_000
SOCKET_SIZES = (2_000, 4_000, 8_000)
SOCKET_TIMEOUT_S = 30
N_REPEATS = 3


def slopes() -> Iterator[Slope]:
    """Yield the slopes of the data path and of the state that it stores."""
    yield from _data_path_slopes()
    yield _table_memory(
        "flow_table_memory", "entry instance (flow table)", _table_bytes
    )
    yield _table_memory("flow_record_memory", "flow owner", _table_bytes, n_copies=2)
    yield from _claim_slopes()
    yield _gate_memory()
    yield from _peer_traffic_slopes()


def _director(n_flows: int) -> tuple[FlowDirector, list[FlowId]]:
    members = {InstanceId(f"osu-{n}"): DataCentreId(f"dc{n % 3}") for n in range(12)}
    director = FlowDirector.from_config(
        FlowConfig(),
        FixedFleet(InstanceId("osu-0"), members),
        Journal(InstanceId("osu-0")),
        random.Random(1),
    )
    director.on_plan(small_plan(), 0)
    random_state = random.Random(2)
    flows = [FlowId(random_state.getrandbits(64)) for _ in range(n_flows)]
    for flow in flows:
        opening = Datagram(kind=Kind.OPEN, service=SERVICE, flow=flow, caller=CALLER)
        director.opened(opening, director.candidates(SERVICE, flow)[0], 1)
    return director, flows


CALLER = "10.0.0.1:4000"


def _datagram_us(n_flows: int) -> float:
    """Return the processor time to decode, route and encode a caller's datagram."""
    director, flows = _director(n_flows)
    decoder = msgspec.msgpack.Decoder(Datagram)
    encoder = msgspec.msgpack.Encoder()
    sampled = random.Random(3).choices(flows, k=N_PATH_CALLS)
    payloads = [encoder.encode(_data_datagram(flow)) for flow in sampled]

    def run() -> None:
        for payload in payloads:
            for effect in director.on_caller_datagram(decoder.decode(payload), 2):
                encoder.encode(effect.datagram)  # type: ignore[union-attr]

    return _best_us(run, N_PATH_CALLS)


def _data_datagram(flow: FlowId) -> Datagram:
    return Datagram(
        kind=Kind.DATA, service=SERVICE, flow=flow, part=1, caller=CALLER, body=BODY
    )


BODY = b"x" * 200


def _best_us(run: Callable[[], None], n_calls: int) -> float:
    best_ns = float("inf")
    for _ in range(N_REPEATS):
        start_ns = time.process_time_ns()
        run()
        best_ns = min(best_ns, time.process_time_ns() - start_ns)
    return best_ns / n_calls / 1000


def _data_path_slopes() -> Iterator[Slope]:
    values = [_datagram_us(size) for size in PATH_SIZES]
    common = {"unit": "of a core", "sizes": PATH_SIZES, "size_of": "open flows"}
    yield Slope(
        name="datagram_processor_share",
        role="entry instance (data path)",
        values=values,
        target_size=FLOWS_PER_INSTANCE,
        limit=1.0,
        factor=FLOWS_PER_INSTANCE * DATAGRAMS_PER_FLOW_S / 1e6,
        mechanism="one core; a table lookup, independent of the number of flows; "
        "assumes one datagram per second and flow; sockets in the next line",
        **common,
    )
    yield Slope(
        name="socket_processor_share",
        role="entry instance (sockets)",
        unit="of a core",
        sizes=SOCKET_SIZES,
        values=[asyncio.run(_socket_us(size)) for size in SOCKET_SIZES],
        size_of="datagrams, one by one",
        target_size=SOCKET_SIZES[-1],
        limit=1.0,
        factor=FLOWS_PER_INSTANCE * DATAGRAMS_PER_FLOW_S / 1e6,
        mechanism="sockets are read in batches; one receive and one send per datagram",
    )
    yield Slope(
        name="new_flow_processor_share",
        role="entry instance (new flows)",
        values=[_new_flow_us(size) for size in PATH_SIZES],
        target_size=FLOWS_PER_INSTANCE,
        limit=1.0,
        factor=N_NEW_FLOWS_PER_S / N_TARGET_INSTANCES / 1e6,
        mechanism="rendezvous hashing over the few servers of a service",
        **common,
    )


async def _socket_us(n_datagrams: int) -> float:
    """Return the processor time of receiving and sending one datagram."""
    n_received = 0
    done = asyncio.Event()

    def on_datagram(payload: bytes, address: Address) -> None:
        nonlocal n_received
        n_received += 1
        if n_received == n_datagrams:
            done.set()
        else:
            socket.send(payload, address)

    socket = await UdpSocket.bind(("127.0.0.1", 0), on_datagram)
    start_ns = time.process_time_ns()
    socket.send(BODY, socket.address)
    async with asyncio.timeout(SOCKET_TIMEOUT_S):
        await done.wait()
    spent_us = (time.process_time_ns() - start_ns) / n_datagrams / 1000
    socket.close()
    return spent_us


def _new_flow_us(n_flows: int) -> float:
    start_ns = time.process_time_ns()
    _director(n_flows)
    return (time.process_time_ns() - start_ns) / n_flows / 1000


def _table_memory(
    name: str, role: str, measure: Callable[[int], int], n_copies: int = 1
) -> Slope:
    return Slope(
        name=name,
        role=role,
        unit="B",
        sizes=TABLE_SIZES,
        values=[measure(size) for size in TABLE_SIZES],
        size_of="flows stored",
        target_size=FLOWS_PER_INSTANCE * n_copies,
        limit=CONTROL_MEMORY_BYTES_MAX,
        mechanism="one array per column instead of objects"
        if n_copies == 1
        else "two owners per flow, in the worst case for each open flow",
    )


def _table_bytes(n_flows: int) -> int:
    gc.collect()
    tracemalloc.start()
    table = FlowTable(n_flows)
    random_state = random.Random(1)
    for _ in range(n_flows):
        flow = FlowId(random_state.getrandbits(64))
        table.insert(SERVICE, flow, ServerId("s1"), 1)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def _claim(key: int) -> Claim:
    return Claim(RequestKey(key), CLAIM_LIFETIME_S * 1000, 1)


def _claim_slopes() -> Iterator[Slope]:
    measured = [_claim_cost(size) for size in CLAIM_SIZES]
    common: dict[str, Sequence[float] | str] = {
        "sizes": CLAIM_SIZES,
        "size_of": "claims stored",
        "role": "claim keeper",
    }
    yield Slope(
        name="claim_processor_share",
        unit="of a core",
        values=[spent_us for spent_us, _ in measured],
        target_size=CLAIMS_PER_INSTANCE_S * CLAIM_LIFETIME_S,
        factor=CLAIMS_PER_INSTANCE_S / 1e6,
        limit=1.0,
        mechanism="three claim replicas per request; assumes that no request is "
        "idempotent, 40 per second and server",
        **common,
    )
    yield Slope(
        name="claim_memory",
        unit="B",
        values=[n_bytes for _, n_bytes in measured],
        target_size=CLAIMS_PER_INSTANCE_S * CLAIM_LIFETIME_S,
        limit=CONTROL_MEMORY_BYTES_MAX,
        mechanism="a claim is deleted after its deadline; assumes 10 s",
        **common,
    )


def _claim_cost(n_claims: int) -> tuple[float, int]:
    random_state = random.Random(1)
    claims = [_claim(random_state.getrandbits(64)) for _ in range(n_claims)]
    gc.collect()
    tracemalloc.start()
    replica = ClaimReplica(0, n_claims)
    for claim in claims:
        replica.claim(InstanceId("osu-1"), claim, 0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    timed_replica = ClaimReplica(0, n_claims)
    start_ns = time.process_time_ns()
    for claim in claims:
        timed_replica.claim(InstanceId("osu-1"), claim, 0)
    return (time.process_time_ns() - start_ns) / n_claims / 1000, size


def _gate_bytes(n_gates: int) -> int:
    gc.collect()
    tracemalloc.start()
    gates = [
        ServerGate(ServerId(f"server-{n}"), 2, 4000, LimitConfig(), 0)
        for n in range(n_gates)
    ]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(gates) == n_gates
    return size


def _gate_memory() -> Slope:
    return Slope(
        name="admission_gate_memory",
        role="admission owner",
        unit="B",
        sizes=GATE_SIZES,
        values=[_gate_bytes(size) for size in GATE_SIZES],
        size_of="servers owned",
        target_size=N_TARGET_SERVERS / N_TARGET_INSTANCES,
        limit=CONTROL_MEMORY_BYTES_MAX,
        mechanism="one owner per server, in the server's data centre: 7.2 per instance",
    )


def _peer_traffic_slopes() -> Iterator[Slope]:
    measured = [
        measure_traffic(size, N_PEER_DATA_CENTRES, N_PEER_DATA_CENTRES * size)
        for size in PEER_SIZES
    ]
    for name, values, mechanism in (
        (
            "claim_sent_bytes",
            [traffic.claim_bytes_per_request() for traffic in measured],
            "claims and grants: three of four claim replicas are asked, found by the "
            "request's key; assumes that no request is idempotent",
        ),
        (
            "request_control_bytes",
            [traffic.control_bytes_per_request() for traffic in measured],
            "the line above, acknowledgements, and the headers of forwards; without "
            "the caller's datagram",
        ),
    ):
        yield Slope(
            name=name,
            role="admission owner and claim keeper",
            unit="B/s",
            sizes=PEER_SIZES,
            values=values,
            size_of="instances of a data centre; bytes per request",
            target_size=N_IN_DATA_CENTRE,
            growth=Growth.LOGARITHMIC,
            factor=REQUESTS_PER_INSTANCE_S,
            limit=CONTROL_BYTES_PER_S_MAX,
            mechanism=mechanism,
        )
