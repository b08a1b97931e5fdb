from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirerail_core.steering.model import InstanceEntry, OperatorState
from sapphirerail_core.steering.picture import Picture
from sapphirerail_standins.steering_fleet import configuration, server_entry

SERVERS = st.dictionaries(
    st.integers(1, 8), st.tuples(st.booleans(), st.sampled_from([0, 500])), max_size=8
)
INSTANCES = st.dictionaries(st.integers(1, 6), st.integers(1, 3), max_size=6)
STATES = st.tuples(st.integers(1, 4), st.frozensets(st.sampled_from(["osu", "tema"])))


def picture(store_revision, servers, instances, state):
    return Picture(
        OperatorState(
            store_revision, 1, configuration(state[0]), tuple(sorted(state[1]))
        ),
        tuple(
            server_entry(n, is_draining=drains, cold_ms=cold_ms)
            for n, (drains, cold_ms) in servers.items()
        ),
        tuple(
            InstanceEntry(f"i-{n}", "osu", f"10.0.0.{host}:1")
            for n, host in instances.items()
        ),
    )


@settings(derandomize=True, max_examples=200)
@given(SERVERS, SERVERS, INSTANCES, INSTANCES, STATES, STATES)
def test_changes_lead_from_one_picture_to_the_other(s1, s2, i1, i2, o1, o2):
    older, newer = picture(5, s1, i1, o1), picture(6, s2, i2, o2)
    changes = newer.changes_since(older)
    reached = older.with_changes(changes)
    assert reached.digest() == newer.digest()
    assert set(reached.servers) == set(newer.servers)
    assert set(reached.instances) == set(newer.instances)
    assert reached.with_changes(changes) == reached
    assert newer.changes_since(newer).is_empty()


def test_pictures_that_differ_by_an_instance_have_other_checksums():
    # Found by the soak: an instance that had read the store before another one was
    # registered there never heard of it, as nothing showed the difference.
    state = (1, frozenset())
    assert picture(5, {}, {1: 1}, state).digest() != picture(5, {}, {}, state).digest()


@settings(derandomize=True, max_examples=50)
@given(STATES, STATES)
def test_an_older_state_of_the_operators_changes_nothing(o1, o2):
    newer, older = picture(6, {}, {}, o1), picture(5, {}, {}, o2)
    reached = newer.with_changes(older.changes_since(newer))
    assert reached.operator_state == newer.operator_state
