import random
from collections import Counter

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow.owners import (
    OwnerChange,
    OwnerHistory,
    OwnerMap,
    eligible_owners,
)
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import DataCentreId, DataCentreState, InstanceId
from sapphirerail_standins.flow_plans import (
    DATA_CENTRES,
    change_data_centre,
    first_plan,
)

N_KEYS = 2_000
DATA_CENTRE_OF = {InstanceId(f"i{n}"): DATA_CENTRES[n % 4] for n in range(14)}
KEYS = [n * 0x9E3779B97F4A7C15 % 2**64 for n in range(N_KEYS)]


def owner_map(
    places: dict[InstanceId, DataCentreId], plan: Plan | None = None
) -> OwnerMap:
    fleet = FixedFleet(InstanceId("i0"), places)
    return OwnerMap(eligible_owners(fleet, plan or first_plan()))


def test_owners_are_in_two_data_centres() -> None:
    owners = owner_map(DATA_CENTRE_OF)
    for key in KEYS:
        first, second = owners.owners(key)
        assert DATA_CENTRE_OF[first] != DATA_CENTRE_OF[second]


def test_single_data_centre_provides_both_owners() -> None:
    places = {
        name: place
        for name, place in DATA_CENTRE_OF.items()
        if place == DATA_CENTRES[0]
    }
    owners = owner_map(places)
    assert all(len(set(owners.owners(key))) == 2 for key in KEYS)


def test_evacuated_data_centre_has_no_owners() -> None:
    plan = change_data_centre(first_plan(), DATA_CENTRES[1], DataCentreState.OUT)
    owners = owner_map(DATA_CENTRE_OF, plan)
    assert all(
        DATA_CENTRE_OF[name] != DATA_CENTRES[1]
        for key in KEYS
        for name in owners.owners(key)
    )


def test_failed_instance_changes_only_its_own_keys() -> None:
    before = owner_map(DATA_CENTRE_OF)
    rest = {name: place for name, place in DATA_CENTRE_OF.items() if name != "i5"}
    after = owner_map(rest)
    for key in KEYS:
        if "i5" not in before.owners(key):
            assert after.owners(key) == before.owners(key)


def test_keys_are_spread_over_instances() -> None:
    owners = owner_map(DATA_CENTRE_OF)
    counts = Counter(name for key in KEYS for name in owners.owners(key))
    assert len(counts) == len(DATA_CENTRE_OF)
    assert max(counts.values()) < 2 * 2 * N_KEYS / len(DATA_CENTRE_OF)


def test_single_instance_owns_all_and_empty_map_has_no_owners() -> None:
    assert owner_map({InstanceId("i0"): DATA_CENTRES[0]}).owners(5) == ("i0",)
    assert OwnerMap({}).owners(5) == ()


def test_previous_owners_are_queried_during_the_grace_period() -> None:
    history = OwnerHistory(grace_ms=1_000)
    history.replace(owner_map(DATA_CENTRE_OF).members, 0)
    joined = {
        **DATA_CENTRE_OF,
        **{InstanceId(f"j{n}"): DATA_CENTRES[n % 4] for n in range(28)},
    }
    history.replace(owner_map(joined).members, 500)
    changed = [key for key in KEYS if len(history.path(key, 600)) > 2]
    assert changed
    for key in changed:
        path = history.path(key, 600)
        assert path[:2] == history.current.owners(key)
        assert set(path[2:]) <= set(DATA_CENTRE_OF)
        assert history.path(key, 1_501) == history.current.owners(key)


def test_vanished_data_centre_counts_as_partitioned_until_evacuated() -> None:
    history = OwnerHistory(grace_ms=1_000)
    history.replace(owner_map(DATA_CENTRE_OF).members, 0)
    rest = {
        name: place
        for name, place in DATA_CENTRE_OF.items()
        if place != DATA_CENTRES[1]
    }
    history.replace(owner_map(rest).members, 10)
    assert history.is_partitioned(first_plan(), 20)
    out = change_data_centre(first_plan(), DATA_CENTRES[1], DataCentreState.OUT)
    assert not history.is_partitioned(out, 20)
    assert not history.is_partitioned(first_plan(), 10_000_000)


def test_change_keeps_previous_owners_after_later_changes() -> None:
    random_state = random.Random(6)
    history = OwnerHistory(grace_ms=1_000)
    places = dict(DATA_CENTRE_OF)
    history.replace(owner_map(places).members, 0)
    changes: list[tuple[OwnerChange, OwnerMap]] = []
    for number in range(20):
        before = owner_map(places)
        for name in random_state.sample(sorted(places), random_state.randint(0, 2)):
            del places[name]
        for extra in range(random_state.randint(0, 3)):
            name = InstanceId(f"j{number}-{extra}")
            places[name] = random_state.choice(DATA_CENTRES)
        change = history.replace(owner_map(places).members, number)
        if change is not None:
            changes.append((change, before))
        after = owner_map(places)
        for key in KEYS[:100]:
            assert history.current.owners(key) == after.owners(key)
            for known, owners in changes:
                assert known.previous_owners(key) == owners.owners(key)
                if not known.may_affect(key):
                    assert known.previous_owners(key) == after.owners(key)


def test_single_change_affects_few_keys() -> None:
    history = OwnerHistory(grace_ms=1_000)
    history.replace(owner_map(DATA_CENTRE_OF).members, 0)
    rest = {name: place for name, place in DATA_CENTRE_OF.items() if name != "i3"}
    change = history.replace(owner_map(rest).members, 0)
    assert change is not None
    n_maybe_affected = sum(change.may_affect(key) for key in KEYS)
    n_changed = sum(
        change.previous_owners(key) != history.current.owners(key) for key in KEYS
    )
    assert 0 < n_changed <= n_maybe_affected < N_KEYS / 2


def test_change_from_no_owners_affects_all_keys_and_to_none_affects_none() -> None:
    history = OwnerHistory(grace_ms=1_000)
    change = history.replace(owner_map(DATA_CENTRE_OF).members, 0)
    assert change is not None
    assert all(change.may_affect(key) for key in KEYS[:10])
    history.replace({}, 1)
    assert not any(change.may_affect(key) for key in KEYS[:10])


def test_piecewise_updates_rank_like_a_single_one() -> None:
    names = [InstanceId(f"n{number}") for number in range(60)]
    draws = random.Random(3)
    piecewise = OwnerMap({})
    known: list[InstanceId] = []
    while names:
        page, names = names[:7], names[7:]
        known += page
        members = {
            place: tuple(known[number :: len(DATA_CENTRES)])
            for number, place in enumerate(DATA_CENTRES)
        }
        piecewise.update(members)
        # After few lookups the table is rebuilt, after many it is updated.
        for key in draws.sample(KEYS, draws.choice([3, 1_000])):
            assert piecewise.owners(key) == OwnerMap(members).owners(key)
