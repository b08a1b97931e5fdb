"""The backend servers of a system under test and their records."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.udp import parse_address

from .backend_server import ServerRecord
from .child import Child
from .clock import LoopClock
from .history import HistoryEvent, ServerFailed, ServerPlaced
from .launcher import Launcher
from .server_settings import ServerSettings
from .topology import ServerSpec

__all__ = ["Server", "ServerGroup"]


@dataclass
class Server:
    """A running backend server and its address in the plan."""

    spec: ServerSpec
    child: Child
    address: str
    admin: HttpClient

    async def record(self) -> ServerRecord:
        """Return what the server recorded."""
        answer = await self.admin.call("GET", "/record")
        return msgspec.json.decode(answer, type=ServerRecord)

    async def change(self, **fields: object) -> None:
        """Change some of its settings."""
        answer = await self.admin.call("GET", "/settings")
        settings = msgspec.json.decode(answer, type=ServerSettings)
        changed = msgspec.structs.replace(settings, **fields)
        await self.admin.call("PUT", "/settings", changed)

    async def turn_cold(self) -> None:
        """Make the server cold without announcing it."""
        await self.admin.call("POST", "/cold")


class ServerGroup:
    """Starts backend servers and makes them fail.

    Parameters
    ----------
    launcher : Launcher
        Starts processes.
    """

    def __init__(self, launcher: Launcher) -> None:
        self.running: dict[str, Server] = {}
        self.events: list[HistoryEvent] = []
        self._launcher = launcher
        self._killed_records: list[ServerRecord] = []

    async def add_all(self, specs: Sequence[ServerSpec]) -> None:
        """Start several backend servers at once; `running` keeps their order."""
        async with asyncio.TaskGroup() as group:
            for spec in specs:
                group.create_task(self.add(spec))
        self.running = {spec.server: self.running[spec.server] for spec in specs}

    async def add(self, spec: ServerSpec) -> Server:
        """Start a backend server; it is not in the plan yet."""
        settings = msgspec.json.encode(spec.settings).decode()
        flags = ["--server", spec.server, "--service", spec.service]
        flags += ["--settings", settings]
        child = await self._launcher.start_module(spec.server, "backend_server", flags)
        relay = f"server/{spec.data_centre}/{spec.server}"
        address = await self._launcher.address(relay, child, "address")
        admin = HttpClient(parse_address(child.ready["admin_address"]))
        server = Server(spec, child, address, admin)
        self.running[spec.server] = server
        event = ServerPlaced(
            at_ms=LoopClock().now_ms(),
            server=spec.server,
            service=spec.service,
            data_centre=spec.data_centre,
        )
        self.events.append(event)
        return server

    async def kill(self, name: str) -> None:
        """Kill a backend server after reading its record."""
        server = self.running.pop(name)
        self._killed_records.append(await server.record())
        self.record_failed(name)
        await server.child.kill()

    def record_failed(self, name: str) -> None:
        """Record that the test makes a server fail from now on."""
        self.events.append(ServerFailed(at_ms=LoopClock().now_ms(), server=name))

    async def records(self) -> list[ServerRecord]:
        """Return the records of all servers, including those that were killed."""
        running = [await server.record() for server in self.running.values()]
        return self._killed_records + running
