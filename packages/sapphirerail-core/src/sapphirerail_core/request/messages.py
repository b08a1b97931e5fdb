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
    """A request, opening or cancellation on its way to an admission owner.

    Parameters
    ----------
    datagram : Datagram
        With the deadline that is left.
    server : ServerId
        The backend server whose owner is meant.
    hop : int
        Instances that it has passed.
    tried : tuple of ServerId
        Servers that refused it or had no room.
    revision : Revision
        Plan of the sender.
    is_claimed : bool
        Whether the sender's claim goes with it; the sender will not run it.
    is_uncertain : bool
        Whether an earlier transmission may have reached a server.
    is_attached : bool
        Whether it is a further transmission for the holder of its claim.
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
    """Receipt of a forward, with the work that waits for the server."""

    key: RequestKey
    hop: int
    server: ServerId
    n_waiting: int
    is_attached: bool = False


class Claim(Message, frozen=True, array_like=True, tag=32):
    """Asks a keeper for the sole right to run a request.

    `epoch` is drawn anew for each attempt, so that nothing late is taken for it.
    """

    key: RequestKey
    remaining_ms: int
    epoch: int


class Grant(Message, frozen=True, array_like=True, tag=33):
    """A keeper's answer to a claim: who holds it; empty if nobody may."""

    key: RequestKey
    epoch: int
    holder: InstanceId


class Granted(Message, frozen=True, array_like=True, tag=41):
    """A `Grant` whose holder is its receiver, as it stands on the wire."""

    key: RequestKey
    epoch: int


class Withdraw(Message, frozen=True, array_like=True, tag=34):
    """A claimant without a majority gives its grants back; it will not run it."""

    key: RequestKey
    epoch: int


class ClaimEntry(Message, frozen=True, array_like=True, tag=36):
    """A remembered claim."""

    key: RequestKey
    holder: InstanceId
    epoch: int
    remaining_ms: int


class ClaimHandover(Message, frozen=True, array_like=True, tag=37):
    """Claims that a leaving keeper hands to the next one."""

    entries: tuple[ClaimEntry, ...]


class RoleClaim(Message, frozen=True, array_like=True, tag=38):
    """A new admission owner asks whether the receiver still acts for servers."""

    servers: tuple[ServerId, ...]


class RoleRelease(Message, frozen=True, array_like=True, tag=39):
    """The receiver of a role claim gives the role up, or never had it.

    Parameters
    ----------
    server : ServerId
        The server in question.
    n_in_flight : int
        Requests of the sender that the server may still be running.
    remaining_ms : int
        Time until the last of them has passed its deadline.
    limit : int
        The limit that the sender had reached; 0 if it knows nothing.
    owner : InstanceId
        Who holds the role in the sender's opinion, the asker left out; the sender
        itself if it keeps the role; empty if there is nobody else.
    """

    server: ServerId
    n_in_flight: int = 0
    remaining_ms: int = 0
    limit: int = 0
    owner: InstanceId = InstanceId("")


class LoadNotice(Message, frozen=True, array_like=True, tag=40):
    """The limit of a server, told to the instance that is next in line for it."""

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
