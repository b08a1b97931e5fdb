import pytest

from sapphirerail_core import rendezvous
from sapphirerail_core.fleet.owners import OwnerTable, slot_of

NAMES = tuple(f"osu-{n}" for n in range(12))
KEYS = range(400)


def _answers(table, n_owners=2):
    return [table.owners(key, n_owners) for key in KEYS]


def test_ranking_is_rendezvous_over_slots():
    table = OwnerTable(NAMES)
    for key in KEYS:
        assert table.owners(key, 6) == rendezvous.top(slot_of(key), NAMES, 6)


@pytest.mark.parametrize("n_owners", [1, 2, 4])
def test_updates_equal_a_fresh_table(n_owners):
    table = OwnerTable(NAMES)
    for members in (NAMES[1:], NAMES[1:9], NAMES, NAMES[:2], NAMES[:1], (), NAMES[3:]):
        _answers(table, n_owners)
        table.update(members)
        assert _answers(table, n_owners) == _answers(OwnerTable(members), n_owners)


def test_only_the_keys_of_a_lost_instance_move():
    table = OwnerTable(NAMES)
    before = _answers(table, 1)
    table.update(NAMES[:-1])
    after = _answers(table, 1)
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {(NAMES[-1],)}
