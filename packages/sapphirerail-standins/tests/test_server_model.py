import msgspec
import pytest

from sapphirerail_core.datagram import (
    Datagram,
    HealthReport,
    Kind,
    RefusalCode,
    Run,
)
from sapphirerail_core.types import TrafficClass
from sapphirerail_standins.answers import decode_answer, is_answer_to
from sapphirerail_standins.clock import VirtualClock
from sapphirerail_standins.history import ColdOverload, RunStarted
from sapphirerail_standins.server_model import ServerModel
from sapphirerail_standins.server_settings import ServerSettings


class Simulation:
    def __init__(self, **settings):
        self.clock = VirtualClock()
        self.sent = []
        self.model = ServerModel(
            ServerSettings(server="s1", service="hold", **settings),
            self.clock,
            lambda datagram, address: self.sent.append((datagram, address)),
        )

    def request(self, request, **fields):
        fields = {"kind": Kind.REQUEST, "service": "hold", "flow": 7} | fields
        datagram = Datagram(request=request, **fields)
        self.model.on_datagram(datagram, "instance")
        return datagram

    def kinds(self):
        return [datagram.kind for datagram, _ in self.sent]

    def started(self):
        events = self.model.events
        return [event.request for event in events if isinstance(event, RunStarted)]


def test_answer_is_complete_and_belongs_to_the_request():
    simulation = Simulation()
    request = simulation.request(1, body=b"payload", attempt=2, caller="c")
    simulation.clock.run_until(20)
    answers = [datagram for datagram, _ in simulation.sent]
    assert [answer.part for answer in answers] == [0, 1, 2]
    assert {answer.caller for answer in answers} == {"c"}
    content = decode_answer(b"".join(answer.body for answer in answers))
    assert is_answer_to(content, request, b"payload")
    assert not is_answer_to(content, request, b"other")
    assert decode_answer(answers[0].body) is None


def test_requests_fill_the_slots_then_the_queue_then_are_shed():
    simulation = Simulation()
    for request in range(1, 6):
        simulation.request(request)
    assert simulation.started() == [1, 2]
    [(refusal, _)] = simulation.sent
    assert (refusal.request, refusal.code) == (5, RefusalCode.SERVER_SHED)
    assert refusal.run is Run.NO
    simulation.clock.run_until(100)
    assert simulation.started() == [1, 2, 3, 4]


def test_request_that_arrives_twice_runs_twice():
    simulation = Simulation()
    simulation.request(1)
    simulation.request(1, attempt=1)
    simulation.clock.run_until(20)
    assert simulation.started() == [1, 1]


def test_request_is_not_started_after_its_deadline():
    simulation = Simulation()
    for request in (1, 2, 3):
        simulation.request(request, deadline_ms=10)
    simulation.clock.run_until(20)
    assert simulation.started() == [1, 2]
    refusal = next(d for d, _ in simulation.sent if d.kind is Kind.REFUSAL)
    assert (refusal.request, refusal.run) == (3, Run.NO)
    assert refusal.code is RefusalCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize(("request_id", "run"), [(1, Run.UNKNOWN), (3, Run.NO)])
def test_cancelled_request_reports_whether_it_was_started(request_id, run):
    simulation = Simulation()
    for request in (1, 2, 3):
        simulation.request(request)
    simulation.request(request_id, kind=Kind.CANCEL)
    [(refusal, _)] = simulation.sent
    assert (refusal.code, refusal.run) == (RefusalCode.CANCELLED, run)


def test_overloaded_cold_server_becomes_unresponsive():
    simulation = Simulation(starts_cold=True, silent_ms=500, warm_up_ms=2000)
    simulation.request(1)
    simulation.request(2)
    overload = simulation.model.events[-2:]
    assert any(isinstance(event, ColdOverload) for event in overload)
    simulation.request(3)
    simulation.clock.run_until(499)
    assert simulation.sent == []
    simulation.clock.run_until(500)
    simulation.request(4)
    simulation.clock.run_until(600)
    assert {datagram.request for datagram, _ in simulation.sent} == {4}


def test_server_is_warm_after_its_warm_up_time():
    simulation = Simulation(warm_up_ms=100)
    assert not simulation.model.is_cold()
    simulation.model.turn_cold()
    assert simulation.model.is_cold()
    simulation.clock.run_until(100)
    assert not simulation.model.is_cold()


def test_feed_is_sent_to_the_latest_sender_address():
    simulation = Simulation(feed_interval_ms=10)
    opening = simulation.request(0, kind=Kind.OPEN, traffic_class=TrafficClass.FEED)
    simulation.clock.run_until(20)
    keepalive = msgspec.structs.replace(opening, kind=Kind.KEEPALIVE)
    simulation.model.on_datagram(keepalive, "other")
    simulation.clock.run_until(30)
    events = [(d.part, to) for d, to in simulation.sent if d.kind is Kind.DATA]
    assert events == [(1, "instance"), (2, "instance"), (3, "other")]
    simulation.model.on_datagram(msgspec.structs.replace(opening, kind=Kind.CLOSE), "x")
    simulation.clock.run_until(100)
    assert simulation.model.n_flows == 0
    assert len([d for d, _ in simulation.sent if d.kind is Kind.DATA]) == 3


def test_upload_is_acknowledged_and_answered_with_its_digest():
    simulation = Simulation()
    simulation.request(0, kind=Kind.OPEN, traffic_class=TrafficClass.UPLOAD)
    for part, body in ((2, b"b"), (1, b"a")):
        upload = simulation.request(0, kind=Kind.DATA, part=part, n_parts=2, body=body)
    assert simulation.kinds() == [Kind.ACK, Kind.ACK, Kind.ACK, Kind.ANSWER]
    content = decode_answer(simulation.sent[-1][0].body)
    assert is_answer_to(content, upload, b"ab")


def test_datagram_of_an_unknown_flow_is_reset():
    simulation = Simulation()
    simulation.request(0, kind=Kind.DATA, part=1)
    simulation.request(0, kind=Kind.KEEPALIVE)
    assert simulation.kinds() == [Kind.RESET, Kind.RESET]
    assert simulation.sent[0][0].code is RefusalCode.FLOW_LOST


def test_health_reports_lag_or_always_claim_to_be_idle():
    simulation = Simulation(report_lag_ms=100, service_ms=1000)
    simulation.request(1)
    simulation.request(0, kind=Kind.PROBE)
    simulation.clock.run_until(150)
    simulation.request(0, kind=Kind.PROBE)
    simulation.model.settings.reports_lie = True
    simulation.request(0, kind=Kind.PROBE)
    reports = [
        msgspec.msgpack.decode(datagram.body, type=HealthReport)
        for datagram, _ in simulation.sent
    ]
    assert [report.n_busy for report in reports] == [0, 1, 0]


def test_datagram_of_another_service_is_recorded_but_not_served():
    simulation = Simulation()
    simulation.request(1, service="sketch")
    simulation.clock.run_until(100)
    assert simulation.sent == []
    assert simulation.model.events[0].service != simulation.model.events[0].served


def test_draining_server_sheds_new_requests():
    simulation = Simulation()
    simulation.model.is_draining = True
    simulation.request(1)
    assert simulation.sent[0][0].code is RefusalCode.SERVER_SHED
