"""The entry instances of a system under test and their publication."""

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec

from sapphirerail_transport.http import HttpClient, HttpError
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import parse_address

from .child import Child
from .clock import LoopClock
from .fabric import SprayTarget
from .history import HistoryEvent, InstanceStopped, RevisionSeen
from .launcher import KEY, Launcher
from .link import Protocol
from .platform import InstanceEntry, Instances
from .topology import SystemSpec

__all__ = ["Instance", "InstanceGroup"]

CALL_TIMEOUT_MS = 2000
LETTERS = "abcdefgh"
SOCKETS = ("caller", "server", "peer", "api")
ADVERTISED = {"peer": Protocol.UDP, "api": Protocol.TCP}


@dataclass
class Instance:
    """A running entry instance with its advertised addresses."""

    name: str
    data_centre: str
    child: Child
    peer_address: str
    api_address: str
    state: str = "live"

    def entry(self) -> InstanceEntry:
        """Return its entry in the platform's list of instances."""
        return InstanceEntry(
            instance=self.name,
            data_centre=self.data_centre,
            peer_address=self.peer_address,
            api_address=self.api_address,
            state=self.state,
        )


class InstanceGroup:
    """Starts and stops instances and publishes them to the platform and fabrics.

    Parameters
    ----------
    spec : SystemSpec
        What the system consists of.
    launcher : Launcher
        Starts processes.
    platforms : dict of str to str
        The platform's address, as each data centre sees it.
    fabrics : dict of str to Child
        The fabric of each data centre.
    """

    def __init__(
        self,
        spec: SystemSpec,
        launcher: Launcher,
        platforms: dict[str, str],
        fabrics: dict[str, Child],
    ) -> None:
        self.running: dict[str, Instance] = {}
        self.events: list[HistoryEvent] = []
        self._spec = spec
        self._launcher = launcher
        self._platforms = platforms
        self._fabrics = fabrics
        self._n_started = 0
        self._publish_lock = asyncio.Lock()

    def in_data_centre(self, data_centre: str) -> list[Instance]:
        """Return the instances of a data centre."""
        return [i for i in self.running.values() if i.data_centre == data_centre]

    async def add_all(self) -> None:
        """Start the initial instances; `running` keeps them in a fixed order."""
        names = {
            f"{data_centre}-{LETTERS[number]}": data_centre
            for data_centre in self._spec.data_centres
            for number in range(self._spec.n_instances)
        }
        async with asyncio.TaskGroup() as group:
            for name, data_centre in names.items():
                group.create_task(self.add(data_centre, name))
        self.running = {name: self.running[name] for name in names}

    async def add(self, data_centre: str, name: str = "") -> Instance:
        """Start one more instance and publish it."""
        self._n_started += 1
        name = name or f"{data_centre}-{self._n_started}"
        flags = ["--instance", name, "--data-centre", data_centre]
        flags += ["--platform", self._platforms[data_centre]]
        for socket in SOCKETS:
            flags += [f"--{socket}-address", "127.0.0.1:0"]
        flags += self._spec.node_flags
        relays = await self._open_relays(data_centre, name)
        for socket, (_, address) in relays.items():
            flags += [f"--{socket}-advertised", address]
        child = await self._launcher.start_program(name, "sapphirerail-node", flags)
        advertised = {socket: child.ready[f"{socket}_address"] for socket in ADVERTISED}
        for socket, (relay, address) in relays.items():
            assert self._launcher.links is not None
            await self._launcher.links.retarget(relay, advertised[socket])
            advertised[socket] = address
        instance = Instance(
            name, data_centre, child, advertised["peer"], advertised["api"]
        )
        self.running[name] = instance
        await self.publish()
        return instance

    async def stop(self, name: str, timeout_ms: int = 30_000) -> int:
        """Stop an instance gracefully and return its exit code."""
        instance = self.running[name]
        start_ms = LoopClock().now_ms()
        instance.state = "leaving"
        await self.publish()
        exit_code = await instance.child.stop(timeout_ms)
        await self._remove(name, start_ms, is_planned=True, exit_code=exit_code)
        return exit_code

    async def kill(self, name: str) -> None:
        """Kill an instance, as a crash does."""
        start_ms = LoopClock().now_ms()
        await self.running[name].child.kill()
        await self._remove(name, start_ms, is_planned=False, exit_code=-9)

    async def publish(self) -> None:
        """Publish the running instances to the platform and the fabrics."""
        async with self._publish_lock:
            await self._publish()

    async def call(self, name: str, target: str) -> dict[str, Any]:
        """Return an instance's answer to ``GET``; empty if the call fails."""
        address = self.running[name].child.ready["api_address"]
        client = HttpClient(parse_address(address), Signer(KEY))
        try:
            answer = await client.call("GET", target, timeout_ms=CALL_TIMEOUT_MS)
        except HttpError:
            return {}
        return msgspec.json.decode(answer, type=dict[str, Any])

    async def revisions(self) -> dict[str, int]:
        """Return and record the revision that each reachable instance has applied."""
        revision_by_name: dict[str, int] = {}
        for name, instance in list(self.running.items()):
            status = await self.call(name, "/status")
            if "revision" not in status:
                continue
            revision_by_name[name] = int(status["revision"])
            event = RevisionSeen(
                at_ms=LoopClock().now_ms(),
                where=name,
                revision=revision_by_name[name],
                data_centre=instance.data_centre,
            )
            self.events.append(event)
        return revision_by_name

    async def _open_relays(
        self, data_centre: str, name: str
    ) -> dict[str, tuple[str, str]]:
        """Open the relays in front of a new instance, if there are links."""
        links = self._launcher.links
        if links is None:
            return {}
        relays = {}
        for socket, protocol in ADVERTISED.items():
            relay = f"{socket}/{data_centre}/{name}"
            relays[socket] = relay, await links.open(relay, protocol=protocol)
        return relays

    async def _publish(self) -> None:
        platform = HttpClient(parse_address(self._platforms["address"]))
        entries = [instance.entry() for instance in self.running.values()]
        await platform.call("PUT", "/admin/instances", Instances(entries))
        for data_centre, fabric in self._fabrics.items():
            targets = [
                SprayTarget(instance.name, instance.child.ready["caller_address"])
                for instance in self.in_data_centre(data_centre)
                if instance.state == "live"
            ]
            client = HttpClient(parse_address(fabric.ready["admin_address"]))
            await client.call("PUT", "/targets", {"targets": targets})

    async def _remove(
        self, name: str, start_ms: int, *, is_planned: bool, exit_code: int
    ) -> None:
        del self.running[name]
        event = InstanceStopped(
            at_ms=start_ms,
            instance=name,
            is_planned=is_planned,
            ended_ms=LoopClock().now_ms(),
            exit_code=exit_code,
        )
        self.events.append(event)
        await self.publish()
