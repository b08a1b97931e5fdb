import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.steering.model import (
    InstanceEntry,
    OperatorState,
    UnreadableEntry,
)
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_standins.steering_fleet import SKETCHES, configuration, server_entry

# None stands for an entry that cannot be decoded.
SERVERS = st.dictionaries(
    st.integers(1, 8),
    st.none() | st.tuples(st.booleans(), st.sampled_from([0, 500])),
    max_size=8,
)
INSTANCES = st.dictionaries(st.integers(1, 6), st.integers(1, 3), max_size=6)
STATES = st.tuples(st.integers(1, 4), st.frozensets(st.sampled_from(["osu", "tema"])))


def snapshot(store_revision, servers, instances, state):
    return StoreSnapshot(
        OperatorState(
            store_revision, 1, configuration(state[0]), tuple(sorted(state[1]))
        ),
        tuple(
            server_entry(n, is_draining=fields[0], cold_ms=fields[1])
            for n, fields in servers.items()
            if fields is not None
        ),
        tuple(
            InstanceEntry(f"i-{n}", "osu", f"10.0.0.{host}:1")
            for n, host in instances.items()
        ),
        tuple(
            UnreadableEntry(server_entry(n).server, n)
            for n, fields in servers.items()
            if fields is None
        ),
    )


@settings(derandomize=True, max_examples=200)
@given(SERVERS, SERVERS, INSTANCES, INSTANCES, STATES, STATES)
def test_changes_turn_the_older_snapshot_into_the_newer(s1, s2, i1, i2, o1, o2):
    older, newer = snapshot(5, s1, i1, o1), snapshot(6, s2, i2, o2)
    changes = newer.changes_since(older)
    result = older.with_changes(changes)
    assert result.digest() == newer.digest()
    assert set(result.servers) == set(newer.servers)
    assert set(result.instances) == set(newer.instances)
    assert set(result.unreadable_servers) == set(newer.unreadable_servers)
    assert result.with_changes(changes) == result
    assert newer.changes_since(newer).is_empty()


def test_pictures_that_differ_by_an_instance_have_other_checksums():
    # Guards against a lost update: an instance that read the store before another one
    # registered never learned of it, as both snapshots had the same checksum.
    state = (1, frozenset())
    assert (
        snapshot(5, {}, {1: 1}, state).digest() != snapshot(5, {}, {}, state).digest()
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"service": SKETCHES},
        {"data_centre": "tema"},
        {"address": "10.0.0.9:1"},
        {"started_at_ms": 9_000},
        {"n_slots": 5},
        {"is_draining": True},
        {"cold_ms": 500},
    ],
)
def test_servers_that_differ_in_what_steering_uses_have_other_checksums(changes):
    # Guards against a lost change: an instance that missed three updates took the
    # revision of the fourth one, as the checksums were the same.
    first = snapshot(5, {1: (False, 0)}, {}, (1, frozenset()))
    (entry,) = first.servers
    changed = msgspec.structs.replace(entry, **changes)
    other = msgspec.structs.replace(first, servers=(changed,))
    assert first.digest() != other.digest()


@settings(derandomize=True, max_examples=50)
@given(STATES, STATES)
def test_an_older_operator_state_is_ignored(o1, o2):
    newer, older = snapshot(6, {}, {}, o1), snapshot(5, {}, {}, o2)
    result = newer.with_changes(older.changes_since(newer))
    assert result.operator_state == newer.operator_state


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.tuples(SERVERS, INSTANCES, STATES), min_size=3, max_size=3),
    st.integers(0, 1),
)
def test_changes_apply_to_each_of_the_snapshots_that_they_span(contents, position):
    # A receiver may have got any of the last updates. What came and went between two of
    # them, such as an evacuation, must end for it too.
    ordered = sorted(contents, key=lambda content: content[2][0])
    snapshots = [
        snapshot(revision, *content) for revision, content in enumerate(ordered, 5)
    ]
    newer = snapshots[-1]
    result = snapshots[position].with_changes(newer.changes_since(*snapshots[:-1]))
    assert result.digest() == newer.digest()
    assert set(result.operator_state.evacuated) == set(newer.operator_state.evacuated)
    assert set(result.servers) == set(newer.servers)
    assert set(result.unreadable_servers) == set(newer.unreadable_servers)


@settings(derandomize=True, max_examples=200)
@given(STATES, st.lists(STATES, min_size=2, max_size=4))
def test_a_state_that_claims_a_revision_has_all_changes_up_to_it(known, told):
    # Guards against a receiver that takes the revision of an update without having the
    # configuration from before the changes in it.
    snapshots = [
        snapshot(revision, {}, {}, state)
        for revision, state in enumerate(sorted(told, key=lambda s: s[0]), 5)
    ]
    receiver = snapshot(2, {}, {}, known)
    newer = snapshots[-1].operator_state
    result = receiver.with_changes(
        snapshots[-1].changes_since(*snapshots[:-1])
    ).operator_state
    if result.store_revision == newer.store_revision:
        assert result.configuration.revision >= newer.configuration.revision
        assert set(result.evacuated) == set(newer.evacuated)
    else:
        assert result == receiver.operator_state
