"""Runs entry instances behind faulty links and records what users observe."""

import asyncio
import zlib
from collections import Counter

from sapphirerail_core.steering.tag import server_tag
from sapphirerail_transport.udp import Address

from .clock import LoopClock
from .link_faults import FaultRules
from .packet_endpoints import FlowResetError, PacketServer, Segment
from .platform_system import ROUTE_PORT, EntryProcess, PlatformSystem
from .soak_history import (
    Answered,
    FlowReset,
    History,
    OpeningArrived,
    Refused,
    RequestExecuted,
    TimedOut,
)
from .tcp_relay import TcpRelay
from .udp_relay import UdpRelay

__all__ = ["DATA_CENTRES", "EXTRA_PORT", "PERMANENT_ROUTES", "SoakSystem"]

DATA_CENTRES = ("osu", "tema")
UNSAFE_PORT = 8444
# Operators remove this route and add it again; the others stay.
EXTRA_PORT = 8445
PERMANENT_ROUTES = ((ROUTE_PORT, "safe"), (UNSAFE_PORT, "unsafe"))
# Routers poll readiness twice a second and remove an instance after two misses.
ROUTER_INTERVAL_S = 0.5
N_MISSES_MAX = 2
N_REQUESTS_PER_FEED = 40
FEED_PAUSE_S = 0.1
UNSAFE_PAUSE_S = 0.05


