"""A membership whose views lag, with the guarantees that leases give."""

from sapphirerail_core.fleet.view import FixedFleet
from sapphirerail_core.types import DataCentreId, InstanceId, InstanceState

__all__ = ["LEASE_MS", "LaggingFleet"]

LEASE_MS = 1_000


class LaggingFleet(FixedFleet):
    """One instance's view; the world renews its lease and marks others dead."""

    def __init__(
        self, self_id: InstanceId, members: dict[InstanceId, DataCentreId]
    ) -> None:
        super().__init__(self_id, members)
        self.places = dict(members)
        self.valid_from_ms: dict[InstanceId, int] = {}
        self.left: set[InstanceId] = set()
        self.lease_until_ms = LEASE_MS

    def state(self, instance: InstanceId) -> InstanceState:
        """Return what this instance believes of another one."""
        if instance in self.left:
            return InstanceState.LEFT
        return super().state(instance)

    def data_centre(self, instance: InstanceId) -> DataCentreId | None:
        """Return where a known instance stands, dead ones included."""
        return self.places.get(instance)

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether the lease was renewed in time."""
        return now_ms < self.lease_until_ms

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return when a dead instance's lease has surely lapsed."""
        return self.valid_from_ms.get(instance, 0)

    def add(self, instance: InstanceId, place: DataCentreId) -> None:
        """Learn that an instance is alive."""
        self.members[instance] = place
        self.places[instance] = place
        self.left.discard(instance)

    def mark(self, instance: InstanceId, state: InstanceState, valid_ms: int) -> None:
        """Learn that an instance is dead or has left."""
        self.members.pop(instance, None)
        self.valid_from_ms[instance] = valid_ms
        if state is InstanceState.LEFT:
            self.left.add(instance)
