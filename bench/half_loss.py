"""Failure or isolation of half a data centre: times, traffic, double role use."""

import random
from dataclasses import dataclass

from sapphirerail_core.fleet import Membership
from sapphirerail_core.types import DataCentreId, InstanceId, InstanceState
from sapphirerail_standins.virtual_fleet import VirtualFleet

__all__ = ["HalfLoss", "count_double_role_steps", "measure_half_loss"]

AFFECTED = DataCentreId("osu")
TIE_BREAKING = DataCentreId("tema")
N_TIE_BREAKING = 16
SETTLE_MS = 20_000
"""Longer than a vote is valid, and than the first anti-entropy window reaches back."""
TIMEOUT_MS = 60_000
LEASE_EXPIRED_MS = 3000
SECOND_MS = 1000
PARTITION_MS = 12_000
STEP_MS = 100


@dataclass(frozen=True)
class HalfLoss:
    """Effects of the failure of half a data centre on the other half.

    Parameters
    ----------
    detected_ms : int
        Time until every survivor has detected all failed instances.
    leases_recovered_ms : int
        Time until every survivor holds its lease again.
    max_bytes_per_s : int
        Most bytes that one instance of either data centre sent in a second.
    """

    detected_ms: int
    leases_recovered_ms: int
    max_bytes_per_s: int


def _settled(n_instances: int) -> tuple[VirtualFleet, list[InstanceId]]:
    """Return a fleet in steady state and a random half of its affected data centre."""
    sizes = {AFFECTED: n_instances, TIE_BREAKING: N_TIE_BREAKING}
    fleet = VirtualFleet(sizes, seed=1, know_each_other=True)
    fleet.run(SETTLE_MS)
    half = random.Random(5).sample(fleet.of(AFFECTED), n_instances // 2)
    return fleet, sorted(half)


def measure_half_loss(n_instances: int) -> HalfLoss:
    """Kill a random half of a data centre at once, without the platform's list."""
    fleet, failed = _settled(n_instances)
    for name in failed:
        fleet.kill(name)
    survivors = fleet.of(AFFECTED)
    memberships = [fleet.members[name] for name in survivors]
    start_ms = fleet.now_ms
    detected_ms = leases_recovered_ms = None
    max_bytes = 0
    while detected_ms is None or leases_recovered_ms is None:
        if fleet.now_ms - start_ms > TIMEOUT_MS:
            raise TimeoutError(
                f"no recovery after the failure of half of {n_instances} instances"
            )
        before = {name: traffic.n_bytes for name, traffic in fleet.traffic.items()}
        for _ in range(SECOND_MS // STEP_MS):
            fleet.run(STEP_MS)
            elapsed_ms = fleet.now_ms - start_ms
            if detected_ms is None and _all_detected(memberships):
                detected_ms = elapsed_ms
            if (
                elapsed_ms > LEASE_EXPIRED_MS
                and leases_recovered_ms is None
                and _all_hold_leases(fleet, survivors)
            ):
                leases_recovered_ms = elapsed_ms
        max_bytes = max(
            max_bytes, *(t.n_bytes - before[n] for n, t in fleet.traffic.items())
        )
    return HalfLoss(detected_ms, leases_recovered_ms, max_bytes)


def _all_detected(memberships: list[Membership]) -> bool:
    return all(len(m.live(AFFECTED)) == len(memberships) for m in memberships)


def _all_hold_leases(fleet: VirtualFleet, names: list[InstanceId]) -> bool:
    return all(fleet.members[name].holds_lease(fleet.now_ms) for name in names)


def count_double_role_steps(n_instances: int) -> int:
    """Isolate a random half; count the steps in which two instances may use a role."""
    fleet, failed = _settled(n_instances)
    isolated = set(failed)
    fleet.link.blocks = lambda a, b: (a in isolated) != (b in isolated)
    n_steps = 0
    for _ in range(PARTITION_MS // STEP_MS):
        fleet.run(STEP_MS)
        n_steps += _is_role_used_twice(fleet)
    return n_steps


def _is_role_used_twice(fleet: VirtualFleet) -> bool:
    holders = [n for n in fleet.of(AFFECTED) if _all_hold_leases(fleet, [n])]
    return any(
        fleet.members[user].state(name) is InstanceState.DEAD
        and fleet.members[user].role_valid_from_ms(name) <= fleet.now_ms
        for user in holders
        for name in holders
    )
