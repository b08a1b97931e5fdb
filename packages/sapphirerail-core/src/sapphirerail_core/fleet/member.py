"""What one instance believes of another."""

from dataclasses import dataclass, field

from ..types import DataCentreId, InstanceId, InstanceState, Revision
from .messages import MemberRecord

__all__ = ["GONE", "NEVER_MS", "Member"]

NEVER_MS = -(1 << 40)
"""Time of what has not happened, before any time of the clock."""

GONE = frozenset({InstanceState.DEAD, InstanceState.LEFT})
"""States of an instance that owns nothing any more."""


@dataclass(slots=True)
class Member:
    """An instance as this instance believes it to be.

    Parameters
    ----------
    record : MemberRecord
        Its newest incarnation and its addresses.
    known_ms : int
        When this incarnation became known.
    since_ms : int
        When its state last changed.
    state : InstanceState
        What is believed of it, its data centre's reachability aside.
    heard_ms : int
        When this instance last had a sign of life of it, itself or by a helper.
    accusers : dict of InstanceId to int
        Who got no answer from it, and when each of them last heard of it.
    accused_ms : int
        When the first accusation arrived.
    revision : Revision
        Plan in force there, as last told by itself.
    """

    record: MemberRecord
    known_ms: int
    since_ms: int
    state: InstanceState = InstanceState.ALIVE
    heard_ms: int = NEVER_MS
    accusers: dict[InstanceId, int] = field(default_factory=dict)
    accused_ms: int = 0
    revision: Revision = Revision(0)

    @property
    def instance(self) -> InstanceId:
        """Its name."""
        return self.record.instance

    @property
    def data_centre(self) -> DataCentreId:
        """Where it stands."""
        return self.record.data_centre

    @property
    def incarnation(self) -> int:
        """Its newest known incarnation."""
        return self.record.incarnation

    @property
    def gone(self) -> bool:
        """Whether it is dead or left."""
        return self.state in GONE

    def last_heard_ms(self) -> int:
        """Return the latest time at which anyone is known to have heard of it."""
        return max(self.heard_ms, *self.accusers.values(), NEVER_MS)
