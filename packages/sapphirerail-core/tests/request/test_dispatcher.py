from bench.request_plan import SERVICE, small_plan
from bench.request_world import RequestWorld

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode, Run
from sapphirerail_core.request.keys import request_key
from sapphirerail_core.request.messages import Forward
from sapphirerail_core.types import (
    FlowId,
    InstanceId,
    RequestId,
    ServerId,
    ServiceId,
)


def warm_world(**kwargs) -> RequestWorld:
    world = RequestWorld(small_plan(), n_instances=3, **kwargs)
    world.run(1_000)
    return world


def test_a_request_is_answered_once_with_its_own_answer():
    world = warm_world()
    world.request(7)
    world.run(2_500)
    assert [part.body for part in world.answers[7, 1]] == [b"answer 7/1"]
    assert world.runs[7, 1] == 1


def test_all_parts_arrive():
    world = warm_world()
    for server in world.servers.values():
        server.n_parts = 3
    world.request(7)
    world.run(2_500)
    assert sorted(part.part for part in world.answers[7, 1]) == [0, 1, 2]


def test_a_retransmission_over_other_instances_runs_once():
    world = warm_world()
    for attempt, name in enumerate(sorted(world.nodes)):
        world.request(7, attempt=attempt, name=name)
    world.run(2_500)
    assert world.runs[7, 1] == 1
    assert world.answers[7, 1]


def test_a_retransmission_after_the_answer_gets_the_kept_answer():
    world = warm_world()
    world.request(7)
    world.run(500)
    n_before = len(world.answers[7, 1])
    world.request(7, attempt=1)
    world.run(500)
    assert world.runs[7, 1] == 1
    assert len(world.answers[7, 1]) == n_before + 1


def test_an_opening_is_acknowledged_and_opened_once():
    world = warm_world()
    for attempt in range(3):
        world.request(7, 0, attempt=attempt, kind=Kind.OPEN)
    world.run(2_500)
    assert world.answers[7, 0]
    assert sum(node.flows.n_opened[7] for node in world.nodes.values()) == 1


def test_a_request_for_a_service_without_servers_is_refused_as_not_run():
    world = warm_world()
    datagram = Datagram(
        kind=Kind.REQUEST,
        service=ServiceId("none"),
        flow=FlowId(9),
        request=RequestId(1),
        caller="caller:9",
    )
    world.submit(InstanceId("dc0-0"), datagram)
    world.run(1_000)
    refusal = world.refusals[9, 1][0]
    assert (refusal.code, refusal.run) == (RefusalCode.NO_SERVER, Run.NO)


def test_request_to_an_unresponsive_server_ends_as_unknown_at_its_deadline():
    world = warm_world()
    for server in world.servers.values():
        server.answers_probes_only = True
    world.request(7, deadline_ms=500)
    world.run(1_000)
    assert [r.run for r in world.refusals[7, 1]] == [Run.UNKNOWN]
    assert world.refusals[7, 1][0].code is RefusalCode.SERVER_LOST


def test_a_late_answer_is_not_reported_as_a_lost_server():
    world = warm_world()
    for flow in range(1, 31):
        world.schedule(50 * flow, lambda f=flow: world.request(f))
    world.run(4_000)
    for server in world.servers.values():
        server.work_ms *= 2
    world.request(99, deadline_ms=int(1.5 * server.work_ms / 2))
    world.run(2_000)
    (refusal,) = world.refusals[99, 1]
    assert (refusal.code, refusal.run) == (RefusalCode.DEADLINE_EXCEEDED, Run.UNKNOWN)
    assert world.runs[99, 1] == 1


def test_a_cancellation_that_overtakes_its_request_takes_effect():
    world = warm_world()
    world.request(7, kind=Kind.CANCEL)
    world.run(50)
    world.request(7)
    world.run(1_000)
    assert world.runs[7, 1] == 0
    assert world.refusals[7, 1][0].code is RefusalCode.CANCELLED
    assert world.refusals[7, 1][0].run is Run.NO


def test_status_names_each_owned_server_and_its_state():
    world = warm_world()
    for flow in range(40):
        world.request(flow + 1)
    world.run(3_000)
    states = [
        server
        for node in world.nodes.values()
        for server in node.dispatcher.status(world.now_ms).servers
        if server.role == "active"
    ]
    assert {s.server for s in states} == set(world.plan.servers)
    assert {s.state for s in states} == {"warming"}


def test_answers_come_from_the_requested_service():
    world = warm_world()
    world.request(7)
    world.run(1_000)
    assert all(part.service == SERVICE for part in world.answers[7, 1])


