import random
from collections import Counter

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.owners import (
    OwnerChange,
    OwnerHistory,
    OwnerMap,
    members_of,
)
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import DataCentreId, DataCentreState, InstanceId
from sapphirerail_standins.flow_plans import (
    PLACES,
    change_data_centre,
    first_plan,
)

N_KEYS = 2_000
PLACE_OF = {InstanceId(f"i{n}"): PLACES[n % 4] for n in range(14)}
KEYS = [n * 0x9E3779B97F4A7C15 % 2**64 for n in range(N_KEYS)]


def owner_map(
    places: dict[InstanceId, DataCentreId], plan: Plan | None = None
) -> OwnerMap:
    fleet = FixedFleet(InstanceId("i0"), places)
    return OwnerMap(members_of(fleet, plan or first_plan()))


def test_the_owners_stand_in_two_data_centres() -> None:
    owners = owner_map(PLACE_OF)
    for key in KEYS:
        first, second = owners.of(key)
        assert PLACE_OF[first] != PLACE_OF[second]


def test_one_data_centre_gives_two_owners_of_its_own() -> None:
    places = {name: place for name, place in PLACE_OF.items() if place == PLACES[0]}
    owners = owner_map(places)
    assert all(len(set(owners.of(key))) == 2 for key in KEYS)


def test_a_data_centre_that_is_out_has_no_owners() -> None:
    plan = change_data_centre(first_plan(), PLACES[1], DataCentreState.OUT)
    owners = owner_map(PLACE_OF, plan)
    assert all(PLACE_OF[name] != PLACES[1] for key in KEYS for name in owners.of(key))


def test_a_death_moves_only_what_the_dead_owned() -> None:
    before = owner_map(PLACE_OF)
    rest = {name: place for name, place in PLACE_OF.items() if name != "i5"}
    after = owner_map(rest)
    for key in KEYS:
        if "i5" not in before.of(key):
            assert after.of(key) == before.of(key)


def test_the_records_are_spread() -> None:
    owners = owner_map(PLACE_OF)
    counts = Counter(name for key in KEYS for name in owners.of(key))
    assert len(counts) == len(PLACE_OF)
    assert max(counts.values()) < 2 * 2 * N_KEYS / len(PLACE_OF)


def test_an_instance_alone_owns_everything_and_nobody_nothing() -> None:
    assert owner_map({InstanceId("i0"): PLACES[0]}).of(5) == ("i0",)
    assert OwnerMap({}).of(5) == ()


def test_previous_owners_are_asked_for_a_while() -> None:
    history = OwnerHistory(grace_ms=1_000)
    history.replace(owner_map(PLACE_OF).members, 0)
    joined = {**PLACE_OF, **{InstanceId(f"j{n}"): PLACES[n % 4] for n in range(28)}}
    history.replace(owner_map(joined).members, 500)
    moved = [key for key in KEYS if len(history.path(key, 600)) > 2]
    assert moved
    for key in moved:
        path = history.path(key, 600)
        assert path[:2] == history.now.of(key)
        assert set(path[2:]) <= set(PLACE_OF)
        assert history.path(key, 1_501) == history.now.of(key)


def test_a_data_centre_that_vanishes_is_out_of_sight_until_it_is_out() -> None:
    history = OwnerHistory(grace_ms=1_000)
    history.replace(owner_map(PLACE_OF).members, 0)
    rest = {name: place for name, place in PLACE_OF.items() if place != PLACES[1]}
    history.replace(owner_map(rest).members, 10)
    assert history.is_cut_off(first_plan(), 20)
    out = change_data_centre(first_plan(), PLACES[1], DataCentreState.OUT)
    assert not history.is_cut_off(out, 20)
    assert not history.is_cut_off(first_plan(), 10_000_000)


def test_changes_give_the_owners_before_them_also_after_later_ones() -> None:
    random_state = random.Random(6)
    history = OwnerHistory(grace_ms=1_000)
    places = dict(PLACE_OF)
    history.replace(owner_map(places).members, 0)
    changes: list[tuple[OwnerChange, OwnerMap]] = []
    for number in range(20):
        before = owner_map(places)
        for name in random_state.sample(sorted(places), random_state.randint(0, 2)):
            del places[name]
        for extra in range(random_state.randint(0, 3)):
            name = InstanceId(f"j{number}-{extra}")
            places[name] = random_state.choice(PLACES)
        change = history.replace(owner_map(places).members, number)
        if change is not None:
            changes.append((change, before))
        after = owner_map(places)
        for key in KEYS[:100]:
            assert history.now.of(key) == after.of(key)
            for known, owners in changes:
                assert known.of(key) == owners.of(key)
                if not known.concerns(key):
                    assert known.of(key) == after.of(key)


def test_most_flows_are_not_concerned_by_one_change() -> None:
    history = OwnerHistory(grace_ms=1_000)
    history.replace(owner_map(PLACE_OF).members, 0)
    rest = {name: place for name, place in PLACE_OF.items() if name != "i3"}
    change = history.replace(owner_map(rest).members, 0)
    assert change is not None
    n_concerned = sum(change.concerns(key) for key in KEYS)
    n_moved = sum(change.of(key) != history.now.of(key) for key in KEYS)
    assert 0 < n_moved <= n_concerned < N_KEYS / 2


def test_no_owners_before_and_after_concern_nobody() -> None:
    history = OwnerHistory(grace_ms=1_000)
    change = history.replace(owner_map(PLACE_OF).members, 0)
    assert change is not None
    assert all(change.concerns(key) for key in KEYS[:10])
    history.replace({}, 1)
    assert not any(change.concerns(key) for key in KEYS[:10])


def test_instances_learned_of_in_pieces_rank_like_those_known_at_once() -> None:
    names = [InstanceId(f"n{number}") for number in range(60)]
    draws = random.Random(3)
    piecewise = OwnerMap({})
    known: list[InstanceId] = []
    while names:
        page, names = names[:7], names[7:]
        known += page
        members = {
            place: tuple(known[number :: len(PLACES)])
            for number, place in enumerate(PLACES)
        }
        piecewise.update(members)
        # Few look-ups lead to a table that is made anew, many to an update.
        for key in draws.sample(KEYS, draws.choice([3, 1_000])):
            assert piecewise.of(key) == OwnerMap(members).of(key)
