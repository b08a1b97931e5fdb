"""Starts a whole system of real processes and terminates all of them."""

import asyncio

import msgspec

from sapphirerail_transport.http import HttpClient
from sapphirerail_transport.udp import parse_address

from .callers import Callers
from .child import Child
from .clock import LoopClock
from .history import PLATFORM, HistoryEvent, Partitioned, RevisionSeen, merge_by_time
from .instance_group import InstanceGroup
from .key_value import Write
from .launcher import Launcher
from .link import Protocol
from .link_control import LinkControl
from .operators import CommandResult, Operators
from .platform import Faults
from .server_group import ServerGroup
from .sheets import first_sheet
from .topology import SystemSpec
from .waiting import wait_until

__all__ = ["System"]

ROOT_KEY = "plan-root"


class _Root(msgspec.Struct):
    """The part of the plan's root value that is read here."""

    revision: int


class System:
    """A platform and data centres with instances, servers, fabrics and links.

    Use it as an asynchronous context manager: every process that was started is
    terminated when the block is left, also by an exception.

    Parameters
    ----------
    spec : SystemSpec
        What to start.
    """

    def __init__(self, spec: SystemSpec) -> None:
        self.spec = spec
        self.launcher = Launcher(spec.seed)
        self.servers = ServerGroup(self.launcher)
        self.callers: dict[str, Callers] = {}
        self._platforms: dict[str, str] = {}
        self._fabrics: dict[str, Child] = {}
        self._events: list[HistoryEvent] = []

    async def __aenter__(self) -> "System":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stop()

    @property
    def links(self) -> LinkControl:
        """The fault-injecting links."""
        assert self.launcher.links is not None, "the system was started without links"
        return self.launcher.links

    def platform(self) -> HttpClient:
        """Return a client that reaches the platform directly, not through a link."""
        return HttpClient(parse_address(self._platforms["address"]))

    async def set_platform_faults(self, faults: Faults) -> None:
        """Replace the faults that the platform injects."""
        await self.platform().call("PUT", "/admin/faults", faults)

    async def writes(self) -> list[Write]:
        """Return every write that the platform applied."""
        answer = await self.platform().call("GET", "/admin/writes")
        return msgspec.json.decode(answer, type=list[Write])

    async def apply_first_sheet(self) -> CommandResult:
        """Apply the sheet of everything that was started and wait until it is in force.

        On return each instance holds its lease, so that roles can be acquired.
        """
        rows = first_sheet(self.spec, self.servers.running.values())
        result = await self.operators.apply(rows)
        if not result.is_accepted:
            raise AssertionError(f"the first sheet was not accepted: {result}")
        await self.wait_in_force(result.revision)
        await self.wait_leases_held()
        return result

    async def wait_leases_held(self) -> int:
        """Wait until all instances hold their lease; return the milliseconds.

        Only an instance that holds its lease may use exclusive roles.
        """

        async def all_hold_lease() -> bool:
            for name in self.instances.running:
                status = await self.instances.call(name, "/status")
                if not status.get("fleet", {}).get("lease_held"):
                    return False
            return True

        return await wait_until("all leases held", all_hold_lease)

    async def wait_in_force(
        self, revision: int, names: list[str] | None = None, timeout_ms: int = 20_000
    ) -> int:
        """Wait until the instances apply a revision; return the milliseconds."""

        async def all_applied() -> bool:
            revisions = await self.instances.revisions()
            expected = list(self.instances.running) if names is None else names
            return all(revisions.get(name, 0) >= revision for name in expected)

        return await wait_until(
            f"revision {revision} in force", all_applied, timeout_ms
        )

    async def store_write_ms(self, revision: int) -> int:
        """Return the time of the first store write with at least this revision."""
        root_revisions = await self._root_revisions()
        return min(
            event.at_ms for event in root_revisions if event.revision >= revision
        )

    async def partition(self, data_centre: str, *, with_platform: bool = True) -> None:
        """Partition a data centre from the others and from the platform."""
        inside = [
            instance.child.ready
            for instance in self.instances.in_data_centre(data_centre)
        ]
        await self.links.partition(data_centre, inside, with_platform=with_platform)
        self._record_partition(data_centre, is_healed=False)

    async def heal(self, data_centre: str) -> None:
        """Remove all link faults and record that the data centre is reachable again."""
        await self.links.clear_faults()
        self._record_partition(data_centre, is_healed=True)

    async def history(self) -> list[HistoryEvent]:
        """Return the events of callers, servers, platform and operators by time."""
        records = [record.events for record in await self.servers.records()]
        records += [callers.events for callers in self.callers.values()]
        records += [self.instances.events, self.servers.events, self.operators.events]
        return merge_by_time(self._events, await self._root_revisions(), *records)

    async def _root_revisions(self) -> list[RevisionSeen]:
        return [
            RevisionSeen(
                at_ms=write.at_ms,
                where=PLATFORM,
                revision=msgspec.json.decode(write.value, type=_Root).revision,
            )
            for write in await self.writes()
            if write.key == ROOT_KEY and write.value is not None
        ]

    def _record_partition(self, data_centre: str, *, is_healed: bool) -> None:
        event = Partitioned(
            at_ms=LoopClock().now_ms(), data_centre=data_centre, is_healed=is_healed
        )
        self._events.append(event)

    async def _start(self) -> None:
        await self._start_platform()
        async with asyncio.TaskGroup() as group:
            for data_centre in self.spec.data_centres:
                group.create_task(self._start_fabric(data_centre))
            group.create_task(self.servers.add_all(self.spec.servers))
        self.instances = InstanceGroup(
            self.spec, self.launcher, self._platforms, self._fabrics
        )
        self.operators = Operators(self._platforms["address"])
        await self.instances.add_all()

    async def _start_platform(self) -> None:
        child = await self.launcher.start_module("platform", "platform")
        self._platforms.update(child.ready)
        if self.spec.has_links:
            await self.launcher.start_link()
        for data_centre in self.spec.data_centres:
            self._platforms[data_centre] = await self.launcher.address(
                f"platform/{data_centre}", child, "address", Protocol.TCP
            )

    async def _start_fabric(self, data_centre: str) -> None:
        flags = ["--seed", str(self.spec.seed), "--stale-ms", str(self.spec.stale_ms)]
        name = f"fabric of {data_centre}"
        child = await self.launcher.start_module(name, "fabric", flags)
        address = await self.launcher.address(f"fabric/{data_centre}", child, "address")
        self._fabrics[data_centre] = child
        number = self.spec.data_centres.index(data_centre)
        callers = Callers(parse_address(address), self.spec.seed * 1000 + number)
        await callers.start(("127.0.0.1", 0))
        self.callers[data_centre] = callers

    async def _stop(self) -> None:
        for callers in self.callers.values():
            callers.close()
        await self.launcher.end_all()
