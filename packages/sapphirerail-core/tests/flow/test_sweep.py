from sapphirerail_core.datagram import Kind, RefusalCode
from sapphirerail_core.plan.layers import MAX_FLOW_LIFETIME_MS
from sapphirerail_core.types import (
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    ServerState,
    TrafficClass,
)
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    DATA_CENTRES,
    add_server,
    change_servers,
    first_plan,
    new_server,
)

I0 = InstanceId("i0")
N_FLOWS = 120


def open_transactions(fleet: FlowFleet) -> dict[FlowId, ServerId]:
    """Open flows of a class that is not registered for its return path."""
    opened = {}
    for number in range(N_FLOWS):
        flow = FlowId(number * 104_729 + 5)
        at = InstanceId(f"i{number % 14}")
        server = fleet.open(at, BOOKINGS, flow, TrafficClass.TRANSACTION)
        assert server is not None
        opened[flow] = server
    fleet.run(50)
    return opened


def n_records(fleet: FlowFleet) -> int:
    return sum(node.director.status().n_records for node in fleet.nodes.values())


def n_searches(fleet: FlowFleet) -> int:
    return sum(node.director.status().n_searches for node in fleet.nodes.values())


def test_expired_layer_registers_new_exceptions(
    fleet: FlowFleet,
) -> None:
    flows = open_transactions(fleet)
    entered = add_server(first_plan(), new_server(BOOKINGS, 7, 9_800), now_ms=0)
    fleet.set_plan(entered)
    fleet.run(11_000)
    assert n_records(fleet) == 0
    draining = {ServerId("sketches-0"): ServerState.DRAINING}
    later = change_servers(entered, draining, now_ms=MAX_FLOW_LIFETIME_MS + 1)
    assert BOOKINGS not in later.layers
    fleet.set_plan(later)
    fleet.run(1_000)
    placement = fleet.nodes[I0].director._context.placement
    exceptions = [f for f, s in flows.items() if placement.default(BOOKINGS, f) != s]
    assert exceptions
    assert n_records(fleet) == 2 * len(exceptions)
    # After the sweep no flow has to be looked up at the servers.
    fleet.run(11_000)
    for flow in exceptions:
        fleet.send(I0, fleet.datagram(Kind.CLOSE, BOOKINGS, flow))
    fleet.run(100)
    assert all(flow not in fleet.servers[flows[flow]].flows for flow in exceptions)
    assert n_searches(fleet) == 0


def test_joined_instance_receives_records(fleet: FlowFleet) -> None:
    plan = change_servers(first_plan(), {ServerId("bookings-0"): ServerState.DRAINING})
    fleet.set_plan(plan)
    for number in range(N_FLOWS):
        fleet.open(InstanceId(f"i{number % 14}"), BOOKINGS, FlowId(number))
    fleet.run(4_000)
    joined = InstanceId("i14")
    fleet.join(joined, DATA_CENTRES[2], plan)
    fleet.run(1_000)
    assert fleet.nodes[joined].director.status().n_records > 0


def test_refreshed_records_outlive_their_ttl(fleet: FlowFleet) -> None:
    server = fleet.open(I0, BOOKINGS, FlowId(3), TrafficClass.FEED)
    assert server is not None
    fleet.run(3_000)
    for part in range(1, 100):
        fleet.send_feed_event(server, FlowId(3), part)
        fleet.run(20_000)
    assert 99 * 20_000 > fleet.config.record_ttl_ms
    assert n_records(fleet) == 2


def test_unused_cache_entries_expire(fleet: FlowFleet) -> None:
    open_transactions(fleet)
    n_flows = sum(node.director.n_flows for node in fleet.nodes.values())
    assert n_flows >= N_FLOWS
    fleet.run(fleet.config.cache_ttl_ms + 20_000)
    assert sum(node.director.n_flows for node in fleet.nodes.values()) == 0


def test_abandoning_many_flows_is_spread_over_ticks(fleet: FlowFleet) -> None:
    left = ServerId("bookings-1")
    n_opened = 0
    number = 0
    while n_opened < 1_200:
        number += 1
        servers = fleet.nodes[I0].director.candidates(BOOKINGS, FlowId(number))
        if servers[0] == left:
            fleet.open(I0, BOOKINGS, FlowId(number))
            n_opened += 1
    fleet.run(50)
    fleet.set_plan(change_servers(first_plan(), {left: ServerState.LEFT}))
    n_resets = []
    for _ in range(4):
        fleet.run(100)
        n_resets.append(fleet.resets[RefusalCode.FLOW_LOST])
    assert n_resets == [500, 1_000, 1_200, 1_200]


def test_failed_owner_is_replaced(fleet: FlowFleet) -> None:
    fleet.open(I0, BOOKINGS, FlowId(9), TrafficClass.FEED)
    fleet.run(4_000)
    holders = [
        name
        for name, node in fleet.nodes.items()
        if node.director.status().n_records and name != I0
    ]
    fleet.kill(holders[0])
    fleet.set_member_state_everywhere(holders[0], InstanceState.DEAD)
    fleet.run(1_500)
    assert n_records(fleet) == 2
