"""Owners of keys by rendezvous hashing over slots, kept until members change."""

import heapq

import xxhash

from .. import rendezvous
from ..types import InstanceId

__all__ = ["N_SLOTS", "OwnerTable", "slot_of"]

N_SLOTS = 16384
N_RANKED = 4
"""Ranked instances kept for a slot; longer rankings are computed each time."""


def slot_of(key: int) -> int:
    """Return the slot of a key; keys of a slot have the same owners."""
    digest: int = xxhash.xxh3_64_intdigest(
        (key & 0xFFFFFFFFFFFFFFFF).to_bytes(8, "little")
    )
    return digest % N_SLOTS


class OwnerTable:
    """Ranks the live instances of one data centre for each slot.

    Parameters
    ----------
    instances : tuple of InstanceId
        The live instances.
    """

    def __init__(self, instances: tuple[InstanceId, ...]) -> None:
        self._keys = {name: rendezvous.hash_key(name) for name in instances}
        self._ranked: dict[int, list[tuple[int, InstanceId]]] = {}

    def update(self, instances: tuple[InstanceId, ...]) -> None:
        """Take over a changed set of live instances."""
        names = set(instances)
        for name in [n for n in self._keys if n not in names]:
            self._remove(name)
        for name in instances:
            if name not in self._keys:
                self._add(name)

    def digest(self, key: int, instance: InstanceId) -> int:
        """Return the rank value of any instance for a key; the highest owns it."""
        payload = slot_of(key).to_bytes(8, "little")
        seed = rendezvous.hash_key(instance)
        value: int = xxhash.xxh3_64_intdigest(payload, seed=seed)
        return value

    def owners(self, key: int, n_owners: int) -> tuple[InstanceId, ...]:
        """Return the instances that rank first for a key."""
        slot = slot_of(key)
        if n_owners > N_RANKED:
            return tuple(name for _, name in self._rank(slot, n_owners))
        ranked = self._ranked.get(slot)
        if ranked is None:
            ranked = self._rank(slot, N_RANKED)
            self._ranked[slot] = ranked
        return tuple(name for _, name in ranked[:n_owners])

    def _rank(self, slot: int, n_ranked: int) -> list[tuple[int, InstanceId]]:
        # With equal weights the digests rank as the scores do, at a fifth of
        # the cost.
        digest = xxhash.xxh3_64_intdigest
        payload = slot.to_bytes(8, "little")
        scored = [
            (-digest(payload, seed=node_key), name)
            for name, node_key in self._keys.items()
        ]
        return heapq.nsmallest(n_ranked, scored)

    def _remove(self, name: InstanceId) -> None:
        del self._keys[name]
        stale = [
            slot
            for slot, ranked in self._ranked.items()
            if any(name == ranked_name for _, ranked_name in ranked)
        ]
        for slot in stale:
            del self._ranked[slot]

    def _add(self, name: InstanceId) -> None:
        node_key = rendezvous.hash_key(name)
        self._keys[name] = node_key
        for slot, ranked in self._ranked.items():
            digest = xxhash.xxh3_64_intdigest(slot.to_bytes(8, "little"), seed=node_key)
            scored = (-digest, name)
            if len(ranked) < N_RANKED or scored < ranked[-1]:
                ranked.append(scored)
                ranked.sort()
                del ranked[N_RANKED:]
