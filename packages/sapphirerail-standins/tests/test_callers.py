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


class Simulation:
    """Callers and one server, connected by a link that may drop or alter datagrams."""

    def __init__(self, **settings):
        self.clock = VirtualClock()
        self.random = random.Random(3)
        self.loss_share = 0.0
        self.alter = lambda datagram: datagram
        self.callers = CallerModel(self.clock, self._forward, seed=1)
        self.server = ServerModel(
            ServerSettings(server="s1", service="hold", **settings),
            self.clock,
            self._send_back,
        )

    def _forward(self, datagram):
        if self.random.random() >= self.loss_share:
            self.clock.call_later(1, lambda: self.server.on_datagram(datagram, "i"))

    def _send_back(self, datagram, _):
        altered = self.alter(datagram)
        if altered is not None and self.random.random() >= self.loss_share:
            self.clock.call_later(1, lambda: self.callers.on_datagram(altered))

    def events(self, kind):
        return [event for event in self.callers.events if isinstance(event, kind)]


def test_transaction_is_answered():
    simulation = Simulation()
    transaction = simulation.callers.transaction("hold")
    simulation.clock.run_until(100)
    [answered] = simulation.events(Answered)
    assert (answered.request, answered.server) == (transaction.opening.request, "s1")
    assert transaction.is_done


def test_transaction_is_retransmitted_with_a_higher_attempt_until_its_deadline():
    simulation = Simulation()
    simulation.loss_share = 1.0
    transaction = simulation.callers.transaction("hold", deadline_ms=1000)
    simulation.clock.run_until(1500)
    assert transaction.n_attempts == 5
    assert len(simulation.events(TimedOut)) == 1


def test_refusal_ends_a_transaction():
    simulation = Simulation(n_queue_max=0)
    simulation.server.is_draining = True
    simulation.callers.transaction("hold")
    simulation.clock.run_until(1000)
    [refused] = simulation.events(Refused)
    assert (refused.code, refused.run) == (RefusalCode.SERVER_SHED, Run.NO)


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda answer: msgspec.structs.replace(answer, body=b"x"),
        lambda answer: msgspec.structs.replace(answer, n_parts=2),
    ],
)
def test_corrupted_answer_is_recorded(corrupt):
    simulation = Simulation()
    simulation.alter = corrupt
    simulation.callers.transaction("hold")
    simulation.clock.run_until(100)
    assert len(simulation.events(Corrupted)) == 1


def test_answer_to_another_request_is_recorded_as_corrupted():
    simulation = Simulation()
    first = simulation.callers.transaction("hold")
    second = simulation.callers.transaction("hold")

    def swap(datagram):
        return msgspec.structs.replace(
            datagram, flow=second.flow, request=second.opening.request
        )

    simulation.alter = lambda d: swap(d) if d.flow == first.flow else None
    simulation.clock.run_until(100)
    assert len(simulation.events(Corrupted)) == 1


def test_datagram_of_an_unknown_flow_or_service_is_recorded_as_misdelivered():
    simulation = Simulation()
    transaction = simulation.callers.transaction("hold")
    for flow, service in ((transaction.flow, "sketch"), (1, "hold")):
        stray = Datagram(kind=Kind.ANSWER, service=service, flow=flow)
        simulation.callers.on_datagram(stray)
    assert len(simulation.events(Misdelivered)) == 2


def test_feed_counts_events_and_closes():
    simulation = Simulation(feed_interval_ms=10)
    feed = simulation.callers.feed("hold")
    simulation.clock.run_until(105)
    assert feed.n_events == 10
    feed.close()
    simulation.clock.run_until(200)
    assert simulation.server.n_flows == 0
    assert simulation.events(FlowEnded)[0].ending is FlowEnding.CLOSED


def test_feed_without_events_ends_as_unresponsive():
    simulation = Simulation()
    feed = simulation.callers.feed("hold")
    simulation.clock.run_until(500)
    assert feed.is_open
    simulation.loss_share = 1.0
    simulation.clock.run_until(12_000)
    [ended] = simulation.events(FlowEnded)
    assert ended.ending is FlowEnding.UNRESPONSIVE
    assert feed.longest_gap_ms >= 10_000


def test_feed_is_reset_after_its_server_lost_its_state():
    simulation = Simulation()
    simulation.callers.feed("hold")
    simulation.clock.run_until(500)
    simulation.server.drop_state()
    simulation.clock.run_until(3000)
    [ended] = simulation.events(FlowEnded)
    assert (ended.ending, ended.code) == (FlowEnding.RESET, RefusalCode.FLOW_LOST)


@pytest.mark.parametrize("loss_share", [0.0, 0.3])
def test_upload_arrives_complete_despite_loss(loss_share):
    simulation = Simulation()
    simulation.loss_share = loss_share
    upload = simulation.callers.upload("hold", 12)
    simulation.clock.run_until(20_000)
    assert upload.n_acknowledged == 12
    assert len(simulation.events(Answered)) == 1
    assert simulation.events(FlowEnded)[0].ending is FlowEnding.COMPLETE
