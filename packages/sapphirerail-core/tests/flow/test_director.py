from sapphirerail_core.datagram import Kind, RefusalCode
from sapphirerail_core.effects import SendToServer
from sapphirerail_core.journal import Reason
from sapphirerail_core.types import (
    DataCentreState,
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
    SKETCHES,
    change_data_centre,
    change_servers,
    first_plan,
    remove_service,
)

I0, I3, I5 = InstanceId("i0"), InstanceId("i3"), InstanceId("i5")


def instance(n: int) -> InstanceId:
    return InstanceId(f"i{n % 14}")


def open_flows(
    fleet: FlowFleet, n_flows: int, start: int = 0
) -> dict[FlowId, ServerId]:
    """Open flows through all instances; every third one at its second candidate."""
    opened = {}
    for n in range(start, start + n_flows):
        flow = FlowId(n * 7919 + 1)
        server = fleet.open(instance(n), BOOKINGS, flow, choice=int(n % 3 == 0))
        assert server is not None
        opened[flow] = server
    fleet.run(50)
    return opened


def send_all(fleet: FlowFleet, flows: dict[FlowId, ServerId], part: int = 1) -> None:
    names = list(fleet.nodes)
    for n, flow in enumerate(flows):
        data = fleet.datagram(Kind.DATA, BOOKINGS, flow, part=part)
        fleet.send(names[(n * 5 + 3) % len(names)], data)
    fleet.run(400)


def n_reached(fleet: FlowFleet, flows: dict[FlowId, ServerId], part: int = 1) -> int:
    return sum(
        any(
            answer.kind in (Kind.ACK, Kind.DATA) and answer.part == part
            for answer in fleet.received.get((BOOKINGS, flow), ())
        )
        for flow in flows
    )


def test_datagrams_through_any_instance_reach_their_server(fleet: FlowFleet) -> None:
    flows = open_flows(fleet, 200)
    send_all(fleet, flows)
    assert n_reached(fleet, flows) == 200
    assert not fleet.resets
    assert fleet.n_misdirected == 0


def test_flows_stay_reachable_while_a_server_drains(
    fleet: FlowFleet,
) -> None:
    flows = open_flows(fleet, 200)
    draining = ServerId("bookings-0")
    assert draining in flows.values()
    plan = change_servers(first_plan(), {draining: ServerState.DRAINING})
    fleet.set_plan(plan)
    new = open_flows(fleet, 200, start=200)
    assert draining not in new.values()
    send_all(fleet, flows | new)
    assert n_reached(fleet, flows | new) == 400
    assert not fleet.resets
    drains = [node.director.status().draining for node in fleet.nodes.values()]
    assert sum(drain[draining] for drain in drains) > 0


def test_flows_in_evacuated_data_centre_are_reset(fleet: FlowFleet) -> None:
    flows = open_flows(fleet, 100)
    out = change_data_centre(first_plan(), DATA_CENTRES[0], DataCentreState.OUT)
    fleet.set_plan(out)
    before = {name: server.n_received for name, server in fleet.servers.items()}
    fleet.run(1_000)
    send_all(fleet, flows)
    abandoned = {
        flow: server
        for flow, server in flows.items()
        if out.is_evacuated(out.servers[server].data_centre)
    }
    assert abandoned
    for server in set(abandoned.values()):
        assert fleet.servers[server].n_received == before[server]
    remaining = {
        flow: server for flow, server in flows.items() if flow not in abandoned
    }
    assert n_reached(fleet, remaining) == len(remaining)
    assert set(fleet.resets) == {RefusalCode.DATA_CENTRE_OUT}
    for flow in abandoned:
        kinds = {answer.kind for answer in fleet.received[BOOKINGS, flow]}
        assert Kind.RESET in kinds


def test_flows_of_departed_server_are_reset(fleet: FlowFleet) -> None:
    flows = open_flows(fleet, 60)
    left = ServerId("bookings-1")
    plan = change_servers(first_plan(), {left: ServerState.LEFT})
    before = fleet.servers[left].n_received
    fleet.set_plan(plan)
    fleet.run(1_000)
    n_left = sum(server == left for server in flows.values())
    assert n_left > 0
    assert fleet.resets[RefusalCode.FLOW_LOST] == n_left
    assert fleet.servers[left].n_received == before