def test_a_datagram_buffered_during_a_pause_counts_as_a_retransmission():
    # A resumed instance granted itself a claim by an outdated view of the replicas,
    # which made the first owner's "not run" refusal false.
    world = warm_world()
    world.pause(InstanceId("dc0-0"))
    # The paused instance's role can be acquired after 1.9 s.
    world.request(7, name=InstanceId("dc0-0"), deadline_ms=2_500)
    world.request(7, attempt=1, name=InstanceId("dc1-0"), deadline_ms=2_500)
    world.run(4_000)
    n_answers = len(world.answers[7, 1])
    world.resume(InstanceId("dc0-0"))
    world.run(4_000)
    assert world.runs[7, 1] == 1
    assert len(world.answers[7, 1]) >= n_answers


def test_a_planned_stop_with_a_hundred_requests_in_flight_cuts_none():
    world = RequestWorld(small_plan(n_servers=30), n_instances=3)
    for server in world.servers.values():
        server.work_ms = 400
    world.run(1_000)
    for flow in range(1, 101):
        world.request(flow, deadline_ms=9_000)
    world.run(100)
    world.drain(InstanceId("dc0-0"))
    world.schedule(100, lambda: world.stop_when_idle(InstanceId("dc0-0")))
    world.run(12_000)
    assert world.nodes[InstanceId("dc0-0")].is_stopped
    assert len(world.answers) == 100
    assert not world.refusals


def test_an_unresponsive_warm_server_is_ejected_and_readmitted():
    world = warm_world()
    world.servers["s0"].answers_probes_only = True
    for i in range(300):
        world.schedule(20 * i, lambda i=i: world.request(i + 1, deadline_ms=600))
    world.run(6_000)
    states = {s.server: s.state for s in statuses(world)}
    assert states["s0"] == "ejected"
    n_lost = len(world.refusals)
    assert n_lost < 20
    world.servers["s0"].answers_probes_only = False
    for i in range(1_000):
        world.schedule(20 * i, lambda i=i: world.request(i + 1_000, deadline_ms=600))
    world.run(20_000)
    assert {s.server: s.state for s in statuses(world)}["s0"] != "ejected"


def test_the_last_healthy_server_is_not_overloaded():
    world = warm_world()
    for name, server in world.servers.items():
        server.answers_probes_only = name != "s0"
        server.n_queue_max = 0
    for i in range(400):
        world.schedule(10 * i, lambda i=i: world.request(i + 1, deadline_ms=1_000))
    world.run(8_000)
    last = world.servers["s0"]
    assert last.n_in_flight_max <= last.plan_entry.n_slots
    assert last.n_answered > 30
    assert not world.false_refusals()


def statuses(world):
    return [
        server
        for node in world.nodes.values()
        for server in node.dispatcher.status(world.now_ms).servers
        if server.role == "active"
    ]


def test_a_draining_instance_returns_forwards_of_an_outdated_owner():
    # If it admitted such requests, its planned stop would not complete while they
    # keep arriving.
    world = RequestWorld(small_plan(1, 1), n_instances=2)
    world.run(1_000)
    leaving = world.nodes[InstanceId("dc0-0")].dispatcher
    leaving.drain(world.now_ms)
    datagram = Datagram(
        kind=Kind.REQUEST,
        service=SERVICE,
        flow=FlowId(9),
        request=RequestId(1),
        deadline_ms=2_000,
        caller="caller:9",
    )
    message = Forward(datagram, ServerId("s0"))
    effects = leaving.on_message(InstanceId("dc0-1"), message, world.now_ms)
    forwards = [e for e in effects if isinstance(getattr(e, "message", 0), Forward)]
    assert [forward.instance for forward in forwards] == ["dc0-1"]
    assert not any(s.n_queued for s in leaving.status(world.now_ms).servers)


def test_queued_requests_are_served_after_a_lapsed_lease_is_regained():
    world = RequestWorld(small_plan(1, 1), n_instances=1)
    world.run(1_000)
    server = world.servers["s0"]
    server.work_ms = 300
    for flow in range(1, 5):
        world.request(flow, deadline_ms=8_000)
    world.run(50)
    fleet = world.nodes[InstanceId("dc0-0")].fleet
    fleet.lease_until_ms = 0
    world.run(30)
    world.run(4_000)
    assert len(world.answers) == 4


def test_a_forward_buffered_during_a_pause_counts_as_a_retransmission():
    # The resumed owner claimed the request at replicas that had all been replaced in
    # the meantime, and refused it as not run although it had run elsewhere.
    world = RequestWorld(small_plan(1, 1), n_instances=2)
    world.run(1_000)
    owner = world.nodes[InstanceId("dc0-0")].dispatcher
    datagram = Datagram(
        kind=Kind.REQUEST,
        service=SERVICE,
        flow=FlowId(9),
        request=RequestId(1),
        deadline_ms=2_000,
        caller="caller:9",
    )
    message = Forward(datagram, ServerId("s0"))
    owner.on_message(InstanceId("dc0-1"), message, world.now_ms + 5_000)
    record = owner._admission.request_table.get(request_key(datagram))
    assert record.is_uncertain
