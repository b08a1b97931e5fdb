import pytest

from sapphirerail_core.datagram import Kind
from sapphirerail_core.effects import SendToPeer, SendToServer
from sapphirerail_core.flow.messages import (
    Forget,
    Register,
    Registered,
    RegisterMode,
    Release,
    Return,
)
from sapphirerail_core.flow.placement import flow_key
from sapphirerail_core.flow.record_codec import FlowRecord, pack_records
from sapphirerail_core.types import (
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    TrafficClass,
)
from sapphirerail_standins.flow_fleet import FlowFleet, FlowNode
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    add_server,
    first_plan,
    new_server,
)

I1, I4 = InstanceId("i1"), InstanceId("i4")
SERVER = ServerId("bookings-2")
RECORD = FlowRecord(FlowId(3), SERVER, 0x0A00_0001_0FA0, TrafficClass.FEED)


@pytest.fixture
def owner(fleet: FlowFleet) -> FlowNode:
    """Return the first owner of the record."""
    return fleet.nodes[owners(fleet)[0]]


def owners(fleet: FlowFleet) -> tuple[InstanceId, ...]:
    context = next(iter(fleet.nodes.values())).director._context
    return context.owners.current.owners(flow_key(BOOKINGS, RECORD.flow))


def register(
    node: FlowNode, sender: InstanceId, mode: RegisterMode = RegisterMode.SET_HOLDER
) -> list[object]:
    message = Register(1, pack_records([RECORD]), mode)
    return list(node.director.on_message(sender, message, 0))


def keepalives(effects: list[object]) -> list[SendToServer]:
    return [
        effect
        for effect in effects
        if isinstance(effect, SendToServer) and effect.datagram.kind is Kind.KEEPALIVE
    ]


def test_record_is_stored_and_acknowledged(owner: FlowNode) -> None:
    assert register(owner, I1) == [SendToPeer(I1, Registered(1))]
    assert owner.director.lookup(BOOKINGS, RECORD.flow) == SERVER


def test_record_of_unknown_server_waits_for_the_plan(owner: FlowNode) -> None:
    server = new_server(BOOKINGS, 30, 9_950)
    record = RECORD._replace(server=server.server)
    message = Register(1, pack_records([record]))
    assert owner.director.on_message(I1, message, 0) == []
    owner.director.on_plan(add_server(first_plan(), server), 0)
    assert owner.director.on_message(I1, message, 0) == [SendToPeer(I1, Registered(1))]
    assert owner.director.lookup(BOOKINGS, RECORD.flow) == server.server


def test_take_over_sends_a_keepalive_with_the_caller(owner: FlowNode) -> None:
    (sent,) = keepalives(register(owner, I1, RegisterMode.TAKE_OVER))
    assert sent.server == SERVER
    assert sent.datagram.caller == "10.0.0.1:4000"


def test_previous_holder_is_notified(fleet: FlowFleet, owner: FlowNode) -> None:
    register(owner, I1)
    register(owner, I4)
    effects = owner.director.tick(fleet.now_ms + 1_000)
    released = [
        effect.instance
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Release)
    ]
    assert released == [I1]


def test_refresh_keeps_the_holder(fleet: FlowFleet, owner: FlowNode) -> None:
    register(owner, I1)
    register(owner, I4, RegisterMode.REFRESH)
    owner.director.on_instance_state(I4, InstanceState.DEAD, fleet.now_ms)
    assert keepalives(list(owner.director.tick(fleet.now_ms + 100))) == []
    owner.director.on_instance_state(I1, InstanceState.DEAD, fleet.now_ms)
    assert len(keepalives(list(owner.director.tick(fleet.now_ms + 200)))) == 1


def test_second_owner_waits_for_the_first(fleet: FlowFleet) -> None:
    second = fleet.nodes[owners(fleet)[1]]
    register(second, I1)
    second.director.on_instance_state(I1, InstanceState.DEAD, fleet.now_ms)
    assert keepalives(list(second.director.tick(fleet.now_ms + 100))) == []
    assert len(keepalives(list(second.director.tick(fleet.now_ms + 1_100)))) == 1


def test_forget_drops_the_record_unless_the_flow_moved(owner: FlowNode) -> None:
    register(owner, I1)
    moved = RECORD._replace(server=ServerId("bookings-3"))
    owner.director.on_message(I1, Forget(pack_records([moved])), 0)
    assert owner.director.lookup(BOOKINGS, RECORD.flow) == SERVER
    owner.director.on_message(I1, Forget(pack_records([RECORD])), 0)
    assert owner.director.lookup(BOOKINGS, RECORD.flow) is None


def test_records_expire_without_a_refresh(fleet: FlowFleet, owner: FlowNode) -> None:
    register(owner, I1)
    owner.director.tick(fleet.config.record_ttl_ms + 1_000)
    assert owner.director.status().n_records == 0


def test_datagram_without_caller_uses_the_owners_record(
    fleet: FlowFleet, owner: FlowNode
) -> None:
    register(owner, I1)
    event = fleet.datagram(Kind.DATA, BOOKINGS, RECORD.flow, part=2, caller="")
    non_owner = next(n for n in fleet.nodes if n not in owners(fleet))
    effects = fleet.nodes[non_owner].director.on_server_datagram(
        SERVER, event, fleet.now_ms
    )
    (relayed,) = effects
    assert isinstance(relayed, SendToPeer)
    assert isinstance(relayed.message, Return)
    assert relayed.instance == owner.fleet.self_id
    (sent,) = owner.director.on_message(non_owner, relayed.message, fleet.now_ms)
    assert sent.datagram.caller == "10.0.0.1:4000"


