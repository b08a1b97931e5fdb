"""Settings of flow handling."""

import msgspec

__all__ = ["FlowConfig"]


class FlowConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Limits, periods and rate limits; times are in milliseconds.

    Parameters
    ----------
    n_flows_max : int
        Capacity of the local flow table; the least recently used flow is evicted
        when it is full.
    n_records_max : int
        Capacity of the table of records that this instance keeps as an owner.
    record_ttl_ms : int
        Time after which a record that is not refreshed expires.
    refresh_period_ms : int
        Period in which a holder, the instance on the return path of a flow, refreshes
        the flow's records at the owners.
    register_after_ms : int
        Age at which a feed or an upload is registered at its owners, with this
        instance as its return path.
    n_immediate_per_s : int
        Placement exceptions per second whose records are sent immediately; further
        ones wait for the next batch.
    n_early_registrations_per_s : int
        Feeds per second that are registered at one owner as soon as they are opened
        here or their server answers through this instance; further ones wait for
        `register_after_ms`.
    batch_ms : int
        Interval at which records other than exceptions are sent in batches.
    ack_timeout_ms : int
        Time after which an unacknowledged batch is retransmitted.
    n_attempts_max : int
        Maximum number of transmissions of one batch to one owner.
    plan_grace_ms : int
        Time after a new plan for which the previous plan's default servers are still
        taken into account.
    owner_grace_ms : int
        Time after a change of owners for which the previous owners are queried too.
    idle_probe_ms : int
        Time without packets in either direction after which a flow is probed.
    response_timeout_ms : int
        Time without a response of the server to a caller's datagram after which
        the flow is probed.
    probe_timeout_ms : int
        Time allowed for the answer to a probe.
    probe_jitter_share : float
        Maximum random extension of the idle time before a probe, as a share of
        `idle_probe_ms`.
    n_probes_per_s : int
        Rate limit of probes.
    n_lookups_max : int
        Maximum number of concurrent lookups of flows at the servers, and of
        datagrams kept for them.
    lookup_timeout_ms : int
        Time allowed for the lookup of a flow at the servers of a service.
    n_swept_per_tick : int
        Table entries that one pass visits per tick after a change of plan or of
        owners.
    cache_ttl_ms : int
        Idle time after which an unregistered entry, which only caches a location, is
        removed.
    completed_ttl_ms : int
        Time for which entries of completed flows stay for late datagrams.
    n_detours_max : int
        Maximum number of flows forwarded through another instance because their
        server does not respond to this one.
    """

    n_flows_max: int = 400_000
    n_records_max: int = 200_000
    record_ttl_ms: int = 1_500_000
    refresh_period_ms: int = 600_000
    register_after_ms: int = 2_000
    n_immediate_per_s: int = 20
    n_early_registrations_per_s: int = 45
    batch_ms: int = 500
    ack_timeout_ms: int = 300
    n_attempts_max: int = 6
    plan_grace_ms: int = 10_000
    owner_grace_ms: int = 30_000
    idle_probe_ms: int = 30_000
    response_timeout_ms: int = 2_000
    probe_timeout_ms: int = 1_000
    probe_jitter_share: float = 0.2
    n_probes_per_s: int = 50
    n_lookups_max: int = 256
    lookup_timeout_ms: int = 1_000
    n_swept_per_tick: int = 2_000
    cache_ttl_ms: int = 600_000
    completed_ttl_ms: int = 10_000
    n_detours_max: int = 1_024
