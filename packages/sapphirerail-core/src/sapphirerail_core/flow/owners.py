"""Computes the owners of a flow: the two instances that keep its record.

Owners are ranked by rendezvous hashing, and are in two data centres if two are in
service.
"""

from collections import Counter, deque
from collections.abc import Iterable

import xxhash

from ..fleet.owners import N_SLOTS, OwnerTable, slot_of
from ..fleet.view import FleetView
from ..plan.model import Plan
from ..rendezvous import hash_key
from ..types import DataCentreId, InstanceId

__all__ = ["N_OWNERS", "OwnerChange", "OwnerHistory", "OwnerMap", "eligible_owners"]

N_OWNERS = 2
N_RANKED = 4
# Partitions between regions can last an hour.
_PARTITION_MEMORY_MS = 3_900_000


class OwnerMap:
    """Owners of flows under the current membership.

    Parameters
    ----------
    members : dict of DataCentreId to tuple of InstanceId
        Live instances of the data centres in service.
    """

    def __init__(self, members: dict[DataCentreId, tuple[InstanceId, ...]]) -> None:
        self.members: dict[DataCentreId, tuple[InstanceId, ...]] = {}
        self._tables: dict[DataCentreId, OwnerTable] = {}
        self._n_ranked_slots: Counter[DataCentreId] = Counter()
        self._cache: dict[int, tuple[InstanceId, ...]] = {}
        self.version = 0
        self.n_compared = 0
        """Upper bound of the instances compared so far to rank uncached owners."""
        self.update(members)

    def update(self, members: dict[DataCentreId, tuple[InstanceId, ...]]) -> None:
        """Set a new membership, at a cost in proportion to what changed."""
        for data_centre, names in members.items():
            table = self._tables.get(data_centre)
            if table is None or self._is_cheaper_to_rank(data_centre, names):
                self._tables[data_centre] = OwnerTable(names)
                self._n_ranked_slots[data_centre] = 0
            elif names != self.members.get(data_centre):
                table.update(names)
        for data_centre in [name for name in self._tables if name not in members]:
            del self._tables[data_centre]
            del self._n_ranked_slots[data_centre]
        self.members = dict(members)
        self.version += 1
        self._cache.clear()

    def owners(self, key: int) -> tuple[InstanceId, ...]:
        """Return the owners of a flow's key in order of rank."""
        slot = slot_of(key)
        owners = self._cache.get(slot)
        if owners is None:
            owners = self._compute(key)
            self._cache[slot] = owners
        return owners

    def ranked(self, key: int, data_centre: DataCentreId) -> tuple[InstanceId, ...]:
        """Return the highest-ranked instances of a data centre for a key."""
        table = self._tables.get(data_centre)
        if table is None:
            return ()
        self._n_ranked_slots[data_centre] += 1
        self.n_compared += len(self.members[data_centre])
        return table.owners(key, N_RANKED)

    def _is_cheaper_to_rank(
        self, data_centre: DataCentreId, names: tuple[InstanceId, ...]
    ) -> bool:
        """Return whether ranking the slots in use again costs less than an update.

        An update compares each added instance in all slots, and an instance that has
        just joined learns of many others in quick succession.
        """
        n_added = len(set(names) - set(self.members.get(data_centre, ())))
        return n_added * N_SLOTS > self._n_ranked_slots[data_centre] * len(names)

    def _compute(self, key: int) -> tuple[InstanceId, ...]:
        data_centres = ranked_data_centres(key, self.members)
        if len(data_centres) == 1:
            return self.ranked(key, data_centres[0])[:N_OWNERS]
        first_owners = (
            self.ranked(key, data_centre)[:1] for data_centre in data_centres[:N_OWNERS]
        )
        return tuple(owner for owners in first_owners for owner in owners)


