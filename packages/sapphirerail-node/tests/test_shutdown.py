import random

import pytest

from sapphirerail_core.types import FlowId, InstanceId
from sapphirerail_node.shutdown import OpenWork, Shutdown
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import BOOKINGS, DATA_CENTRES, first_plan

LEAVING = InstanceId("i0")
FLOWS = [FlowId(number) for number in range(100)]
LINGER_MS = 100
TIMEOUT_MS = 60_000


def test_shutdown_waits_for_open_work_and_the_linger_time():
    shutdown = Shutdown(linger_ms=100, timeout_ms=1000)
    assert not shutdown.is_complete(5000, OpenWork())
    shutdown.begin(0)
    shutdown.on_traffic(80)
    assert not shutdown.is_complete(150, OpenWork())
    assert not shutdown.is_complete(500, OpenWork(n_in_flight=3))
    assert not shutdown.is_complete(500, OpenWork(n_unacknowledged=1))
    assert shutdown.is_complete(180, OpenWork())
    assert not shutdown.is_overdue(999)
    assert shutdown.is_overdue(1000)


@pytest.fixture
def fleet():
    """Return a fleet in which `LEAVING` holds flows without traffic from callers."""
    places = {InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(14)}
    fleet = FlowFleet(places)
    fleet.set_plan(first_plan())
    fleet.run(12_000)
    for flow in FLOWS:
        fleet.open(LEAVING, BOOKINGS, flow)
    fleet.run(4_000)
    return fleet


def shut_down(fleet):
    """Shut `LEAVING` down as the process does; return whether it completed in time."""
    shutdown = Shutdown(LINGER_MS, TIMEOUT_MS)
    shutdown.begin(fleet.now_ms)
    fleet.drain(LEAVING)
    flows = fleet.nodes[LEAVING].director
    while not shutdown.is_overdue(fleet.now_ms):
        fleet.run(50)
        open_work = OpenWork(n_unacknowledged=flows.n_unacknowledged)
        if shutdown.is_complete(fleet.now_ms, open_work):
            fleet.kill(LEAVING)
            return True
    return False


def n_flows_without_live_holder(fleet):
    return sum(
        holder not in fleet.nodes
        for server in fleet.servers.values()
        for holder, _ in server.flows.values()
    )


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("loss_share", [0.0, 0.2, 0.5])
def test_message_loss_leaves_no_flow_without_a_live_holder(fleet, seed, loss_share):
    loss_random = random.Random(seed)
    fleet.drops_message = lambda sender, receiver: loss_random.random() < loss_share
    assert shut_down(fleet)
    assert n_flows_without_live_holder(fleet) == 0


def test_shutdown_waits_while_acknowledgements_are_lost(fleet):
    start_ms = fleet.now_ms
    fleet.drops_message = lambda sender, receiver: (
        receiver == LEAVING and fleet.now_ms < start_ms + 5_000
    )
    assert shut_down(fleet)
    assert fleet.now_ms >= start_ms + 5_000
    assert n_flows_without_live_holder(fleet) == 0


def test_unreachable_owner_does_not_block_the_shutdown(fleet):
    unreachable = InstanceId("i1")
    fleet.drops_message = lambda sender, receiver: receiver == unreachable
    assert shut_down(fleet)
    assert n_flows_without_live_holder(fleet) == 0


def test_isolated_shutdown_exceeds_its_timeout(fleet):
    fleet.drops_message = lambda sender, receiver: sender == LEAVING
    assert not shut_down(fleet)
    assert fleet.nodes[LEAVING].director.n_unacknowledged > 0
