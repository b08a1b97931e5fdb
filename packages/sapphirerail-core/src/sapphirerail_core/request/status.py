"""Dispatcher status shown to operators."""

import msgspec

from ..types import ServerId

__all__ = ["DispatcherStatus", "ServerStatus"]


class ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Admission state of one server at this instance.

    Parameters
    ----------
    server : ServerId
        The server.
    role : str
        State of this instance's admission role for the server.
    state : str
        Warming, warm or ejected.
    reason : str
        Reason for that state.
    limit, n_in_flight, n_queued, n_flows : int
        Concurrency limit and current load.
    latency_ms : float
        Expected latency of an answer.
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
    """Admission state of one instance.

    Parameters
    ----------
    is_draining : bool
        Whether a planned stop has begun.
    holds_lease : bool
        Whether exclusive roles may be used.
    n_in_flight : int
        Requests without an outcome and unfinished reports to new role holders.
    n_requests_known, n_claims_kept : int
        Number of stored requests and claims.
    servers : list of ServerStatus
        The servers that this instance admits for.
    """

    is_draining: bool
    holds_lease: bool
    n_in_flight: int
    n_requests_known: int
    n_claims_kept: int
    servers: list[ServerStatus]
