"""Membership messages between instances."""

import msgspec

from ..effects import Message
from ..types import DataCentreId, InstanceId, Revision

__all__ = [
    "MESSAGES",
    "Alive",
    "Heartbeat",
    "Join",
    "Left",
    "MemberRecord",
    "MemberUpdate",
    "MembersPage",
    "Ping",
    "Pong",
    "ProbeAnswer",
    "ProbeRequest",
    "Rumours",
    "Suspected",
    "SyncRequest",
    "TieAnswer",
    "TieRequest",
]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Identity and addresses of an instance."""

    instance: InstanceId
    data_centre: DataCentreId
    peer_address: str
    api_address: str
    incarnation: int


class Alive(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An instance is alive in this incarnation; refutes suspicions of older ones."""

    record: MemberRecord


class Suspected(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An instance did not answer the probes of the reporting instance.

    Parameters
    ----------
    instance : InstanceId
        The suspected instance.
    incarnation : int
        The suspected incarnation.
    reporter : InstanceId
        Instance that reports the suspicion.
    no_contact_ms : int
        Time since the reporter's last contact with it, at the moment of sending.
    """

    instance: InstanceId
    incarnation: int
    reporter: InstanceId
    no_contact_ms: int


class Left(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An instance left the fleet by a planned stop."""

    instance: InstanceId
    incarnation: int


MemberUpdate = Alive | Suspected | Left


class Heartbeat(Message, frozen=True, array_like=True, tag=70):
    """Heartbeat of the sender, with its last contacts and piggybacked updates.

    Parameters
    ----------
    incarnation : int
        Incarnation of the sender.
    sequence : int
        Number of the sender's heartbeat round; 0 if no answer is wanted.
    echo : int
        Sequence of the latest heartbeat that the sender received from the
        receiver; 0 for none.
    revision : Revision
        Plan revision in force at the sender.
    digest : int
        Digest of the live members that the sender knows.
    contact_ages_ms : dict of DataCentreId to int
        Milliseconds since the last contact of the sender's data centre with each
        other data centre.
    updates : tuple of MemberUpdate
        Piggybacked updates.
    """

    incarnation: int
    sequence: int
    echo: int
    revision: Revision
    digest: int
    contact_ages_ms: dict[DataCentreId, int] = {}
    updates: tuple[MemberUpdate, ...] = ()


class Join(Message, frozen=True, array_like=True, tag=71):
    """Announces a new instance and requests the members."""

    record: MemberRecord


class SyncRequest(Message, frozen=True, array_like=True, tag=72):
    """Requests the next page of members.

    Parameters
    ----------
    after : InstanceId
        Last instance of the previous page; empty for the first page.
    changed_within_ms : int
        Limits the page to instances whose state changed within this time; 0 for all.
    """

    after: InstanceId
    changed_within_ms: int


class MembersPage(Message, frozen=True, array_like=True, tag=73):
    """Page of members, encoded as updates.

    Parameters
    ----------
    updates : tuple of MemberUpdate
        Members and their states at the sender.
    after : InstanceId
        Last instance of this page; empty if no page follows.
    changed_within_ms : int
        Value of the request.
    """

    updates: tuple[MemberUpdate, ...]
    after: InstanceId
    changed_within_ms: int


class Ping(Message, frozen=True, array_like=True, tag=74):
    """Probes an instance on behalf of an origin."""

    origin: InstanceId


class Pong(Message, frozen=True, array_like=True, tag=75):
    """Answers a `Ping`."""

    origin: InstanceId
    incarnation: int


class ProbeRequest(Message, frozen=True, array_like=True, tag=76):
    """Requests an indirect probe of an instance from a helper."""

    subject: InstanceId


class ProbeAnswer(Message, frozen=True, array_like=True, tag=77):
    """Reports to the origin whether the helper reached the subject.

    Parameters
    ----------
    subject : InstanceId
        The probed instance.
    incarnation : int
        Its incarnation; 0 if it was not reached.
    reached : bool
        Whether it answered.
    """

    subject: InstanceId
    incarnation: int
    reached: bool


class Rumours(Message, frozen=True, array_like=True, tag=78):
    """Updates that are sent immediately instead of with the next heartbeat.

    The class name is part of the metric names ``peer.sent.*``.
    """

    updates: tuple[MemberUpdate, ...]


class TieRequest(Message, frozen=True, array_like=True, tag=79):
    """Requests an arbiter's vote when exactly half of a data centre has failed.

    Parameters
    ----------
    partition_side : int
        Hash of the live instances on the requester's partition side.
    sent_ms : int
        Send time on the requester's clock.
    """

    partition_side: int
    sent_ms: int


class TieAnswer(Message, frozen=True, array_like=True, tag=80):
    """Grants the arbiter's vote to the requester's partition side.

    Parameters
    ----------
    partition_side, sent_ms
        Values of the request.
    n_needed : int
        Number of votes needed to win.
    """

    partition_side: int
    sent_ms: int
    n_needed: int


MESSAGES: tuple[type[Message], ...] = (
    Heartbeat,
    Join,
    SyncRequest,
    MembersPage,
    Ping,
    Pong,
    ProbeRequest,
    ProbeAnswer,
    Rumours,
    TieRequest,
    TieAnswer,
)
