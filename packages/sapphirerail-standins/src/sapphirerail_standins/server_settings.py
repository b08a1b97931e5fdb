"""Settings of a backend server stand-in."""

import msgspec

__all__ = ["ServerSettings"]


class ServerSettings(msgspec.Struct, kw_only=True):
    """How a backend server behaves.

    Parameters
    ----------
    server, service : str
        Its name and the one service that it serves.
    n_slots : int
        Requests that it runs at a time.
    n_queue_max : int
        Requests that may wait; more are shed.
    service_ms : float
        Time of one run when warm.
    warm_up_ms : int
        How long it stays cold.
    n_bearable_cold : int
        Requests in flight that it bears while cold.
    cold_slowdown : float
        Factor on `service_ms` while cold.
    silent_ms : int
        How long it is silent after it got more than it bears.
    starts_cold : bool
        Whether it is cold at first.
    feed_interval_ms : float
        Time between two events of a feed.
    report_lag_ms : int
        Age of the reports that it gives.
    reports_lie : bool
        Whether it reports to be idle whatever it does.
    ignores_requests : bool
        Whether it answers probes, but neither requests nor openings.
    n_answer_parts : int
        Datagrams of an answer.
    answer_bytes : int
        Filler of an answer.
    """

    server: str
    service: str
    n_slots: int = 2
    n_queue_max: int = 2
    service_ms: float = 20.0
    warm_up_ms: int = 3000
    n_bearable_cold: int = 1
    cold_slowdown: float = 3.0
    silent_ms: int = 3000
    starts_cold: bool = False
    feed_interval_ms: float = 100.0
    report_lag_ms: int = 0
    reports_lie: bool = False
    ignores_requests: bool = False
    n_answer_parts: int = 3
    answer_bytes: int = 64
