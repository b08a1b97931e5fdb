import pytest

from sapphirerail_core.datagram import Kind
from sapphirerail_core.plan import (
    DataCentre,
    Plan,
    Server,
    Service,
    next_layers,
)
from sapphirerail_core.types import (
    DataCentreId,
    DataCentreState,
    FlowId,
    InstanceId,
    InstanceState,
    Revision,
    ServerId,
    ServerState,
    ServiceId,
    TenantId,
)
from sapphirerail_standins.flow_fleet import FlowFleet

BOOKINGS = ServiceId("bookings")
SKETCHES = ServiceId("sketches")
PLACES = [DataCentreId(name) for name in ("osu", "madina", "tema", "kaneshie")]


def make_plan() -> Plan:
    servers = {}
    for service, count in ((BOOKINGS, 7), (SKETCHES, 4)):
        for seat in range(count):
            name = ServerId(f"{service}-{seat}")
            servers[name] = Server(
                server=name,
                service=service,
                data_centre=PLACES[seat % 4],
                address=f"127.0.0.1:{9000 + len(servers)}",
                seat=seat,
            )
    return Plan(
        revision=Revision(1),
        data_centres={place: DataCentre(place) for place in PLACES},
        services={
            name: Service(name, TenantId("adwinsa")) for name in (BOOKINGS, SKETCHES)
        },
        servers=servers,
    )


def change(plan: Plan, now_ms: int = 0, out: str = "", **states: ServerState) -> Plan:
    """Return the next plan; keywords are server names with _ for -."""
    servers = dict(plan.servers)
    for keyword, state in states.items():
        name = ServerId(keyword.replace("_", "-"))
        known = servers[name]
        servers[name] = Server(
            server=name,
            service=known.service,
            data_centre=known.data_centre,
            address=known.address,
            seat=known.seat,
            state=state,
        )
    data_centres = dict(plan.data_centres)
    for place in PLACES:
        state = DataCentreState.OUT if place == out else DataCentreState.IN
        data_centres[place] = DataCentre(place, state)
    revision = Revision(plan.revision + 1)
    following = Plan(revision, data_centres, plan.services, servers)
    layers = next_layers(plan, following, now_ms)
    return Plan(revision, data_centres, plan.services, servers, layers)


@pytest.fixture
def fleet() -> FlowFleet:
    places = {InstanceId(f"i{n}"): PLACES[n % 4] for n in range(14)}
    return FlowFleet(places)


def instance(n: int) -> InstanceId:
    return InstanceId(f"i{n % 14}")


def open_flows(fleet: FlowFleet, n_flows: int, start: int = 0) -> dict[int, ServerId]:
    opened = {}
    for n in range(start, start + n_flows):
        server = fleet.open(
            instance(n), BOOKINGS, FlowId(n * 7919 + 1), choice=n % 3 == 0
        )
        assert server is not None
        opened[n * 7919 + 1] = server
    fleet.run(50)
    return opened


def send_all(fleet: FlowFleet, flows: dict[int, ServerId]) -> None:
    names = list(fleet.nodes)
    for n, flow in enumerate(flows):
        data = fleet.datagram(Kind.DATA, BOOKINGS, FlowId(flow), part=1)
        fleet.send(names[(n * 5 + 3) % len(names)], data)
    fleet.run(400)


def n_broken(fleet: FlowFleet, flows: dict[int, ServerId]) -> int:
    return sum(
        FlowId(flow) not in fleet.servers[server].flows
        for flow, server in flows.items()
    ) + sum(fleet.resets.values())


def n_acked(fleet: FlowFleet, flows: dict[int, ServerId]) -> int:
    return sum(
        any(
            d.kind is Kind.ACK and d.part == 1
            for d in fleet.received[BOOKINGS, FlowId(f)]
        )
        for f in flows
    )


def test_packets_at_any_instance_reach_their_server(fleet: FlowFleet) -> None:
    fleet.set_plan(make_plan())
    flows = open_flows(fleet, 200)
    send_all(fleet, flows)
    assert n_acked(fleet, flows) == 200
    assert n_broken(fleet, flows) == 0
    assert fleet.n_misdirected == 0


def test_drain_and_leave_break_only_what_never_left(fleet: FlowFleet) -> None:
    plan = make_plan()
    fleet.set_plan(plan)
    flows = open_flows(fleet, 200)
    plan = change(plan, bookings_0=ServerState.DRAINING)
    fleet.set_plan(plan)
    flows |= open_flows(fleet, 200, start=200)
    send_all(fleet, flows)
    assert n_acked(fleet, flows) == 400
    assert n_broken(fleet, flows) == 0


def test_flows_in_a_data_centre_that_is_out_are_given_up(fleet: FlowFleet) -> None:
    plan = make_plan()
    fleet.set_plan(plan)
    flows = open_flows(fleet, 100)
    plan = change(plan, out="osu")
    fleet.set_plan(plan)
    before = {s: fleet.servers[s].n_received for s in fleet.servers}
    fleet.run(1_000)
    send_all(fleet, flows)
    at_out = {
        flow: server
        for flow, server in flows.items()
        if plan.is_out(plan.servers[server].data_centre)
    }
    assert at_out
    for server in set(at_out.values()):
        assert fleet.servers[server].n_received == before[server]
    alive = {flow: s for flow, s in flows.items() if flow not in at_out}
    assert n_acked(fleet, alive) == len(alive)
    for flow in at_out:
        kinds = [d.kind for d in fleet.received[BOOKINGS, FlowId(flow)]]
        assert Kind.RESET in kinds


def test_an_owner_becomes_the_way_back_when_the_instance_dies(
    fleet: FlowFleet,
) -> None:
    fleet.set_plan(make_plan())
    flows = open_flows(fleet, 100)
    fleet.run(4_000)
    fleet.kill(instance(3))
    fleet.tell_all(instance(3), InstanceState.DEAD)
    fleet.run(3_000)
    for flow, server in flows.items():
        assert fleet.servers[server].flows[FlowId(flow)][0] != instance(3)
        fleet.emit(server, FlowId(flow), 9)
    fleet.run(50)
    for flow in flows:
        assert any(d.part == 9 for d in fleet.received[BOOKINGS, FlowId(flow)])
