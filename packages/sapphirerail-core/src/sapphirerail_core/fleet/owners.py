"""Owners of keys by rendezvous hashing over slots, cached until members change."""

import heapq
from array import array
from collections.abc import Iterable

import xxhash

from .. import rendezvous
from ..types import InstanceId

__all__ = ["N_SLOTS", "OwnerTable", "owner_digest", "slot_of", "top_owners"]

N_SLOTS = 16384
N_RANKED = 4
"""Ranked instances cached per slot; longer rankings are computed on each call."""
UNRANKED = 0xFFFF
KEY_MASK = (1 << 64) - 1


def slot_of(key: int) -> int:
    """Return the slot of a key; all keys of a slot have the same owners."""
    packed = (key & KEY_MASK).to_bytes(8, "little")
    digest: int = xxhash.xxh3_64_intdigest(packed)
    return digest % N_SLOTS


def owner_digest(key: int, instance: InstanceId) -> int:
    """Return the rank value of an instance for a key; the highest value owns it."""
    packed = slot_of(key).to_bytes(8, "little")
    seed = rendezvous.hash_key(instance)
    value: int = xxhash.xxh3_64_intdigest(packed, seed=seed)
    return value


def top_owners(
    key: int, instances: Iterable[InstanceId], n_first: int
) -> tuple[InstanceId, ...]:
    """Return the given instances that rank first for a key."""
    scored = [(owner_digest(key, name), name) for name in instances]
    return tuple(name for _, name in heapq.nlargest(n_first, scored))


class OwnerTable:
    """Ranks the live instances of one data centre for each slot.

    The order is that of `rendezvous.rank` for the slot number. With equal weights it
    equals the order of the digests, so no logarithms are computed.

    Parameters
    ----------
    instances : tuple of InstanceId
        The live instances.
    """

    def __init__(self, instances: tuple[InstanceId, ...]) -> None:
        self._names: list[InstanceId | None] = list(instances)
        self._node_keys = [rendezvous.hash_key(name) for name in instances]
        self._numbers = {name: number for number, name in enumerate(instances)}
        self._ranked = array("H", [UNRANKED]) * (N_SLOTS * N_RANKED)
        # Digest that a new instance has to exceed to be ranked in a slot.
        self._lowest_digests = array("Q", [0]) * N_SLOTS

    def update(self, instances: tuple[InstanceId, ...]) -> None:
        """Update the ranking to a changed set of live instances."""
        names = set(instances)
        for name in [n for n in self._numbers if n not in names]:
            self._remove(name)
        for name in instances:
            if name not in self._numbers:
                self._add(name)

    def owners(self, key: int, n_owners: int) -> tuple[InstanceId, ...]:
        """Return the instances that rank first for a key."""
        slot = slot_of(key)
        if n_owners > N_RANKED:
            return self._names_of([number for _, number in self._rank(slot, n_owners)])
        base = slot * N_RANKED
        if self._ranked[base] == UNRANKED:
            self._fill(slot)
        return self._names_of(self._ranked[base : base + n_owners])

    def _names_of(self, numbers: "array[int] | list[int]") -> tuple[InstanceId, ...]:
        found = [self._names[number] for number in numbers if number != UNRANKED]
        return tuple(name for name in found if name is not None)

    def _fill(self, slot: int) -> None:
        ranked = self._rank(slot, N_RANKED)
        base = slot * N_RANKED
        for rank in range(N_RANKED):
            is_taken = rank < len(ranked)
            self._ranked[base + rank] = ranked[rank][1] if is_taken else UNRANKED
        self._lowest_digests[slot] = ranked[-1][0] if len(ranked) == N_RANKED else 0

    def _rank(self, slot: int, n_ranked: int) -> list[tuple[int, int]]:
        packed = slot.to_bytes(8, "little")
        digest = xxhash.xxh3_64_intdigest
        scored = [
            (digest(packed, seed=self._node_keys[number]), number)
            for number in self._numbers.values()
        ]
        return heapq.nlargest(n_ranked, scored)

    def _remove(self, name: InstanceId) -> None:
        number = self._numbers.pop(name)
        self._names[number] = None
        for position, ranked in enumerate(self._ranked):
            if ranked == number:
                self._ranked[position - position % N_RANKED] = UNRANKED

    def _add(self, name: InstanceId) -> None:
        node_key = rendezvous.hash_key(name)
        number = self._free_number()
        self._names[number] = name
        self._node_keys[number] = node_key
        self._numbers[name] = number
        for slot in range(N_SLOTS):
            packed = slot.to_bytes(8, "little")
            if (
                xxhash.xxh3_64_intdigest(packed, seed=node_key)
                > self._lowest_digests[slot]
            ):
                self._ranked[slot * N_RANKED] = UNRANKED

    def _free_number(self) -> int:
        if len(self._numbers) < len(self._names):
            return self._names.index(None)
        self._names.append(None)
        self._node_keys.append(0)
        return len(self._names) - 1
