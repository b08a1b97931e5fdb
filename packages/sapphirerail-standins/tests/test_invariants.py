"""Each invariant: histories that satisfy it and histories that violate it."""

import msgspec
import pytest

from sapphirerail_core.datagram import Kind, RefusalCode, Run
from sapphirerail_core.types import TrafficClass
from sapphirerail_standins import history
from sapphirerail_standins.callers import CallerModel
from sapphirerail_standins.clock import VirtualClock
from sapphirerail_standins.invariants import CHECKS, check, report
from sapphirerail_standins.server_model import ServerModel
from sapphirerail_standins.server_settings import ServerSettings

FLOW = 7
REQUEST = 3


def _arrived(at_ms, **fields):
    known = {
        "server": "s1",
        "served": "hold",
        "service": "hold",
        "kind": Kind.REQUEST,
        "flow": FLOW,
        "request": REQUEST,
        "attempt": 0,
        "is_new_work": True,
    }
    return history.Arrived(at_ms=at_ms, **(known | fields))


def _sent(at_ms, deadline_ms=0):
    return history.Sent(
        at_ms=at_ms,
        kind=Kind.REQUEST,
        service="hold",
        flow=FLOW,
        request=REQUEST,
        deadline_ms=deadline_ms,
    )


def _run(at_ms, **fields):
    known = {"server": "s1", "flow": FLOW, "request": REQUEST, "attempt": 0}
    return history.RunStarted(at_ms=at_ms, **(known | {"idempotent": False} | fields))


def _ended(at_ms, is_complete=True):
    return history.RunEnded(
        at_ms=at_ms, server="s1", flow=FLOW, request=REQUEST, is_complete=is_complete
    )


def _refused(at_ms, run, code=RefusalCode.OVERLOADED):
    return history.Refused(at_ms=at_ms, flow=FLOW, request=REQUEST, code=code, run=run)


def _late(at_ms):
    return _refused(at_ms, Run.UNKNOWN, RefusalCode.DEADLINE_EXCEEDED)


def _placed():
    return history.ServerPlaced(at_ms=0, server="s1", service="hold", data_centre="osu")


def _opened():
    return [
        _arrived(1, kind=Kind.OPEN, request=0),
        history.FlowOpened(at_ms=2, flow=FLOW, traffic_class=TrafficClass.FEED),
    ]


def _broken(at_ms, ending=history.FlowEnding.UNRESPONSIVE):
    return history.FlowEnded(at_ms=at_ms, flow=FLOW, ending=ending)


def _changed(at_ms, subject, state, asked_ms=None):
    asked_ms = at_ms if asked_ms is None else asked_ms
    return history.PlanChanged(
        at_ms=at_ms, subject=subject, state=state, asked_ms=asked_ms
    )


def _stopped(at_ms, ended_ms, **fields):
    known = {"instance": "n1", "is_planned": True}
    return history.InstanceStopped(at_ms=at_ms, ended_ms=ended_ms, **(known | fields))


def _overload(at_ms, is_announced, cold_since_ms=0):
    return history.ColdOverload(
        at_ms=at_ms,
        server="s1",
        n_in_flight=2,
        n_bearable=1,
        cold_since_ms=cold_since_ms,
        is_announced=is_announced,
    )


def _revision(at_ms, revision, where="n1"):
    return history.RevisionSeen(
        at_ms=at_ms, where=where, revision=revision, data_centre="osu"
    )


def _partitioned(at_ms, is_healed):
    return history.Partitioned(at_ms=at_ms, data_centre="osu", is_healed=is_healed)


ACCEPTED = history.SheetAccepted(at_ms=100, revision=2, n_lines=1)
TIMED_OUT = history.TimedOut(at_ms=500, flow=FLOW, request=REQUEST)
CORRUPTED = history.Corrupted(at_ms=9, flow=FLOW, request=REQUEST, detail="cut")
MISDELIVERED = history.Misdelivered(at_ms=9, flow=FLOW, request=REQUEST, detail="x")
FAILED = history.ServerFailed(at_ms=50, server="s1")

