"""Rate limit on cold servers, over all instances together."""

import pytest

from sapphirerail_core.steering import Open, Reason, Reset, SteeringConfig
from sapphirerail_standins.steering_fleet import (
    SteeringFleet,
    configuration,
    opening,
    server_entry,
)

CONFIG = SteeringConfig()
PLACES = {f"{place}-{n}": place for place in ("osu", "tema") for n in range(4)}


def max_cold_openings_per_s(fleet, names, duration_ms=3_000, step_ms=5):
    """Open flows at the named instances; return the maximum sent cold in one second."""
    sent_ms = []
    flow = 0
    for _ in range(0, duration_ms, step_ms):
        for name in names:
            flow += 1
            action = fleet.send(opening(flow), name)
            if isinstance(action, Open) and action.server.is_cold(fleet.now_ms):
                sent_ms.append(fleet.now_ms)
        fleet.advance(step_ms)
        if flow % 100 < len(names):
            fleet.exchange_reports()
    return max(
        (sum(start <= t < start + 1_000 for t in sent_ms) for start in sent_ms),
        default=0,
    )


@pytest.mark.parametrize("per_s", [0.0, 4.0, 20.0])
def test_all_instances_together_respect_the_limit_of_a_cold_server(per_s):
    fleet = SteeringFleet(PLACES)
    fleet.configure(configuration(per_s=per_s))
    fleet.announce(server_entry(1, cold_ms=60_000))
    busiest = max_cold_openings_per_s(fleet, PLACES)
    assert 0 < busiest <= per_s * CONFIG.cold_overshoot + CONFIG.n_cold_slack


def test_both_sides_of_a_partition_together_respect_the_cold_limit():
    fleet = SteeringFleet(PLACES)
    fleet.configure()
    fleet.announce(server_entry(1, cold_ms=60_000))
    # A partition within the data centre: each half has lost contact with the other.
    names = [name for name in PLACES if name.startswith("osu")]
    for name, engine in fleet.engines.items():
        group = names.index(name) % 2 if name in names else None
        for other in names:
            if group is not None and names.index(other) % 2 != group:
                engine.peers.on_stopped(fleet.engines[other].peers.local.instance)
    sent_ms = []
    flow = 0
    for _ in range(600):
        for name in PLACES:
            flow += 1
            action = fleet.send(opening(flow), name)
            if isinstance(action, Open):
                sent_ms.append(fleet.now_ms)
        fleet.advance(5)
        for engine in fleet.engines.values():
            for peer in engine.peers.local_peers():
                engine.peers.on_contact(peer.entry, fleet.now_ms)
    busiest = max(sum(s <= t < s + 1_000 for t in sent_ms) for s in sent_ms)
    assert busiest <= CONFIG.n_cold_slack


def test_instances_that_start_together_keep_to_it():
    # After a power failure a data centre's instances and servers start together.
    fleet = SteeringFleet(PLACES, is_new=True)
    fleet.configure()
    fleet.announce(server_entry(1, cold_ms=60_000))
    sent_ms = []
    flow = 0
    for step in range(600):
        for name in PLACES:
            flow += 1
            if isinstance(fleet.send(opening(flow), name), Open):
                sent_ms.append(fleet.now_ms)
        fleet.advance(5)
        if step % 50 == 49:
            fleet.exchange_reports()
    busiest = max(sum(s <= t < s + 1_000 for t in sent_ms) for s in sent_ms)
    assert 0 < busiest <= CONFIG.n_cold_slack


def test_warm_servers_get_the_flows_over_the_cold_limit():
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1, cold_ms=60_000), server_entry(2))
    actions = [fleet.send(opening(n)) for n in range(40)]
    assert all(isinstance(action, Open) for action in actions)
    n_cold = sum(action.server.entry.identity == 1 for action in actions)
    assert n_cold <= CONFIG.n_cold_slack


def test_openings_over_the_cold_limit_are_refused_without_a_warm_server():
    fleet = SteeringFleet()
    fleet.configure()
    fleet.announce(server_entry(1, cold_ms=60_000))
    actions = [fleet.send(opening(n)) for n in range(10)]
    assert actions[-1] == Reset(Reason.SERVERS_COLD)


def test_a_returned_data_centre_is_cold_until_its_entries_are_current():
    fleet = SteeringFleet()
    fleet.configure(evacuated=("osu",))
    fleet.announce(server_entry(1))
    fleet.advance(5_000)
    fleet.configure()
    server = next(iter(fleet.engine.directory.servers()))
    assert server.is_cold(fleet.now_ms)
    assert server.is_cold(fleet.now_ms + CONFIG.return_cold_ms - 1)
    assert not server.is_cold(fleet.now_ms + CONFIG.return_cold_ms)
