"""What goes wrong in a soak, and what operators change meanwhile."""

import asyncio
import random
import signal
from collections.abc import Callable
from enum import Enum
from functools import singledispatch

import msgspec

from .link_faults import Direction, FaultRule, LinkFaults
from .packet_peers import PacketServer
from .platform_store import StoreFault
from .platform_system import EntryProcess, wall_ms
from .soak_history import DataCentreChanged, Disturbed, RouteChanged, ServerLeft
from .soak_system import DATA_CENTRES, EXTRA_PORT, OWED_ROUTES, SoakSystem

__all__ = ["Fault", "draw_fault", "play"]

# Longer than any caller waits: what goes in never comes back.
NEVER_MS = 60_000
SERVER_END_S = 4.0
INTERPRETER_START_S = 0.2
CLOCK_ERROR_MS = 5_000


class Signal(Enum):
    """How a process of the system is disturbed."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    RELOAD = "reload"


class LinkTrouble(Enum):
    """How a link is disturbed."""

    CUT = "cut"
    ONE_WAY = "one_way"
    SLOW = "slow"
    LOSSY = "lossy"
    SILENT = "silent"


class ProcessFault(msgspec.Struct, frozen=True):
    """A signal to an instance."""

    instance: int
    how: Signal
    for_s: float


class StoreTrouble(msgspec.Struct, frozen=True):
    """The store fails for all."""

    how: StoreFault
    for_s: float


class StoreLinkTrouble(msgspec.Struct, frozen=True):
    """One instance's connections to the store fail."""

    instance: int
    how: LinkTrouble
    for_s: float


class CallerLinkTrouble(msgspec.Struct, frozen=True):
    """The way of callers' packets to one instance fails."""

    instance: int
    how: LinkTrouble
    for_s: float


class ServerFault(msgspec.Struct, frozen=True):
    """A server falls silent; with `is_crash` it forgets its flows and starts anew."""

    server: int
    is_crash: bool
    for_s: float
    clock_error_ms: int


class ServerReplaced(msgspec.Struct, frozen=True):
    """A server drains, ends, and starts anew with a wrong clock."""

    server: int
    clock_error_ms: int


class TakeOut(msgspec.Struct, frozen=True):
    """Operators take a data centre out for a time."""

    data_centre: str
    for_s: float


class Reconfigure(msgspec.Struct, frozen=True):
    """Operators remove or add a route."""

    has_extra: bool


Fault = (
    ProcessFault
    | StoreTrouble
    | StoreLinkTrouble
    | CallerLinkTrouble
    | ServerFault
    | ServerReplaced
    | TakeOut
    | Reconfigure
)

_LINKS = {
    LinkTrouble.CUT: (LinkFaults(cut=True), Direction.BOTH),
    LinkTrouble.ONE_WAY: (LinkFaults(delay_ms=NEVER_MS), Direction.BACK),
    LinkTrouble.SLOW: (LinkFaults(delay_ms=100, jitter_ms=300), Direction.BOTH),
    LinkTrouble.LOSSY: (
        LinkFaults(loss_share=0.3, duplicate_share=0.2, jitter_ms=20),
        Direction.BOTH,
    ),
}


def draw_fault(rng: random.Random, n_instances: int, n_servers: int) -> Fault:
    """Return a random fault."""
    instance, server = rng.randrange(n_instances), rng.randrange(n_servers)
    for_s = rng.uniform(0.3, 4.0)
    clock_error_ms = rng.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
    # Datagrams have no connection that could go silent.
    packet_troubles = [how for how in LinkTrouble if how is not LinkTrouble.SILENT]
    stream_troubles = [how for how in LinkTrouble if how is not LinkTrouble.LOSSY]
    store_faults = [how for how in StoreFault if how is not StoreFault.NONE]
    makers: list[Callable[[], Fault]] = [
        lambda: ProcessFault(instance, rng.choice(list(Signal)), for_s),
        lambda: ProcessFault(instance, rng.choice(list(Signal)), for_s),
        lambda: StoreTrouble(rng.choice(store_faults), for_s),
        lambda: StoreLinkTrouble(instance, rng.choice(stream_troubles), for_s),
        lambda: CallerLinkTrouble(instance, rng.choice(packet_troubles), for_s),
        lambda: ServerFault(server, rng.random() < 0.5, for_s, clock_error_ms),
        lambda: ServerReplaced(server, clock_error_ms),
        lambda: TakeOut(rng.choice(DATA_CENTRES), 3 + for_s),
        lambda: Reconfigure(rng.random() < 0.5),
    ]
    return rng.choice(makers)()


class Player:
    """Plays faults on a system; what overlaps on one subject waits for its turn.

    Parameters
    ----------
    system : SoakSystem
        What they strike.
    """

    def __init__(self, system: SoakSystem) -> None:
        self.system = system
        self.version = 1
        self._locks: dict[str, asyncio.Lock] = {}

    def lock(self, subject: str) -> asyncio.Lock:
        """Return the lock of something that bears one fault of a kind at a time."""
        return self._locks.setdefault(subject, asyncio.Lock())

    def now_ms(self) -> int:
        """Return the time of the history."""
        return self.system.clock.now_ms()

    def note(self, subject: str, from_ms: int, fault: Fault) -> None:
        """Note that a fault that had hold of a subject is over."""
        event = Disturbed(subject, from_ms, self.now_ms(), repr(fault))
        self.system.history.note(event)


