import pytest

from sapphirerail_core.fleet.ring import Ring
from sapphirerail_core.rendezvous import hash_key

NAMES = [f"osu-{n}" for n in range(9)]
ORDER = sorted(NAMES, key=hash_key)


def _instances_at(*positions):
    return tuple(sorted(ORDER[position % len(ORDER)] for position in positions))


@pytest.mark.parametrize("position", range(9))
def test_neighbours_are_the_nearest_on_both_sides(position):
    found = Ring(NAMES).neighbours(ORDER[position], 2)
    assert found == _instances_at(
        position - 2, position - 1, position + 1, position + 2
    )


def test_neighbour_relation_is_symmetric():
    ring = Ring(NAMES)
    for name in NAMES:
        for other in ring.neighbours(name, 2):
            assert name in ring.neighbours(other, 2)


def test_skipped_neighbours_do_not_count():
    skipped = ORDER[1]
    found = Ring(NAMES).neighbours(ORDER[0], 1, lambda name: name == skipped)
    assert found == _instances_at(-1, 1, 2)


@pytest.mark.parametrize("n_names", [1, 2, 3, 4])
def test_small_rings_contain_each_neighbour_once(n_names):
    ring = Ring(NAMES[:n_names])
    others = tuple(sorted(NAMES[1:n_names]))
    assert ring.neighbours(NAMES[0], 2) == others


def test_instance_off_the_ring_has_neighbours():
    rest = [name for name in NAMES if name != ORDER[4]]
    assert Ring(rest).neighbours(ORDER[4], 1) == _instances_at(3, 5)
