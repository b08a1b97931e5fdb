"""Service while a data centre leaves and returns, on virtual time."""

import random
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.model import DataCentre, Server, Service
from sapphirerail_core.types import (
    DataCentreId,
    DataCentreState,
    Revision,
    ServerId,
    ServiceId,
    TenantId,
)
from sapphirerail_standins.callers import CallerModel
from sapphirerail_standins.history import (
    Answered,
    Arrived,
    FlowEnded,
    FlowEnding,
    HistoryEvent,
    Sent,
)

from .result import Figure
from .virtual_system import VirtualSystem

SERVICE = ServiceId("bookings")
PLACES = ("osu", "madina", "tema", "kaneshie")
OUT = DataCentreId("osu")
N_SERVERS = 7
N_INSTANCES = 4
N_FEEDS = 40
SERVICE_MS = 40.0
TRANSACTION_INTERVAL_MS = 50.0
SETTLED_MS = 10_000
OUT_MS = 20_000
IN_MS = 35_000
END_MS = 50_000
IN_FORCE_SPREAD_MS = 1_000
FEW_SECONDS_MS = 5_000
WINDOW_MS = 1_000
OTHERS_BOUND = 0.99
OWN_BOUND = 0.95
SEED = 7


def figures() -> Iterator[Figure]:
    """Return the service of the others and of its own callers against before."""
    system = _run()
    events = system.history()
    others = [place for place in PLACES if place != OUT]
    phases = {"out": (OUT_MS, IN_MS), "back": (IN_MS, END_MS - WINDOW_MS)}
    for phase, (from_ms, to_ms) in phases.items():
        for name, places, bound in (
            ("others", others, OTHERS_BOUND),
            ("own", [OUT], OWN_BOUND),
        ):
            share = _service_share(system, events, places, from_ms, to_ms)
            figure = f"service_{name}_while_{phase}_share"
            yield Figure.at_least(figure, share, "1", bound)
    worst = _worst_second(system, events, others)
    yield Figure("service_others_worst_second_share", worst, "1")
    yield Figure.at_most(
        "service_packets_to_data_centre_out",
        _n_packets_out(system, events),
        "datagrams",
        0,
    )
    yield Figure.at_most(
        "service_flows_broken_elsewhere", _n_broken(system, events), "flows", 0
    )


def _run() -> VirtualSystem:
    plan = _plan(DataCentreState.IN, 1)
    system = VirtualSystem(plan, N_INSTANCES, SERVICE_MS, SEED)
    draws = random.Random(SEED)
    system.clock.run_until(SETTLED_MS / 2)
    for number in range(N_FEEDS):
        system.callers[DataCentreId(PLACES[number % len(PLACES)])].feed(SERVICE)
    for callers in system.callers.values():
        _send_holds(system, callers)
    for at_ms, state, revision in (
        (OUT_MS, DataCentreState.OUT, 2),
        (IN_MS, DataCentreState.IN, 3),
    ):
        system.clock.run_until(at_ms)
        delays_ms = {
            name: draws.random() * IN_FORCE_SPREAD_MS for name in system.instances
        }
        system.use_plan(_plan(state, revision), delays_ms)
    system.clock.run_until(END_MS)
    return system


def _send_holds(system: VirtualSystem, callers: CallerModel) -> None:
    def send() -> None:
        callers.transaction(SERVICE)
        system.clock.call_later(TRANSACTION_INTERVAL_MS, send)

    send()


def _service_share(
    system: VirtualSystem,
    events: Sequence[HistoryEvent],
    places: Sequence[str],
    from_ms: int,
    to_ms: int,
) -> float:
    """Return the share of holds sent in a time that were answered, against before."""
    before = _answered_share(system, events, places, SETTLED_MS, OUT_MS)
    return _answered_share(system, events, places, from_ms, to_ms) / before


def _answered_share(
    system: VirtualSystem,
    events: Sequence[HistoryEvent],
    places: Sequence[str],
    from_ms: int,
    to_ms: int,
) -> float:
    flows = _hold_flows(system, places)
    sent = {
        event.flow
        for event in events
        if isinstance(event, Sent)
        and event.flow in flows
        and event.attempt == 0
        and from_ms <= event.at_ms < to_ms
    }
    answered = {event.flow for event in events if isinstance(event, Answered)}
    return len(sent & answered) / len(sent)


def _worst_second(
    system: VirtualSystem, events: Sequence[HistoryEvent], places: Sequence[str]
) -> float:
    """Return the fewest answers of a second against the mean before."""
    flows = _hold_flows(system, places)
    counts = Counter(
        event.at_ms // WINDOW_MS
        for event in events
        if isinstance(event, Answered) and event.flow in flows
    )
    before = [counts[s] for s in range(SETTLED_MS // WINDOW_MS, OUT_MS // WINDOW_MS)]
    after = [counts[s] for s in range(OUT_MS // WINDOW_MS, END_MS // WINDOW_MS)]
    return min(after) * len(before) / sum(before)


def _hold_flows(system: VirtualSystem, places: Sequence[str]) -> set[int]:
    return {
        transaction.flow
        for place in places
        for transaction in system.callers[DataCentreId(place)].transactions
    }


def _n_packets_out(system: VirtualSystem, events: Sequence[HistoryEvent]) -> int:
    out = {s.server for s in system.plan.servers.values() if s.data_centre == OUT}
    return sum(
        1
        for event in events
        if isinstance(event, Arrived)
        and event.server in out
        and OUT_MS + FEW_SECONDS_MS < event.at_ms < IN_MS
    )


def _n_broken(system: VirtualSystem, events: Sequence[HistoryEvent]) -> int:
    out = {s.server for s in system.plan.servers.values() if s.data_centre == OUT}
    given_up = {
        event.flow
        for event in events
        if isinstance(event, Arrived) and event.server in out
    }
    return sum(
        1
        for event in events
        if isinstance(event, FlowEnded)
        and event.ending is not FlowEnding.CLOSED
        and event.flow not in given_up
    )


def _plan(state: DataCentreState, revision: int) -> Plan:
    servers = [
        Server(
            server=ServerId(f"b{number}"),
            service=SERVICE,
            data_centre=DataCentreId(PLACES[number % len(PLACES)]),
            address=f"10.1.0.{number}:1",
            seat=number,
        )
        for number in range(N_SERVERS)
    ]
    data_centres = {
        DataCentreId(place): DataCentre(DataCentreId(place)) for place in PLACES
    }
    data_centres[OUT] = msgspec.structs.replace(
        data_centres[OUT], state=state, changed_at=Revision(revision)
    )
    return Plan(
        revision=Revision(revision),
        data_centres=data_centres,
        services={SERVICE: Service(SERVICE, TenantId("adwinsa"))},
        servers={server.server: server for server in servers},
    )