def test_flows_of_removed_service_reach_no_other_service(
    fleet: FlowFleet,
) -> None:
    flows = open_flows(fleet, 60)
    names = [name for name in first_plan().servers if name.startswith(BOOKINGS)]
    left = change_servers(first_plan(), dict.fromkeys(names, ServerState.LEFT))
    removed = remove_service(left, BOOKINGS)
    # Some instances skip a revision, and one receives the plan late.
    late = InstanceId("i0")
    fleet.set_plan(left, [I3, I5])
    fleet.set_plan(removed, [name for name in fleet.nodes if name != late])
    n_before = fleet.nodes[I3].director.n_flows
    assert n_before > 0
    send_all(fleet, flows)
    fleet.set_plan(removed, [late])
    fleet.run(2_000)
    send_all(fleet, flows, part=2)
    assert fleet.n_misdirected == 0
    assert n_reached(fleet, flows, part=2) == 0
    for flow in flows:
        resets = [r for r in fleet.received[BOOKINGS, flow] if r.kind is Kind.RESET]
        codes = {reset.code for reset in resets}
        # The holder reports the lost flow, other instances the unknown service.
        assert RefusalCode.FLOW_LOST in codes
        assert codes <= {RefusalCode.FLOW_LOST, RefusalCode.UNKNOWN_SERVICE}
    assert {node.director.n_flows for node in fleet.nodes.values()} == {0}


def test_owner_takes_over_return_path_of_failed_instance(
    fleet: FlowFleet,
) -> None:
    flows = open_flows(fleet, 100)
    fleet.run(4_000)
    fleet.kill(I3)
    fleet.set_member_state_everywhere(I3, InstanceState.DEAD)
    fleet.run(2_000)
    for flow, server in flows.items():
        assert fleet.servers[server].flows[flow][0] != I3
        fleet.send_feed_event(server, flow, 9)
    fleet.run(50)
    assert n_reached(fleet, flows, part=9) == 100


def test_planned_stop_hands_over_return_paths(fleet: FlowFleet) -> None:
    fleet.run(1_000)
    flows = open_flows(fleet, 100)
    fleet.drain(I3)
    fleet.run(300)
    assert fleet.nodes[I3].director.status().n_unacknowledged == 0
    fleet.kill(I3)
    for flow, server in flows.items():
        fleet.send_feed_event(server, flow, 9)
    fleet.run(50)
    assert n_reached(fleet, flows, part=9) == 100


def test_draining_instance_hands_over_late_datagrams_flows(
    fleet: FlowFleet,
) -> None:
    flows = open_flows(fleet, 20)
    fleet.drain(I3)
    fleet.run(3_000)
    for flow in flows:
        fleet.send(I3, fleet.datagram(Kind.KEEPALIVE, BOOKINGS, flow))
    fleet.run(1_000)
    for flow, server in flows.items():
        assert fleet.servers[server].flows[flow][0] != I3


def test_retransmitted_opening_finds_the_first_server(fleet: FlowFleet) -> None:
    flow = FlowId(12)
    server = fleet.open(I0, BOOKINGS, flow, choice=1)
    assert fleet.nodes[I0].director.lookup(BOOKINGS, flow) == server
    assert fleet.nodes[I0].director.lookup(SKETCHES, flow) is None


def test_refused_opening_leaves_no_record(fleet: FlowFleet) -> None:
    flow = FlowId(12)
    server = fleet.open(I0, BOOKINGS, flow, choice=1)
    assert server is not None
    fleet.run(200)
    director = fleet.nodes[I0].director
    datagram = fleet.datagram(Kind.OPEN, BOOKINGS, flow)
    director.refused(datagram, server, fleet.now_ms)
    fleet.run(1_000)
    assert all(
        node.director.lookup(BOOKINGS, flow) is None for node in fleet.nodes.values()
    )


def test_equal_flow_numbers_of_two_services_are_separate(fleet: FlowFleet) -> None:
    flow = FlowId(77)
    fleet.open(I0, BOOKINGS, flow)
    fleet.open(I0, SKETCHES, flow)
    fleet.run(50)
    for service in (BOOKINGS, SKETCHES):
        fleet.send(I3, fleet.datagram(Kind.DATA, service, flow, part=3))
    fleet.run(50)
    for service in (BOOKINGS, SKETCHES):
        assert any(a.part == 3 for a in fleet.received[service, flow])
    assert fleet.n_misdirected == 0


