import random
from collections import Counter

from sapphirerail_core.flow.placement import Placement, flow_key
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import (
    DataCentreState,
    FlowId,
    ServerId,
    ServerState,
    ServiceId,
)
from sapphirerail_standins.flow_plans import (
    BOOKINGS,
    DATA_CENTRES,
    SKETCHES,
    add_server,
    change_data_centre,
    change_servers,
    first_plan,
    new_server,
    replace_server,
)

N_FLOWS = 2_000
FIRST = ServerId("bookings-0")


def flows() -> list[FlowId]:
    random_state = random.Random(8)
    return [FlowId(random_state.getrandbits(64)) for _ in range(N_FLOWS)]


def defaults(plan: Plan) -> list[ServerId | None]:
    placement = Placement(plan)
    return [placement.default(BOOKINGS, flow) for flow in flows()]


def test_default_is_stable_while_its_server_is_in_the_plan() -> None:
    plan = first_plan()
    before = defaults(plan)
    plan = change_servers(plan, {FIRST: ServerState.DRAINING})
    plan = add_server(plan, new_server(BOOKINGS, 7, 9800))
    plan = replace_server(plan, ServerId("bookings-3"), ServerId("bookings-3b"))
    plan = change_data_centre(plan, DATA_CENTRES[2], DataCentreState.OUT)
    assert defaults(plan) == before


def test_only_departed_servers_flows_change_default() -> None:
    plan = first_plan()
    before = defaults(plan)
    plan = change_servers(plan, {FIRST: ServerState.DRAINING})
    after = defaults(change_servers(plan, {FIRST: ServerState.LEFT}))
    assert FIRST not in after
    for old, new in zip(before, after, strict=True):
        assert new == old or old == FIRST


def test_replacement_in_a_seat_inherits_exactly_its_flows() -> None:
    plan = first_plan()
    before = defaults(plan)
    replacement = ServerId("bookings-0b")
    plan = replace_server(plan, FIRST, replacement)
    after = defaults(change_servers(plan, {FIRST: ServerState.LEFT}))
    assert after == [replacement if old == FIRST else old for old in before]


def test_candidates_are_entering_or_active_servers_in_service() -> None:
    plan = change_servers(
        first_plan(),
        {
            FIRST: ServerState.DRAINING,
            ServerId("bookings-1"): ServerState.ENTERING,
            ServerId("bookings-2"): ServerState.LEFT,
        },
    )
    plan = change_data_centre(plan, DATA_CENTRES[3], DataCentreState.OUT)
    placement = Placement(plan)
    for flow in flows():
        candidates = placement.candidates(BOOKINGS, flow)
        expected = ["bookings-1", "bookings-4", "bookings-5", "bookings-6"]
        assert sorted(candidates) == expected


def test_layers_that_agree_give_one_server() -> None:
    plan = change_servers(first_plan(), {FIRST: ServerState.DRAINING})
    placement = Placement(plan)
    n_ambiguous = 0
    for flow in flows():
        layer_servers = placement.layer_servers(BOOKINGS, flow)
        assert layer_servers[0] == placement.default(BOOKINGS, flow)
        assert (len(layer_servers) > 1) == (layer_servers[0] == FIRST)
        n_ambiguous += len(layer_servers) > 1
    assert 0 < n_ambiguous < N_FLOWS / 4


def test_defaults_are_balanced() -> None:
    counts = Counter(defaults(first_plan()))
    assert max(counts.values()) * len(counts) / N_FLOWS < 1.25


def test_servers_on_one_seat_share_the_load() -> None:
    plan = add_server(first_plan(), new_server(BOOKINGS, 0, 9800, "x"))
    placement = Placement(plan)
    first_counts = Counter(placement.candidates(BOOKINGS, flow)[0] for flow in flows())
    assert first_counts[ServerId("bookings-0x")] > N_FLOWS / 16


def test_unknown_service_has_no_servers() -> None:
    placement = Placement(first_plan())
    unknown = ServiceId("unknown")
    assert placement.candidates(unknown, FlowId(1)) == ()
    assert placement.default(unknown, FlowId(1)) is None


def test_equal_flow_numbers_of_two_services_have_different_keys() -> None:
    assert flow_key(BOOKINGS, FlowId(1)) != flow_key(SKETCHES, FlowId(1))
