"""Settings of the flow aggregate."""

import msgspec

__all__ = ["FlowConfig"]


class FlowConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds, periods and budgets; times in milliseconds.

    Parameters
    ----------
    n_flows_max : int
        Flows in the local table; beyond it the longest idle one goes.
    n_records_max : int
        Records kept for other instances.
    record_life_ms : int
        A record that was not refreshed for so long is dropped.
    refresh_period_ms : int
        Period in which a holder refreshes its records.
    way_back_after_ms : int
        Age from which a feed or an upload is registered with its answering
        instance.
    n_immediate_per_s : int
        Exceptions a second that are sent at once; more wait for the next batch.
    n_early_per_s : int
        Feeds a second that are registered at an owner as soon as the server answers
        through this instance; the others after `way_back_after_ms`.
    batch_ms : int
        Time that records other than exceptions wait for a fuller batch.
    ack_timeout_ms : int
        A batch that is not acknowledged is sent again after this time.
    n_attempts_max : int
        Transmissions of one batch to one owner.
    plan_grace_ms : int
        Time after a new plan in which the previous plan's defaults count too.
    owner_grace_ms : int
        Time after a change of owners in which the previous owners are asked too.
    idle_probe_ms : int
        Silence on both sides after which a flow is probed.
    silent_ms : int
        Silence of the server after a caller's datagram that leads to a probe.
    probe_timeout_ms : int
        Time to the answer of a probe.
    probe_jitter_share : float
        Share by which probe times are spread.
    n_probes_per_s : int
        Budget of probes.
    n_searches_max : int
        Flows that are being searched for at a time, and datagrams that are kept
        for it.
    search_timeout_ms : int
        Time for a search through the servers of a service.
    n_swept_per_tick : int
        Table entries that one pass looks at in one tick, after a change of plan
        or of owners.
    cache_life_ms : int
        Entries that only save a lookup go after this time without use.
    ended_life_ms : int
        Entries of ended flows stay so long for late datagrams.
    n_detours_max : int
        Flows that are sent over another instance, because their server does not
        answer this one.
    """

    n_flows_max: int = 400_000
    n_records_max: int = 200_000
    record_life_ms: int = 1_500_000
    refresh_period_ms: int = 600_000
    way_back_after_ms: int = 2_000
    n_immediate_per_s: int = 20
    n_early_per_s: int = 45
    batch_ms: int = 500
    ack_timeout_ms: int = 300
    n_attempts_max: int = 6
    plan_grace_ms: int = 10_000
    owner_grace_ms: int = 30_000
    idle_probe_ms: int = 30_000
    silent_ms: int = 2_000
    probe_timeout_ms: int = 1_000
    probe_jitter_share: float = 0.2
    n_probes_per_s: int = 50
    n_searches_max: int = 256
    search_timeout_ms: int = 1_000
    n_swept_per_tick: int = 2_000
    cache_life_ms: int = 600_000
    ended_life_ms: int = 10_000
    n_detours_max: int = 1_024
