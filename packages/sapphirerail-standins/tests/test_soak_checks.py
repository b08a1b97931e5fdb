"""Each check of the soak test finds a violation and accepts allowed histories."""

import pytest

from sapphirerail_standins.soak_checks import (
    CONFIGURE_MS,
    CONTACT_MS,
    DRAIN_MS,
    EVACUATE_MS,
    find_violations,
)
from sapphirerail_standins.soak_history import (
    Answered,
    DataCentreChanged,
    FaultInterval,
    FlowReset,
    History,
    OpeningArrived,
    Refused,
    RequestExecuted,
    RouteChanged,
    ServerDrainChanged,
    TimedOut,
)

HOST = "127.0.1.1"
# Longer after the start than the contact time.
T = 50_000


def opening(at_ms):
    return OpeningArrived(at_ms, "server-1", "osu", 8445, HOST)


VIOLATIONS = {
    "own_answers": [Answered(T, "server-1", b"r1", b"server-1:r2")],
    "at_most_once": [
        RequestExecuted(T, "server-1", b"r1"),
        RequestExecuted(T, "server-2", b"r1"),
    ],
    "open_flows": [
        RouteChanged(100, 8445, True),
        FlowReset(T, "server-1", 8445, is_by_server=False),
    ],
    "draining_servers": [
        ServerDrainChanged(T, "server-1", True),
        opening(T + DRAIN_MS + 1),
    ],
    "data_centres_out": [
        DataCentreChanged(T, "osu", True),
        opening(T + EVACUATE_MS + 1),
    ],
    "removed_routes": [RouteChanged(T, 8445, False), opening(T + CONFIGURE_MS + 1)],
    "calm_service": [TimedOut(T, T + 1_400, "server-1")],
}

ALLOWED = {
    "a whole answer": [Answered(T, "server-1", b"r1", b"server-1:r1")],
    "a flow of a server that was unresponsive": [
        FaultInterval("server-1", T - CONTACT_MS, T - CONTACT_MS + 100, "silent"),
        FlowReset(T, "server-1", 8443, is_by_server=False),
    ],
    # Found by the soak test with seed 34.
    "a flow whose route is removed": [
        RouteChanged(100, 8445, False),
        FlowReset(T, "server-1", 8445, is_by_server=False),
    ],
    "a flow that a crashed server lost": [
        FaultInterval("server-1", 100, 200, "crash"),
        FlowReset(T, "server-1", 8443, is_by_server=True),
    ],
    "an opening soon after a drain": [
        ServerDrainChanged(T, "server-1", True),
        opening(T + DRAIN_MS - 1),
    ],
    "an opening after a server is ready again": [
        ServerDrainChanged(T, "server-1", True),
        ServerDrainChanged(T + 4_000, "server-1", False),
        opening(T + 4_001),
    ],
    "an instance that cannot reach the store": [
        FaultInterval(HOST, T - 100, T + 5_000, "cut"),
        RouteChanged(T, 8445, False),
        opening(T + CONFIGURE_MS + 1),
    ],
    "a refusal during a store fault": [
        FaultInterval("store", T - 100, T, "busy"),
        Refused(T + 10, T + 12),
    ],
}


def history(events):
    recorded = History()
    for event in events:
        recorded.record(event)
    return recorded


@pytest.mark.parametrize("check", VIOLATIONS)
def test_a_violation_is_found_by_its_check(check):
    (violation,) = find_violations(history(VIOLATIONS[check]))
    assert violation.startswith(f"{check}: ")


@pytest.mark.parametrize("case", ALLOWED)
def test_effects_of_faults_are_no_violations(case):
    assert find_violations(history(ALLOWED[case])) == []
