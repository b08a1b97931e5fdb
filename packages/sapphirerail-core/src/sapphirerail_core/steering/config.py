"""Settings of packet steering."""

import msgspec

__all__ = ["SteeringConfig"]


class SteeringConfig(msgspec.Struct, frozen=True):
    """Timeouts, thresholds and limits of failure detection and server selection.

    Parameters
    ----------
    opening_timeout_ms : int
        Time without an answer after which an opening is sent to another server;
        about three round trips of a caller (3 ms one way).
    n_opening_retries : int
        Maximum number of times that the instance retries one opening.
    probe_ms, probe_max_ms : int
        Initial and maximum backoff between probes of a failed server.
    probe_expedited_ms : int
        Time between probes while callers are refused because all servers failed, and
        after a probe that says nothing about its server.
    probe_timeout_ms : int
        Connect timeout of a probe; a hundred round trips between data centres.
    probe_repeat_ms : int
        Time after which a probe opens a second connection, in case a packet was lost,
        and after which this instance checks its own link.
    probe_delay_max_ms : int
        Delay of a probe's timeout from which on its failure is attributed to this
        instance, which was suspended or overloaded.
    store_probe_ms : int
        Interval of store probes by an instance that reaches no server of some remote
        data centre; half of the routers' interval, so that the start and the end of a
        partition are each detected less than one of their intervals late.
    remote_probe_interval_ms : int
        Interval at which all remote servers are probed while a data centre and the
        store are unreachable; long, as the number of probes grows with the fleet.
    retransmission_ms : int
        Minimum age of data before its retransmission counts as a missing response;
        callers retransmit after 200 ms, and repeated positions before that may be
        reordered packets.
    peer_failure_ttl_ms : int
        How long a server failure that a peer reported stays valid.
    n_failure_confirmations : int
        Instances, this one included, that must have confirmed a failure by a probe
        before open flows are reset: one instance's probes may fail because of its own
        link. An instance without a live peer needs only its own probe.
    peer_load_ttl_ms : int
        How long the load that a peer reported stays valid.
    departed_keep_ms : int
        How long the tag of a departed server stays known; the maximum lifetime of a
        flow.
    departed_grace_ms : int
        Time after a departure before the server's flows are reset.
    steady_ms : int
        Time that the store must have answered without a failure before a missing entry
        counts as a departure: entries return within 2 s of the end of an outage, plus
        a heartbeat.
    remote_penalty : float
        Occupancy, in requests per slot, by which a remote server must be less occupied
        to be preferred: a whole server's worth, as only the load that this instance
        itself puts on it is known. bench/steering_load.py compares the alternatives.
    peer_load_weight : float
        Weight of peers' reported load among servers of one data centre. Reports are
        half an interval old on average, and with full weight all instances would
        follow the same report.
    flow_weight : float
        Expected occupancy of an open flow without a request in flight.
    n_flows_max : int
        Maximum number of tracked flows; the least recently opened is evicted first.
    flow_idle_ms : int
        Idle time after which a flow record is dropped, until the operators'
        configuration gives its own value.
    request_max_ms : int
        Maximum time that an unanswered request counts as in flight.
    cold_overshoot, n_cold_slack : float and int
        A cold server can handle its rate times the overshoot, plus the slack, per
        second.
    n_cold_senders : int
        Instances that may each consider themselves the only sender to a cold server.
    return_cold_ms : int
        How long servers of a returned data centre are treated as cold, until their own
        entries are current: a heartbeat, a read and a margin.
    evacuation_grace_ms : int
        Time in which open flows may complete after their data centre was evacuated;
        the operators' limit of 5 s minus the propagation time of the change.
    """

    opening_timeout_ms: int = 25
    n_opening_retries: int = 2
    probe_ms: int = 1_000
    probe_max_ms: int = 2_000
    probe_expedited_ms: int = 250
    probe_timeout_ms: int = 250
    probe_repeat_ms: int = 100
    probe_delay_max_ms: int = 100
    store_probe_ms: int = 250
    remote_probe_interval_ms: int = 2_000
    retransmission_ms: int = 150
    peer_failure_ttl_ms: int = 1_500
    n_failure_confirmations: int = 2
    peer_load_ttl_ms: int = 1_500
    departed_keep_ms: int = 60_000
    departed_grace_ms: int = 300
    steady_ms: int = 3_500
    remote_penalty: float = 1.0
    peer_load_weight: float = 0.5
    flow_weight: float = 0.02
    n_flows_max: int = 50_000
    flow_idle_ms: int = 20_000
    request_max_ms: int = 400
    cold_overshoot: float = 1.5
    n_cold_slack: int = 5
    n_cold_senders: int = 2
    return_cold_ms: int = 4_000
    evacuation_grace_ms: int = 4_000
