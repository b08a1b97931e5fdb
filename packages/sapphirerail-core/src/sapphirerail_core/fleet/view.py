"""Read access to the fleet membership for the other subpackages."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from .. import rendezvous
from ..types import DataCentreId, InstanceId, InstanceState

__all__ = ["FixedFleet", "FleetView"]


class FleetView(Protocol):
    """Read access to the membership as detected by this instance."""

    @property
    def self_id(self) -> InstanceId:
        """Name of this instance."""
        ...

    @property
    def self_data_centre(self) -> DataCentreId:
        """Data centre of this instance."""
        ...

    def live(self, data_centre: DataCentreId | None = None) -> tuple[InstanceId, ...]:
        """Return the reachable instances that are alive or suspected, sorted."""
        ...

    def state(self, instance: InstanceId) -> InstanceState:
        """Return the detected state of an instance; DEAD if it is unknown."""
        ...

    def data_centre(self, instance: InstanceId) -> DataCentreId | None:
        """Return the data centre of an instance, or None if it is unknown."""
        ...

    def owners(
        self, key: int, n_owners: int, data_centre: DataCentreId
    ) -> tuple[InstanceId, ...]:
        """Return the owners of a key among the live instances of a data centre."""
        ...

    def top_owners(
        self, key: int, instances: Iterable[InstanceId], n_first: int
    ) -> tuple[InstanceId, ...]:
        """Return the given instances that rank first as owners of a key."""
        ...

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether this instance may make exclusive decisions.

        An instance that was paused, or that has lost contact with its peers, does not
        hold the lease and must not use an exclusive role.
        """
        ...

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return the time from which roles of a failed instance may be used.

        Parameters
        ----------
        instance : InstanceId
            The previous holder.

        Returns
        -------
        int
            Time in milliseconds after which its lease has certainly expired.
        """
        ...


class FixedFleet:
    """Membership that changes only by assignment, for tests and tools.

    Parameters
    ----------
    self_id : InstanceId
        Name of this instance.
    members : mapping of InstanceId to DataCentreId
        All live instances, including this one.
    """

    def __init__(
        self, self_id: InstanceId, members: Mapping[InstanceId, DataCentreId]
    ) -> None:
        self.self_id = self_id
        self.members = dict(members)
        self.lease_held = True

    @property
    def self_data_centre(self) -> DataCentreId:
        """Data centre of this instance."""
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
        """Return the data centre of a member."""
        return self.members.get(instance)

    def owners(
        self, key: int, n_owners: int, data_centre: DataCentreId
    ) -> tuple[InstanceId, ...]:
        """Return the members that rank first for a key."""
        return self.top_owners(key, self.live(data_centre), n_owners)

    def top_owners(
        self, key: int, instances: Iterable[InstanceId], n_first: int
    ) -> tuple[InstanceId, ...]:
        """Return the instances that rank first for a key."""
        names = rendezvous.top(key, tuple(instances), n_first)
        return tuple(InstanceId(name) for name in names)

    def holds_lease(self, now_ms: int) -> bool:
        """Return the assigned `lease_held`."""
        return self.lease_held

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return 0: leases do not expire in a fixed membership."""
        return 0
