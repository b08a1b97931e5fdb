"""Simulated membership with delayed views and the guarantees of leases."""

from sapphirerail_core.fleet.view import FixedFleet
from sapphirerail_core.types import DataCentreId, InstanceId, InstanceState

__all__ = ["LEASE_MS", "LaggingFleet"]

LEASE_MS = 1_000


class LaggingFleet(FixedFleet):
    """Membership view of one instance; the simulation updates its lease and members."""

    def __init__(
        self, self_id: InstanceId, members: dict[InstanceId, DataCentreId]
    ) -> None:
        super().__init__(self_id, members)
        self.data_centres = dict(members)
        self.roles_valid_from_ms: dict[InstanceId, int] = {}
        self.left: set[InstanceId] = set()
        self.lease_until_ms = LEASE_MS

    def state(self, instance: InstanceId) -> InstanceState:
        """Return the state of another instance in this view."""
        if instance in self.left:
            return InstanceState.LEFT
        return super().state(instance)

    def data_centre(self, instance: InstanceId) -> DataCentreId | None:
        """Return the data centre of a known instance, including failed ones."""
        return self.data_centres.get(instance)

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether the lease has not expired."""
        return now_ms < self.lease_until_ms

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return the time at which a failed instance's lease has certainly expired."""
        return self.roles_valid_from_ms.get(instance, 0)

    def add(self, instance: InstanceId, data_centre: DataCentreId) -> None:
        """Add a live instance."""
        self.members[instance] = data_centre
        self.data_centres[instance] = data_centre
        self.left.discard(instance)

    def remove(
        self, instance: InstanceId, state: InstanceState, roles_from_ms: int
    ) -> None:
        """Remove an instance that has failed or left."""
        self.members.pop(instance, None)
        self.roles_valid_from_ms[instance] = roles_from_ms
        if state is InstanceState.LEFT:
            self.left.add(instance)
