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


def open_and_forget(fleet: FlowFleet) -> None:
    """Open an exception and end all instances that know of it."""
    server = fleet.open(I1, BOOKINGS, FLOW, TrafficClass.FEED, choice=2)
    assert server is not None
    fleet.run(3_000)
    for name in list(fleet.nodes):
        if fleet.nodes[name].director.lookup(BOOKINGS, FLOW) is not None:
            fleet.kill(name)
            fleet.tell_all(name, InstanceState.DEAD)


def test_a_flow_whose_records_all_died_is_found_at_its_server(
    fleet: FlowFleet,
) -> None:
    open_and_forget(fleet)
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


def test_what_was_found_is_recorded_again(fleet: FlowFleet) -> None:
    open_and_forget(fleet)
    at = next(iter(fleet.nodes))
    fleet.send(at, fleet.datagram(Kind.KEEPALIVE, BOOKINGS, FLOW))
    fleet.run(1_000)
    n_known = sum(
        node.director.lookup(BOOKINGS, FLOW) is not None
        for node in fleet.nodes.values()
    )
    assert n_known >= 2


def test_a_flow_that_no_server_has_is_reset_once(fleet: FlowFleet) -> None:
    fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=1))
    fleet.run(5_000)
    assert fleet.resets == {RefusalCode.FLOW_LOST: 1}


def test_a_close_of_an_unknown_flow_needs_no_answer(fleet: FlowFleet) -> None:
    fleet.send(I1, fleet.datagram(Kind.CLOSE, BOOKINGS, FLOW))
    fleet.run(5_000)
    assert not fleet.resets


def test_nothing_is_called_lost_while_a_data_centre_is_out_of_sight(
    fleet: FlowFleet,
) -> None:
    place = fleet.nodes[InstanceId("i2")].fleet.self_data_centre
    hidden = {
        name
        for name, node in fleet.nodes.items()
        if node.fleet.self_data_centre == place
    }
    fleet.loses = lambda sender, receiver: (sender in hidden) != (receiver in hidden)
    for at in set(fleet.nodes) - hidden:
        for name in hidden:
            fleet.tell(at, name, InstanceState.DEAD)
    fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, FLOW, part=1))
    fleet.run(5_000)
    assert not fleet.resets


def test_searches_are_bounded(fleet: FlowFleet) -> None:
    n_max = fleet.config.n_searches_max
    for number in range(4 * n_max):
        flow = FlowId(10_000 + number)
        fleet.send(I1, fleet.datagram(Kind.DATA, BOOKINGS, flow, part=1))
    fleet.run(10)
    n_started = sum(n.director.status().n_searches for n in fleet.nodes.values())
    assert n_started <= n_max * len(fleet.nodes)
    fleet.run(6_000)
    assert sum(fleet.resets.values()) == 4 * n_max


def test_a_record_that_a_refused_opening_left_does_not_break_the_flow(
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


def test_an_asker_with_a_newer_plan_than_the_owners_does_not_ask_in_circles(
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
