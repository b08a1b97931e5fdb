"""What the dispatcher tells operators."""

import msgspec

from ..types import ServerId

__all__ = ["DispatcherStatus", "ServerStatus"]


class ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Admission of one server, as its owner sees it.

    Parameters
    ----------
    server : ServerId
        The server.
    role : str
        Relation of this instance to it.
    state : str
        Warming, warm or ejected.
    reason : str
        Why it is in that state.
    limit, n_in_flight, n_queued, n_flows : int
        Its limit and its work.
    latency_ms : float
        Usual latency of its answers.
    """

    server: ServerId
    role: str
    state: str
    reason: str
    limit: int
    n_in_flight: int
    n_queued: int
    n_flows: int
    latency_ms: float


class DispatcherStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Admission at one instance.

    Parameters
    ----------
    is_draining : bool
        Whether a planned stop has begun.
    holds_lease : bool
        Whether exclusive roles may be used.
    n_in_flight : int
        Outcomes that are still owed.
    n_requests_known, n_claims_kept : int
        Entries in memory.
    servers : list of ServerStatus
        The servers that this instance admits for.
    """

    is_draining: bool
    holds_lease: bool
    n_in_flight: int
    n_requests_known: int
    n_claims_kept: int
    servers: list[ServerStatus]
