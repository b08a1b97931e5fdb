"""Computes the two instances that keep the record of a flow."""

from collections import Counter, deque
from collections.abc import Iterable

import xxhash

from ..fleet.owners import N_SLOTS, OwnerTable, slot_of
from ..fleet.view import FleetView
from ..plan.model import Plan
from ..rendezvous import hash_key
from ..types import DataCentreId, InstanceId

__all__ = ["N_OWNERS", "OwnerChange", "OwnerHistory", "OwnerMap", "members_of"]

N_OWNERS = 2
N_RANKED = 4
_CUT_OFF_MS = 3_900_000  # regions lose each other for an hour now and then


class OwnerMap:
    """Owners of flows under the present membership.

    Parameters
    ----------
    members : dict of DataCentreId to tuple of InstanceId
        Live instances of the data centres that are in.
    """

    def __init__(self, members: dict[DataCentreId, tuple[InstanceId, ...]]) -> None:
        self.members: dict[DataCentreId, tuple[InstanceId, ...]] = {}
        self._tables: dict[DataCentreId, OwnerTable] = {}
        self._n_filled: Counter[DataCentreId] = Counter()
        self._cache: dict[int, tuple[InstanceId, ...]] = {}
        self.version = 0
        self.n_compared = 0
        """Instances compared so far, at most, to find owners that were not known."""
        self.update(members)

    def update(self, members: dict[DataCentreId, tuple[InstanceId, ...]]) -> None:
        """Take over a changed membership; costs what has changed."""
        for place, names in members.items():
            table = self._tables.get(place)
            if table is None or self._is_rather_new(place, names):
                self._tables[place] = OwnerTable(names)
                self._n_filled[place] = 0
            elif names != self.members.get(place):
                table.update(names)
        for place in [name for name in self._tables if name not in members]:
            del self._tables[place]
            del self._n_filled[place]
        self.members = dict(members)
        self.version += 1
        self._cache.clear()

    def of(self, key: int) -> tuple[InstanceId, ...]:
        """Return the owners of a flow's key, the first one first."""
        slot = slot_of(key)
        owners = self._cache.get(slot)
        if owners is None:
            owners = self._compute(key)
            self._cache[slot] = owners
        return owners

    def ranked(self, key: int, place: DataCentreId) -> tuple[InstanceId, ...]:
        """Return the first instances of a data centre for a key."""
        table = self._tables.get(place)
        if table is None:
            return ()
        self._n_filled[place] += 1
        self.n_compared += len(self.members[place])
        return table.owners(key, N_RANKED)

    def _is_rather_new(
        self, place: DataCentreId, names: tuple[InstanceId, ...]
    ) -> bool:
        """Return whether ranking what is in use anew costs less than an update.

        A newcomer learns of the others in quick succession, and an update compares
        each added one in all slots.
        """
        n_added = len(set(names) - set(self.members.get(place, ())))
        return n_added * N_SLOTS > self._n_filled[place] * len(names)

    def _compute(self, key: int) -> tuple[InstanceId, ...]:
        places = ranked_places(key, self.members)
        if len(places) == 1:
            return self.ranked(key, places[0])[:N_OWNERS]
        firsts = (self.ranked(key, place)[:1] for place in places[:N_OWNERS])
        return tuple(owner for owners in firsts for owner in owners)


