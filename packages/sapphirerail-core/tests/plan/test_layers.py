import msgspec

from sapphirerail_core.plan import Plan, Seat, current_layer, next_layers
from sapphirerail_core.plan.layers import FLOW_LIFE_MS, N_LAYERS_MAX
from sapphirerail_core.types import DataCentreState, ServerId, ServerState
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    DATA_CENTRES,
    SKETCHES,
    change_data_centre,
    change_servers,
    first_plan,
    replace_server,
)

FIRST = ServerId("bookings-0")


def toggle(plan: Plan, now_ms: int) -> Plan:
    """Drain the first server, or make it active again."""
    active = plan.servers[FIRST].state is ServerState.ACTIVE
    state = ServerState.DRAINING if active else ServerState.ACTIVE
    return change_servers(plan, {FIRST: state}, now_ms)


def test_a_drain_leaves_the_previous_membership_as_a_layer() -> None:
    plan = first_plan()
    following = toggle(plan, 5_000)
    (layer,) = following.layers[BOOKINGS]
    assert layer.seats == current_layer(plan, BOOKINGS).seats
    assert layer.ended_at == following.revision
    assert layer.ended_ms == 5_000
    assert SKETCHES not in following.layers


def test_a_data_centre_makes_no_layer() -> None:
    plan = change_data_centre(first_plan(), DATA_CENTRES[0], DataCentreState.OUT)
    assert plan.layers == {}


def test_a_replacement_takes_the_seat() -> None:
    plan = replace_server(first_plan(), FIRST, ServerId("bookings-0b"))
    assert Seat(0, ServerId("bookings-0b")) in current_layer(plan, BOOKINGS).seats
    assert Seat(0, FIRST) in plan.layers[BOOKINGS][0].seats


def test_a_layer_goes_when_no_flow_can_be_that_old() -> None:
    plan = toggle(first_plan(), 1_000)
    later = toggle(plan, 1_000 + FLOW_LIFE_MS)
    assert len(later.layers[BOOKINGS]) == 2
    latest = toggle(later, 1_001 + FLOW_LIFE_MS)
    assert [layer.ended_ms for layer in latest.layers[BOOKINGS]] == [
        1_000 + FLOW_LIFE_MS,
        1_001 + FLOW_LIFE_MS,
    ]


def test_beyond_the_count_the_default_stays_and_a_middle_layer_goes() -> None:
    plan = toggle(first_plan(), 0)
    (oldest,) = plan.layers[BOOKINGS]
    for now_ms in range(1, 2 * N_LAYERS_MAX):
        plan = toggle(plan, now_ms)
    layers = plan.layers[BOOKINGS]
    assert len(layers) == N_LAYERS_MAX
    assert layers[0] == oldest
    assert layers[-1].ended_ms == 2 * N_LAYERS_MAX - 1


def test_the_result_depends_on_the_plans_only() -> None:
    plan = first_plan()
    following = msgspec.structs.replace(toggle(plan, 9), layers={})
    assert next_layers(plan, following, 9) == toggle(plan, 9).layers


def test_layers_survive_the_journey_through_json() -> None:
    plan = toggle(first_plan(), 7)
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan
