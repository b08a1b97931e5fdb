"""What an admission owner knows of one request."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ..datagram import Datagram, Kind, RefusalCode, Run
from ..load.queue import QueueItem
from ..types import InstanceId, ServerId
from .keys import RequestKey, request_key
from .messages import Forward

__all__ = [
    "OPEN_STATES",
    "Work",
    "WorkState",
    "needs_claim",
    "outgoing",
    "with_remaining",
]


class WorkState(Enum):
    """Place of a request in its life at an admission owner."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    SENT = "sent"
    MOVED = "moved"
    ATTACHED = "attached"
    SETTLED = "settled"


OPEN_STATES = frozenset({WorkState.CLAIMING, WorkState.QUEUED, WorkState.SENT})
"""States in which this instance still owes the caller an outcome."""


def needs_claim(datagram: Datagram) -> bool:
    """Return whether a request must be claimed before it is sent."""
    return datagram.kind is Kind.REQUEST and not datagram.idempotent


def with_remaining(datagram: Datagram, deadline_at_ms: int, now_ms: int) -> Datagram:
    """Return the datagram with the deadline that is left."""
    remaining_ms = max(1, deadline_at_ms - now_ms)
    return msgspec.structs.replace(datagram, deadline_ms=remaining_ms)


@dataclass(slots=True)
class Work:
    """One request, opening included, at an admission owner.

    Parameters
    ----------
    datagram : Datagram
        The newest transmission.
    key : RequestKey
        Key of all its transmissions.
    server : ServerId
        The server that it is meant for.
    deadline_at_ms : int
        Deadline on this instance's clock.
    arrived_at_ms : int
        When it came here.
    hop : int
        Instances that it has passed.
    tried : tuple of ServerId
        Servers that refused it or had no room.
    is_claimed : bool
        Whether this instance holds the sole right to run it.
    is_uncertain : bool
        Whether another instance may have sent it.
    was_sent : bool
        Whether it was sent to `server`.
    refusal : RefusalCode or None
        Refusal to be sent once the claim is decided.
    holder : InstanceId or None
        Who answers further transmissions, once moved or attached.
    reply : list of Datagram
        Answer or refusal that is kept for further transmissions.
    keeps_reply : bool
        Whether `reply` is still whole.
    """

    datagram: Datagram
    key: RequestKey
    server: ServerId
    deadline_at_ms: int
    arrived_at_ms: int
    state: WorkState = WorkState.NEW
    hop: int = 0
    tried: tuple[ServerId, ...] = ()
    is_claimed: bool = False
    is_uncertain: bool = False
    was_sent: bool = False
    sent_at_ms: int = 0
    refusal: RefusalCode | None = None
    holder: InstanceId | None = None
    parts: set[int] = field(default_factory=set)
    reply: list[Datagram] = field(default_factory=list)
    keeps_reply: bool = True

    @classmethod
    def from_forward(cls, forward: Forward, now_ms: int) -> "Work":
        """Return the work that a forward asks for."""
        datagram = forward.datagram
        return cls(
            datagram=datagram,
            key=request_key(datagram),
            server=forward.server,
            deadline_at_ms=now_ms + datagram.deadline_ms,
            arrived_at_ms=now_ms,
            hop=forward.hop,
            tried=forward.tried,
            is_claimed=forward.is_claimed,
            is_uncertain=forward.is_uncertain or datagram.attempt > 0,
        )

    def queue_item(self) -> QueueItem:
        """Return its place in a queue."""
        return QueueItem(self.datagram.traffic_class, self.deadline_at_ms, self.key)

    def run(self) -> Run:
        """Return what a refusal may truthfully say now."""
        if self.was_sent:
            return Run.UNKNOWN
        if needs_claim(self.datagram):
            return Run.NO if self.is_claimed else Run.UNKNOWN
        return Run.UNKNOWN if self.is_uncertain else Run.NO

    def renew(self, datagram: Datagram) -> None:
        """Use the newest transmission for whom to answer."""
        self.datagram = msgspec.structs.replace(
            self.datagram,
            caller=datagram.caller or self.datagram.caller,
            attempt=max(datagram.attempt, self.datagram.attempt),
        )
        self.is_uncertain = self.is_uncertain or datagram.attempt > 0

    def settle(self) -> None:
        """Keep only what further transmissions need."""
        self.state = WorkState.SETTLED
        self.datagram = msgspec.structs.replace(self.datagram, body=b"")


def outgoing(work: Work, now_ms: int) -> Datagram:
    """Return the newest transmission with the deadline that is left."""
    return with_remaining(work.datagram, work.deadline_at_ms, now_ms)
