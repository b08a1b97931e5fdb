"""Cost of one instance's data path, compared with a plain asyncio forwarder."""

import asyncio
import random
import time
from collections.abc import Callable, Iterator
from typing import Protocol

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.model import DataCentre, Server, Service
from sapphirerail_core.types import (
    DataCentreId,
    FlowId,
    InstanceId,
    Revision,
    ServerId,
    ServiceId,
    TenantId,
    TrafficClass,
)
from sapphirerail_node.instance_core import InstanceCore
from sapphirerail_node.metrics import Metrics
from sapphirerail_node.router import EffectSenders, Router
from sapphirerail_node.settings import Settings
from sapphirerail_transport.datagram_codec import decode_datagram, encode_datagram
from sapphirerail_transport.udp import (
    Address,
    UdpSocket,
    format_address,
    parse_address,
)

from .result import Baseline, Figure

SERVICE = ServiceId("bookings")
DATA_CENTRE = DataCentreId("osu")
N_SERVERS = 7
N_FLOWS_FEW = 1_000
N_FLOWS_MANY = 300_000
N_FLOWS_SOCKETS = 1_000
N_TIMED = 4_000
N_REPEATS = 5
N_DATAGRAMS = 3_200
N_SINGLE_DATAGRAMS = 500
WINDOW = 32
GROWTH_MAX = 3.0
ANY_PORT = ("127.0.0.1", 0)
BODY = b"x" * 200


class Forwarder(Protocol):
    """Forwards datagrams between callers and a server."""

    async def start(self, server: Address) -> Address:
        """Open the sockets and return the address for callers."""
        ...

    def close(self) -> None:
        """Close the sockets."""
        ...


class PlainForwarder:
    """Forwards bytes between the latest caller and one server, without decoding."""

    async def start(self, server: Address) -> Address:
        """Open both sockets."""
        self._server = server
        self._caller: Address = ANY_PORT
        self._front = await UdpSocket.bind(ANY_PORT, self._on_caller)
        self._back = await UdpSocket.bind(ANY_PORT, self._on_server)
        return self._front.address

    def close(self) -> None:
        """Close both sockets."""
        self._front.close()
        self._back.close()

    def _on_caller(self, payload: bytes, sender: Address) -> None:
        self._caller = sender
        self._back.send(payload, self._server)

    def _on_server(self, payload: bytes, sender: Address) -> None:
        self._front.send(payload, self._caller)


class InstancePath:
    """Decision logic and router of one instance, between two sockets."""

    def __init__(self) -> None:
        address = format_address(ANY_PORT)
        config = dict.fromkeys(
            (
                "caller_address",
                "server_address",
                "peer_address",
                "api_address",
                "platform_address",
            ),
            address,
        )
        settings = Settings.from_config(
            config
            | {
                "instance": InstanceId("osu-a"),
                "data_centre": DATA_CENTRE,
                "key": "a key for the bench",
                "n_flows_max": 400_000,
                "stop_linger_ms": 0,
                "stop_timeout_ms": 1_000,
                "log_level": "info",
                "seed": 1,
            }
        )
        self.core = InstanceCore.from_config(settings, 1, address, address, 0)
        self.n_sent = 0
        self.router = Router(
            self.core.flows,
            self.core.dispatcher,
            EffectSenders(
                self._to_caller, self._to_server, lambda instance, message: None
            ),
            Metrics(None),
            self.core.journal,
        )
        self._front: UdpSocket | None = None
        self._back: UdpSocket | None = None
        self._n_opened = 0

    def apply_plan(self, address: str) -> None:
        """Apply a plan with one server at an address, the others at unused ones."""
        self.plan = _plan(address)
        self.router.on_plan(self.plan)
        self.core.on_plan(self.plan, 0)

    def open_flows(self, n_flows: int) -> None:
        """Open flows, round-robin over the servers, until there are ``n_flows``."""
        while self._n_opened < n_flows:
            self._n_opened += 1
            datagram = _datagram(Kind.OPEN, self._n_opened)
            server = ServerId(f"b{self._n_opened % N_SERVERS}")
            self.core.flows.opened(datagram, server, 0)

    def forward_from_caller(self, payload: bytes) -> None:
        """Process a caller's datagram as the instance's caller socket does."""
        self.router.on_caller_datagram(decode_datagram(payload), ANY_PORT, 1)

    async def start(self, server: Address) -> Address:
        """Open both sockets, and all flows on the one server."""
        self.apply_plan(format_address(server))
        for flow in range(1, N_FLOWS_SOCKETS + 1):
            datagram = _datagram(Kind.OPEN, flow)
            self.core.flows.opened(datagram, ServerId("b0"), 0)
        self._front = await UdpSocket.bind(ANY_PORT, self._on_caller)
        self._back = await UdpSocket.bind(ANY_PORT, self._on_server)
        return self._front.address

    def close(self) -> None:
        """Close both sockets."""
        for socket in (self._front, self._back):
            if socket is not None:
                socket.close()

    def _on_caller(self, payload: bytes, sender: Address) -> None:
        datagram = decode_datagram(payload)
        self.router.on_caller_datagram(datagram, sender, 1)

    def _on_server(self, payload: bytes, sender: Address) -> None:
        self.router.on_server_datagram(decode_datagram(payload), sender, 1)

    def _to_caller(self, datagram: Datagram) -> None:
        if self._front is not None:
            address = parse_address(datagram.caller)
            self._front.send(encode_datagram(datagram), address)

    def _to_server(self, datagram: Datagram, address: str) -> None:
        payload = encode_datagram(datagram)
        self.n_sent += 1
        if self._back is not None:
            self._back.send(payload, parse_address(address))


