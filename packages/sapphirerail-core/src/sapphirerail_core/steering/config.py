"""Settings of the steering of packets."""

import msgspec

__all__ = ["SteeringConfig"]


class SteeringConfig(msgspec.Struct, frozen=True):
    """When servers are suspected, how openings are repeated, what is held back.

    Parameters
    ----------
    opening_repeat_ms : int
        Time without an answer after which an opening is sent to a second server;
        about three round trips of a caller (3 ms one way).
    n_opening_repeats : int
        How often one opening is repeated by the instance.
    probe_ms, probe_max_ms : int
        First and longest wait before a dead server is probed again.
    probe_hurried_ms : int
        Wait before the next probe while callers are refused for want of a server.
    probe_timeout_ms : int
        Time in which a probe must connect; a hundred round trips between data centres.
    probe_repeat_ms : int
        Time after which a probe connects a second time, as packets get lost.
    store_probe_ms : int
        Time between two probes of the store by an instance that reaches nothing
        elsewhere; half of the routers' interval, so that neither end of a partition is
        noticed a whole one late.
    spread_ms : int
        Time between two rounds of probes of all servers elsewhere while a data centre
        and the store are out of reach; their number grows with the fleet.
    retransmission_ms : int
        Least time after which repeated data counts as a sign of silence; callers
        retransmit after 200 ms, and packets may overtake each other before.
    peer_suspicion_ms : int
        How long another instance's proof of a death counts.
    n_death_proofs : int
        Instances, this one included, that must have proof of a death before open flows
        are reset: the probes of one may fail by its own link. An instance that hears no
        peer needs its own proof only.
    peer_report_ms : int
        How long the load that another instance reported counts.
    departed_keep_ms : int
        How long a departed server is remembered; the longest life of a flow.
    departed_grace_ms : int
        Time after a departure before its flows are reset.
    steady_ms : int
        Time that the store must have answered before a missing entry counts as a
        departure: entries return within 2 s of an outage's end, plus a heartbeat.
    remote_penalty : float
        Occupancy, in slots per slot, that a server of another data centre must be
        ahead by before it is preferred: a full one, as its load is known only as far
        as this instance makes it. Ways compared in bench/steering_load.py.
    stale_share : float
        Part of what peers reported that counts among servers of one data centre: it is
        half of an interval old on average, and the instances would all follow it.
    flow_weight : float
        Expected occupancy of an open flow that has no request in flight.
    n_flows_max : int
        Flows that are tracked; the longest idle one is forgotten first.
    flow_idle_ms : int
        Idle time after which the record of a flow is dropped, before operators have
        given theirs.
    request_max_ms : int
        Longest time that an unanswered request counts as in flight.
    cold_overshoot, n_cold_slack : float and int
        A cold server bears its rate times the overshoot plus the slack a second.
    n_cold_senders : int
        Instances that may believe to be the one sender of a cold server at a time.
    return_cold_ms : int
        How long servers of a returned data centre count as cold until their own
        entries tell: a heartbeat, a read and a margin.
    evacuation_grace_ms : int
        Time in which open flows may end after their data centre was taken out; the
        operators' bound of 5 s less the time in which the change arrives.
    """

    opening_repeat_ms: int = 25
    n_opening_repeats: int = 2
    probe_ms: int = 1_000
    probe_max_ms: int = 2_000
    probe_hurried_ms: int = 250
    probe_timeout_ms: int = 250
    probe_repeat_ms: int = 100
    store_probe_ms: int = 250
    spread_ms: int = 2_000
    retransmission_ms: int = 150
    peer_suspicion_ms: int = 1_500
    n_death_proofs: int = 2
    peer_report_ms: int = 1_500
    departed_keep_ms: int = 60_000
    departed_grace_ms: int = 300
    steady_ms: int = 3_500
    remote_penalty: float = 1.0
    stale_share: float = 0.5
    flow_weight: float = 0.02
    n_flows_max: int = 50_000
    flow_idle_ms: int = 20_000
    request_max_ms: int = 400
    cold_overshoot: float = 1.5
    n_cold_slack: int = 5
    n_cold_senders: int = 2
    return_cold_ms: int = 4_000
    evacuation_grace_ms: int = 4_000