@singledispatch
async def play(fault: object, player: Player) -> None:
    """Bring a fault about, and lift it."""
    raise TypeError(f"no way to play {type(fault).__name__}")


@play.register
async def _(fault: ProcessFault, player: Player) -> None:
    entry = player.system.instances[fault.instance]
    async with player.lock(entry.name):
        from_ms = player.now_ms()
        if fault.how is Signal.RELOAD:
            entry.send(signal.SIGHUP)
            return
        if fault.how is Signal.STOP:
            await _stop(entry)
            # Nothing that a planned stop does is held against a fault.
            return
        if fault.how is Signal.KILL:
            entry.send(signal.SIGKILL)
            await entry.wait()
            await asyncio.sleep(fault.for_s / 4)
            await _start(entry)
        else:
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            entry.send(signal.SIGCONT)
        player.note(entry.host, from_ms, fault)


async def _stop(entry: EntryProcess) -> None:
    entry.send(signal.SIGTERM)
    status = await entry.wait()
    # One that has not come so far as to take the signal carries nothing yet.
    if status != 0 and (status != -signal.SIGTERM or entry.has_started()):
        raise RuntimeError(f"{entry.name} ended with {status} after SIGTERM")
    await _start(entry)


async def _start(entry: EntryProcess) -> None:
    await entry.start()
    # No program can answer for signals before its interpreter runs.
    await asyncio.sleep(INTERPRETER_START_S)


@play.register
async def _(fault: StoreTrouble, player: Player) -> None:
    async with player.lock("store"):
        from_ms = player.now_ms()
        player.system.store.fault = fault.how
        await asyncio.sleep(fault.for_s)
        player.system.store.fault = StoreFault.NONE
        player.note("store", from_ms, fault)


@play.register
async def _(fault: StoreLinkTrouble, player: Player) -> None:
    system, number = player.system, fault.instance + 1
    async with player.lock(f"store-{number}"):
        from_ms = player.now_ms()
        if fault.how is LinkTrouble.SILENT:
            system.store_relays[fault.instance].blackhole()
        else:
            await _harm_link(player, f"store-{number}", fault.how, fault.for_s)
        player.note(system.instances[fault.instance].host, from_ms, fault)


@play.register
async def _(fault: CallerLinkTrouble, player: Player) -> None:
    number = fault.instance + 1
    async with player.lock(f"callers-{number}"):
        from_ms = player.now_ms()
        await _harm_link(player, f"callers-{number}", fault.how, fault.for_s)
        player.note(player.system.instances[fault.instance].host, from_ms, fault)


async def _harm_link(
    player: Player, relay: str, how: LinkTrouble, for_s: float
) -> None:
    faults, direction = _LINKS[how]
    rules = player.system.rules
    rules.add(FaultRule(relay=relay, faults=faults, direction=direction))
    await asyncio.sleep(for_s)
    # The last rule that matches applies.
    rules.add(FaultRule(relay=relay, direction=direction))


@play.register
async def _(fault: ServerFault, player: Player) -> None:
    system, server = player.system, player.system.servers[fault.server]
    async with player.lock(server.name):
        from_ms = player.now_ms()
        server.is_silent = True
        system.refuse_probes(server)
        if fault.is_crash:
            server.forget()
        await asyncio.sleep(fault.for_s)
        server.is_silent = False
        await system.answer_probes(server)
        if fault.is_crash:
            await _announce_start(system, server, fault.clock_error_ms)
        player.note(server.name, from_ms, fault)


@play.register
async def _(fault: ServerReplaced, player: Player) -> None:
    system, server = player.system, player.system.servers[fault.server]
    async with player.lock(server.name):
        await system.announce(server, state="draining")
        system.history.note(ServerLeft(player.now_ms(), server.name, True))
        await asyncio.sleep(SERVER_END_S)
        from_ms = player.now_ms()
        server.forget()
        await system.withdraw(server)
        await _announce_start(system, server, fault.clock_error_ms)
        system.history.note(ServerLeft(player.now_ms(), server.name, False))
        player.note(server.name, from_ms, fault)


async def _announce_start(
    system: SoakSystem, server: PacketServer, clock_error_ms: int
) -> None:
    born_ms = wall_ms() + clock_error_ms
    await system.announce(server, born=born_ms)


@play.register
async def _(fault: TakeOut, player: Player) -> None:
    # One at a time: with both out, nothing is owed to callers.
    async with player.lock("data centres"):
        system, from_ms = player.system, player.now_ms()
        key = f"op/evacuate/{fault.data_centre}"
        await system.store.put(key, {})
        system.history.note(DataCentreChanged(from_ms, fault.data_centre, True))
        await asyncio.sleep(fault.for_s)
        await system.store.remove(key)
        system.history.note(
            DataCentreChanged(player.now_ms(), fault.data_centre, False)
        )
        # Flows of the data centre are given up.
        for server in system.servers:
            if system.data_centre(server.identity) == fault.data_centre:
                player.note(server.name, from_ms, fault)


@play.register
async def _(fault: Reconfigure, player: Player) -> None:
    async with player.lock("configuration"):
        player.version += 3
        extra = ((EXTRA_PORT, "unsafe"),) if fault.has_extra else ()
        routes = (*OWED_ROUTES, *extra)
        await player.system.configure(player.version, routes=routes)
        now_ms = player.now_ms()
        event = RouteChanged(now_ms, EXTRA_PORT, fault.has_extra)
        player.system.history.note(event)
