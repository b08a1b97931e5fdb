"""Messages between instances about membership."""

import msgspec

from ..effects import Message
from ..types import DataCentreId, InstanceId, Revision

__all__ = [
    "MESSAGES",
    "Accused",
    "Alive",
    "Heartbeat",
    "Join",
    "Left",
    "MemberRecord",
    "MembersPage",
    "Ping",
    "Pong",
    "ProbeAnswer",
    "ProbeRequest",
    "Rumour",
    "Rumours",
    "SyncRequest",
    "TieAnswer",
    "TieRequest",
]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who an instance is and where it is reached."""

    instance: InstanceId
    data_centre: DataCentreId
    peer_address: str
    api_address: str
    incarnation: int


class Alive(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An instance lives, in this incarnation; refutes accusations of older ones."""

    record: MemberRecord


class Accused(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An instance gave no answer to the probes of its accuser.

    Parameters
    ----------
    instance : InstanceId
        The silent one.
    incarnation : int
        The incarnation that is silent.
    accuser : InstanceId
        Whose opinion this is.
    silent_ms : int
        Time since the accuser heard of it, at the moment of sending.
    """

    instance: InstanceId
    incarnation: int
    accuser: InstanceId
    silent_ms: int


class Left(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An instance stopped in a planned way."""

    instance: InstanceId
    incarnation: int


Rumour = Alive | Accused | Left


class Heartbeat(Message, frozen=True, array_like=True, tag=70):
    """Says that the sender lives, and what it heard.

    Parameters
    ----------
    incarnation : int
        Incarnation of the sender.
    sequence : int
        Number of the sender's round of heartbeats.
    echo : int
        Sequence of the newest heartbeat that the sender had from the receiver;
        0 for none.
    revision : Revision
        Plan in force at the sender.
    digest : int
        Digest of the live members that the sender knows.
    heard : dict of DataCentreId to int
        Milliseconds since the sender's side heard of another data centre.
    rumours : tuple of Rumour
        News.
    """

    incarnation: int
    sequence: int
    echo: int
    revision: Revision
    digest: int
    heard: dict[DataCentreId, int] = {}
    rumours: tuple[Rumour, ...] = ()


class Join(Message, frozen=True, array_like=True, tag=71):
    """A newcomer names itself and asks for the members."""

    record: MemberRecord


class SyncRequest(Message, frozen=True, array_like=True, tag=72):
    """Asks for the next page of members.

    Parameters
    ----------
    after : InstanceId
        Last instance of the previous page; empty for the first page.
    changed_within_ms : int
        Only instances whose state changed within this time; 0 for all.
    """

    after: InstanceId
    changed_within_ms: int


class MembersPage(Message, frozen=True, array_like=True, tag=73):
    """A page of members, as rumours.

    Parameters
    ----------
    rumours : tuple of Rumour
        What the sender believes.
    after : InstanceId
        Last instance of this page; empty if no page follows.
    changed_within_ms : int
        As asked for.
    """

    rumours: tuple[Rumour, ...]
    after: InstanceId
    changed_within_ms: int


class Ping(Message, frozen=True, array_like=True, tag=74):
    """Asks for a sign of life, on behalf of an origin."""

    origin: InstanceId


class Pong(Message, frozen=True, array_like=True, tag=75):
    """Answers a `Ping`."""

    origin: InstanceId
    incarnation: int


class ProbeRequest(Message, frozen=True, array_like=True, tag=76):
    """Asks a helper to probe an instance at this address."""

    subject: InstanceId


class ProbeAnswer(Message, frozen=True, array_like=True, tag=77):
    """Tells the origin whether the helper reached the subject.

    Parameters
    ----------
    subject : InstanceId
        Who was probed.
    incarnation : int
        Its incarnation; 0 if it was not reached.
    reached : bool
        Whether it answered.
    """

    subject: InstanceId
    incarnation: int
    reached: bool


class Rumours(Message, frozen=True, array_like=True, tag=78):
    """News that cannot wait for the next heartbeat."""

    rumours: tuple[Rumour, ...]


class TieRequest(Message, frozen=True, array_like=True, tag=79):
    """Asks an arbiter for its vote, where exactly half of a data centre is lost.

    Parameters
    ----------
    side : int
        Hash of the instances that live on the asking side.
    sent_ms : int
        Time of sending on the asking instance's clock.
    """

    side: int
    sent_ms: int


class TieAnswer(Message, frozen=True, array_like=True, tag=80):
    """Says that the arbiter's vote is the asking side's.

    Parameters
    ----------
    side, sent_ms
        As in the request.
    n_needed : int
        Votes that win.
    """

    side: int
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
