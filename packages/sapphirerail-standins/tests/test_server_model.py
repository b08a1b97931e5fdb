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


class Bench:
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


def test_answer_is_whole_and_belongs_to_the_request():
    bench = Bench()
    request = bench.request(1, body=b"payload", attempt=2, caller="c")
    bench.clock.run_until(20)
    answers = [datagram for datagram, _ in bench.sent]
    assert [answer.part for answer in answers] == [0, 1, 2]
    assert {answer.caller for answer in answers} == {"c"}
    content = decode_answer(b"".join(answer.body for answer in answers))
    assert is_answer_to(content, request, b"payload")
    assert not is_answer_to(content, request, b"other")
    assert decode_answer(answers[0].body) is None


def test_two_slots_then_a_queue_then_shedding():
    bench = Bench()
    for request in range(1, 6):
        bench.request(request)
    assert bench.started() == [1, 2]
    [(refusal, _)] = bench.sent
    assert (refusal.request, refusal.code) == (5, RefusalCode.SERVER_SHED)
    assert refusal.run is Run.NO
    bench.clock.run_until(100)
    assert bench.started() == [1, 2, 3, 4]


def test_a_request_that_comes_twice_runs_twice():
    bench = Bench()
    bench.request(1)
    bench.request(1, attempt=1)
    bench.clock.run_until(20)
    assert bench.started() == [1, 1]


def test_request_is_not_started_after_its_deadline():
    bench = Bench()
    for request in (1, 2, 3):
        bench.request(request, deadline_ms=10)
    bench.clock.run_until(20)
    assert bench.started() == [1, 2]
    refusal = next(d for d, _ in bench.sent if d.kind is Kind.REFUSAL)
    assert (refusal.request, refusal.run) == (3, Run.NO)
    assert refusal.code is RefusalCode.DEADLINE_EXCEEDED


@pytest.mark.parametrize(("request_id", "run"), [(1, Run.UNKNOWN), (3, Run.NO)])
def test_cancel_says_whether_the_request_began(request_id, run):
    bench = Bench()
    for request in (1, 2, 3):
        bench.request(request)
    bench.request(request_id, kind=Kind.CANCEL)
    [(refusal, _)] = bench.sent
    assert (refusal.code, refusal.run) == (RefusalCode.CANCELLED, run)


def test_cold_server_falls_silent_under_too_much():
    bench = Bench(starts_cold=True, silent_ms=500, warm_up_ms=2000)
    bench.request(1)
    bench.request(2)
    overload = bench.model.events[-2:]
    assert any(isinstance(event, ColdOverload) for event in overload)
    bench.request(3)
    bench.clock.run_until(499)
    assert bench.sent == []
    bench.clock.run_until(500)
    bench.request(4)
    bench.clock.run_until(600)
    assert {datagram.request for datagram, _ in bench.sent} == {4}


def test_warm_again_after_the_warm_up():
    bench = Bench(warm_up_ms=100)
    assert not bench.model.is_cold()
    bench.model.turn_cold()
    assert bench.model.is_cold()
    bench.clock.run_until(100)
    assert not bench.model.is_cold()


def test_feed_follows_the_address_that_was_heard_last():
    bench = Bench(feed_interval_ms=10)
    opening = bench.request(0, kind=Kind.OPEN, traffic_class=TrafficClass.FEED)
    bench.clock.run_until(20)
    keepalive = msgspec.structs.replace(opening, kind=Kind.KEEPALIVE)
    bench.model.on_datagram(keepalive, "other")
    bench.clock.run_until(30)
    events = [(d.part, to) for d, to in bench.sent if d.kind is Kind.DATA]
    assert events == [(1, "instance"), (2, "instance"), (3, "other")]
    bench.model.on_datagram(msgspec.structs.replace(opening, kind=Kind.CLOSE), "x")
    bench.clock.run_until(100)
    assert bench.model.n_flows == 0
    assert len([d for d, _ in bench.sent if d.kind is Kind.DATA]) == 3


def test_upload_is_acknowledged_and_answered_with_its_digest():
    bench = Bench()
    bench.request(0, kind=Kind.OPEN, traffic_class=TrafficClass.UPLOAD)
    for part, body in ((2, b"b"), (1, b"a")):
        upload = bench.request(0, kind=Kind.DATA, part=part, n_parts=2, body=body)
    assert bench.kinds() == [Kind.ACK, Kind.ACK, Kind.ACK, Kind.ANSWER]
    content = decode_answer(bench.sent[-1][0].body)
    assert is_answer_to(content, upload, b"ab")


def test_unknown_flow_is_reset():
    bench = Bench()
    bench.request(0, kind=Kind.DATA, part=1)
    bench.request(0, kind=Kind.KEEPALIVE)
    assert bench.kinds() == [Kind.RESET, Kind.RESET]
    assert bench.sent[0][0].code is RefusalCode.FLOW_LOST


def test_reports_lag_and_lie():
    bench = Bench(report_lag_ms=100, service_ms=1000)
    bench.request(1)
    bench.request(0, kind=Kind.PROBE)
    bench.clock.run_until(150)
    bench.request(0, kind=Kind.PROBE)
    bench.model.settings.reports_lie = True
    bench.request(0, kind=Kind.PROBE)
    reports = [
        msgspec.msgpack.decode(datagram.body, type=HealthReport)
        for datagram, _ in bench.sent
    ]
    assert [report.n_busy for report in reports] == [0, 1, 0]


def test_datagram_of_another_service_is_recorded_but_not_served():
    bench = Bench()
    bench.request(1, service="sketch")
    bench.clock.run_until(100)
    assert bench.sent == []
    assert bench.model.events[0].service != bench.model.events[0].served


def test_draining_server_sheds_new_requests():
    bench = Bench()
    bench.model.is_draining = True
    bench.request(1)
    assert bench.sent[0][0].code is RefusalCode.SERVER_SHED
