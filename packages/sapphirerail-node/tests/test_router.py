import msgspec
import pytest

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode, Run
from sapphirerail_core.effects import SendToCaller, SendToServer
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_core.plan import EMPTY_PLAN, DataCentre, Plan, Server, Service
from sapphirerail_core.types import DataCentreState, ServerState
from sapphirerail_node.metrics import Metrics
from sapphirerail_node.router import EffectSenders, Router

_SERVER_SENDER = ("127.0.0.1", 5001)
_CALLER = ("127.0.0.1", 9)
_PLAN = Plan(
    revision=1,
    data_centres={
        "osu": DataCentre("osu"),
        "tema": DataCentre("tema", DataCentreState.OUT),
    },
    services={"bookings": Service("bookings", "t"), "other": Service("other", "t")},
    servers={
        "b1": Server(
            server="b1",
            service="bookings",
            data_centre="osu",
            address="127.0.0.1:5001",
        ),
        "b2": Server(
            server="b2",
            service="bookings",
            data_centre="tema",
            address="127.0.0.1:5002",
        ),
    },
)


class _Handler:
    """Records calls and returns the effects set by the test."""

    def __init__(self, *, expects_all=False):
        self.calls = []
        self.effects = []
        self._expects_all = expects_all

    def submit(self, datagram, now_ms):
        self.calls.append(datagram)
        return self.effects

    on_caller_datagram = submit

    def expects(self, datagram):
        return self._expects_all

    def on_server_datagram(self, server, datagram, now_ms):
        self.calls.append((server, datagram))
        return self.effects


class _RouterFixture:
    def __init__(self, *, requests_expect_all=False):
        self.flows = _Handler()
        self.requests = _Handler(expects_all=requests_expect_all)
        self.sent_to_callers = []
        self.sent_to_servers = []
        self.metrics = Metrics()
        self.journal = Journal("osu-1")
        self.router = Router(
            self.flows,
            self.requests,
            EffectSenders(
                to_caller=self.sent_to_callers.append,
                to_server=lambda d, a: self.sent_to_servers.append((d, a)),
                to_peer=lambda i, m: None,
            ),
            self.metrics,
            self.journal,
        )
        self.router.on_plan(_PLAN)


def _datagram(kind, service="bookings", **fields):
    return Datagram(kind=kind, service=service, flow=7, **fields)


@pytest.mark.parametrize("kind", [Kind.OPEN, Kind.REQUEST, Kind.CANCEL])
def test_new_work_is_submitted_with_the_senders_address(kind):
    fixture = _RouterFixture()
    fixture.router.on_caller_datagram(_datagram(kind), _CALLER, 1)
    assert [d.caller for d in fixture.requests.calls] == ["127.0.0.1:9"]
    assert not fixture.flows.calls


@pytest.mark.parametrize("kind", [Kind.OPEN, Kind.REQUEST, Kind.CANCEL])
@pytest.mark.parametrize("caller", ["[::1]:80", "::1:80", "painter.example:80", "x"])
def test_new_work_without_an_ipv4_caller_address_is_refused(kind, caller):
    fixture = _RouterFixture()
    fixture.router.on_caller_datagram(_datagram(kind, caller=caller), _CALLER, 1)
    (refusal,) = fixture.sent_to_callers
    assert (refusal.kind, refusal.code) == (Kind.REFUSAL, RefusalCode.MALFORMED)
    assert (refusal.run, refusal.caller) == (Run.NO, "127.0.0.1:9")
    assert not fixture.requests.calls
    assert fixture.metrics.counters["dropped.caller.bad_address"] == 1


def test_data_goes_to_flows_with_the_caller_set_by_the_fabric():
    fixture = _RouterFixture()
    datagram = _datagram(Kind.DATA, caller="127.0.0.1:11")
    fixture.router.on_caller_datagram(datagram, _CALLER, 1)
    assert fixture.flows.calls == [datagram]


def test_unknown_service_is_refused_as_not_run():
    fixture = _RouterFixture()
    fixture.router.on_caller_datagram(_datagram(Kind.REQUEST, "x"), _CALLER, 1)
    (refusal,) = fixture.sent_to_callers
    assert (refusal.kind, refusal.code) == (Kind.REFUSAL, RefusalCode.UNKNOWN_SERVICE)
    assert refusal.run is Run.NO


