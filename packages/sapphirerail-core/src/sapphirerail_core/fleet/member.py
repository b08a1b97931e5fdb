"""State of a member as detected by this instance."""

from dataclasses import dataclass, field

from ..types import DataCentreId, InstanceId, InstanceState, Revision
from .messages import MemberRecord

__all__ = ["GONE", "NEVER_MS", "Member"]

NEVER_MS = -(1 << 40)
"""Timestamp of an event that has not happened; earlier than any clock time."""

GONE = frozenset({InstanceState.DEAD, InstanceState.LEFT})
"""States in which an instance no longer owns anything."""


@dataclass(slots=True)
class Member:
    """Member of the fleet with its detected state.

    Parameters
    ----------
    record : MemberRecord
        Its latest incarnation and its addresses.
    known_ms : int
        Time at which this incarnation became known.
    since_ms : int
        Time of the last state change.
    state : InstanceState
        Detected state, regardless of the reachability of its data centre.
    contact_ms : int
        Time of this instance's last contact with it, directly or through a helper.
    suspected_by : dict of InstanceId to int
        Instances that suspect it, with the time of their last contact.
    suspected_ms : int
        Time of the first suspicion.
    revision : Revision
        Plan revision that it last reported as in force.
    """

    record: MemberRecord
    known_ms: int
    since_ms: int
    state: InstanceState = InstanceState.ALIVE
    contact_ms: int = NEVER_MS
    suspected_by: dict[InstanceId, int] = field(default_factory=dict)
    suspected_ms: int = 0
    revision: Revision = Revision(0)

    @property
    def instance(self) -> InstanceId:
        """Name of the instance."""
        return self.record.instance

    @property
    def data_centre(self) -> DataCentreId:
        """Data centre of the instance."""
        return self.record.data_centre

    @property
    def incarnation(self) -> int:
        """Latest known incarnation."""
        return self.record.incarnation

    @property
    def gone(self) -> bool:
        """Whether it has failed or left."""
        return self.state in GONE

    def last_contact_ms(self) -> int:
        """Return the latest known contact of any instance with it."""
        return max(self.contact_ms, *self.suspected_by.values(), NEVER_MS)
