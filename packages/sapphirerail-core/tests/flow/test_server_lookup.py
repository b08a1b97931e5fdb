from sapphirerail_core.datagram import Kind, RefusalCode
from sapphirerail_core.journal import Reason
from sapphirerail_core.types import FlowId, InstanceId, InstanceState, TrafficClass
from sapphirerail_standins.flow_fleet import FlowFleet
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    add_server,
    first_plan,
    new_server,
)

FLOW = FlowId(500)
I1 = InstanceId("i1")


def open_and_kill_record_holders(fleet: FlowFleet) -> None:
    """Open a placement exception and kill all instances that know the flow."""
    server = fleet.open(I1, BOOKINGS, FLOW, TrafficClass.FEED, choice=2)
    assert server is not None
    fleet.run(3_000)
    for name in list(fleet.nodes):
        if fleet.nodes[name].director.lookup(BOOKINGS, FLOW) is not None:
            fleet.kill(name)
            fleet.set_member_state_everywhere(name, InstanceState.DEAD)


def test_flow_without_records_is_found_at_its_server(
    fleet: FlowFleet,
) -> None:
    open_and_kill_record_holders(fleet)
    at = next(iter(fleet.nodes))
    fleet.send(at, fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=4))
    fleet.run(500)
    answers = fleet.received[BOOKINGS, FLOW]
    assert any(a.kind is Kind.ACK and a.part == 4 for a in answers)
    assert not fleet.resets
    reasons = {
        entry.reason
        for node in fleet.nodes.values()
        for entry in node.journal.entries()
        if entry.flow == FLOW
    }
    assert {Reason.FLOW_SEARCHED, Reason.FLOW_FOUND} <= reasons


def test_found_flow_is_registered_again(fleet: FlowFleet) -> None:
    open_and_kill_record_holders(fleet)
    at = next(iter(fleet.nodes))
    fleet.send(at, fleet.datagram(Kind.KEEPALIVE, BOOKINGS, FLOW))
    fleet.run(1_000)
    n_known = sum(
        node.director.lookup(BOOKINGS, FLOW) is not None
        for node in fleet.nodes.values()
    )
    assert n_known >= 2


def test_flow_that_no_server_has_is_reset_once(fleet: FlowFleet) -> None:
    fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=1))
    fleet.run(5_000)
    assert fleet.resets == {RefusalCode.FLOW_LOST: 1}


def test_close_of_unknown_flow_is_not_answered(fleet: FlowFleet) -> None:
    fleet.send(I1, fleet.datagram(Kind.CLOSE, BOOKINGS, FLOW))
    fleet.run(5_000)
    assert not fleet.resets


def test_no_flow_is_reset_while_a_data_centre_is_unreachable(
    fleet: FlowFleet,
) -> None:
    data_centre = fleet.nodes[InstanceId("i2")].fleet.self_data_centre
    isolated = {
        name
        for name, node in fleet.nodes.items()
        if node.fleet.self_data_centre == data_centre
    }
    fleet.drops_message = lambda sender, receiver: (
        (sender in isolated) != (receiver in isolated)
    )
    for at in set(fleet.nodes) - isolated:
        for name in isolated:
            fleet.set_member_state(at, name, InstanceState.DEAD)
    fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=1))
    fleet.run(5_000)
    assert not fleet.resets


def test_concurrent_lookups_are_bounded(fleet: FlowFleet) -> None:
    n_max = fleet.config.n_lookups_max
    for number in range(4 * n_max):
        flow = FlowId(10_000 + number)
        fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, flow, part=1))
    fleet.run(10)
    n_started = sum(n.director.status().n_searches for n in fleet.nodes.values())
    assert n_started <= n_max * len(fleet.nodes)
    fleet.run(6_000)
    assert sum(fleet.resets.values()) == 4 * n_max


def test_record_of_refused_opening_does_not_break_the_flow(
    fleet: FlowFleet,
) -> None:
    refused = fleet.open(I1, BOOKINGS, FLOW, choice=1)
    assert refused is not None
    fleet.run(200)
    del fleet.servers[refused].flows[FLOW]
    default = fleet.open(InstanceId("i9"), BOOKINGS, FLOW, choice=0)
    assert default != refused
    fleet.run(200)
    for attempt in range(4):
        datagram = fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=3, attempt=attempt)
        fleet.send(InstanceId("i6"), datagram)
        fleet.run(1_000)
    answers = fleet.received[BOOKINGS, FLOW]
    assert any(a.kind is Kind.ACK and a.part == 3 for a in answers)
    assert not fleet.resets


def test_origin_with_newer_plan_does_not_loop(
    fleet: FlowFleet,
) -> None:
    plan = add_server(first_plan(), new_server(BOOKINGS, 20, 9700))
    fleet.set_plan(plan, [I1])
    fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=1))
    fleet.run(5_000)
    n_unrecorded = sum(
        entry.reason is Reason.FLOW_UNRECORDED
        for entry in fleet.nodes[I1].journal.entries()
    )
    assert n_unrecorded <= 1
    assert sum(fleet.resets.values()) == 1
