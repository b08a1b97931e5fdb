import msgspec

from sapphirerail_core.plan import Plan, Seat, current_layer, next_layers
from sapphirerail_core.plan.layers import MAX_FLOW_LIFETIME_MS, N_LAYERS_MAX
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


def test_drain_keeps_the_previous_seats_as_a_layer() -> None:
    plan = first_plan()
    next_plan = toggle(plan, 5_000)
    (layer,) = next_plan.layers[BOOKINGS]
    assert layer.seats == current_layer(plan, BOOKINGS).seats
    assert layer.ended_at == next_plan.revision
    assert layer.ended_ms == 5_000
    assert SKETCHES not in next_plan.layers


def test_evacuated_data_centre_adds_no_layer() -> None:
    plan = change_data_centre(first_plan(), DATA_CENTRES[0], DataCentreState.OUT)
    assert plan.layers == {}


def test_replacement_takes_the_seat() -> None:
    plan = replace_server(first_plan(), FIRST, ServerId("bookings-0b"))
    assert Seat(0, ServerId("bookings-0b")) in current_layer(plan, BOOKINGS).seats
    assert Seat(0, FIRST) in plan.layers[BOOKINGS][0].seats


def test_layer_expires_after_the_maximum_flow_lifetime() -> None:
    plan = toggle(first_plan(), 1_000)
    second = toggle(plan, 1_000 + MAX_FLOW_LIFETIME_MS)
    assert len(second.layers[BOOKINGS]) == 2
    third = toggle(second, 1_001 + MAX_FLOW_LIFETIME_MS)
    assert [layer.ended_ms for layer in third.layers[BOOKINGS]] == [
        1_000 + MAX_FLOW_LIFETIME_MS,
        1_001 + MAX_FLOW_LIFETIME_MS,
    ]


def test_layer_limit_drops_the_second_layer_and_keeps_the_first() -> None:
    plan = toggle(first_plan(), 0)
    (oldest,) = plan.layers[BOOKINGS]
    for now_ms in range(1, 2 * N_LAYERS_MAX):
        plan = toggle(plan, now_ms)
    layers = plan.layers[BOOKINGS]
    assert len(layers) == N_LAYERS_MAX
    assert layers[0] == oldest
    assert layers[-1].ended_ms == 2 * N_LAYERS_MAX - 1


def test_layers_depend_only_on_the_plans() -> None:
    plan = first_plan()
    next_plan = msgspec.structs.replace(toggle(plan, 9), layers={})
    assert next_layers(plan, next_plan, 9) == toggle(plan, 9).layers


def test_layers_survive_encoding_as_json() -> None:
    plan = toggle(first_plan(), 7)
    assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan
