"""Bytes of state per flow in a full flow table, and eviction beyond its capacity."""

import random
import tracemalloc
from collections.abc import Iterator

from sapphirerail_core.flow.table import FlowFlag, FlowTable
from sapphirerail_core.types import FlowId, ServerId, ServiceId, TrafficClass

from .result import Baseline, Figure

__all__ = ["figures"]

N_FLOWS = 300_000
N_FLOWS_PLAIN = 60_000
N_FLOWS_EXCESS = 1_000
FLOW_BYTES_MAX = 200
N_SERVERS = 7
N_FLOWS_TARGET = 14_103  # per instance: 55 million flows on 3,900 instances
CONTROL_MEMORY_BYTES = 32 * 1024 * 1024


def figures() -> Iterator[Figure]:
    """Yield the memory of a full table and the results of evictions."""
    tracemalloc.start()
    plain = _plain_table()
    plain_bytes = tracemalloc.get_traced_memory()[0] / len(plain)
    tracemalloc.stop()
    tracemalloc.start()
    table = _full_table()
    n_bytes = tracemalloc.get_traced_memory()[0] / N_FLOWS
    tracemalloc.stop()
    baseline = Baseline("dict_of_tuples", plain_bytes)
    yield Figure.at_most("flow_state_bytes", n_bytes, "B", FLOW_BYTES_MAX, baseline)
    share = n_bytes * N_FLOWS_TARGET / CONTROL_MEMORY_BYTES
    yield Figure.at_most("flow_state_share_of_memory_at_target", share, "1", 0.25)
    yield from _eviction_figures(table)


def _plain_table() -> dict[tuple[str, int], tuple[str, int, int, float]]:
    """Return the same state as a dict of tuples, for fewer flows."""
    random_state = random.Random(1)
    service = "bookings"
    return {
        (service, random_state.getrandbits(64)): (f"10.0.0.1:{n}", n % 7, n, float(n))
        for n in range(N_FLOWS_PLAIN)
    }


def _full_table() -> FlowTable:
    table = FlowTable(N_FLOWS)
    random_state = random.Random(1)
    service = ServiceId("bookings")
    servers = [ServerId(f"bookings-{n}") for n in range(N_SERVERS)]
    for position in range(N_FLOWS):
        flow = FlowId(random_state.getrandbits(64))
        server = servers[position % N_SERVERS]
        row = table.insert(service, flow, server, 1_000 + position)
        table.set_caller(row, flow & 0xFFFFFFFFFFFF)
        table.set_traffic_class(row, TrafficClass.FEED)
        table.set_flags(row, FlowFlag.CONFIRMED)
    return table


def _eviction_figures(table: FlowTable) -> Iterator[Figure]:
    """Yield whether a full table evicts only the flows that were idle longest."""
    service = ServiceId("bookings")
    recently_used = table.oldest()
    if recently_used is not None:
        table.record_caller_contact(recently_used, 10_000_000)
    n_evicted_in_use = 0
    for number in range(N_FLOWS_EXCESS):
        flow = FlowId(number)
        oldest = table.oldest()
        if oldest is not None:
            n_evicted_in_use += oldest == recently_used
            table.remove(oldest)
        table.insert(service, flow, ServerId("bookings-0"), 10_000_000)
    yield Figure.at_most("flow_evicted_in_use", n_evicted_in_use, "flows", 0)
    excess = len(table) - table.n_flows_max
    yield Figure.at_most("flow_table_excess", excess, "flows", 0)
