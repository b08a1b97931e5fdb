import pytest

from sapphirerail_core import rendezvous
from sapphirerail_core.fleet.owners import OwnerTable, slot_of

NAMES = tuple(f"osu-{n}" for n in range(12))
KEYS = range(400)


def _all_owners(table, n_owners=2):
    return [table.owners(key, n_owners) for key in KEYS]


def test_ranking_is_rendezvous_hashing_over_slots():
    table = OwnerTable(NAMES)
    for key in KEYS:
        assert table.owners(key, 6) == rendezvous.top(slot_of(key), NAMES, 6)


@pytest.mark.parametrize("n_owners", [1, 2, 4])
def test_updated_table_equals_a_new_table(n_owners):
    table = OwnerTable(NAMES)
    for members in (NAMES[1:], NAMES[1:9], NAMES, NAMES[:2], NAMES[:1], (), NAMES[3:]):
        _all_owners(table, n_owners)
        table.update(members)
        assert _all_owners(table, n_owners) == _all_owners(
            OwnerTable(members), n_owners
        )


def test_only_the_keys_of_a_failed_instance_move():
    table = OwnerTable(NAMES)
    before = _all_owners(table, 1)
    table.update(NAMES[:-1])
    after = _all_owners(table, 1)
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {(NAMES[-1],)}
