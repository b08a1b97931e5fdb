"""Fault injection for the soak test, and configuration changes by operators."""

import asyncio
import random
import signal
from collections.abc import Callable
from enum import Enum
from functools import singledispatch

import msgspec

from .link_faults import Direction, FaultRule, LinkFaults
from .packet_endpoints import PacketServer
from .platform_store import StoreFault
from .platform_system import EntryProcess, wall_clock_ms
from .soak_history import (
    DataCentreChanged,
    FaultInterval,
    RouteChanged,
    ServerDrainChanged,
)
from .soak_system import DATA_CENTRES, EXTRA_PORT, PERMANENT_ROUTES, SoakSystem

__all__ = ["Fault", "draw_fault", "inject"]

# Exceeds every caller's timeout, so that packets never return in time.
DELAY_BEYOND_TIMEOUT_MS = 60_000
DRAIN_BEFORE_STOP_S = 4.0
INTERPRETER_START_S = 0.2
CLOCK_ERROR_MS = 5_000


class ProcessSignal(Enum):
    """How the process of an instance is disturbed."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    RELOAD = "reload"


class LinkFaultKind(Enum):
    """How a link is disturbed."""

    CUT = "cut"
    ONE_WAY = "one_way"
    SLOW = "slow"
    LOSSY = "lossy"
    UNRESPONSIVE = "silent"


class ProcessFault(msgspec.Struct, frozen=True):
    """Signals the process of an instance."""

    instance: int
    kind: ProcessSignal
    duration_s: float


class StoreFailure(msgspec.Struct, frozen=True):
    """Makes the store fail for all instances."""

    kind: StoreFault
    duration_s: float


class StoreLinkFailure(msgspec.Struct, frozen=True):
    """Disturbs the connections of one instance to the store."""

    instance: int
    kind: LinkFaultKind
    duration_s: float


class CallerLinkFailure(msgspec.Struct, frozen=True):
    """Disturbs the link from callers to one instance."""

    instance: int
    kind: LinkFaultKind
    duration_s: float


class ServerFault(msgspec.Struct, frozen=True):
    """Makes a server unresponsive; with `is_crash` it loses its flows and restarts."""

    server: int
    is_crash: bool
    duration_s: float
    clock_error_ms: int


class ServerReplacement(msgspec.Struct, frozen=True):
    """Drains and stops a server, and starts it again with a clock error."""

    server: int
    clock_error_ms: int


class DataCentreEvacuation(msgspec.Struct, frozen=True):
    """Evacuates a data centre for a time."""

    data_centre: str
    duration_s: float


class RouteReconfiguration(msgspec.Struct, frozen=True):
    """Removes or adds the extra route."""

    has_extra_route: bool


Fault = (
    ProcessFault
    | StoreFailure
    | StoreLinkFailure
    | CallerLinkFailure
    | ServerFault
    | ServerReplacement
    | DataCentreEvacuation
    | RouteReconfiguration
)

_LINK_FAULTS = {
    LinkFaultKind.CUT: (LinkFaults(cut=True), Direction.BOTH),
    LinkFaultKind.ONE_WAY: (
        LinkFaults(delay_ms=DELAY_BEYOND_TIMEOUT_MS),
        Direction.BACK,
    ),
    LinkFaultKind.SLOW: (LinkFaults(delay_ms=100, jitter_ms=300), Direction.BOTH),
    LinkFaultKind.LOSSY: (
        LinkFaults(loss_share=0.3, duplicate_share=0.2, jitter_ms=20),
        Direction.BOTH,
    ),
}


def draw_fault(rng: random.Random, n_instances: int, n_servers: int) -> Fault:
    """Return a random fault."""
    instance, server = rng.randrange(n_instances), rng.randrange(n_servers)
    duration_s = rng.uniform(0.3, 4.0)
    clock_error_ms = rng.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
    # Datagrams have no connection that could become unresponsive.
    packet_link_faults = [
        kind for kind in LinkFaultKind if kind is not LinkFaultKind.UNRESPONSIVE
    ]
    stream_link_faults = [
        kind for kind in LinkFaultKind if kind is not LinkFaultKind.LOSSY
    ]
    store_faults = [kind for kind in StoreFault if kind is not StoreFault.NONE]
    makers: list[Callable[[], Fault]] = [
        lambda: ProcessFault(instance, rng.choice(list(ProcessSignal)), duration_s),
        lambda: ProcessFault(instance, rng.choice(list(ProcessSignal)), duration_s),
        lambda: StoreFailure(rng.choice(store_faults), duration_s),
        lambda: StoreLinkFailure(instance, rng.choice(stream_link_faults), duration_s),
        lambda: CallerLinkFailure(instance, rng.choice(packet_link_faults), duration_s),
        lambda: ServerFault(server, rng.random() < 0.5, duration_s, clock_error_ms),
        lambda: ServerReplacement(server, clock_error_ms),
        lambda: DataCentreEvacuation(rng.choice(DATA_CENTRES), 3 + duration_s),
        lambda: RouteReconfiguration(rng.random() < 0.5),
    ]
    return rng.choice(makers)()


class FaultInjector:
    """Injects faults into a system; faults on the same subject run in turn.

    Parameters
    ----------
    system : SoakSystem
        The system under test.
    """

    def __init__(self, system: SoakSystem) -> None:
        self.system = system
        self.version = 1
        self._locks: dict[str, asyncio.Lock] = {}

    def lock(self, subject: str) -> asyncio.Lock:
        """Return the lock that serializes the faults on a subject."""
        return self._locks.setdefault(subject, asyncio.Lock())

    def now_ms(self) -> int:
        """Return the current time on the clock of the history."""
        return self.system.clock.now_ms()

    def record(self, subject: str, from_ms: int, fault: Fault) -> None:
        """Record the interval of a fault that has ended now."""
        event = FaultInterval(subject, from_ms, self.now_ms(), repr(fault))
        self.system.history.record(event)


@singledispatch
async def inject(fault: object, injector: FaultInjector) -> None:
    """Inject a fault and remove it after its duration."""
    raise TypeError(f"cannot inject a fault of type {type(fault).__name__}")


@inject.register
async def _(fault: ProcessFault, injector: FaultInjector) -> None:
    entry = injector.system.instances[fault.instance]
    async with injector.lock(entry.name):
        from_ms = injector.now_ms()
        if fault.kind is ProcessSignal.RELOAD:
            entry.send_signal(signal.SIGHUP)
            return
        if fault.kind is ProcessSignal.STOP:
            await _stop(entry)
            # A planned stop must break nothing, so it excuses no violation.
            return
        if fault.kind is ProcessSignal.KILL:
            entry.send_signal(signal.SIGKILL)
            await entry.wait()
            await asyncio.sleep(fault.duration_s / 4)
            await _start(entry)
        else:
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            entry.send_signal(signal.SIGCONT)
        injector.record(entry.host, from_ms, fault)


async def _stop(entry: EntryProcess) -> None:
    entry.send_signal(signal.SIGTERM)
    status = await entry.wait()
    # A process that had not started serving may die from SIGTERM: it had no flows.
    if status != 0 and (status != -signal.SIGTERM or entry.has_started()):
        raise RuntimeError(
            f"{entry.name} exited with {status} after SIGTERM, expected 0"
        )
    await _start(entry)


async def _start(entry: EntryProcess) -> None:
    await entry.start()
    # No signal handler can be installed before the interpreter has started.
    await asyncio.sleep(INTERPRETER_START_S)


@inject.register
async def _(fault: StoreFailure, injector: FaultInjector) -> None:
    async with injector.lock("store"):
        from_ms = injector.now_ms()
        injector.system.store.fault = fault.kind
        await asyncio.sleep(fault.duration_s)
        injector.system.store.fault = StoreFault.NONE
        injector.record("store", from_ms, fault)


@inject.register
async def _(fault: StoreLinkFailure, injector: FaultInjector) -> None:
    system, number = injector.system, fault.instance + 1
    async with injector.lock(f"store-{number}"):
        from_ms = injector.now_ms()
        if fault.kind is LinkFaultKind.UNRESPONSIVE:
            system.store_relays[fault.instance].blackhole()
        else:
            await _disturb_link(
                injector, f"store-{number}", fault.kind, fault.duration_s
            )
        injector.record(system.instances[fault.instance].host, from_ms, fault)


@inject.register
async def _(fault: CallerLinkFailure, injector: FaultInjector) -> None:
    number = fault.instance + 1
    async with injector.lock(f"callers-{number}"):
        from_ms = injector.now_ms()
        await _disturb_link(injector, f"callers-{number}", fault.kind, fault.duration_s)
        injector.record(injector.system.instances[fault.instance].host, from_ms, fault)


async def _disturb_link(
    injector: FaultInjector, relay: str, kind: LinkFaultKind, duration_s: float
) -> None:
    faults, direction = _LINK_FAULTS[kind]
    rules = injector.system.rules
    rules.add(FaultRule(relay=relay, faults=faults, direction=direction))
    await asyncio.sleep(duration_s)
    # The last matching rule applies, so an empty one removes the faults.
    rules.add(FaultRule(relay=relay, direction=direction))


@inject.register
async def _(fault: ServerFault, injector: FaultInjector) -> None:
    system, server = injector.system, injector.system.servers[fault.server]
    async with injector.lock(server.name):
        from_ms = injector.now_ms()
        server.is_unresponsive = True
        system.refuse_probes(server)
        if fault.is_crash:
            server.forget_flows()
        await asyncio.sleep(fault.duration_s)
        server.is_unresponsive = False
        await system.answer_probes(server)
        if fault.is_crash:
            await _announce_start(system, server, fault.clock_error_ms)
        injector.record(server.name, from_ms, fault)


@inject.register
async def _(fault: ServerReplacement, injector: FaultInjector) -> None:
    system, server = injector.system, injector.system.servers[fault.server]
    async with injector.lock(server.name):
        await system.announce(server, state="draining")
        system.history.record(ServerDrainChanged(injector.now_ms(), server.name, True))
        await asyncio.sleep(DRAIN_BEFORE_STOP_S)
        from_ms = injector.now_ms()
        server.forget_flows()
        await system.withdraw(server)
        await _announce_start(system, server, fault.clock_error_ms)
        system.history.record(ServerDrainChanged(injector.now_ms(), server.name, False))
        injector.record(server.name, from_ms, fault)


async def _announce_start(
    system: SoakSystem, server: PacketServer, clock_error_ms: int
) -> None:
    born_ms = wall_clock_ms() + clock_error_ms
    await system.announce(server, born=born_ms)


@inject.register
async def _(fault: DataCentreEvacuation, injector: FaultInjector) -> None:
    # One at a time: with both evacuated, callers have no guarantees.
    async with injector.lock("data centres"):
        system, from_ms = injector.system, injector.now_ms()
        key = f"op/evacuate/{fault.data_centre}"
        await system.store.put(key, {})
        system.history.record(DataCentreChanged(from_ms, fault.data_centre, True))
        await asyncio.sleep(fault.duration_s)
        await system.store.remove(key)
        system.history.record(
            DataCentreChanged(injector.now_ms(), fault.data_centre, False)
        )
        # The evacuation abandons the flows of the data centre.
        for server in system.servers:
            if system.data_centre(server.identity) == fault.data_centre:
                injector.record(server.name, from_ms, fault)


@inject.register
async def _(fault: RouteReconfiguration, injector: FaultInjector) -> None:
    async with injector.lock("configuration"):
        injector.version += 3
        extra = ((EXTRA_PORT, "unsafe"),) if fault.has_extra_route else ()
        routes = (*PERMANENT_ROUTES, *extra)
        await injector.system.configure(injector.version, routes=routes)
        now_ms = injector.now_ms()
        event = RouteChanged(now_ms, EXTRA_PORT, fault.has_extra_route)
        injector.system.history.record(event)
