"""Settings of the limits per server."""

import msgspec

__all__ = ["LimitConfig"]


class LimitConfig(msgspec.Struct, frozen=True):
    """When a limit rises and falls, and when a server is set apart.

    Parameters
    ----------
    warm_up_ms : int
        Least time at a limit before it rises by one.
    n_answers_to_rise : int
        Answers in a row, of usual latency, that a rise needs.
    latency_factor : float
        An answer slower than this multiple of the usual latency is slow. Below 3,
        so that a server that takes three times as long as usual is noticed.
    latency_floor_ms : int
        Latencies below it are never slow.
    n_slow_to_fall : int
        Slow answers in a row that count as a sign of a cold server.
    n_silent_to_eject : int
        Missed deadlines in a row after which a server is ejected.
    miss_factor : float
        A missed deadline counts in full if the time given was at least this multiple
        of the usual latency.
    n_late_to_fall : int
        Missed deadlines in a row that count as one, where less time was given.
    probation_ms, probation_max_ms : int
        First and longest wait before an ejected server gets a request again.
    n_sheds_to_eject : int
        Refusals in a row, at the lowest limit, after which a server is ejected.
    n_probes_to_eject : int
        Probes in a row without any sign of life after which a server is ejected.
    stall_factor : float
        An unanswered request older than this multiple of the usual latency is
        suspicious; its slot counts as taken at least that long.
    stall_floor_ms : int
        Least age of an unanswered request that counts as a sign of a cold server.
    silence_grace_ms : int
        How long a slot stays taken after the deadline of its request, as the
        server's deadline started later by the way there.
    n_queued_per_slot : int
        Requests that may wait for a server, per slot.
    """

    warm_up_ms: int = 5_000
    n_answers_to_rise: int = 8
    latency_factor: float = 2.5
    latency_floor_ms: int = 20
    n_slow_to_fall: int = 3
    n_silent_to_eject: int = 2
    miss_factor: float = 1.5
    n_late_to_fall: int = 4
    probation_ms: int = 1_000
    probation_max_ms: int = 16_000
    n_sheds_to_eject: int = 8
    n_probes_to_eject: int = 3
    stall_factor: float = 3.0
    stall_floor_ms: int = 250
    silence_grace_ms: int = 100
    n_queued_per_slot: int = 8