def test_retransmission_to_an_unknown_service_may_have_run():
    fixture = _RouterFixture()
    datagram = _datagram(Kind.REQUEST, "x", attempt=1)
    fixture.router.on_caller_datagram(datagram, _CALLER, 1)
    assert fixture.sent_to_callers[0].run is Run.UNKNOWN


def test_new_work_without_a_plan_is_refused_as_not_run():
    fixture = _RouterFixture()
    fixture.router.on_plan(EMPTY_PLAN)
    fixture.router.on_caller_datagram(_datagram(Kind.REQUEST), _CALLER, 1)
    (refusal,) = fixture.sent_to_callers
    assert (refusal.code, refusal.run) == (RefusalCode.NO_PLAN, Run.NO)


@pytest.mark.parametrize("names", [("a", "z"), ("z", "a")])
def test_reused_address_belongs_to_the_new_server(names):
    left_name, new_name = names
    left = msgspec.structs.replace(
        _PLAN.servers["b1"], server=left_name, service="other", state=ServerState.LEFT
    )
    entered = msgspec.structs.replace(_PLAN.servers["b1"], server=new_name)
    servers = {left_name: left, new_name: entered}
    for order in (servers, dict(reversed(servers.items()))):
        fixture = _RouterFixture()
        fixture.router.on_plan(msgspec.structs.replace(_PLAN, servers=order))
        fixture.router.on_server_datagram(_datagram(Kind.ACK), _SERVER_SENDER, 1)
        assert fixture.flows.calls == [(new_name, _datagram(Kind.ACK))]
        effect = SendToServer(left_name, _datagram(Kind.DATA, "other"))
        fixture.router.execute([effect])
        assert not fixture.sent_to_servers
        assert fixture.metrics.counters["dropped.outgoing.server_left"] == 1


def test_datagram_kind_of_servers_is_dropped_from_a_caller():
    fixture = _RouterFixture()
    fixture.router.on_caller_datagram(_datagram(Kind.ANSWER), _CALLER, 1)
    assert not fixture.flows.calls and not fixture.requests.calls
    assert fixture.metrics.counters["dropped.caller.unexpected_kind"] == 1


def test_server_datagram_from_an_unknown_address_is_dropped():
    fixture = _RouterFixture()
    fixture.router.on_server_datagram(_datagram(Kind.ACK), ("127.0.0.1", 1), 1)
    assert not fixture.flows.calls
    fixture.router.on_server_datagram(_datagram(Kind.ACK), _SERVER_SENDER, 1)
    assert fixture.flows.calls == [("b1", _datagram(Kind.ACK))]


def test_server_datagram_of_another_service_is_dropped():
    fixture = _RouterFixture()
    fixture.router.on_server_datagram(_datagram(Kind.ACK, "other"), _SERVER_SENDER, 1)
    assert not fixture.flows.calls
    assert fixture.journal.entries()[-1].reason is Reason.DATAGRAM_DROPPED


def test_server_datagram_that_requests_expect_goes_to_requests():
    fixture = _RouterFixture(requests_expect_all=True)
    fixture.router.on_server_datagram(_datagram(Kind.ANSWER), _SERVER_SENDER, 1)
    assert fixture.requests.calls and not fixture.flows.calls


@pytest.mark.parametrize(
    ("server", "service", "counter"),
    [
        ("b1", "other", "dropped.outgoing.wrong_service"),
        ("b2", "bookings", "dropped.outgoing.data_centre_out"),
        ("b9", "bookings", "dropped.outgoing.unknown_server"),
    ],
)
def test_outgoing_datagram_that_the_plan_forbids_is_dropped(server, service, counter):
    fixture = _RouterFixture()
    fixture.router.execute([SendToServer(server, _datagram(Kind.DATA, service))])
    assert not fixture.sent_to_servers
    assert fixture.metrics.counters[counter] == 1


def test_effects_are_executed():
    fixture = _RouterFixture()
    datagram = _datagram(Kind.DATA)
    fixture.router.execute([SendToServer("b1", datagram), SendToCaller(datagram)])
    assert fixture.sent_to_servers == [(datagram, "127.0.0.1:5001")]
    assert fixture.sent_to_callers == [datagram]


def test_unknown_effect_raises():
    with pytest.raises(TypeError):
        _RouterFixture().router.execute([msgspec.UNSET])
