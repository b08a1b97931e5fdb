"""Half of a data centre lost or cut off at once: times, bytes, roles used twice."""

import random
from dataclasses import dataclass

from sapphirerail_core.fleet import Membership
from sapphirerail_core.types import DataCentreId, InstanceId, InstanceState
from sapphirerail_standins.virtual_fleet import VirtualFleet

__all__ = ["HalfLoss", "half_lost", "roles_used_twice"]

LOSING = DataCentreId("osu")
TIE_BREAKING = DataCentreId("tema")
N_TIE_BREAKING = 16
SETTLE_MS = 20_000
"""Longer than a vote, and than the first comparison of members looks back."""
LIMIT_MS = 60_000
LAPSED_MS = 3000
SECOND_MS = 1000
SPLIT_MS = 12_000
STEP_MS = 100


@dataclass(frozen=True)
class HalfLoss:
    """What the loss of half of a data centre costs the other half.

    Parameters
    ----------
    known_ms : int
        Time until every survivor knows all the lost ones.
    leases_ms : int
        Time until every survivor holds its lease again.
    most_bytes_per_s : int
        Most bytes that one instance of either data centre sent in a second.
    """

    known_ms: int
    leases_ms: int
    most_bytes_per_s: int


def _settled(n_instances: int) -> tuple[VirtualFleet, list[InstanceId]]:
    """Return a fleet and a random half of its larger data centre."""
    sizes = {LOSING: n_instances, TIE_BREAKING: N_TIE_BREAKING}
    fleet = VirtualFleet(sizes, seed=1, know_each_other=True)
    fleet.run(SETTLE_MS)
    half = random.Random(5).sample(fleet.of(LOSING), n_instances // 2)
    return fleet, sorted(half)


def half_lost(n_instances: int) -> HalfLoss:
    """Kill a random half of a data centre at once, without a list."""
    fleet, lost = _settled(n_instances)
    for name in lost:
        fleet.kill(name)
    left = fleet.of(LOSING)
    memberships = [fleet.members[name] for name in left]
    start_ms = fleet.now_ms
    known_ms = leases_ms = None
    most = 0
    while known_ms is None or leases_ms is None:
        if fleet.now_ms - start_ms > LIMIT_MS:
            raise TimeoutError(f"half of {n_instances} is not over")
        before = {name: traffic.n_bytes for name, traffic in fleet.traffic.items()}
        for _ in range(SECOND_MS // STEP_MS):
            fleet.run(STEP_MS)
            passed_ms = fleet.now_ms - start_ms
            if known_ms is None and _knows(memberships):
                known_ms = passed_ms
            if passed_ms > LAPSED_MS and leases_ms is None and _holds(fleet, left):
                leases_ms = passed_ms
        most = max(most, *(t.n_bytes - before[n] for n, t in fleet.traffic.items()))
    return HalfLoss(known_ms, leases_ms, most)


def _knows(memberships: list[Membership]) -> bool:
    return all(len(m.live(LOSING)) == len(memberships) for m in memberships)


def _holds(fleet: VirtualFleet, names: list[InstanceId]) -> bool:
    return all(fleet.members[name].holds_lease(fleet.now_ms) for name in names)


def roles_used_twice(n_instances: int) -> int:
    """Cut a random half off; count steps in which a role has two users."""
    fleet, lost = _settled(n_instances)
    cut_off = set(lost)
    fleet.link.blocks = lambda a, b: (a in cut_off) != (b in cut_off)
    n_steps = 0
    for _ in range(SPLIT_MS // STEP_MS):
        fleet.run(STEP_MS)
        n_steps += _is_used_twice(fleet)
    return n_steps


def _is_used_twice(fleet: VirtualFleet) -> bool:
    holders = [n for n in fleet.of(LOSING) if _holds(fleet, [n])]
    return any(
        fleet.members[taker].state(name) is InstanceState.DEAD
        and fleet.members[taker].role_valid_from_ms(name) <= fleet.now_ms
        for taker in holders
        for name in holders
    )
