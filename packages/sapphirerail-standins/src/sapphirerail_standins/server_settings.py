"""Settings of a backend server stand-in."""

import msgspec

__all__ = ["ServerSettings"]


class ServerSettings(msgspec.Struct, kw_only=True):
    """Behaviour of a backend server.

    Parameters
    ----------
    server, service : str
        Name of the server and of the one service that it serves.
    n_slots : int
        Requests that run concurrently.
    n_queue_max : int
        Maximum length of the queue; further requests are shed.
    service_ms : float
        Processing time of a request when warm.
    warm_up_ms : int
        Time for which the server stays cold.
    n_bearable_cold : int
        Requests in flight that it can handle while cold.
    cold_slowdown : float
        Factor on `service_ms` while cold.
    silent_ms : int
        Time for which it is unresponsive after an overload while cold.
    starts_cold : bool
        Whether it is cold when it starts.
    feed_interval_ms : float
        Time between two events of a feed.
    report_lag_ms : int
        Age of the health reports that it sends.
    reports_lie : bool
        Whether its health reports always say that it is idle.
    ignores_requests : bool
        Whether it answers probes but ignores requests and openings.
    n_answer_parts : int
        Number of datagrams of an answer.
    answer_bytes : int
        Size of the padding of an answer.
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
