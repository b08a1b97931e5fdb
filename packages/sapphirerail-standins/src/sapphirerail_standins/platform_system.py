"""Runs entry instances as real processes on loopback with stand-in servers."""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.udp import Address, format_address

from .packet_endpoints import PacketCaller, PacketServer
from .platform_store import PlatformStoreStandIn
from .waiting import wait_until

__all__ = ["ROUTE_HOST", "ROUTE_PORT", "EntryProcess", "PlatformSystem"]

ROUTE_HOST = "198.18.0.1"
ROUTE_PORT = 8443
SERVICE = "bookings"
DATA_CENTRE = "osu"
STORE_HOST = "127.0.4.1"
CALLER_HOST = "127.0.3.1"
STATE_PATH = "/state"
STOP_TIMEOUT_MS = 10_000

_SETTINGS = """
nodeName = "{name}"
zone = "{data_centre}"
ip = "{host}"
internalPortRange = [{peer_port}, {peer_port}]
seeds = [{seeds}]
[listen]
datagramAddr = "{host}:{packet_port}"
ready = "{host}:{ready_port}"
control = "{host}:{state_port}"
[platform]
address = "{store}"
[bounds]
graceS = 6
"""


# Below Linux's ephemeral port range: another process may be assigned an ephemeral port
# between the choice here and its use.
PORTS = range(20_000, 32_768)


