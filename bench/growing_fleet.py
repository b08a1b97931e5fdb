"""Duplicated first transmissions while instances still discover each other."""

import msgspec

from sapphirerail_core.request import DispatcherConfig
from sapphirerail_core.types import InstanceId

from .fake_server import RunKey
from .request_plan import small_plan
from .request_world import RequestWorld

__all__ = ["GrowthResult", "fleet_start", "mass_join"]

_N_DATA_CENTRES = 2
_N_SERVERS = 4
_N_INSTANCES = 3
_N_JOINING = 4
_N_REQUESTS = 80
_REQUEST_INTERVAL_MS = 25
_DEADLINE_MS = 4_000
_DUPLICATE_DELAY_MAX_MS = 30
_OUTCOME_WAIT_MS = 25_000


class GrowthResult(msgspec.Struct, frozen=True):
    """Outcomes of the requests.

    Parameters
    ----------
    n_requests, n_answered : int
        Requests sent, and requests answered.
    n_without_outcome : int
        Requests with neither answer nor refusal.
    n_double_runs : int
        Requests that ran more than once.
    n_false_refusals : int
        Requests that ran although a refusal said that they did not run.
    """

    n_requests: int
    n_answered: int
    n_without_outcome: int
    n_double_runs: int
    n_false_refusals: int


def fleet_start(seed: int, config: DispatcherConfig | None = None) -> GrowthResult:
    """Send duplicated requests to a fleet whose instances all start at once.

    Parameters
    ----------
    seed : int
        Seed of all random choices, such as the delays of membership updates.
    config : DispatcherConfig or None
        Settings of every dispatcher.
    """
    plan = small_plan(_N_DATA_CENTRES, _N_SERVERS)
    world = RequestWorld(plan, _N_INSTANCES, seed, config, is_fleet_start=True)
    return _run(world)


def mass_join(seed: int, config: DispatcherConfig | None = None) -> GrowthResult:
    """Send duplicated requests to a small fleet that many instances join at once."""
    plan = small_plan(_N_DATA_CENTRES, _N_SERVERS)
    world = RequestWorld(plan, 1, seed, config)
    world.run(1_000)
    for data_centre in plan.data_centres:
        for i in range(_N_JOINING):
            world.join(InstanceId(f"{data_centre}-new-{i}"), data_centre)
    return _run(world)


def _run(world: RequestWorld) -> GrowthResult:
    keys: set[RunKey] = {(flow, 1) for flow in range(1, _N_REQUESTS + 1)}
    for flow, _ in keys:
        world.schedule(
            flow * _REQUEST_INTERVAL_MS, lambda f=flow: _send_duplicated(world, f)
        )
    world.run(_N_REQUESTS * _REQUEST_INTERVAL_MS + _OUTCOME_WAIT_MS)
    return GrowthResult(
        n_requests=len(keys),
        n_answered=len(world.answers),
        n_without_outcome=sum(not world.n_outcomes(key) for key in keys),
        n_double_runs=len(world.double_runs(keys)),
        n_false_refusals=len(world.false_refusals()),
    )


def _send_duplicated(world: RequestWorld, flow: int) -> None:
    live = sorted(name for name, node in world.nodes.items() if not node.is_stopped)
    for name in world.random.sample(live, 2):
        world.schedule(
            world.random.randrange(_DUPLICATE_DELAY_MAX_MS),
            lambda n=name: world.request(flow, name=n, deadline_ms=_DEADLINE_MS),
        )
