"""Membership status for operators."""

import msgspec

from ..types import DataCentreId, InstanceId, InstanceState, Revision

__all__ = ["FleetStatus", "MemberStatus"]


class MemberStatus(msgspec.Struct, frozen=True):
    """Status of one member as detected by the queried instance.

    Parameters
    ----------
    instance, data_centre
        Name and data centre of the member.
    state : InstanceState
        Detected state.
    since_ms : int
        Milliseconds since the last state change.
    incarnation : int
        Latest known incarnation.
    revision : Revision
        Plan revision that it last reported; 0 if it never reported one.
    suspected_by : list of InstanceId
        Instances that suspect it.
    """

    instance: InstanceId
    data_centre: DataCentreId
    state: InstanceState
    since_ms: int
    incarnation: int
    revision: Revision
    suspected_by: list[InstanceId]


class FleetStatus(msgspec.Struct, frozen=True):
    """Membership status of one instance.

    Parameters
    ----------
    instance, data_centre
        Name and data centre of the queried instance.
    lease_held : bool
        Whether it may use exclusive roles.
    counted_lost : list of InstanceId
        Failed instances of its data centre that still count towards the majority.
    unreachable : dict of DataCentreId to int
        Milliseconds for which each unreachable data centre has been unreachable.
    probing : list of InstanceId
        Unresponsive neighbours that are being probed.
    list_age_ms : int or None
        Age of the platform's list; None if no list was received.
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
