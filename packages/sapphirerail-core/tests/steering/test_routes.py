import random
from collections import Counter

from sapphirerail_core.steering import StateChange
from sapphirerail_core.steering.model import (
    OperatorState,
    RequestKind,
    Route,
    Share,
)
from sapphirerail_core.steering.routes import RouteTable, pick_service
from sapphirerail_standins.steering_fleet import (
    BOOKINGS,
    FEED,
    HOLD,
    SKETCHES,
    configuration,
)


def state(store_revision, revision=1, evacuated=(), **changes):
    return OperatorState(
        store_revision, store_revision, configuration(revision, **changes), evacuated
    )


def state_changes(events):
    return [event.change for event in events]


def test_an_older_configuration_is_ignored():
    table = RouteTable()
    table.apply(state(10, revision=5), 0)
    events = table.apply(state(11, revision=4, routes=()), 0)
    assert state_changes(events) == [StateChange.CONFIGURATION_STALE]
    assert table.revision == 5
    assert table.route(FEED) is not None


def test_a_read_of_an_older_store_revision_is_ignored():
    table = RouteTable()
    table.apply(state(10, evacuated=("osu",)), 0)
    table.apply(state(9), 0)
    assert table.is_evacuated("osu")


def test_a_removed_route_is_distinguished_from_an_unknown_one():
    table = RouteTable()
    table.apply(state(10), 0)
    feed = Route(FEED, "feed", RequestKind.SAFE, (Share(BOOKINGS, 1),))
    table.apply(state(11, revision=2, routes=(feed,)), 0)
    assert HOLD in table.removed
    assert 12345 not in table.removed
    table.apply(state(12, revision=3), 0)
    assert HOLD not in table.removed


def test_evacuations_start_and_end():
    table = RouteTable()
    assert StateChange.DATA_CENTRE_OUT in state_changes(
        table.apply(state(1, 1, ("osu",)), 0)
    )
    assert table.is_evacuated("osu")
    assert state_changes(table.apply(state(2), 700)) == [StateChange.DATA_CENTRE_BACK]
    assert not table.is_evacuated("osu")


def test_evacuations_that_are_known_ahead_stay_and_do_not_move_the_revision():
    # Guards against a revision that claims a configuration which was not applied, and
    # against an evacuation that a read from before it ends again.
    table = RouteTable()
    table.apply(state(10), 0)
    table.apply_evacuations(("osu",), 20, 100)
    assert table.state.store_revision == 10
    table.apply(state(15, revision=2), 200)
    assert table.revision == 2
    assert table.state.store_revision == 15
    assert table.is_evacuated("osu")
    assert table.state.evacuated == ("osu",)
    table.apply_evacuations((), 19, 300)
    assert table.is_evacuated("osu")
    table.apply(state(21, revision=2), 400)
    assert not table.is_evacuated("osu")


def test_new_flows_are_split_by_weight():
    route = Route(
        FEED, "feed", RequestKind.SAFE, (Share(BOOKINGS, 90), Share(SKETCHES, 10))
    )
    rng = random.Random(4)
    counts = Counter(pick_service(route, rng) for _ in range(2_000))
    assert 0.87 < counts[BOOKINGS] / 2_000 < 0.93
