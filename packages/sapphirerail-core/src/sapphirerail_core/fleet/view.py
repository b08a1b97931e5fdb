"""What the other aggregates may ask of the fleet."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from .. import rendezvous
from ..types import DataCentreId, InstanceId, InstanceState

__all__ = ["FixedFleet", "FleetView"]


class FleetView(Protocol):
    """Read access to the membership, as this instance believes it."""

    @property
    def self_id(self) -> InstanceId:
        """The instance that asks."""
        ...

    @property
    def self_data_centre(self) -> DataCentreId:
        """The data centre of the instance that asks."""
        ...

    def live(self, data_centre: DataCentreId | None = None) -> tuple[InstanceId, ...]:
        """Return the instances believed alive or only suspected, sorted."""
        ...

    def state(self, instance: InstanceId) -> InstanceState:
        """Return what is believed of an instance; DEAD if it is unknown."""
        ...

    def data_centre(self, instance: InstanceId) -> DataCentreId | None:
        """Return where an instance stands, or None if it is unknown."""
        ...

    def owners(
        self, key: int, n_owners: int, data_centre: DataCentreId
    ) -> tuple[InstanceId, ...]:
        """Return the owners of a key among the live instances of a data centre."""
        ...

    def first_of(
        self, key: int, instances: Iterable[InstanceId], n_first: int
    ) -> tuple[InstanceId, ...]:
        """Return those of any instances that would be a key's first owners."""
        ...

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether exclusive decisions of this instance are still valid.

        An instance that was paused, or that its peers no longer hear, does not
        hold the lease and must not use an exclusive role.
        """
        ...

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return when roles taken over from a lost instance may be used.

        Parameters
        ----------
        instance : InstanceId
            The previous holder.

        Returns
        -------
        int
            Time in milliseconds after which its lease has surely lapsed.
        """
        ...


class FixedFleet:
    """A membership that only changes by assignment; for tests and tools.

    Parameters
    ----------
    self_id : InstanceId
        The instance that asks.
    members : mapping of InstanceId to DataCentreId
        All live instances, the asking one included.
    """

    def __init__(
        self, self_id: InstanceId, members: Mapping[InstanceId, DataCentreId]
    ) -> None:
        self.self_id = self_id
        self.members = dict(members)
        self.lease_held = True

    @property
    def self_data_centre(self) -> DataCentreId:
        """The data centre of the instance that asks."""
        return self.members[self.self_id]

    def live(self, data_centre: DataCentreId | None = None) -> tuple[InstanceId, ...]:
        """Return the members, of one data centre or of all, sorted."""
        return tuple(
            sorted(
                name
                for name, place in self.members.items()
                if data_centre is None or place == data_centre
            )
        )

    def state(self, instance: InstanceId) -> InstanceState:
        """Return ALIVE for members and DEAD for all others."""
        if instance in self.members:
            return InstanceState.ALIVE
        return InstanceState.DEAD

    def data_centre(self, instance: InstanceId) -> DataCentreId | None:
        """Return where a member stands."""
        return self.members.get(instance)

    def owners(
        self, key: int, n_owners: int, data_centre: DataCentreId
    ) -> tuple[InstanceId, ...]:
        """Return the members that rank first for a key."""
        return self.first_of(key, self.live(data_centre), n_owners)

    def first_of(
        self, key: int, instances: Iterable[InstanceId], n_first: int
    ) -> tuple[InstanceId, ...]:
        """Return the instances that rank first for a key."""
        names = rendezvous.top(key, tuple(instances), n_first)
        return tuple(InstanceId(name) for name in names)

    def holds_lease(self, now_ms: int) -> bool:
        """Return the assigned `lease_held`."""
        return self.lease_held

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return 0: a fixed membership has no lapsing leases."""
        return 0
