"""Cost of the decision journal: time per entry, compared with the data path, memory."""

import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec

from sapphirerail_core import rendezvous
from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.explain import Query, Subject, select_entries
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_core.types import (
    FlowId,
    InstanceId,
    RequestId,
    ServerId,
    ServiceId,
)

from .result import Figure

__all__ = ["figures"]

N_ENTRIES = 4096
N_CALLS = 20_000
N_REPEATS = 5
N_SERVERS = 7
MEMORY_BYTES_MAX = 4_000_000
"""An eighth of the 32 MB of memory allowed for control functions."""
SHARE_MAX = 0.5
"""Share of a datagram's decoding and placement; most datagrams record no entry."""


def _best_ns(step: Callable[[int], object], n_calls: int = N_CALLS) -> float:
    """Return the nanoseconds per call in the fastest of `N_REPEATS` runs."""
    best_ns = float("inf")
    for _ in range(N_REPEATS):
        start_ns = time.perf_counter_ns()
        for number in range(n_calls):
            step(number)
        best_ns = min(best_ns, (time.perf_counter_ns() - start_ns) / n_calls)
    return best_ns


def _record(journal: Journal, number: int) -> None:
    journal.record(
        number,
        Reason.FLOW_OPENED,
        flow=FlowId(number),
        request=RequestId(number),
        server=ServerId("osu-server-1"),
    )


def _data_path_step() -> Callable[[int], object]:
    """Return the minimal work for a datagram: decode, place, encode."""
    datagram = Datagram(
        kind=Kind.DATA,
        service=ServiceId("bookings"),
        flow=FlowId(1 << 60),
        caller="10.0.0.1:4000",
        body=b"x" * 200,
    )
    payload = msgspec.msgpack.encode(datagram)
    decoder = msgspec.msgpack.Decoder(Datagram)
    encoder = msgspec.msgpack.Encoder()
    keys = [rendezvous.hash_key(f"server-{n}") for n in range(N_SERVERS)]

    def step(number: int) -> object:
        decoded = decoder.decode(payload)
        max(keys, key=lambda key: rendezvous.score(decoded.flow ^ number, key))
        return encoder.encode(decoded)

    return step


def _memory_bytes() -> int:
    tracemalloc.start()
    journal = Journal(InstanceId("osu-1"), N_ENTRIES)
    for number in range(N_ENTRIES * 2):
        _record(journal, (1 << 60) + number)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def figures() -> Iterator[Figure]:
    """Yield the figures of the decision journal."""
    journal = Journal(InstanceId("osu-1"), N_ENTRIES)
    record_ns = _best_ns(lambda number: _record(journal, number))
    path_ns = _best_ns(_data_path_step())
    name = "journal_note_share_of_data_path"
    yield Figure.at_most(name, record_ns / path_ns, "1", SHARE_MAX)
    yield Figure("journal_note", record_ns, "ns")
    yield Figure("journal_data_path", path_ns, "ns")
    size = _memory_bytes()
    yield Figure.at_most("journal_memory_4096", size, "bytes", MEMORY_BYTES_MAX)
    query = Query(Subject.FLOW, "12345")
    scan_ns = _best_ns(lambda _: select_entries(query, journal.entries()), 20)
    yield Figure("journal_scan_4096", scan_ns / 1000, "us")
