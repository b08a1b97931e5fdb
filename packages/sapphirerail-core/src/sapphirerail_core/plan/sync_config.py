"""Settings of the dissemination of plans."""

from dataclasses import dataclass

__all__ = ["SyncConfig"]


@dataclass(frozen=True, slots=True)
class SyncConfig:
    """Intervals, timeouts and counts of the dissemination of plans.

    Parameters
    ----------
    n_readers : int
        Number of instances in each data centre that poll the store.
    fan_out : int
        Number of peers to which a new revision is announced immediately.
    n_repeats : int
        Number of repeated announcements, which compensate for lost messages.
    repeat_interval_ms : int
        Interval between repeated announcements.
    exchange_interval_ms : int
        Interval between exchanges with a random peer (anti-entropy).
    poll_interval_ms : int
        Interval at which a reader polls the root in the store, in addition to its
        watch.
    fetch_timeout_ms, full_timeout_ms : int
        Timeout for a peer's response with a delta, or with a whole plan; then another
        peer is asked.
    min_fetch_interval_ms : int
        Minimum time between installing a peer's plan and the next request, so that a
        burst of changes is fetched in a few steps.
    contact_stale_ms : int
        Time since the last contact with the store after which instances that are not
        readers poll it as well.
    fallback_interval_ms : int
        Mean interval of such fallback polls over all instances of a data centre.
    """

    n_readers: int = 2
    fan_out: int = 4
    n_repeats: int = 2
    repeat_interval_ms: int = 250
    exchange_interval_ms: int = 1000
    poll_interval_ms: int = 2000
    fetch_timeout_ms: int = 700
    full_timeout_ms: int = 2000
    min_fetch_interval_ms: int = 300
    contact_stale_ms: int = 20_000
    fallback_interval_ms: int = 5000
