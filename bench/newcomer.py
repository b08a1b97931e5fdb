"""Owner lookups of an instance that has just started, at the target size."""

import random
import time
from collections.abc import Callable, Iterator
from functools import partial

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.effects import Effect, SendToPeer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.flow import FlowConfig, FlowDirector
from sapphirerail_core.flow.messages import Register, Registered
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import (
    DataCentreId,
    FlowId,
    InstanceId,
    InstanceState,
    ServerId,
    ServerState,
    TrafficClass,
)
from sapphirerail_standins.flow_plans import BOOKINGS, change_servers, first_plan

from .result import Figure

__all__ = ["figures"]

N_DATA_CENTRES = 7
N_INSTANCES_EACH = 557
N_FLOWS = 14_100
N_MEMBERS_PER_PAGE = 12
PAGE_MS = 100
N_FLOWS_PER_PAGE = 41
TICK_MS = 100
DURATION_MS = 30_000
STALL_MS_MAX = 500  # after a longer pause an instance no longer trusts its state


class _Newcomer:
    """One instance; measures the processor time of each step."""

    def __init__(self, members: dict[InstanceId, DataCentreId], plan: Plan) -> None:
        self.fleet = FixedFleet(next(iter(members)), dict(members))
        journal = Journal(self.fleet.self_id)
        random_state = random.Random(1)
        self.director = FlowDirector.from_config(
            FlowConfig(), self.fleet, journal, random_state
        )
        self.director.on_plan(plan, 0)
        self.step_times_ms: list[float] = []

    def run_timed(self, step: Callable[[], list[Effect]]) -> list[Effect]:
        start_s = time.process_time()
        effects = step()
        self.step_times_ms.append((time.process_time() - start_s) * 1_000)
        return effects

    def tick(self, now_ms: int) -> None:
        """Run a tick; each batch that is sent to an owner is acknowledged."""
        effects = self.run_timed(lambda: self.director.tick(now_ms))
        for effect in effects:
            if isinstance(effect, SendToPeer) and isinstance(effect.message, Register):
                answer = Registered(effect.message.serial)
                self.director.on_message(effect.instance, answer, now_ms)


def figures() -> Iterator[Figure]:
    """Yield the longest stalls and the processor time after a start."""
    flow_random = random.Random(2)
    flows = [FlowId(flow_random.getrandbits(64)) for _ in range(N_FLOWS)]
    members = _members()
    steady = first_plan()
    draining = {ServerId("bookings-0"): ServerState.DRAINING}
    drain = change_servers(steady, draining)
    yield from _packets(_Newcomer(members, steady), flows, "steady")
    yield from _packets(_Newcomer(members, drain), flows, "drain")
    yield from _registrations(_Newcomer(members, steady), flows)
    yield from _pages(members, drain, flows)


def _members() -> dict[InstanceId, DataCentreId]:
    return {
        InstanceId(f"dc{data_centre}-{number}"): DataCentreId(f"dc{data_centre}")
        for data_centre in range(N_DATA_CENTRES)
        for number in range(N_INSTANCES_EACH)
    }


def _packets(newcomer: _Newcomer, flows: list[FlowId], name: str) -> Iterator[Figure]:
    """Yield the cost of one packet of each existing flow, one after the other."""
    for flow in flows:
        _send(newcomer, flow, 1_000)
    total_s = sum(newcomer.step_times_ms) / 1_000
    yield Figure(f"newcomer_packets_{name}_processor", total_s, "s")
    longest_ms = max(newcomer.step_times_ms)
    figure = f"newcomer_packets_{name}_longest"
    yield Figure.at_most(figure, longest_ms, "ms", STALL_MS_MAX)


def _registrations(newcomer: _Newcomer, flows: list[FlowId]) -> Iterator[Figure]:
    """Yield the cost of registering the records, two seconds after the packets."""
    context = newcomer.director._context
    for flow in flows:
        _send(newcomer, flow, 1_000)
        row = context.table.find(BOOKINGS, flow)
        if row is not None:
            server = context.table.server(row)
            newcomer.director.on_server_datagram(server, _keepalive(flow), 1_010)
    newcomer.step_times_ms.clear()
    for now_ms in range(1_100, DURATION_MS, TICK_MS):
        newcomer.tick(now_ms)
    total_s = sum(newcomer.step_times_ms) / 1_000
    yield Figure("newcomer_records_processor", total_s, "s")
    longest_ms = max(newcomer.step_times_ms)
    yield Figure.at_most("newcomer_records_longest", longest_ms, "ms", STALL_MS_MAX)


def _pages(
    members: dict[InstanceId, DataCentreId], plan: Plan, flows: list[FlowId]
) -> Iterator[Figure]:
    """Yield the cost of adding the members of the other data centres, page by page."""
    local_data_centre = next(iter(members.values()))
    known = {
        name: data_centre
        for name, data_centre in members.items()
        if data_centre == local_data_centre
    }
    newcomer = _Newcomer(known, plan)
    others = [name for name in members if name not in known]
    remaining_flows = iter(flows)
    for number, start in enumerate(range(0, len(others), N_MEMBERS_PER_PAGE)):
        now_ms = 1_000 + number * PAGE_MS
        page = others[start : start + N_MEMBERS_PER_PAGE]
        newcomer.run_timed(partial(_add_members, newcomer, members, page, now_ms))
        for _ in range(N_FLOWS_PER_PAGE):
            _send(newcomer, next(remaining_flows), now_ms)
    total_s = sum(newcomer.step_times_ms) / 1_000
    share = total_s * 1_000 / (len(others) / N_MEMBERS_PER_PAGE * PAGE_MS)
    yield Figure.at_most("newcomer_pages_processor_share", share, "1", 1.0)
    longest_ms = max(newcomer.step_times_ms)
    yield Figure.at_most("newcomer_pages_longest", longest_ms, "ms", STALL_MS_MAX)


def _add_members(
    newcomer: _Newcomer,
    members: dict[InstanceId, DataCentreId],
    page: list[InstanceId],
    now_ms: int,
) -> list[Effect]:
    for name in page:
        newcomer.fleet.members[name] = members[name]
        newcomer.director.on_instance_state(name, InstanceState.ALIVE, now_ms)
    return []


def _send(newcomer: _Newcomer, flow: FlowId, now_ms: int) -> None:
    datagram = _keepalive(flow)
    newcomer.run_timed(lambda: newcomer.director.on_caller_datagram(datagram, now_ms))


def _keepalive(flow: FlowId) -> Datagram:
    return Datagram(
        kind=Kind.KEEPALIVE,
        service=BOOKINGS,
        flow=flow,
        traffic_class=TrafficClass.FEED,
        caller="10.0.0.1:4000",
    )
