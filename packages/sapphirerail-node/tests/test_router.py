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
    """Records calls and returns the effects it was given."""

    def __init__(self, *, takes_server=False):
        self.calls = []
        self.effects = []
        self._takes_server = takes_server

    def submit(self, datagram, now_ms):
        self.calls.append(datagram)
        return self.effects

    on_caller_datagram = submit

    def expects(self, datagram):
        return self._takes_server

    def on_server_datagram(self, server, datagram, now_ms):
        self.calls.append((server, datagram))
        return self.effects


class _Bench:
    def __init__(self, *, requests_take_server=False):
        self.flows = _Handler()
        self.requests = _Handler(takes_server=requests_take_server)
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
def test_new_work_goes_to_requests_with_its_sender(kind):
    bench = _Bench()
    bench.router.on_caller_datagram(_datagram(kind), _CALLER, 1)
    assert [d.caller for d in bench.requests.calls] == ["127.0.0.1:9"]
    assert not bench.flows.calls


@pytest.mark.parametrize("kind", [Kind.OPEN, Kind.REQUEST, Kind.CANCEL])
@pytest.mark.parametrize("caller", ["[::1]:80", "::1:80", "painter.example:80", "x"])
def test_new_work_of_a_caller_without_an_ipv4_address_is_refused(kind, caller):
    bench = _Bench()
    bench.router.on_caller_datagram(_datagram(kind, caller=caller), _CALLER, 1)
    (refusal,) = bench.sent_to_callers
    assert (refusal.kind, refusal.code) == (Kind.REFUSAL, RefusalCode.MALFORMED)
    assert (refusal.run, refusal.caller) == (Run.NO, "127.0.0.1:9")
    assert not bench.requests.calls
    assert bench.metrics.counters["dropped.caller.bad_address"] == 1


def test_parts_go_to_flows_and_keep_the_caller_that_the_fabric_wrote():
    bench = _Bench()
    datagram = _datagram(Kind.DATA, caller="127.0.0.1:11")
    bench.router.on_caller_datagram(datagram, _CALLER, 1)
    assert bench.flows.calls == [datagram]


def test_unknown_service_is_refused_as_not_run():
    bench = _Bench()
    bench.router.on_caller_datagram(_datagram(Kind.REQUEST, "x"), _CALLER, 1)
    (refusal,) = bench.sent_to_callers
    assert (refusal.kind, refusal.code) == (Kind.REFUSAL, RefusalCode.UNKNOWN_SERVICE)
    assert refusal.run is Run.NO


def test_unknown_service_of_a_retransmission_may_have_run():
    bench = _Bench()
    datagram = _datagram(Kind.REQUEST, "x", attempt=1)
    bench.router.on_caller_datagram(datagram, _CALLER, 1)
    assert bench.sent_to_callers[0].run is Run.UNKNOWN


def test_without_a_plan_all_is_refused_as_not_run():
    bench = _Bench()
    bench.router.on_plan(EMPTY_PLAN)
    bench.router.on_caller_datagram(_datagram(Kind.REQUEST), _CALLER, 1)
    (refusal,) = bench.sent_to_callers
    assert (refusal.code, refusal.run) == (RefusalCode.NO_PLAN, Run.NO)


@pytest.mark.parametrize("names", [("a", "z"), ("z", "a")])
def test_address_of_a_server_that_left_belongs_to_the_new_one(names):
    gone, new = names
    left = msgspec.structs.replace(
        _PLAN.servers["b1"], server=gone, service="other", state=ServerState.LEFT
    )
    entered = msgspec.structs.replace(_PLAN.servers["b1"], server=new)
    servers = {gone: left, new: entered}
    for order in (servers, dict(reversed(servers.items()))):
        bench = _Bench()
        bench.router.on_plan(msgspec.structs.replace(_PLAN, servers=order))
        bench.router.on_server_datagram(_datagram(Kind.ACK), _SERVER_SENDER, 1)
        assert bench.flows.calls == [(new, _datagram(Kind.ACK))]
        effect = SendToServer(gone, _datagram(Kind.DATA, "other"))
        bench.router.execute([effect])
        assert not bench.sent_to_servers
        assert bench.metrics.counters["dropped.outgoing.server_left"] == 1


def test_caller_cannot_send_a_kind_of_servers():
    bench = _Bench()
    bench.router.on_caller_datagram(_datagram(Kind.ANSWER), _CALLER, 1)
    assert not bench.flows.calls and not bench.requests.calls
    assert bench.metrics.counters["dropped.caller.unexpected_kind"] == 1


def test_server_datagram_is_taken_only_from_a_planned_address():
    bench = _Bench()
    bench.router.on_server_datagram(_datagram(Kind.ACK), ("127.0.0.1", 1), 1)
    assert not bench.flows.calls
    bench.router.on_server_datagram(_datagram(Kind.ACK), _SERVER_SENDER, 1)
    assert bench.flows.calls == [("b1", _datagram(Kind.ACK))]


def test_server_of_another_service_is_dropped():
    bench = _Bench()
    bench.router.on_server_datagram(_datagram(Kind.ACK, "other"), _SERVER_SENDER, 1)
    assert not bench.flows.calls
    assert bench.journal.entries()[-1].reason is Reason.DATAGRAM_DROPPED


def test_requests_take_the_server_datagrams_that_they_expect():
    bench = _Bench(requests_take_server=True)
    bench.router.on_server_datagram(_datagram(Kind.ANSWER), _SERVER_SENDER, 1)
    assert bench.requests.calls and not bench.flows.calls


@pytest.mark.parametrize(
    ("server", "service", "counter"),
    [
        ("b1", "other", "dropped.outgoing.wrong_service"),
        ("b2", "bookings", "dropped.outgoing.data_centre_out"),
        ("b9", "bookings", "dropped.outgoing.unknown_server"),
    ],
)
def test_guards_on_the_way_out(server, service, counter):
    bench = _Bench()
    bench.router.execute([SendToServer(server, _datagram(Kind.DATA, service))])
    assert not bench.sent_to_servers
    assert bench.metrics.counters[counter] == 1


def test_effects_are_carried_out():
    bench = _Bench()
    datagram = _datagram(Kind.DATA)
    bench.router.execute([SendToServer("b1", datagram), SendToCaller(datagram)])
    assert bench.sent_to_servers == [(datagram, "127.0.0.1:5001")]
    assert bench.sent_to_callers == [datagram]


def test_unknown_effect_is_an_error():
    with pytest.raises(TypeError):
        _Bench().router.execute([msgspec.UNSET])
