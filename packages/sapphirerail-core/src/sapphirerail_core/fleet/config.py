"""Configuration of the membership protocol: timeouts and limits."""

import msgspec

__all__ = ["FleetConfig"]


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and limits of the membership protocol, equal on all instances.

    Parameters
    ----------
    heartbeat_ms : int
        Interval between two heartbeats to a neighbour.
    suspect_after_ms : int
        Time without contact after which a neighbour is probed.
    probe_ms : int
        Timeout of direct and indirect probes.
    lease_ms : int
        Time for which an acknowledged heartbeat extends the peer lease.
    lease_margin_ms : int
        Safety margin added to `lease_ms` before another instance takes over the
        role. An instance without the lease for longer than this waits for both
        again before it reacquires the lease.
    pause_ms : int
        Gap between two ticks that counts as a pause of this process.
    unreachable_after_ms : int
        Time without contact after which a whole data centre counts as unreachable.
    verify_ms : int
        Time for probes by this instance if only one instance suspects a member.
    rejoin_ms : int
        Interval between attempts to contact a failed or only listed instance.
    forget_after_ms : int
        Time after which a failed or departed instance is removed from the members.
    counted_unlisted_ms : int
        Time for which a failed instance counts towards the lease majority if no
        list arrives from the platform.
    counted_listed_ms : int
        The same while the list still contains it.
    vote_ms : int
        Validity of an arbiter's vote when exactly half of a data centre has failed.
    vote_renewal_ms : int
        Interval between requests to an arbiter that granted its vote; half of it
        for other arbiters.
    mass_window_ms : int
        Failures in one data centre within this time count as one mass failure.
    mass_quiet_ms : int
        Time without a further failure after which a mass failure counts as
        completely detected.
    mass_dissemination_ms : int
        Time allowed for updates about further failures to arrive after the first.
    mass_wait_ms : int
        Additional delay before roles of instances in a mass failure are taken over.
    standalone_after_ms : int
        Time without contact to any other instance after which an instance serves
        alone.
    sync_after_ms : int
        Time for which digests have to differ before members are synchronized.
    n_ring : int
        Neighbours on each side in the ring of a data centre.
    n_random : int
        Random members of the local data centre that receive a heartbeat each round.
    n_remote : int
        Members of other data centres that receive a heartbeat each round.
    n_helpers : int
        Instances that are asked for an indirect probe.
    n_updates : int
        Maximum number of updates piggybacked on one message.
    update_tick_bytes : int
        Maximum bytes of updates sent per tick.
    answer_tick_bytes : int
        Maximum bytes of member pages and votes sent per tick.
    n_fanout : int
        Number of instances that new updates are sent to immediately.
    n_page : int
        Instances in one page of the member list.
    """

    heartbeat_ms: int = 250
    suspect_after_ms: int = 650
    probe_ms: int = 500
    lease_ms: int = 1500
    lease_margin_ms: int = 250
    pause_ms: int = 500
    unreachable_after_ms: int = 2000
    verify_ms: int = 1000
    rejoin_ms: int = 1000
    forget_after_ms: int = 600_000
    counted_unlisted_ms: int = 30_000
    counted_listed_ms: int = 120_000
    vote_ms: int = 4000
    vote_renewal_ms: int = 2000
    mass_window_ms: int = 5000
    mass_quiet_ms: int = 1500
    mass_dissemination_ms: int = 1000
    mass_wait_ms: int = 6000
    standalone_after_ms: int = 10_000
    sync_after_ms: int = 2000
    n_ring: int = 2
    n_random: int = 1
    n_remote: int = 1
    n_helpers: int = 3
    n_updates: int = 12
    update_tick_bytes: int = 1600
    answer_tick_bytes: int = 1000
    n_fanout: int = 3
    n_page: int = 12