class OwnerChange:
    """Gives the owners before a change of the membership.

    Parameters
    ----------
    before : dict of DataCentreId to tuple of InstanceId
        The membership that was replaced.
    after : OwnerMap
        The owners since.
    """

    def __init__(
        self, before: dict[DataCentreId, tuple[InstanceId, ...]], after: OwnerMap
    ) -> None:
        self._before = before
        self._after = after
        self._members = {place: frozenset(names) for place, names in before.items()}
        self._version = -1
        self._lost: dict[DataCentreId, list[InstanceId]] = {}
        self._lost_keys: list[int] = []
        self._added: set[InstanceId] = set()

    def concerns(self, key: int) -> bool:
        """Return whether a flow's owners may have changed; a quick test."""
        self._compare()
        if self._before.keys() != self._after.members.keys():
            return True
        owners = self._after.of(key)
        if not owners:
            return False
        if not self._added.isdisjoint(owners):
            return True
        payload = slot_of(key).to_bytes(8, "little")
        digest = xxhash.xxh3_64_intdigest
        lowest = min(digest(payload, seed=hash_key(owner)) for owner in owners)
        return any(digest(payload, seed=seed) > lowest for seed in self._lost_keys)

    def of(self, key: int) -> tuple[InstanceId, ...]:
        """Return the owners of a flow's key before the change."""
        self._compare()
        places = ranked_places(key, self._before)
        n_each = N_OWNERS if len(places) == 1 else 1
        owners: list[InstanceId] = []
        for place in places[:N_OWNERS]:
            owners += self._first(key, place, n_each)
        return tuple(owners)

    def _compare(self) -> None:
        """Note who has come and gone, in later changes too."""
        if self._version == self._after.version:
            return
        self._version = self._after.version
        self._added.clear()
        for place, names in self._before.items():
            present = set(self._after.members.get(place, ()))
            self._lost[place] = [name for name in names if name not in present]
            self._added |= present - self._members[place]
        lost = (name for names in self._lost.values() for name in names)
        self._lost_keys = [hash_key(name) for name in lost]

    def _first(self, key: int, place: DataCentreId, n_owners: int) -> list[InstanceId]:
        """Return who ranked first in a data centre.

        Those that stayed rank now as they did then, so that only the lost ones
        are to be ranked again.
        """
        members = self._members[place]
        ranked = self._after.ranked(key, place)
        stayed = [name for name in ranked if name in members]
        if len(stayed) < n_owners and len(ranked) == N_RANKED:
            return list(OwnerTable(self._before[place]).owners(key, n_owners))
        return list(OwnerTable((*stayed, *self._lost[place])).owners(key, n_owners))


class OwnerHistory:
    """The owners now and those of the last while, which may hold records still.

    Parameters
    ----------
    grace_ms : int
        For how long previous owners are asked too.
    """

    def __init__(self, grace_ms: int) -> None:
        self._grace_ms = grace_ms
        self._previous: deque[tuple[int, OwnerChange]] = deque(maxlen=4)
        self._places_seen_ms: dict[DataCentreId, int] = {}
        self.now = OwnerMap({})

    def replace(
        self, members: dict[DataCentreId, tuple[InstanceId, ...]], now_ms: int
    ) -> OwnerChange | None:
        """Set the membership; return the change if there is one."""
        before = self.now.members
        if members == before:
            return None
        for place in before:
            self._places_seen_ms[place] = now_ms
        self.now.update(members)
        change = OwnerChange(before, self.now)
        self._previous.appendleft((now_ms, change))
        return change

    @property
    def last_change(self) -> OwnerChange | None:
        """The latest change of the membership."""
        return self._previous[0][1] if self._previous else None

    def is_cut_off(self, plan: Plan, now_ms: int) -> bool:
        """Return whether a data centre that is in was lost from sight lately.

        Its instances may still serve flows that this one knows nothing of.
        """
        return any(
            place not in self.now.members
            and now_ms - seen_ms < _CUT_OFF_MS
            and not plan.was_taken_out(place)
            for place, seen_ms in self._places_seen_ms.items()
        )

    def path(self, key: int, now_ms: int) -> tuple[InstanceId, ...]:
        """Return whom to ask for a flow, present owners first."""
        path = list(self.now.of(key))
        alive = self.now.members.values()
        for replaced_ms, change in self._previous:
            if now_ms - replaced_ms > self._grace_ms:
                continue
            path.extend(
                name
                for name in change.of(key)
                if name not in path and any(name in names for names in alive)
            )
        return tuple(path)


def ranked_places(key: int, places: Iterable[DataCentreId]) -> list[DataCentreId]:
    """Return data centres in their order of preference for a key."""
    payload = slot_of(key).to_bytes(8, "little")
    digest = xxhash.xxh3_64_intdigest
    return sorted(
        places, key=lambda place: digest(payload, seed=hash_key(place)), reverse=True
    )


def members_of(
    fleet: FleetView, plan: Plan, without: InstanceId | None = None
) -> dict[DataCentreId, tuple[InstanceId, ...]]:
    """Return the possible owners of each data centre.

    Parameters
    ----------
    fleet : FleetView
        Gives the live instances.
    plan : Plan
        Gives the data centres that are out.
    without : InstanceId or None
        An instance that is leaving.
    """
    found: dict[DataCentreId, list[InstanceId]] = {}
    for name in fleet.live():
        place = fleet.data_centre(name)
        if name != without and place is not None and not plan.was_taken_out(place):
            found.setdefault(place, []).append(name)
    return {place: tuple(names) for place, names in sorted(found.items())}