def test_older_plan_is_ignored(fleet: FlowFleet) -> None:
    plan = change_servers(first_plan(), {ServerId("bookings-2"): ServerState.DRAINING})
    fleet.set_plan(plan)
    fleet.set_plan(first_plan())
    candidates = fleet.nodes[I0].director.candidates(BOOKINGS, FlowId(5))
    assert ServerId("bookings-2") not in candidates


def test_journal_records_why_a_flow_was_abandoned(fleet: FlowFleet) -> None:
    flow = FlowId(31)
    server = fleet.open(I0, BOOKINGS, flow)
    assert server is not None
    data_centre = first_plan().servers[server].data_centre
    fleet.set_plan(change_data_centre(first_plan(), data_centre, DataCentreState.OUT))
    fleet.run(200)
    reasons = [
        entry.reason
        for entry in fleet.nodes[I0].journal.entries()
        if entry.flow == flow
    ]
    assert reasons == [Reason.FLOW_OPENED, Reason.FLOW_GIVEN_UP]


def test_flow_of_restarted_server_is_reset(fleet: FlowFleet) -> None:
    flow = FlowId(8)
    server = fleet.open(I0, BOOKINGS, flow)
    assert server is not None
    fleet.run(50)
    fleet.servers[server].flows.clear()
    fleet.send(I5, fleet.datagram(Kind.DATA, BOOKINGS, flow, part=1))
    fleet.run(3_000)
    assert fleet.resets == {RefusalCode.FLOW_LOST: 1}


def test_completed_upload_leaves_no_record(fleet: FlowFleet) -> None:
    flow = FlowId(99)
    server = fleet.open(I0, BOOKINGS, flow, TrafficClass.UPLOAD, choice=1)
    assert server is not None
    fleet.run(3_000)
    assert any(n.director.status().n_records for n in fleet.nodes.values())
    close = fleet.datagram(Kind.CLOSE, BOOKINGS, flow, TrafficClass.UPLOAD)
    effects = fleet.nodes[I0].director.on_caller_datagram(close, fleet.now_ms)
    assert effects == [SendToServer(server, close)]
    fleet.run(1_000)
    assert not any(n.director.status().n_records for n in fleet.nodes.values())


def test_located_feed_is_registered_at_its_new_holder(
    fleet: FlowFleet,
) -> None:
    draining = ServerId("bookings-0")
    plan = change_servers(first_plan(), {draining: ServerState.DRAINING})
    fleet.set_plan(plan)
    flow = next(
        FlowId(n)
        for n in range(1, 1_000)
        if fleet.nodes[I0].director.lookup(BOOKINGS, FlowId(n)) is None
        and len(
            fleet.nodes[I0].director._context.placement.layer_servers(
                BOOKINGS, FlowId(n)
            )
        )
        > 1
    )
    server = fleet.open(I0, BOOKINGS, flow)
    assert server is not None
    fleet.run(3_000)
    for _ in range(2):
        # The first keepalive is forwarded by an owner, the second one directly.
        fleet.send(I5, fleet.datagram(Kind.KEEPALIVE, BOOKINGS, flow))
        fleet.run(100)
    assert fleet.servers[server].flows[flow][0] == I5
    fleet.run(3_000)
    fleet.kill(I5)
    fleet.set_member_state_everywhere(I5, InstanceState.DEAD)
    fleet.run(2_000)
    assert fleet.servers[server].flows[flow][0] in fleet.nodes


def test_simultaneous_joins_update_owners_once(fleet: FlowFleet) -> None:
    node = fleet.nodes[I3]
    owners = node.director._context.owners
    version = owners.current.version
    newcomers = [InstanceId(f"n{number}") for number in range(12)]
    for name in newcomers:
        node.fleet.members[name] = DATA_CENTRES[0]
        node.director.on_instance_state(name, InstanceState.ALIVE, fleet.now_ms)
    node.director.tick(fleet.now_ms)
    assert owners.current.version == version + 1
    assert set(newcomers) <= set(owners.current.members[DATA_CENTRES[0]])