class SoakSystem(PlatformSystem):
    """A system with fault injection on its links, and recorded events at its ends.

    Parameters
    ----------
    seed : int
        Seed of the link faults.
    n_instances, n_servers : int
        Numbers of instances and servers, spread over two data centres.
    """

    def __init__(self, seed: int, n_instances: int = 4, n_servers: int = 6) -> None:
        super().__init__(n_instances, n_servers, DATA_CENTRES)
        self.default_routes = (*PERMANENT_ROUTES, (EXTRA_PORT, "unsafe"))
        self.rules = FaultRules(seed)
        self.history = History()
        self.clock = LoopClock()
        self.store_relays: list[TcpRelay] = []
        self._caller_relays: list[UdpRelay] = []
        self._health: dict[str, asyncio.Server] = {}
        self._n_misses: Counter[str] = Counter()
        self._n_requests = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def _start(self) -> None:
        await super()._start()
        self._tasks.append(asyncio.create_task(self._poll_readiness()))

    async def __aexit__(self, *details: object) -> None:
        await self.stop_callers()
        for server in self._health.values():
            server.close()
        await super().__aexit__(*details)
        for relay in (*self.store_relays, *self._caller_relays):
            await relay.close()

    # Links.

    async def _store_address(self, number: int, store: Address) -> Address:
        relay = TcpRelay(f"store-{number}", store, self.rules)
        self.store_relays.append(relay)
        packets = UdpRelay(
            f"callers-{number}",
            (f"127.0.1.{number}", self.packet_port),
            self.rules,
            self.clock,
        )
        self._caller_relays.append(packets)
        await packets.start((f"127.0.5.{number}", self.packet_port))
        return await relay.start((f"127.0.6.{number}", 0))

    def _route(self, port: int) -> Address:
        """Choose an instance for the packets of a port and return its relay."""
        entries = self.in_rotation
        if 2 * len(entries) < len(self.instances):
            entries = self.instances
        chosen = max(
            entries, key=lambda entry: zlib.crc32(f"{port} {entry.name}".encode())
        )
        return chosen.host.replace("127.0.1.", "127.0.5."), self.packet_port

    async def _poll_readiness(self) -> None:
        while True:
            await asyncio.gather(*(self._poll(entry) for entry in self.instances))
            self.in_rotation = [
                entry
                for entry in self.instances
                if self._n_misses[entry.name] < N_MISSES_MAX
            ]
            await asyncio.sleep(ROUTER_INTERVAL_S)

    async def _poll(self, entry: EntryProcess) -> None:
        is_ready = await self.is_ready(entry)
        self._n_misses[entry.name] = 0 if is_ready else self._n_misses[entry.name] + 1

    # Servers.

    async def add_server(self, number: int, **fields: object) -> PacketServer:
        """Start a server that records openings and requests, and answers probes."""
        server = await super().add_server(number, **fields)
        data_centre = self.data_centre(number)

        def on_opening(segment: Segment, sender: Address) -> None:
            self.history.record(
                OpeningArrived(
                    self.clock.now_ms(),
                    server.name,
                    data_centre,
                    segment.dport,
                    sender[0],
                )
            )

        def on_request(request: bytes) -> None:
            event = RequestExecuted(self.clock.now_ms(), server.name, request)
            self.history.record(event)

        server.on_opening, server.on_request = on_opening, on_request
        await self.answer_probes(server)
        return server

    async def answer_probes(self, server: PacketServer) -> None:
        """Let a server accept connections, as a running server does."""
        host, _, port = self._addresses[server.name].rpartition(":")

        async def close_connection(_: object, writer: asyncio.StreamWriter) -> None:
            writer.close()

        self._health[server.name] = await asyncio.start_server(
            close_connection, host, int(port)
        )

    def refuse_probes(self, server: PacketServer) -> None:
        """Let a server refuse connections."""
        self._health.pop(server.name).close()

    # Callers.

    def start_callers(
        self, n_feed_callers: int = 12, n_unsafe_callers: int = 4
    ) -> None:
        """Start callers of feeds and unsafe requests; they run until stopped."""
        loops = [self._follow_feeds() for _ in range(n_feed_callers)]
        loops += [
            self._send_unsafe_requests(UNSAFE_PORT) for _ in range(n_unsafe_callers)
        ]
        loops.append(self._send_unsafe_requests(EXTRA_PORT, is_permanent=False))
        self._tasks += [asyncio.create_task(loop) for loop in loops]

    def _server_of_tag(self, tag: int) -> str:
        return next(
            server.name for server in self.servers if server_tag(server.identity) == tag
        )

    async def stop_callers(self) -> None:
        """Stop all callers and the router."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _follow_feeds(self) -> None:
        while True:
            await self._use_flow(ROUTE_PORT, N_REQUESTS_PER_FEED, is_permanent=True)
            await asyncio.sleep(FEED_PAUSE_S)

    async def _send_unsafe_requests(
        self, port: int, *, is_permanent: bool = True
    ) -> None:
        while True:
            await self._use_flow(port, 1, is_permanent=is_permanent)
            await asyncio.sleep(UNSAFE_PAUSE_S)

    async def _use_flow(
        self, port: int, n_requests: int, *, is_permanent: bool
    ) -> None:
        """Open a flow and send requests on it until it breaks.

        Parameters
        ----------
        port : int
            Port of the route.
        n_requests : int
            Number of requests to send.
        is_permanent : bool
            Whether the route is never removed, so that failures are recorded.
        """
        began_ms, server = self.clock.now_ms(), None
        try:
            flow = await self.open(port)
            server = self._server_of_tag(flow.echo)
            for _ in range(n_requests):
                began_ms = self.clock.now_ms()
                self._n_requests += 1
                request = b"request-%d" % self._n_requests
                answer = await flow.send_request(request)
                now_ms = self.clock.now_ms()
                self.history.record(Answered(now_ms, server, request, answer))
                await asyncio.sleep(FEED_PAUSE_S)
        except FlowResetError as error:
            now_ms = self.clock.now_ms()
            if server is not None:
                event = FlowReset(now_ms, server, port, error.is_by_server)
                self.history.record(event)
            elif is_permanent:
                self.history.record(Refused(began_ms, now_ms))
        except TimeoutError:
            if is_permanent:
                self.history.record(TimedOut(began_ms, self.clock.now_ms(), server))
