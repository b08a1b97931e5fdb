"""What operators are shown of the membership."""

import msgspec

from ..types import DataCentreId, InstanceId, InstanceState, Revision

__all__ = ["FleetStatus", "MemberStatus"]


class MemberStatus(msgspec.Struct, frozen=True):
    """One instance as the asked one believes it to be.

    Parameters
    ----------
    instance, data_centre
        Who and where.
    state : InstanceState
        What is believed of it.
    since_ms : int
        Milliseconds since its state last changed.
    incarnation : int
        Its newest known incarnation.
    revision : Revision
        Plan in force there, as last told by itself; 0 if it never told.
    suspected_by : list of InstanceId
        Who got no answer from it.
    """

    instance: InstanceId
    data_centre: DataCentreId
    state: InstanceState
    since_ms: int
    incarnation: int
    revision: Revision
    suspected_by: list[InstanceId]


class FleetStatus(msgspec.Struct, frozen=True):
    """The membership of one instance.

    Parameters
    ----------
    instance, data_centre
        The instance that was asked.
    lease_held : bool
        Whether it may use exclusive roles.
    counted_lost : list of InstanceId
        Lost instances of its data centre that still count for a majority.
    unreachable : dict of DataCentreId to int
        Milliseconds for which a data centre has been unreachable.
    probing : list of InstanceId
        Neighbours that are silent and being probed.
    list_age_ms : int or None
        Age of the platform's list; None if it never came.
    members : list of MemberStatus
        All known instances, sorted.
    """

    instance: InstanceId
    data_centre: DataCentreId
    lease_held: bool
    counted_lost: list[InstanceId]
    unreachable: dict[DataCentreId, int]
    probing: list[InstanceId]
    list_age_ms: int | None
    members: list[MemberStatus]
