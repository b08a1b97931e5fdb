"""State of one request at its admission owner."""

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
    "RequestRecord",
    "RequestState",
    "needs_claim",
    "outgoing_datagram",
    "with_remaining_deadline",
]


class RequestState(Enum):
    """Lifecycle states of a request at an admission owner.

    A moved request was forwarded to another owner; an attached one is answered by
    the instance that holds its claim.
    """

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    SENT = "sent"
    MOVED = "moved"
    ATTACHED = "attached"
    SETTLED = "settled"


OPEN_STATES = frozenset({RequestState.CLAIMING, RequestState.QUEUED, RequestState.SENT})
"""States in which this instance still owes the caller an outcome."""


def needs_claim(datagram: Datagram) -> bool:
    """Return whether a request must be claimed before it is sent."""
    return datagram.kind is Kind.REQUEST and not datagram.idempotent


def with_remaining_deadline(
    datagram: Datagram, deadline_at_ms: int, now_ms: int
) -> Datagram:
    """Return the datagram with its remaining deadline."""
    remaining_ms = max(1, deadline_at_ms - now_ms)
    return msgspec.structs.replace(datagram, deadline_ms=remaining_ms)


@dataclass(slots=True)
class RequestRecord:
    """One request or opening at an admission owner.

    Parameters
    ----------
    datagram : Datagram
        The latest transmission.
    key : RequestKey
        Key shared by all transmissions.
    server : ServerId
        The selected server.
    deadline_at_ms : int
        Deadline on this instance's clock.
    arrived_at_ms : int
        When it arrived at this instance.
    hop : int
        Number of instances that it has passed.
    tried : tuple of ServerId
        Servers that refused it or had no capacity.
    is_claimed : bool
        Whether this instance holds the exclusive right to run it.
    is_uncertain : bool
        Whether another instance may have sent it to a server.
    was_sent : bool
        Whether it was sent to `server`.
    refusal : RefusalCode or None
        Refusal to be sent once the claim is decided.
    holder : InstanceId or None
        Instance that handles retransmissions, once moved or attached.
    reply : list of Datagram
        Answer or refusal kept for retransmissions.
    keeps_reply : bool
        Whether `reply` holds all parts received so far.
    """

    datagram: Datagram
    key: RequestKey
    server: ServerId
    deadline_at_ms: int
    arrived_at_ms: int
    state: RequestState = RequestState.NEW
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
    def from_forward(cls, forward: Forward, now_ms: int) -> "RequestRecord":
        """Create the record of a forwarded request."""
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
        """Return the entry of the request in an admission queue."""
        return QueueItem(self.datagram.traffic_class, self.deadline_at_ms, self.key)

    def run_status(self) -> Run:
        """Return whether a refusal may state that the request was not run."""
        if self.was_sent:
            return Run.UNKNOWN
        if needs_claim(self.datagram):
            return Run.NO if self.is_claimed else Run.UNKNOWN
        return Run.UNKNOWN if self.is_uncertain else Run.NO

    def merge_retransmission(self, datagram: Datagram) -> None:
        """Take the caller's address and attempt number from a retransmission."""
        self.datagram = msgspec.structs.replace(
            self.datagram,
            caller=datagram.caller or self.datagram.caller,
            attempt=max(datagram.attempt, self.datagram.attempt),
        )
        self.is_uncertain = self.is_uncertain or datagram.attempt > 0

    def settle(self) -> None:
        """Mark the request as settled and drop the request body."""
        self.state = RequestState.SETTLED
        self.datagram = msgspec.structs.replace(self.datagram, body=b"")


def outgoing_datagram(record: RequestRecord, now_ms: int) -> Datagram:
    """Return the latest transmission with the remaining deadline."""
    return with_remaining_deadline(record.datagram, record.deadline_at_ms, now_ms)