VIOLATING = [
    ("established_flow_survives", [*_opened(), _broken(99)]),
    ("established_flow_survives", [*_opened(), _broken(9, history.FlowEnding.RESET)]),
    (
        "established_flow_survives",
        [*_opened(), history.TimedOut(at_ms=99, flow=FLOW, request=0)],
    ),
    (
        "established_flow_survives",
        [_placed(), *_opened(), _broken(99), _changed(100, "osu", "out")],
    ),
    ("no_packet_to_another_service", [_arrived(1, service="sketch")]),
    ("cold_server_is_not_overloaded", [_overload(1, is_announced=True)]),
    ("cold_server_is_not_overloaded", [_overload(3001, is_announced=False)]),
    (
        "cold_server_is_not_overloaded",
        [_overload(1, is_announced=False), _overload(2, is_announced=False)],
    ),
    (
        "no_packet_to_data_centre_out",
        [_placed(), _changed(1, "osu", "out"), _arrived(5002, kind=Kind.PROBE)],
    ),
    (
        "no_packet_to_data_centre_out",
        [
            _placed(),
            _partitioned(1, False),
            _changed(2, "osu", "out"),
            _partitioned(3000, True),
            _arrived(8001),
        ],
    ),
    ("answer_is_whole_and_own", [CORRUPTED]),
    ("answer_is_whole_and_own", [MISDELIVERED]),
    ("refusal_not_run_is_true", [_run(1), _refused(2, Run.NO)]),
    ("refusal_not_run_is_true", [_refused(2, Run.NO), _run(3, attempt=1)]),
    ("non_idempotent_runs_at_most_once", [_run(1), _run(2, server="s2")]),
    (
        "leaving_server_gets_no_new_work",
        [_changed(1, "s1", "draining"), _changed(9, "s1", "left"), _arrived(5002)],
    ),
    ("planned_stop_cuts_no_request", [_sent(90), _stopped(100, 600), TIMED_OUT]),
    (
        "planned_stop_cuts_no_request",
        [_sent(90), _stopped(100, 600), _refused(200, Run.UNKNOWN)],
    ),
    ("planned_stop_cuts_no_request", [_stopped(100, 600, exit_code=4)]),
    # Refused as late, but never run, aborted, long completed, or refused too early.
    ("planned_stop_cuts_no_request", [_sent(0, 3000), _stopped(9, 99), _late(2950)]),
    (
        "planned_stop_cuts_no_request",
        [_sent(0, 3000), _stopped(9, 99), _run(2700), _late(2950), _ended(2955, False)],
    ),
    (
        "planned_stop_cuts_no_request",
        [_sent(0, 3000), _stopped(9, 99), _run(2500), _ended(2700), _late(2950)],
    ),
    (
        "planned_stop_cuts_no_request",
        [_sent(0, 3000), _stopped(9, 99), _run(2500), _late(2600), _ended(2950)],
    ),
    ("accepted_line_stays_in_force", [_revision(1, 2), _revision(2, 1)]),
    (
        "accepted_line_stays_in_force",
        [_revision(1, 2, history.PLATFORM), _revision(2, 1, history.PLATFORM)],
    ),
    ("accepted_line_stays_in_force", [_revision(99, 1), ACCEPTED, _revision(4101, 1)]),
    (
        "accepted_line_stays_in_force",
        [_partitioned(50, True), _revision(60, 1), ACCEPTED, _revision(4101, 1)],
    ),
    (
        "accepted_line_stays_in_force",
        [ACCEPTED, _revision(9000, 0), _revision(13_001, 0)],
    ),
]

