"""Settings of the concurrency limit of a backend server."""

import msgspec

__all__ = ["LimitConfig"]


class LimitConfig(msgspec.Struct, frozen=True):
    """Thresholds at which a limit changes and a server is ejected.

    Parameters
    ----------
    warm_up_ms : int
        Minimum time at a limit before it increases.
    n_answers_to_increase : int
        Consecutive answers of normal latency required for an increase.
    latency_factor : float
        An answer is slow if it exceeds this multiple of the mean latency. Below 3,
        so that a server that becomes three times as slow is detected.
    latency_floor_ms : int
        Latencies below this are never slow.
    n_slow_to_reset : int
        Consecutive slow answers that indicate a cold server and reset the limit.
    n_timeouts_to_eject : int
        Consecutive timeouts after which a server is ejected.
    short_timeout_factor : float
        A timeout counts in full if the request was given at least this multiple of
        the mean latency; otherwise it is a short timeout.
    n_short_timeouts_per_timeout : int
        Consecutive short timeouts that count as one timeout.
    ejection_ms, ejection_max_ms : int
        First and longest time for which an ejected server gets no request.
    n_sheds_to_eject : int
        Consecutive requests shed by the server, at a limit of one, after which it is
        ejected.
    n_probes_to_eject : int
        Consecutive unanswered probes, without any other response, after which a
        server is ejected.
    stalled_probe_ms : int
        Interval of probes to a server that has sent nothing since a request stalled.
    stall_factor : float
        An unanswered request older than this multiple of the mean latency is stalled;
        its slot stays occupied at least that long.
    stall_floor_ms : int
        Minimum age of a stalled request; a stall indicates a cold server.
    deadline_grace_ms : int
        How long a slot stays occupied after the deadline of its request, because the
        server starts its deadline later by the network delay.
    n_queued_per_slot : int
        Requests that may wait for a server, per slot.
    """

    warm_up_ms: int = 5_000
    n_answers_to_increase: int = 8
    latency_factor: float = 2.5
    latency_floor_ms: int = 20
    n_slow_to_reset: int = 3
    n_timeouts_to_eject: int = 2
    short_timeout_factor: float = 1.5
    n_short_timeouts_per_timeout: int = 4
    ejection_ms: int = 1_000
    ejection_max_ms: int = 16_000
    n_sheds_to_eject: int = 8
    n_probes_to_eject: int = 3
    stalled_probe_ms: int = 600
    stall_factor: float = 3.0
    stall_floor_ms: int = 250
    deadline_grace_ms: int = 100
    n_queued_per_slot: int = 8