def test_late_registration_does_not_replace_a_newer_one(
    fleet: FlowFleet, owner: FlowNode
) -> None:
    payload = pack_records([RECORD])
    owner.director.on_message(I4, Register(1, payload), 10_000)
    late = Register(2, payload, RegisterMode.TAKE_OVER, age_ms=2_000)
    assert owner.director.on_message(I1, late, 10_300) == [
        SendToPeer(I1, Registered(2))
    ]
    effects = owner.director.tick(11_000)
    released = [
        effect.instance
        for effect in effects
        if isinstance(effect, SendToPeer) and isinstance(effect.message, Release)
    ]
    assert released == [I1]


def test_late_registration_of_completed_flow_is_rejected(owner: FlowNode) -> None:
    payload = pack_records([RECORD])
    owner.director.on_message(I1, Register(1, payload), 10_000)
    owner.director.on_message(I1, Forget(payload), 12_000)
    late = pack_records([RECORD._replace(age_ms=2_500)])
    owner.director.on_message(I4, Register(2, late), 13_000)
    assert owner.director.status().n_records == 0
    effects = owner.director.tick(14_000)
    assert SendToPeer(I4, Release(late, completed=True)) in effects


def test_flow_reopened_at_another_server_is_not_completed(owner: FlowNode) -> None:
    payload = pack_records([RECORD])
    moved = RECORD._replace(server=ServerId("bookings-3"), age_ms=1_000)
    owner.director.on_message(I1, Register(1, payload), 10_000)
    owner.director.on_message(I1, Forget(payload), 10_500)
    owner.director.on_message(I4, Register(2, pack_records([moved])), 11_000)
    assert owner.director.lookup(BOOKINGS, RECORD.flow) == "bookings-3"


DETECTION_MS = 1_400
TAKEN_OVER_WITHIN_MS = 200  # two ticks
FLOWS = [FlowId(number) for number in range(40, 60)]


def crash_and_wait(fleet: FlowFleet, victim: InstanceId) -> None:
    fleet.kill(victim)
    fleet.run(DETECTION_MS)
    fleet.set_member_state_everywhere(victim, InstanceState.DEAD)
    fleet.run(TAKEN_OVER_WITHIN_MS)


def holder_of(fleet: FlowFleet, flow: FlowId) -> InstanceId:
    (holder,) = (
        server.flows[flow][0]
        for server in fleet.servers.values()
        if flow in server.flows
    )
    return holder


@pytest.mark.parametrize("age_ms", [5, 100, 700, 1_500, 2_400])
def test_return_path_recovers_after_the_openers_crash(
    fleet: FlowFleet, age_ms: int
) -> None:
    fleet.run(12_000)
    for flow in FLOWS:
        fleet.open(I1, BOOKINGS, flow)
    fleet.run(age_ms)
    crash_and_wait(fleet, I1)
    assert all(holder_of(fleet, flow) in fleet.nodes for flow in FLOWS)
    assert not fleet.resets


@pytest.mark.parametrize("age_ms", [5, 100, 700, 1_500, 2_400])
def test_return_path_recovers_after_the_keepalive_instances_crash(
    fleet: FlowFleet, age_ms: int
) -> None:
    fleet.run(12_000)
    for flow in FLOWS:
        fleet.open(I1, BOOKINGS, flow)
    fleet.run(10_000)
    for flow in FLOWS:
        fleet.send(I4, fleet.datagram(Kind.KEEPALIVE, BOOKINGS, flow))
    fleet.run(age_ms)
    assert {holder_of(fleet, flow) for flow in FLOWS} == {I4}
    crash_and_wait(fleet, I4)
    assert all(holder_of(fleet, flow) in fleet.nodes for flow in FLOWS)
    assert not fleet.resets


def test_second_owner_does_not_wait_for_a_first_without_the_record(
    fleet: FlowFleet,
) -> None:
    fleet.run(12_000)
    first, second = owners(fleet)
    fleet.open(first, BOOKINGS, RECORD.flow)
    fleet.run(5)
    crash_and_wait(fleet, first)
    assert holder_of(fleet, RECORD.flow) == second


def test_feeds_beyond_the_rate_limit_are_registered_later(fleet: FlowFleet) -> None:
    fleet.run(12_000)
    n_flows = 3 * fleet.config.n_early_registrations_per_s
    for number in range(n_flows):
        fleet.open(I1, BOOKINGS, FlowId(number))
    fleet.run(1_000)
    names = [(BOOKINGS, FlowId(number)) for number in range(n_flows)]
    others = [node for name, node in fleet.nodes.items() if name != I1]
    n_known = sum(any(n.director._store.server(*f) for n in others) for f in names)
    assert n_known == fleet.config.n_early_registrations_per_s
    fleet.run(2_000)
    n_records = sum(n.director.status().n_records for n in fleet.nodes.values())
    assert n_records == 2 * n_flows
