"""Messages between instances about requests and admission."""

from ..datagram import Datagram
from ..effects import Message
from ..types import InstanceId, Revision, ServerId
from .keys import RequestKey

__all__ = [
    "Claim",
    "ClaimEntry",
    "ClaimHandover",
    "Forward",
    "Grant",
    "Granted",
    "LoadNotice",
    "MESSAGES",
    "RoleClaim",
    "RoleRelease",
    "Taken",
    "Withdraw",
]


class Forward(Message, frozen=True, array_like=True, tag=30):
    """A request, opening or cancellation forwarded to an admission owner.

    Parameters
    ----------
    datagram : Datagram
        The caller's datagram, with the remaining deadline.
    server : ServerId
        The backend server whose owner is addressed.
    hop : int
        Number of instances that it has passed.
    tried : tuple of ServerId
        Servers that refused it or had no capacity.
    revision : Revision
        Plan revision of the sender.
    is_claimed : bool
        Whether the sender passes its claim on and will not run the request.
    is_uncertain : bool
        Whether an earlier transmission may have reached a server.
    is_attached : bool
        Whether it is a retransmission, passed to the holder of the request's claim.
    """

    datagram: Datagram
    server: ServerId
    hop: int = 0
    tried: tuple[ServerId, ...] = ()
    revision: Revision = Revision(0)
    is_claimed: bool = False
    is_uncertain: bool = False
    is_attached: bool = False


class Taken(Message, frozen=True, array_like=True, tag=31):
    """Receipt of a forward, with the number of requests waiting for the server."""

    key: RequestKey
    hop: int
    server: ServerId
    n_waiting: int
    is_attached: bool = False


class Claim(Message, frozen=True, array_like=True, tag=32):
    """Asks a claim replica for the exclusive right to run a request.

    `epoch` is random for each attempt, so that late replies are not mistaken for
    replies to a newer attempt.
    """

    key: RequestKey
    remaining_ms: int
    epoch: int


class Grant(Message, frozen=True, array_like=True, tag=33):
    """A replica's reply to a claim: the holder, or empty if none may hold it."""

    key: RequestKey
    epoch: int
    holder: InstanceId


class Granted(Message, frozen=True, array_like=True, tag=41):
    """Short form, on the wire, of a `Grant` whose holder is the receiver."""

    key: RequestKey
    epoch: int


class Withdraw(Message, frozen=True, array_like=True, tag=34):
    """Returns the grants of a claimant that will not run the request."""

    key: RequestKey
    epoch: int


class ClaimEntry(Message, frozen=True, array_like=True, tag=36):
    """A stored claim."""

    key: RequestKey
    holder: InstanceId
    epoch: int
    remaining_ms: int


class ClaimHandover(Message, frozen=True, array_like=True, tag=37):
    """Claims handed to instances that become replicas of them."""

    entries: tuple[ClaimEntry, ...]


class RoleClaim(Message, frozen=True, array_like=True, tag=38):
    """A new admission owner's request to release the roles of servers."""

    servers: tuple[ServerId, ...]


class RoleRelease(Message, frozen=True, array_like=True, tag=39):
    """Reply to a role claim: the role is released, was never held, or is kept.

    Parameters
    ----------
    server : ServerId
        The server in question.
    n_in_flight : int
        Requests of the sender that the server may still be running.
    remaining_ms : int
        Time until the last of them has certainly ended.
    limit : int
        The sender's current concurrency limit for the server; 0 if unknown.
    owner : InstanceId
        Role holder in the sender's view, other than the receiver; the sender itself
        if it keeps the role; empty if there is none.
    """

    server: ServerId
    n_in_flight: int = 0
    remaining_ms: int = 0
    limit: int = 0
    owner: InstanceId = InstanceId("")


class LoadNotice(Message, frozen=True, array_like=True, tag=40):
    """A server's concurrency limit, sent to the next instance in rank."""

    server: ServerId
    limit: int


MESSAGES: tuple[type[Message], ...] = (
    Forward,
    Taken,
    Claim,
    Grant,
    Granted,
    Withdraw,
    ClaimHandover,
    RoleClaim,
    RoleRelease,
    LoadNotice,
)
