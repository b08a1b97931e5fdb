"""Runs seeded series of faults over simulated requests and counts violations."""

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

__all__ = ["ALL_FAULTS", "BUSY", "Fault", "Storm", "StormResult", "StormShape", "WIDE"]

_NEVER_WARM_MS = 10**9
_SETTLE_MS = 25_000
_N_ATTEMPTS = 5


class Fault(Enum):
    """Kind of fault of an instance or of its data centre."""

    KILL = "kill"
    PAUSE = "pause"
    JOIN = "join"
    DRAIN = "drain"
    PARTITION = "cut"


ALL_FAULTS = tuple(Fault)


class StormShape(msgspec.Struct, frozen=True):
    """Size of the simulated system, and its requests.

    Parameters
    ----------
    n_data_centres, n_servers, n_instances : int
        Size of the system; instances are counted for each data centre.
    service_times_ms : tuple of int
        Service times of requests, one drawn for each server.
    deadlines_ms : tuple of int
        Deadlines, one drawn for each request.
    """

    n_data_centres: int = 3
    n_servers: int = 6
    n_instances: int = 4
    service_times_ms: tuple[int, ...] = (20, 50, 200)
    deadlines_ms: tuple[int, ...] = (500, 2_000, 4_000)


WIDE = StormShape()
BUSY = StormShape(1, 3, 5, (300, 2_500), (3_000, 5_000))
"""Servers that are never idle, so that two simultaneous owners would be detected."""


class StormResult(msgspec.Struct):
    """Counts of outcomes and violations of a storm.

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
        Times that a cold server got more requests than it can handle.
    """

    n_requests: int = 0
    n_answered: int = 0
    n_without_outcome: int = 0
    n_double_runs: int = 0
    n_false_refusals: int = 0
    n_overruns: int = 0

    def add(self, other: "StormResult") -> None:
        """Add the counts of another storm."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class Storm:
    """Sends retransmitted, non-idempotent requests while faults are injected.

    Parameters
    ----------
    seed : int
        Seed of the requests, the faults and the network.
    faults : tuple of Fault
        Faults to draw from.
    n_requests : int
        Requests that are sent, at 40 per second.
    is_cold : bool
        Whether all servers stay cold and can handle one request at a time.
    is_reports_only : bool
        Whether the baseline without claims replaces the dispatcher.
    shape : StormShape
        Size of the system, and its requests.
    """

    def __init__(
        self,
        seed: int,
        faults: tuple[Fault, ...] = ALL_FAULTS,
        *,
        n_requests: int = 400,
        is_cold: bool = True,
        is_reports_only: bool = False,
        shape: StormShape = WIDE,
    ) -> None:
        self._shape = shape
        self._random = random.Random(seed)
        self._faults = faults
        self._n_requests = n_requests
        warm_up_ms = _NEVER_WARM_MS if is_cold else 500
        config = DispatcherConfig(limit=LimitConfig(warm_up_ms=warm_up_ms))
        self.world = RequestWorld(
            small_plan(shape.n_data_centres, shape.n_servers),
            n_instances=shape.n_instances,
            seed=seed,
            config=config,
            is_reports_only=is_reports_only,
        )
        for server in self.world.servers.values():
            server.stops_at_deadline = shape is BUSY
            server.work_ms = self._random.choice(shape.service_times_ms)
            if is_cold:
                server.turn_cold(0, _NEVER_WARM_MS)

    def run(self) -> StormResult:
        """Run the storm to its end and count outcomes and violations."""
        world = self.world
        world.run(1_000)
        world.faults.loss = 0.05
        world.faults.duplication = 0.05
        world.faults.delay_max_ms = 30
        interval_ms = 25
        for i in range(self._n_requests):
            world.schedule(i * interval_ms, self._sender(i + 1))
        total_ms = self._n_requests * interval_ms
        fault_at_ms = 1_000
        while fault_at_ms < total_ms:
            world.schedule(fault_at_ms, self._inject_fault)
            fault_at_ms += self._random.choice([500, 1_500, 3_000])
        world.run(total_ms + _SETTLE_MS)
        return self._result()

    def _sender(self, flow: int) -> Callable[[], None]:
        deadline_ms = self._random.choice(self._shape.deadlines_ms)
        return lambda: self._send(flow, 0, self.world.now_ms + deadline_ms)

    def _send(self, flow: int, attempt: int, deadline_at_ms: int) -> None:
        world = self.world
        if world.n_outcomes((flow, 1)) or attempt >= _N_ATTEMPTS:
            return
        remaining_ms = max(1, deadline_at_ms - world.now_ms)
        world.request(flow, attempt=attempt, deadline_ms=remaining_ms)
        world.schedule(
            self._random.choice([50, 200, 400]),
            lambda: self._send(flow, attempt + 1, deadline_at_ms),
        )

    def _inject_fault(self) -> None:
        world = self.world
        name = self._random.choice(sorted(self._running_instances()))
        data_centre = world.nodes[name].data_centre
        n_in_data_centre = sum(
            world.nodes[other].data_centre == data_centre
            for other in self._running_instances()
        )
        fault = self._random.choice(self._faults)
        if fault is Fault.JOIN:
            world.join(InstanceId(f"{data_centre}-j{world.now_ms}"), data_centre)
        elif fault is Fault.PARTITION and not world.faults.isolated_data_centres:
            world.faults.isolated_data_centres = {data_centre}
            world.schedule(
                self._random.choice([500, 3_000, 6_000]),
                world.faults.isolated_data_centres.clear,
            )
        elif n_in_data_centre > 2:
            self._fault_instance(fault, name)

    def _fault_instance(self, fault: Fault, name: InstanceId) -> None:
        world = self.world
        if fault is Fault.KILL:
            world.kill(name)
        elif fault is Fault.PAUSE:
            world.pause(name)
            pause_ms = self._random.choice([300, 800, 1_500, 5_000])
            world.schedule(pause_ms, lambda: world.resume(name))
        elif fault is Fault.DRAIN:
            world.drain(name)
            world.schedule(400, lambda: world.stop_when_idle(name))

    def _running_instances(self) -> list[InstanceId]:
        return [
            name
            for name, node in self.world.nodes.items()
            if not (node.is_stopped or node.is_leaving or node.is_paused)
        ]

    def _result(self) -> StormResult:
        keys: set[RunKey] = {(i + 1, 1) for i in range(self._n_requests)}
        world = self.world
        return StormResult(
            n_requests=len(keys),
            n_answered=len(world.answers),
            n_without_outcome=sum(not world.n_outcomes(key) for key in keys),
            n_double_runs=len(world.double_runs(keys)),
            n_false_refusals=len(world.false_refusals()),
            n_overruns=world.n_overruns(),
        )
