"""Computes the two instances that keep the record of a flow."""

from collections import deque

import xxhash

from ..fleet.owners import OwnerTable, slot_of
from ..fleet.view import FleetView
from ..plan.model import Plan
from ..rendezvous import hash_key
from ..types import DataCentreId, DataCentreState, InstanceId

__all__ = ["N_OWNERS", "OwnerMap", "OwnerHistory"]

N_OWNERS = 2
_CUT_OFF_MS = 3_900_000  # regions lose each other for an hour now and then


class OwnerMap:
    """Owners of flows under one membership; never changes.

    Parameters
    ----------
    members : dict of DataCentreId to tuple of InstanceId
        Live instances of the data centres that are in.
    """

    def __init__(self, members: dict[DataCentreId, tuple[InstanceId, ...]]) -> None:
        self.members = members
        self._places = [(hash_key(place), place) for place in members]
        self._tables = {place: OwnerTable(names) for place, names in members.items()}
        self._cache: dict[int, tuple[InstanceId, ...]] = {}

    @classmethod
    def from_fleet(
        cls, fleet: FleetView, plan: Plan, without: InstanceId | None = None
    ) -> "OwnerMap":
        """Return the owners under the present membership.

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
            if name != without and place is not None and not _is_out(plan, place):
                found.setdefault(place, []).append(name)
        return cls({place: tuple(names) for place, names in found.items()})

    def of(self, key: int) -> tuple[InstanceId, ...]:
        """Return the owners of a flow's key, the first one first."""
        slot = slot_of(key)
        owners = self._cache.get(slot)
        if owners is None:
            owners = self._compute(key, slot.to_bytes(8, "little"))
            self._cache[slot] = owners
        return owners

    def _compute(self, key: int, slot: bytes) -> tuple[InstanceId, ...]:
        digest = xxhash.xxh3_64_intdigest
        scores = [(digest(slot, seed=seed), place) for seed, place in self._places]
        places = [place for _, place in sorted(scores, reverse=True)]
        if len(places) == 1:
            return self._tables[places[0]].owners(key, N_OWNERS)
        first = (self._tables[place].owners(key, 1) for place in places[:N_OWNERS])
        return tuple(owner for owners in first for owner in owners)


class OwnerHistory:
    """The owners now and those of the last while, which may hold records still.

    Parameters
    ----------
    grace_ms : int
        For how long previous owners are asked too.
    """

    def __init__(self, grace_ms: int) -> None:
        self._grace_ms = grace_ms
        self._previous: deque[tuple[int, OwnerMap]] = deque(maxlen=4)
        self._places_seen_ms: dict[DataCentreId, int] = {}
        self.now = OwnerMap({})

    def replace(self, owners: OwnerMap, now_ms: int) -> OwnerMap | None:
        """Set the owners; return the previous ones if they differ."""
        if owners.members == self.now.members:
            return None
        replaced = self.now
        for place in replaced.members:
            self._places_seen_ms[place] = now_ms
        self._previous.appendleft((now_ms, replaced))
        self.now = owners
        return replaced

    def is_cut_off(self, plan: Plan, now_ms: int) -> bool:
        """Return whether a data centre that is in was lost from sight lately.

        Its instances may still serve flows that this one knows nothing of.
        """
        return any(
            place not in self.now.members
            and now_ms - seen_ms < _CUT_OFF_MS
            and not _is_out(plan, place)
            for place, seen_ms in self._places_seen_ms.items()
        )

    def path(self, key: int, now_ms: int) -> tuple[InstanceId, ...]:
        """Return whom to ask for a flow, present owners first."""
        path = list(self.now.of(key))
        alive = self.now.members.values()
        for replaced_ms, owners in self._previous:
            if now_ms - replaced_ms > self._grace_ms or not owners.members:
                continue
            path.extend(
                name
                for name in owners.of(key)
                if name not in path and any(name in names for names in alive)
            )
        return tuple(path)


def _is_out(plan: Plan, data_centre: DataCentreId) -> bool:
    known = plan.data_centres.get(data_centre)
    return known is not None and known.state is DataCentreState.OUT
