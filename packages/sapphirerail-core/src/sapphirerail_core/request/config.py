"""Settings of the dispatcher."""

import msgspec

from ..load.config import LimitConfig

__all__ = ["DispatcherConfig"]


class DispatcherConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Times and bounds of admission, claims and retries.

    Parameters
    ----------
    deadline_default_ms, deadline_max_ms : int
        Deadline of a request that names none, and the longest that is granted.
    reply_reserve_ms : int
        Time kept back from a caller's deadline, but at most a tenth of it, so that a
        refusal for want of time still reaches the caller.
    n_hops_max : int
        Instances that a request may pass on its way to a server.
    forward_resend_ms : int
        Wait for a peer's receipt before a forward is sent again.
    n_forward_sends : int
        Transmissions of a forward before its target counts as unreachable.
    unresponsive_ms : int
        How long a peer or a data centre that stayed silent is avoided.
    claim_resend_ms : int
        Wait before unanswered keepers are asked again; it doubles each time.
    claim_contention_ms : int
        How long one of two claimants asks again before it yields.
    claim_reserve_ms : int
        Time before the deadline at which a claim without grants fails.
    claim_silence_ms : int
        Silence of all keepers after which the next data centre is asked.
    claim_margin_ms : int
        How long keepers remember a claim beyond the deadline of its request.
    n_keepers, n_keepers_retransmission : int
        Keepers of a claim in a data centre for a first transmission, and for a
        retransmission, whose keepers may have changed in between.
    n_claims_open_max : int
        Claims that one instance may have undecided; beyond that a claim fails.
    n_claims_max : int
        Claims that a keeper remembers; beyond that it grants none.
    answer_kept_bytes, answers_kept_bytes : int
        Largest answer that is kept for retransmissions, and all of them together.
    retry_share : float
        Retries allowed as a share of recent requests.
    role_resend_ms : int
        Wait before a role is asked for again.
    role_settle_ms : int
        Wait of a newly started instance before it takes a role from nobody.
    view_settle_ms : int
        Time until all instances have heard of a newcomer. No claim is made by an
        instance that is younger, and the keepers of before a join count as well
        for as long.
    n_role_witnesses : int
        Instances next in line for a server that are asked for its role.
    role_memory_ms : int
        How long a lost instance counts as a possible holder of a role.
    notice_ms : int
        Interval of load notices to the instance next in line, and of probes.
    limit : LimitConfig
        Settings of the limits per server.
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
    claim_silence_ms: int = 120
    claim_margin_ms: int = 10_000
    n_keepers: int = 4
    n_keepers_retransmission: int = 8
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
