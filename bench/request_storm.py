"""Seeded storms of faults over a request world, with what must hold at the end."""

import random
from collections.abc import Callable
from enum import Enum

import msgspec

from sapphirerail_core.load import LimitConfig
from sapphirerail_core.request import DispatcherConfig
from sapphirerail_core.types import InstanceId

from .fake_server import RunKey
from .request_plan import small_plan
from .request_world import RequestWorld

__all__ = ["ALL_FAULTS", "BUSY", "Fault", "Shape", "Storm", "StormResult", "WIDE"]

_FOREVER_MS = 10**9
_SETTLE_MS = 25_000
_N_ATTEMPTS = 5


class Fault(Enum):
    """What may happen to an instance or its data centre."""

    KILL = "kill"
    PAUSE = "pause"
    JOIN = "join"
    DRAIN = "drain"
    CUT = "cut"


ALL_FAULTS = tuple(Fault)


class Shape(msgspec.Struct, frozen=True):
    """What a storm strikes at.

    Parameters
    ----------
    n_data_centres, n_servers, n_instances : int
        Size of the system; instances are counted for each data centre.
    works_ms : tuple of int
        Times that a request may take, drawn for each server.
    deadlines_ms : tuple of int
        Deadlines, drawn for each request.
    """

    n_data_centres: int = 3
    n_servers: int = 6
    n_instances: int = 4
    works_ms: tuple[int, ...] = (20, 50, 200)
    deadlines_ms: tuple[int, ...] = (500, 2_000, 4_000)


WIDE = Shape()
BUSY = Shape(1, 3, 5, (300, 2_500), (3_000, 5_000))
"""Servers that are never idle, so that two owners at a time would show."""


class StormResult(msgspec.Struct):
    """What a storm left behind.

    Parameters
    ----------
    n_requests : int
        Requests that were sent.
    n_answered, n_without_outcome : int
        Requests with an answer, and with neither answer nor refusal.
    n_double_runs : int
        Non-idempotent requests that ran more than once.
    n_false_refusals : int
        Requests that ran although a refusal says that they did not.
    n_overruns : int
        Times that a cold server got more than it bears.
    """

    n_requests: int = 0
    n_answered: int = 0
    n_without_outcome: int = 0
    n_double_runs: int = 0
    n_false_refusals: int = 0
    n_overruns: int = 0

    def add(self, other: "StormResult") -> None:
        """Add the figures of another storm."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class Storm:
    """Sends retransmitted, non-idempotent requests while faults strike.

    Parameters
    ----------
    seed : int
        Seed of the requests, the faults and the network.
    faults : tuple of Fault
        Faults to draw from.
    n_requests : int
        Requests that are sent, 40 a second.
    is_cold : bool
        Whether all servers stay cold and bear one request.
    is_alone : bool
        Whether the baseline runs in place of the dispatcher.
    shape : Shape
        Size of the system and kind of the requests.
    """

    def __init__(
        self,
        seed: int,
        faults: tuple[Fault, ...] = ALL_FAULTS,
        *,
        n_requests: int = 400,
        is_cold: bool = True,
        is_alone: bool = False,
        shape: Shape = WIDE,
    ) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._faults = faults
        self._n_requests = n_requests
        warm_up_ms = _FOREVER_MS if is_cold else 500
        config = DispatcherConfig(limit=LimitConfig(warm_up_ms=warm_up_ms))
        self.world = RequestWorld(
            small_plan(shape.n_data_centres, shape.n_servers),
            n_instances=shape.n_instances,
            seed=seed,
            config=config,
            is_alone=is_alone,
        )
        for server in self.world.servers.values():
            server.stops_at_deadline = shape is BUSY
            server.work_ms = self._random.choice(shape.works_ms)
            if is_cold:
                server.turn_cold(0, _FOREVER_MS)

    def run(self) -> StormResult:
        """Run to the end and count what must not be."""
        world = self.world
        world.run(1_000)
        world.faults.loss = 0.05
        world.faults.duplication = 0.05
        world.faults.delay_max_ms = 30
        gap_ms = 25
        for i in range(self._n_requests):
            world.at(i * gap_ms, self._sender(i + 1))
        total_ms = self._n_requests * gap_ms
        strike_ms = 1_000
        while strike_ms < total_ms:
            world.at(strike_ms, self._strike)
            strike_ms += self._random.choice([500, 1_500, 3_000])
        world.run(total_ms + _SETTLE_MS)
        return self._result()

    def _sender(self, flow: int) -> Callable[[], None]:
        deadline_ms = self._random.choice(self._shape.deadlines_ms)
        return lambda: self._send(flow, 0, self.world.now_ms + deadline_ms)

    def _send(self, flow: int, attempt: int, deadline_at_ms: int) -> None:
        world = self.world
        if world.outcomes((flow, 1)) or attempt >= _N_ATTEMPTS:
            return
        remaining_ms = max(1, deadline_at_ms - world.now_ms)
        world.request(flow, attempt=attempt, deadline_ms=remaining_ms)
        world.at(
            self._random.choice([50, 200, 400]),
            lambda: self._send(flow, attempt + 1, deadline_at_ms),
        )

    def _strike(self) -> None:
        world = self.world
        name = self._random.choice(sorted(self._usable()))
        place = world.nodes[name].place
        n_near = sum(world.nodes[other].place == place for other in self._usable())
        fault = self._random.choice(self._faults)
        if fault is Fault.JOIN:
            world.join(InstanceId(f"{place}-j{world.now_ms}"), place)
        elif fault is Fault.CUT and not world.faults.cut:
            world.faults.cut = {place}
            world.at(self._random.choice([500, 3_000, 6_000]), world.faults.cut.clear)
        elif n_near > 2:
            self._strike_instance(fault, name)

    def _strike_instance(self, fault: Fault, name: InstanceId) -> None:
        world = self.world
        if fault is Fault.KILL:
            world.kill(name)
        elif fault is Fault.PAUSE:
            world.pause(name)
            pause_ms = self._random.choice([300, 800, 1_500, 5_000])
            world.at(pause_ms, lambda: world.wake(name))
        elif fault is Fault.DRAIN:
            world.drain(name)
            world.at(400, lambda: world.stop_when_idle(name))

    def _usable(self) -> list[InstanceId]:
        return [
            name
            for name, node in self.world.nodes.items()
            if not (node.is_dead or node.is_leaving or node.is_paused)
        ]

    def _result(self) -> StormResult:
        keys: set[RunKey] = {(i + 1, 1) for i in range(self._n_requests)}
        world = self.world
        return StormResult(
            n_requests=len(keys),
            n_answered=len(world.answers),
            n_without_outcome=sum(not world.outcomes(key) for key in keys),
            n_double_runs=len(world.double_runs(keys)),
            n_false_refusals=len(world.false_refusals()),
            n_overruns=world.n_overruns(),
        )
