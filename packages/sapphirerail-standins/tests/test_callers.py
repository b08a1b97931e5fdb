import random

import msgspec
import pytest

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode, Run
from sapphirerail_standins.callers import CallerModel
from sapphirerail_standins.clock import VirtualClock
from sapphirerail_standins.history import (
    Answered,
    Corrupted,
    FlowEnded,
    FlowEnding,
    Misdelivered,
    Refused,
    TimedOut,
)
from sapphirerail_standins.server_model import ServerModel
from sapphirerail_standins.server_settings import ServerSettings


class Bench:
    """Callers in front of one server, over a wire that may lose or change."""

    def __init__(self, **settings):
        self.clock = VirtualClock()
        self.random = random.Random(3)
        self.loss_share = 0.0
        self.change = lambda datagram: datagram
        self.callers = CallerModel(self.clock, self._forward, seed=1)
        self.server = ServerModel(
            ServerSettings(server="s1", service="hold", **settings),
            self.clock,
            self._back,
        )

    def _forward(self, datagram):
        if self.random.random() >= self.loss_share:
            self.clock.call_later(1, lambda: self.server.on_datagram(datagram, "i"))

    def _back(self, datagram, _):
        changed = self.change(datagram)
        if changed is not None and self.random.random() >= self.loss_share:
            self.clock.call_later(1, lambda: self.callers.on_datagram(changed))

    def events(self, kind):
        return [event for event in self.callers.events if isinstance(event, kind)]


def test_hold_is_answered():
    bench = Bench()
    transaction = bench.callers.transaction("hold")
    bench.clock.run_until(100)
    [answered] = bench.events(Answered)
    assert (answered.request, answered.server) == (transaction.opening.request, "s1")
    assert transaction.is_done


def test_hold_is_sent_again_with_a_higher_attempt_until_its_deadline():
    bench = Bench()
    bench.loss_share = 1.0
    transaction = bench.callers.transaction("hold", deadline_ms=1000)
    bench.clock.run_until(1500)
    assert transaction.n_attempts == 5
    assert len(bench.events(TimedOut)) == 1


def test_refusal_ends_a_hold():
    bench = Bench(n_queue_max=0)
    bench.server.is_draining = True
    bench.callers.transaction("hold")
    bench.clock.run_until(1000)
    [refused] = bench.events(Refused)
    assert (refused.code, refused.run) == (RefusalCode.SERVER_SHED, Run.NO)


@pytest.mark.parametrize(
    "spoilt",
    [
        lambda answer: msgspec.structs.replace(answer, body=b"x"),
        lambda answer: msgspec.structs.replace(answer, n_parts=2),
    ],
)
def test_spoilt_answer_is_noticed(spoilt):
    bench = Bench()
    bench.change = spoilt
    bench.callers.transaction("hold")
    bench.clock.run_until(100)
    assert len(bench.events(Corrupted)) == 1


def test_answer_to_another_request_is_noticed():
    bench = Bench()
    first = bench.callers.transaction("hold")
    second = bench.callers.transaction("hold")

    def swap(datagram):
        return msgspec.structs.replace(
            datagram, flow=second.flow, request=second.opening.request
        )

    bench.change = lambda d: swap(d) if d.flow == first.flow else None
    bench.clock.run_until(100)
    assert len(bench.events(Corrupted)) == 1


def test_datagram_of_an_unknown_flow_or_service_is_noticed():
    bench = Bench()
    transaction = bench.callers.transaction("hold")
    for flow, service in ((transaction.flow, "sketch"), (1, "hold")):
        stray = Datagram(kind=Kind.ANSWER, service=service, flow=flow)
        bench.callers.on_datagram(stray)
    assert len(bench.events(Misdelivered)) == 2


def test_feed_counts_events_and_closes():
    bench = Bench(feed_interval_ms=10)
    feed = bench.callers.feed("hold")
    bench.clock.run_until(105)
    assert feed.n_events == 10
    feed.close()
    bench.clock.run_until(200)
    assert bench.server.n_flows == 0
    assert bench.events(FlowEnded)[0].ending is FlowEnding.CLOSED


def test_feed_notices_silence():
    bench = Bench()
    feed = bench.callers.feed("hold")
    bench.clock.run_until(500)
    assert feed.is_open
    bench.loss_share = 1.0
    bench.clock.run_until(12_000)
    [ended] = bench.events(FlowEnded)
    assert ended.ending is FlowEnding.UNRESPONSIVE
    assert feed.longest_gap_ms >= 10_000


def test_feed_of_a_server_that_forgot_it_is_reset():
    bench = Bench()
    bench.callers.feed("hold")
    bench.clock.run_until(500)
    bench.server.drop_state()
    bench.clock.run_until(3000)
    [ended] = bench.events(FlowEnded)
    assert (ended.ending, ended.code) == (FlowEnding.RESET, RefusalCode.FLOW_LOST)


@pytest.mark.parametrize("loss_share", [0.0, 0.3])
def test_upload_arrives_whole(loss_share):
    bench = Bench()
    bench.loss_share = loss_share
    upload = bench.callers.upload("hold", 12)
    bench.clock.run_until(20_000)
    assert upload.n_acknowledged == 12
    assert len(bench.events(Answered)) == 1
    assert bench.events(FlowEnded)[0].ending is FlowEnding.COMPLETE