VALID = [
    [*_opened(), _broken(99, history.FlowEnding.CLOSED)],
    [*_opened(), FAILED, _broken(99)],
    [_placed(), *_opened(), _changed(50, "osu", "out"), _broken(99)],
    [_placed(), *_opened(), _broken(99), _changed(100, "osu", "out", asked_ms=98)],
    [_broken(99)],
    [_overload(3000, is_announced=False)],
    [_placed(), _changed(1, "osu", "out"), _arrived(5001)],
    [
        _placed(),
        _changed(1, "osu", "out"),
        _changed(8000, "osu", "in"),
        _arrived(9000),
    ],
    [
        _placed(),
        _partitioned(1, False),
        _changed(2, "osu", "out"),
        _arrived(9000),
        _partitioned(9500, True),
        _arrived(14_500),
    ],
    [
        _placed(),
        _changed(1, "osu", "out"),
        _arrived(9000),
        _changed(9100, "osu", "in", asked_ms=8900),
    ],
    [_run(1), _refused(2, Run.UNKNOWN)],
    [_run(1, idempotent=True), _run(2, idempotent=True)],
    [_changed(1, "s1", "draining"), _arrived(9000, is_new_work=False)],
    [_sent(90), _stopped(600, 700), TIMED_OUT],
    [_sent(40), FAILED, _stopped(100, 600), TIMED_OUT],
    [_sent(90), _stopped(100, 600), _refused(200, Run.NO)],
    [_sent(0, 3000), _stopped(9, 99), _run(2750), _late(2950), _ended(2955)],
    [_revision(99, 1), ACCEPTED, _revision(4100, 1), _revision(4200, 2)],
    [ACCEPTED, _revision(9000, 0), _revision(13_000, 0), _revision(13_001, 2)],
    [_revision(40, 1), _partitioned(50, False), ACCEPTED, _revision(9000, 1)],
    [
        _revision(40, 1),
        _partitioned(50, False),
        ACCEPTED,
        _partitioned(9000, True),
        _revision(9500, 1),
    ],
]


@pytest.mark.parametrize(("name", "events"), VIOLATING)
def test_violation_is_found_by_its_check_alone(name, events):
    violations = check(events)
    assert {violation.name for violation in violations} == {name}
    assert all(violation.trace for violation in violations)
    assert name in report(violations)


@pytest.mark.parametrize("events", VALID)
def test_histories_without_a_violation_pass(events):
    assert check(events) == []


def test_each_check_has_a_violating_history():
    assert {name for name, _ in VIOLATING} == set(CHECKS)
    assert len(CHECKS) == 10


def test_trace_contains_the_change_before_the_break():
    change = _changed(50, "s1", "draining")
    [violation] = check([*_opened(), change, _broken(99)])
    assert change in violation.trace
    assert "draining" in str(violation)


class FaultyBalancer:
    """Connects callers and four servers, and violates one invariant on purpose."""

    def __init__(self, fault):
        self.clock = VirtualClock()
        self.fault = fault
        self.callers = CallerModel(self.clock, self._forward, seed=1)
        self.servers = [
            ServerModel(
                ServerSettings(server=name, service=service, starts_cold=cold),
                self.clock,
                self._return,
            )
            for name, service, cold in (
                ("s1", "hold", False),
                ("s2", "hold", False),
                ("s3", "sketch", False),
                ("s4", "hold", True),
            )
        ]

    def _forward(self, datagram):
        first, second, sketch, cold = self.servers
        first.on_datagram(datagram, "i")
        if self.fault == "runs_twice":
            second.on_datagram(datagram, "i")
        if self.fault == "other_service":
            sketch.on_datagram(datagram, "i")
        if self.fault == "overloads_cold":
            cold.on_datagram(datagram, "i")
        if self.fault == "false_not_run":
            self.callers.on_datagram(
                msgspec.structs.replace(datagram, kind=Kind.REFUSAL, run=Run.NO)
            )

    def _return(self, datagram, _):
        if self.fault == "truncates_answers" and datagram.part == 1:
            datagram = msgspec.structs.replace(datagram, body=datagram.body[:-1])
        self.clock.call_later(1, lambda: self.callers.on_datagram(datagram))

    def history(self):
        self.callers.transaction("hold")
        self.callers.transaction("hold")
        self.clock.run_until(1000)
        records = [server.events for server in self.servers]
        return history.merge_by_time(self.callers.events, *records)


@pytest.mark.parametrize(
    ("fault", "name"),
    [
        ("runs_twice", "non_idempotent_runs_at_most_once"),
        ("other_service", "no_packet_to_another_service"),
        ("overloads_cold", "cold_server_is_not_overloaded"),
        ("false_not_run", "refusal_not_run_is_true"),
        ("truncates_answers", "answer_is_whole_and_own"),
    ],
)
def test_deliberate_violation_is_found(fault, name):
    assert name in {found.name for found in check(FaultyBalancer(fault).history())}


def test_system_without_a_fault_passes():
    assert check(FaultyBalancer("none").history()) == []