class OwnerChange:
    """Compares the owners before and after a change of the membership.

    Parameters
    ----------
    before : dict of DataCentreId to tuple of InstanceId
        The membership that was replaced.
    after : OwnerMap
        The owners since the change; later changes are included.
    """

    def __init__(
        self, before: dict[DataCentreId, tuple[InstanceId, ...]], after: OwnerMap
    ) -> None:
        self._before = before
        self._after = after
        self._members = {
            data_centre: frozenset(names) for data_centre, names in before.items()
        }
        self._version = -1
        self._removed: dict[DataCentreId, list[InstanceId]] = {}
        self._removed_keys: list[int] = []
        self._added: set[InstanceId] = set()

    def may_affect(self, key: int) -> bool:
        """Return whether a flow's owners may have changed; cheaper than a ranking."""
        self._update_difference()
        if self._before.keys() != self._after.members.keys():
            return True
        owners = self._after.owners(key)
        if not owners:
            return False
        if not self._added.isdisjoint(owners):
            return True
        payload = slot_of(key).to_bytes(8, "little")
        digest = xxhash.xxh3_64_intdigest
        lowest = min(digest(payload, seed=hash_key(owner)) for owner in owners)
        return any(digest(payload, seed=seed) > lowest for seed in self._removed_keys)

    def previous_owners(self, key: int) -> tuple[InstanceId, ...]:
        """Return the owners of a flow's key before the change."""
        self._update_difference()
        data_centres = ranked_data_centres(key, self._before)
        n_each = N_OWNERS if len(data_centres) == 1 else 1
        owners: list[InstanceId] = []
        for data_centre in data_centres[:N_OWNERS]:
            owners += self._first(key, data_centre, n_each)
        return tuple(owners)

    def _update_difference(self) -> None:
        """Update the added and removed instances, later changes included."""
        if self._version == self._after.version:
            return
        self._version = self._after.version
        self._added.clear()
        for data_centre, names in self._before.items():
            present = set(self._after.members.get(data_centre, ()))
            self._removed[data_centre] = [name for name in names if name not in present]
            self._added |= present - self._members[data_centre]
        removed = (name for names in self._removed.values() for name in names)
        self._removed_keys = [hash_key(name) for name in removed]

    def _first(
        self, key: int, data_centre: DataCentreId, n_owners: int
    ) -> list[InstanceId]:
        """Return the instances that ranked highest in a data centre before the change.

        Instances that stayed keep their relative rank, so only the removed ones have
        to be ranked again.
        """
        members = self._members[data_centre]
        ranked = self._after.ranked(key, data_centre)
        stayed = [name for name in ranked if name in members]
        if len(stayed) < n_owners and len(ranked) == N_RANKED:
            return list(OwnerTable(self._before[data_centre]).owners(key, n_owners))
        return list(
            OwnerTable((*stayed, *self._removed[data_centre])).owners(key, n_owners)
        )


class OwnerHistory:
    """Current owners, and recent previous owners, which may still hold records.

    Parameters
    ----------
    grace_ms : int
        Time for which previous owners are queried too.
    """

    def __init__(self, grace_ms: int) -> None:
        self._grace_ms = grace_ms
        self._previous: deque[tuple[int, OwnerChange]] = deque(maxlen=4)
        self._data_centres_seen_ms: dict[DataCentreId, int] = {}
        self.current = OwnerMap({})

    def replace(
        self, members: dict[DataCentreId, tuple[InstanceId, ...]], now_ms: int
    ) -> OwnerChange | None:
        """Set the membership; return the change if there is one."""
        before = self.current.members
        if members == before:
            return None
        for data_centre in before:
            self._data_centres_seen_ms[data_centre] = now_ms
        self.current.update(members)
        change = OwnerChange(before, self.current)
        self._previous.appendleft((now_ms, change))
        return change

    @property
    def last_change(self) -> OwnerChange | None:
        """The latest change of the membership."""
        return self._previous[0][1] if self._previous else None

    def is_partitioned(self, plan: Plan, now_ms: int) -> bool:
        """Return whether a data centre in service recently became unreachable.

        Its instances may still serve flows that this instance does not know.
        """
        return any(
            data_centre not in self.current.members
            and now_ms - seen_ms < _PARTITION_MEMORY_MS
            and not plan.was_evacuated(data_centre)
            for data_centre, seen_ms in self._data_centres_seen_ms.items()
        )

    def path(self, key: int, now_ms: int) -> tuple[InstanceId, ...]:
        """Return the instances to ask for a flow, current owners first."""
        path = list(self.current.owners(key))
        alive = self.current.members.values()
        for replaced_ms, change in self._previous:
            if now_ms - replaced_ms > self._grace_ms:
                continue
            path.extend(
                name
                for name in change.previous_owners(key)
                if name not in path and any(name in names for names in alive)
            )
        return tuple(path)


def ranked_data_centres(
    key: int, data_centres: Iterable[DataCentreId]
) -> list[DataCentreId]:
    """Return data centres in order of preference for a key."""
    payload = slot_of(key).to_bytes(8, "little")
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        data_centres,
        key=lambda data_centre: digest(payload, seed=hash_key(data_centre)),
        reverse=True,
    )


def eligible_owners(
    fleet: FleetView, plan: Plan, excluded: InstanceId | None = None
) -> dict[DataCentreId, tuple[InstanceId, ...]]:
    """Return the instances that can be owners, by data centre.

    Parameters
    ----------
    fleet : FleetView
        Source of the live instances.
    plan : Plan
        Source of the evacuated data centres, whose instances are left out.
    excluded : InstanceId or None
        An instance that is about to stop, which is left out.
    """
    found: dict[DataCentreId, list[InstanceId]] = {}
    for name in fleet.live():
        data_centre = fleet.data_centre(name)
        if (
            name != excluded
            and data_centre is not None
            and not plan.was_evacuated(data_centre)
        ):
            found.setdefault(data_centre, []).append(name)
    return {data_centre: tuple(names) for data_centre, names in sorted(found.items())}