class Caller:
    """Sends datagrams of open flows and counts the answers."""

    def __init__(self) -> None:
        self._answered = asyncio.Event()
        self._n_answers = 0

    async def start(self) -> None:
        """Open the socket."""
        self._socket = await UdpSocket.bind(ANY_PORT, self._on_answer)
        address = format_address(self._socket.address)
        self._payloads = [
            encode_datagram(_datagram(Kind.DATA, flow, address))
            for flow in range(1, N_FLOWS_SOCKETS + 1)
        ]

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def round_trips_s(
        self, target: Address, n_datagrams: int, window: int
    ) -> float:
        """Return the time for ``n_datagrams`` round trips, in windows of ``window``."""
        start_s = time.perf_counter()
        for first in range(0, n_datagrams, window):
            self._n_answers = 0
            for number in range(first, first + window):
                payload = self._payloads[number % N_FLOWS_SOCKETS]
                self._socket.send(payload, target)
            while self._n_answers < window:
                self._answered.clear()
                async with asyncio.timeout(10):
                    await self._answered.wait()
        return time.perf_counter() - start_s

    def _on_answer(self, payload: bytes, sender: Address) -> None:
        self._n_answers += 1
        self._answered.set()


def figures() -> Iterator[Figure]:
    """Yield the cost of the data path and its growth with the number of flows."""
    yield from _socket_figures()
    yield from _growth_figures()


def _socket_figures() -> Iterator[Figure]:
    plain_s, plain_single_s = asyncio.run(_measure(PlainForwarder))
    path_s, path_single_s = asyncio.run(_measure(InstancePath))
    baseline = Baseline("plain_forwarder", N_DATAGRAMS / plain_s)
    rate = N_DATAGRAMS / path_s
    yield Figure("data_path_rate", rate, "1/s", baseline=baseline)
    yield Figure("data_path_rate_share_of_plain", plain_s / path_s, "1")
    added_ms = (path_single_s - plain_single_s) / N_SINGLE_DATAGRAMS * 1000
    baseline = Baseline("plain_forwarder", plain_single_s / N_SINGLE_DATAGRAMS * 1000)
    yield Figure("data_path_added_latency_ms", added_ms, "ms", baseline=baseline)


async def _measure(make_forwarder: Callable[[], Forwarder]) -> tuple[float, float]:
    """Return the best total times of windowed and of single round trips."""
    echo = await UdpSocket.bind(ANY_PORT, lambda p, sender: echo.send(p, sender))
    forwarder, caller = make_forwarder(), Caller()
    target = await forwarder.start(echo.address)
    await caller.start()
    windowed = [
        await caller.round_trips_s(target, N_DATAGRAMS, WINDOW) for _ in range(3)
    ]
    single = [
        await caller.round_trips_s(target, N_SINGLE_DATAGRAMS, 1) for _ in range(3)
    ]
    for socket in (echo, forwarder, caller):
        socket.close()
    return min(windowed), min(single)


def _growth_figures() -> Iterator[Figure]:
    path = InstancePath()
    path.apply_plan("127.0.0.1:9")
    path.open_flows(N_FLOWS_FEW)
    few_us = _datagram_us(path, N_FLOWS_FEW)
    path.open_flows(N_FLOWS_MANY)
    many_us = _datagram_us(path, N_FLOWS_MANY)
    baseline = Baseline("1000_flows", 1.0)
    growth = many_us / few_us
    name = "data_path_cost_growth_300000_flows"
    yield Figure.at_most(name, growth, "1", GROWTH_MAX, baseline)
    n_not_forwarded = N_TIMED * N_REPEATS * 2 - path.n_sent
    yield Figure.at_most("data_path_not_forwarded", n_not_forwarded, "datagrams", 0)


def _datagram_us(path: InstancePath, n_flows: int) -> float:
    """Return the time of a datagram of a random open flow, best of all repeats."""
    random_state = random.Random(n_flows)
    payloads = [
        encode_datagram(_datagram(Kind.DATA, random_state.randint(1, n_flows)))
        for _ in range(N_TIMED)
    ]
    times = []
    for _ in range(N_REPEATS):
        start_s = time.perf_counter()
        for payload in payloads:
            path.forward_from_caller(payload)
        times.append(time.perf_counter() - start_s)
    return min(times) / N_TIMED * 1e6


def _datagram(kind: Kind, flow: int, caller: str = "127.0.0.1:9") -> Datagram:
    return Datagram(
        kind=kind,
        service=SERVICE,
        flow=FlowId(flow * 0x9E3779B97F4A7C15 % 2**64),
        part=1,
        traffic_class=TrafficClass.UPLOAD,
        caller=caller,
        body=BODY if kind is Kind.DATA else b"",
    )


def _plan(address: str) -> Plan:
    servers = {
        ServerId(f"b{number}"): Server(
            server=ServerId(f"b{number}"),
            service=SERVICE,
            data_centre=DATA_CENTRE,
            address=address if number == 0 else f"127.0.0.1:{number}",
            seat=number,
        )
        for number in range(N_SERVERS)
    }
    return Plan(
        revision=Revision(1),
        data_centres={DATA_CENTRE: DataCentre(DATA_CENTRE)},
        services={SERVICE: Service(SERVICE, TenantId("adwinsa"))},
        servers=servers,
    )
