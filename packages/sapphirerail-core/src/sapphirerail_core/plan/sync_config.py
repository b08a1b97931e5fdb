"""Times and counts of the spreading of plans."""

from dataclasses import dataclass

__all__ = ["SyncConfig"]


@dataclass(frozen=True, slots=True)
class SyncConfig:
    """Times and counts of the spreading.

    Parameters
    ----------
    n_readers : int
        Instances of each data centre that read the store.
    fan_out : int
        Peers that are told at once of a new revision.
    n_repeats : int
        How often telling is repeated, to make up for lost messages.
    repeat_ms : int
        Time between repeats.
    round_ms : int
        Time between exchanges with a peer at random.
    poll_ms : int
        Time between readings of the store's root by a reader, beside its watch.
    fetch_timeout_ms, full_timeout_ms : int
        Time for a peer's answer with a delta, or with a whole plan, before another
        peer is asked.
    fetch_gap_ms : int
        Least time from taking a peer's plan to asking again: a burst of changes is
        taken in steps.
    contact_stale_ms : int
        Age of the last contact from which on other instances try the store as well.
    fallback_ms : int
        Mean time between such tries over all instances of a data centre.
    """

    n_readers: int = 2
    fan_out: int = 4
    n_repeats: int = 2
    repeat_ms: int = 250
    round_ms: int = 1000
    poll_ms: int = 2000
    fetch_timeout_ms: int = 700
    full_timeout_ms: int = 2000
    fetch_gap_ms: int = 300
    contact_stale_ms: int = 20_000
    fallback_ms: int = 5000
