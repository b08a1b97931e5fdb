"""Times and sizes of the membership protocol."""

import msgspec

__all__ = ["FleetConfig"]


class FleetConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Times and sizes of the membership protocol; all instances use the same.

    Parameters
    ----------
    heartbeat_ms : int
        Time between two heartbeats to a neighbour.
    suspect_after_ms : int
        Silence after which a neighbour is probed.
    probe_ms : int
        Time for an answer to direct and indirect probes.
    lease_ms : int
        Time for which an acknowledged heartbeat holds the peer lease.
    lease_margin_ms : int
        Added to `lease_ms` before another instance uses the role. An instance
        that was without the lease for longer than this waits for both anew.
    pause_ms : int
        Gap between two ticks that counts as a pause of this process.
    unreachable_after_ms : int
        Silence of a whole data centre after which it counts as unreachable.
    verify_ms : int
        Time for an own probe when a single instance accuses another one.
    rejoin_ms : int
        Time between two attempts to reach a dead or merely listed instance.
    forget_after_ms : int
        Time for which a dead or left instance is remembered.
    counted_unlisted_ms : int
        Time for which a dead instance counts against the lease's majority when
        no list arrives.
    counted_listed_ms : int
        The same while the list still names it.
    vote_ms : int
        Time for which an arbiter's vote counts where exactly half is lost.
    vote_renewal_ms : int
        Time between two requests for a vote that was given; half of it for others.
    mass_window_ms : int
        Deaths in one data centre within this time count as one loss.
    mass_quiet_ms : int
        Time without a further death after which the count of a large loss is
        taken as complete.
    mass_news_ms : int
        Time for the news of further deaths to come after the first one.
    mass_wait_ms : int
        Added before roles are used that were lost together with many others.
    alone_ms : int
        Time after which an instance that has heard of no other one serves alone.
    sync_after_ms : int
        Time of differing digests before members are compared.
    n_ring : int
        Neighbours on each side of the ring of a data centre.
    n_random : int
        Random members of the own data centre that get each round's heartbeat.
    n_remote : int
        Members of other data centres that get each round's heartbeat.
    n_helpers : int
        Instances that are asked for an indirect probe.
    n_rumours : int
        Rumours that ride in one message at most.
    rumour_tick_bytes : int
        Bytes of rumours that are sent between two ticks at most.
    answer_tick_bytes : int
        Bytes of pages and votes that are sent between two ticks at most.
    n_fanout : int
        Instances that fresh rumours are sent to at once.
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
    mass_news_ms: int = 1000
    mass_wait_ms: int = 6000
    alone_ms: int = 10_000
    sync_after_ms: int = 2000
    n_ring: int = 2
    n_random: int = 1
    n_remote: int = 1
    n_helpers: int = 3
    n_rumours: int = 12
    rumour_tick_bytes: int = 1600
    answer_tick_bytes: int = 1000
    n_fanout: int = 3
    n_page: int = 12
