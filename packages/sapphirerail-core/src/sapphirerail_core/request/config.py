"""Settings of the dispatcher."""

import msgspec

from ..load.config import LimitConfig

__all__ = ["DispatcherConfig"]


class DispatcherConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and limits of admission, claims and retries.

    Parameters
    ----------
    deadline_default_ms, deadline_max_ms : int
        Default and maximum deadline of a request.
    reply_reserve_ms : int
        Time reserved from a caller's deadline, at most a tenth of it, so that a
        refusal sent at the deadline still reaches the caller in time.
    n_hops_max : int
        Maximum number of instances that a request passes before its server.
    forward_resend_ms : int
        Time without a peer's receipt before a forward is sent again.
    n_forward_sends : int
        Transmissions of a forward before its target counts as unreachable.
    unresponsive_ms : int
        How long a peer or a data centre that did not respond is avoided.
    claim_resend_ms : int
        Initial interval of repeated claims to replicas; it doubles each time.
    claim_contention_ms : int
        How long the preferred one of two contending claimants repeats its claim
        before it yields.
    claim_reserve_ms : int
        Time before the deadline at which an undecided claim fails.
    claim_unresponsive_ms : int
        Time without any replica's response before the next data centre is asked.
    claim_margin_ms : int
        How long replicas store a claim beyond the deadline of its request.
    n_claim_replicas, n_claim_replicas_retransmission : int
        Replicas of a claim in a data centre that are asked for a first transmission
        and for a retransmission; membership may have changed between the two.
    n_claims_open_max : int
        Maximum number of undecided claims of one instance; further ones fail.
    n_claims_max : int
        Maximum number of claims that a replica stores; it grants no further ones.
    answer_kept_bytes, answers_kept_bytes : int
        Maximum size of an answer kept for retransmissions, and of all kept answers.
    retry_share : float
        Retries allowed as a share of recent requests.
    role_resend_ms : int
        Interval of repeated role claims.
    role_settle_ms : int
        How long a newly started instance waits before it acquires a role that no
        other instance has released to it.
    view_settle_ms : int
        Time until all instances know a newly joined one. An instance makes no claim
        for that long after its start, and claims also need a quorum of the replicas
        from before a join for that long after it.
    n_role_witnesses : int
        Instances next in rank for a server that are asked to release its role.
    role_memory_ms : int
        How long a failed or departed instance counts as a possible role holder.
    notice_ms : int
        Interval of load notices to the next instance in rank, and of probes.
    limit : LimitConfig
        Settings of the concurrency limit of each server.
    """

    deadline_default_ms: int = 5_000
    deadline_max_ms: int = 10_000
    reply_reserve_ms: int = 100
    n_hops_max: int = 5
    forward_resend_ms: int = 40
    n_forward_sends: int = 3
    unresponsive_ms: int = 1_000
    claim_resend_ms: int = 40
    claim_contention_ms: int = 400
    claim_reserve_ms: int = 100
    claim_unresponsive_ms: int = 120
    claim_margin_ms: int = 10_000
    n_claim_replicas: int = 4
    n_claim_replicas_retransmission: int = 8
    n_claims_open_max: int = 64
    n_claims_max: int = 50_000
    answer_kept_bytes: int = 2_048
    answers_kept_bytes: int = 1_048_576
    retry_share: float = 0.1
    role_resend_ms: int = 60
    role_settle_ms: int = 500
    view_settle_ms: int = 2_000
    n_role_witnesses: int = 3
    role_memory_ms: int = 30_000
    notice_ms: int = 1_000
    limit: LimitConfig = LimitConfig()
