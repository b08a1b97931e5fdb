"""Measures service while a data centre is evacuated and restored, on virtual time."""

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
DATA_CENTRES = ("osu", "madina", "tema", "kaneshie")
EVACUATED = DataCentreId("osu")
N_SERVERS = 7
N_INSTANCES = 4
N_FEEDS = 40
SERVICE_MS = 40.0
TRANSACTION_INTERVAL_MS = 50.0
SETTLED_MS = 10_000
EVACUATED_MS = 20_000
RESTORED_MS = 35_000
END_MS = 50_000
IN_FORCE_SPREAD_MS = 1_000
TRAFFIC_STOP_MS = 5_000
WINDOW_MS = 1_000
OTHERS_SHARE_MIN = 0.99
LOCAL_SHARE_MIN = 0.95
SEED = 7


def figures() -> Iterator[Figure]:
    """Yield the service of other and of local callers relative to before."""
    system = _run()
    events = system.history()
    others = [name for name in DATA_CENTRES if name != EVACUATED]
    phases = {
        "out": (EVACUATED_MS, RESTORED_MS),
        "back": (RESTORED_MS, END_MS - WINDOW_MS),
    }
    for phase, (from_ms, to_ms) in phases.items():
        for name, data_centres, bound in (
            ("others", others, OTHERS_SHARE_MIN),
            ("own", [EVACUATED], LOCAL_SHARE_MIN),
        ):
            share = _service_share(system, events, data_centres, from_ms, to_ms)
            figure = f"service_{name}_while_{phase}_share"
            yield Figure.at_least(figure, share, "1", bound)
    worst = _worst_second(system, events, others)
    yield Figure("service_others_worst_second_share", worst, "1")
    yield Figure.at_most(
        "service_packets_to_data_centre_out",
        _n_packets_to_evacuated(system, events),
        "datagrams",
        0,
    )
    yield Figure.at_most(
        "service_flows_broken_elsewhere", _n_broken(system, events), "flows", 0
    )


def _run() -> VirtualSystem:
    plan = _plan(DataCentreState.IN, 1)
    system = VirtualSystem(plan, N_INSTANCES, SERVICE_MS, SEED)
    random_state = random.Random(SEED)
    system.clock.run_until(SETTLED_MS / 2)
    for number in range(N_FEEDS):
        system.callers[DataCentreId(DATA_CENTRES[number % len(DATA_CENTRES)])].feed(
            SERVICE
        )
    for callers in system.callers.values():
        _send_transactions(system, callers)
    for at_ms, state, revision in (
        (EVACUATED_MS, DataCentreState.OUT, 2),
        (RESTORED_MS, DataCentreState.IN, 3),
    ):
        system.clock.run_until(at_ms)
        delays_ms = {
            name: random_state.random() * IN_FORCE_SPREAD_MS
            for name in system.instances
        }
        system.distribute_plan(_plan(state, revision), delays_ms)
    system.clock.run_until(END_MS)
    return system


def _send_transactions(system: VirtualSystem, callers: CallerModel) -> None:
    def send() -> None:
        callers.transaction(SERVICE)
        system.clock.call_later(TRANSACTION_INTERVAL_MS, send)

    send()


def _service_share(
    system: VirtualSystem,
    events: Sequence[HistoryEvent],
    data_centres: Sequence[str],
    from_ms: int,
    to_ms: int,
) -> float:
    """Return the answered share of transactions of a period, relative to before."""
    before = _answered_share(system, events, data_centres, SETTLED_MS, EVACUATED_MS)
    return _answered_share(system, events, data_centres, from_ms, to_ms) / before


def _answered_share(
    system: VirtualSystem,
    events: Sequence[HistoryEvent],
    data_centres: Sequence[str],
    from_ms: int,
    to_ms: int,
) -> float:
    flows = _transaction_flows(system, data_centres)
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
    system: VirtualSystem, events: Sequence[HistoryEvent], data_centres: Sequence[str]
) -> float:
    """Return the fewest answers in any second, relative to the mean before."""
    flows = _transaction_flows(system, data_centres)
    counts = Counter(
        event.at_ms // WINDOW_MS
        for event in events
        if isinstance(event, Answered) and event.flow in flows
    )
    before = [
        counts[s] for s in range(SETTLED_MS // WINDOW_MS, EVACUATED_MS // WINDOW_MS)
    ]
    after = [counts[s] for s in range(EVACUATED_MS // WINDOW_MS, END_MS // WINDOW_MS)]
    return min(after) * len(before) / sum(before)


def _transaction_flows(system: VirtualSystem, data_centres: Sequence[str]) -> set[int]:
    return {
        transaction.flow
        for name in data_centres
        for transaction in system.callers[DataCentreId(name)].transactions
    }


def _n_packets_to_evacuated(
    system: VirtualSystem, events: Sequence[HistoryEvent]
) -> int:
    out = {s.server for s in system.plan.servers.values() if s.data_centre == EVACUATED}
    return sum(
        1
        for event in events
        if isinstance(event, Arrived)
        and event.server in out
        and EVACUATED_MS + TRAFFIC_STOP_MS < event.at_ms < RESTORED_MS
    )


def _n_broken(system: VirtualSystem, events: Sequence[HistoryEvent]) -> int:
    out = {s.server for s in system.plan.servers.values() if s.data_centre == EVACUATED}
    reset_flows = {
        event.flow
        for event in events
        if isinstance(event, Arrived) and event.server in out
    }
    return sum(
        1
        for event in events
        if isinstance(event, FlowEnded)
        and event.ending is not FlowEnding.CLOSED
        and event.flow not in reset_flows
    )


def _plan(state: DataCentreState, revision: int) -> Plan:
    servers = [
        Server(
            server=ServerId(f"b{number}"),
            service=SERVICE,
            data_centre=DataCentreId(DATA_CENTRES[number % len(DATA_CENTRES)]),
            address=f"10.1.0.{number}:1",
            seat=number,
        )
        for number in range(N_SERVERS)
    ]
    data_centres = {
        DataCentreId(name): DataCentre(DataCentreId(name)) for name in DATA_CENTRES
    }
    data_centres[EVACUATED] = msgspec.structs.replace(
        data_centres[EVACUATED], state=state, changed_at=Revision(revision)
    )
    return Plan(
        revision=Revision(revision),
        data_centres=data_centres,
        services={SERVICE: Service(SERVICE, TenantId("adwinsa"))},
        servers={server.server: server for server in servers},
    )