def free_port() -> int:
    """Return a port that is free for TCP and UDP on every loopback address."""
    # Not seeded: tests that run in parallel must not choose the same ports.
    choices = random.SystemRandom()
    while True:
        port = choices.choice(PORTS)
        if all(
            _is_free(kind, port) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            return port


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


def wall_clock_ms() -> int:
    """Return the wall-clock time, in which servers report their start."""
    return int(time.time() * 1000)


class EntryProcess:
    """The process of one entry instance."""

    def __init__(
        self, name: str, packet_address: Address, settings: Path, log: Path
    ) -> None:
        self.name = name
        self.host = packet_address[0]
        self._packet_address = packet_address
        self.environment: dict[str, str] = {}
        self.settings = settings
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        self._n_starts = 0

    async def start(self) -> None:
        """Start the process; it appends to the log of earlier runs."""
        self._n_starts += 1
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sapphirerail_node.platform",
                stdout=out,
                stderr=out,
                env={
                    **os.environ,
                    "SAPPHIRERAIL_NODE_FILE": str(self.settings),
                    "SAPPHIRERAIL_PACKET_ADDRESS": format_address(self._packet_address),
                    **self.environment,
                },
            )

    def has_started(self) -> bool:
        """Return whether the latest process has begun to serve."""
        return len(self.log_records("started")) >= self._n_starts

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to exit; return its exit code, 0 if never started."""
        if self.process is None:
            return 0
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_MS / 1000)

    def log_records(self, message: str | None = None) -> list[dict[str, Any]]:
        """Return the decoded log lines, all or those of one message."""
        found = []
        for line in self.log.read_bytes().splitlines():
            try:
                record = msgspec.json.decode(line)
            except msgspec.DecodeError:
                continue
            if message is None or record.get("message") == message:
                found.append(record)
        return found


class PlatformSystem:
    """A store, servers, a caller and entry instances under a test's control.

    Parameters
    ----------
    n_instances : int
        Number of entry instances.
    n_servers : int
        Number of backend servers of the single service.
    data_centres : sequence of str
        Data centres that instances and servers are assigned to in turn.
    """

    def __init__(
        self,
        n_instances: int = 2,
        n_servers: int = 2,
        data_centres: Sequence[str] = (DATA_CENTRE,),
    ) -> None:
        # Port and kind of each route if `configure` is given no routes.
        self.default_routes: Sequence[tuple[int, str]] = ((ROUTE_PORT, "safe"),)
        self.store = PlatformStoreStandIn()
        self.servers: list[PacketServer] = []
        self.instances: list[EntryProcess] = []
        self.in_rotation: list[EntryProcess] = []
        self._n_instances = n_instances
        self._n_servers = n_servers
        self._data_centres = data_centres
        self._directory = tempfile.TemporaryDirectory(prefix="sapphirerail-")
        self.packet_port = free_port()
        self._ready_port = free_port()
        self._state_port = free_port()
        self._peer_port = free_port()
        self.caller = PacketCaller(self._route)
        self._addresses: dict[str, str] = {}

    async def __aenter__(self) -> "PlatformSystem":
        try:
            await self._start()
        except BaseException:
            # `async with` does not call __aexit__ if __aenter__ fails.
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        store = await self.store.start((STORE_HOST, 0))
        await self.caller.start((CALLER_HOST, self.packet_port))
        for number in range(1, self._n_servers + 1):
            await self.add_server(number)
        await self.configure(1)
        for number in range(1, self._n_instances + 1):
            address = await self._store_address(number, store)
            self.instances.append(self._instance(number, address))
        await asyncio.gather(*(entry.start() for entry in self.instances))
        self.in_rotation = list(self.instances)
        try:
            await wait_until("instances are ready", self.all_ready)
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {await self._describe_unready()}") from error
        await wait_until("each instance lists all others", self._all_list_each_other)

    async def __aexit__(self, *_: object) -> None:
        for entry in self.instances:
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal.SIGKILL)
        for entry in self.instances:
            await entry.wait()
        for server in self.servers:
            server.close()
        self.caller.close()
        await self.store.close()
        self._directory.cleanup()

    async def _store_address(self, number: int, store: Address) -> Address:
        """Return the store address that an instance uses."""
        return store

    def data_centre(self, number: int) -> str:
        """Return the data centre of the instance or server with a number."""
        return self._data_centres[(number - 1) % len(self._data_centres)]

    def _instance(self, number: int, store: Address) -> EntryProcess:
        data_centre = self.data_centre(number)
        name, host = f"{data_centre}-{number}", f"127.0.1.{number}"
        seeds = [
            f'"127.0.1.{n}:{self._state_port}"' for n in range(1, self._n_instances + 1)
        ]
        settings = Path(self._directory.name) / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                name=name,
                data_centre=data_centre,
                host=host,
                peer_port=self._peer_port,
                packet_port=self.packet_port,
                ready_port=self._ready_port,
                state_port=self._state_port,
                seeds=", ".join(seeds),
                store=f"{store[0]}:{store[1]}",
            )
        )
        address = (host, self.packet_port)
        return EntryProcess(name, address, settings, settings.with_suffix(".log"))

    def _route(self, port: int) -> Address:
        """Choose an instance for the packets of a port, as a router would."""
        chosen = self.in_rotation[port % len(self.in_rotation)]
        return chosen.host, self.packet_port

    async def configure(
        self,
        version: int,
        *,
        has_route: bool = True,
        routes: Sequence[tuple[int, str]] | None = None,
    ) -> None:
        """Write the operators' configuration, with routes by port and kind."""
        written = [
            {
                "name": f"route-{port}",
                "host": ROUTE_HOST,
                "prefix": f"/{port}/",
                "kind": kind,
                "service": SERVICE,
            }
            for port, kind in routes or self.default_routes
        ]
        await self.store.put(
            "op/config",
            {
                "version": version,
                "routes": written if has_route else [],
                "services": [{"name": SERVICE, "warmupS": 2.0, "warmupPerS": 0.0}],
                "limits": {"idleTimeoutMs": 15_000},
            },
        )

    async def add_server(self, number: int, **fields: object) -> PacketServer:
        """Start a server and write its entry to the store."""
        server = PacketServer(f"server-{number}", number, self.packet_port)
        host, port = await server.start((f"127.0.2.{number}", 0))
        self.servers.append(server)
        self._addresses[server.name] = f"{host}:{port}"
        await self.announce(server, **fields)
        return server

    async def announce(self, server: PacketServer, **fields: object) -> None:
        """Write a server's entry to the store in place of the server."""
        key = f"servers/i-{server.identity:08x}"
        await self.store.put(key, self.entry_of(server) | fields)

    def entry_of(self, server: PacketServer) -> dict[str, object]:
        """Return the entry of a server that is ready."""
        return {
            "service": SERVICE,
            "address": self._addresses[server.name],
            "zone": self.data_centre(server.identity),
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "seqNo": 1,
            "born": wall_clock_ms() - 60_000,
        }

    async def withdraw(self, server: PacketServer) -> None:
        """Delete a server's entry from the store."""
        await self.store.remove(f"servers/i-{server.identity:08x}")

    async def is_ready(self, entry: EntryProcess) -> bool:
        """Return whether an instance reports that it is ready for packets."""
        client = HttpClient((entry.host, self._ready_port))
        try:
            await client.call("GET", "/readiness", timeout_ms=500)
        except HttpError:
            return False
        return True

    async def all_ready(self) -> bool:
        """Return whether all instances are ready."""
        return all([await self.is_ready(entry) for entry in self.instances])

    async def _describe_unready(self) -> str:
        """Return the exit status and the end of the log of each unready instance."""
        unready = [entry for entry in self.instances if not await self.is_ready(entry)]
        return "; ".join(
            f"{entry.name} exited with {entry.process and entry.process.returncode}, "
            f"logged {entry.log.read_text()[-400:]!r}"
            for entry in unready
        )

    async def _all_list_each_other(self) -> bool:
        states = [await self.state(entry) for entry in self.instances]
        return all(
            len(s["picture"]["instances"]) == len(self.instances) for s in states
        )

    async def state(self, entry: EntryProcess) -> dict[str, Any]:
        """Return an instance's state from its control API."""
        client = HttpClient((entry.host, self._state_port))
        return msgspec.json.decode(await client.call("GET", STATE_PATH))

    async def metrics(self, entry: EntryProcess) -> str:
        """Return an instance's metrics as text."""
        client = HttpClient((entry.host, self._state_port))
        return (await client.call("GET", "/metrics")).decode()

    async def open(self, port: int = ROUTE_PORT) -> Any:
        """Open a flow to a route."""
        return await self.caller.open(ROUTE_HOST, port)
