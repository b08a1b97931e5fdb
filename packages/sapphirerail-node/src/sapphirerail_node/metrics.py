"""Counters and histograms, with export to statsd."""

from collections import Counter
from typing import Protocol

import msgspec
from hdrh.histogram import HdrHistogram

from sapphirerail_core.types import TenantId, TrafficClass

__all__ = ["HistogramSummary", "Metrics", "StatsdSink"]

LATENCY_MAX_MS = 60_000
SIZE_MAX_BYTES = 65_536
# With two digits a histogram needs only a few kilobytes.
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0)
HistogramKey = tuple[TenantId, TrafficClass, str]


class StatsdSink(Protocol):
    """The methods of a statsd client that `Metrics` calls."""

    def incr(self, stat: str, count: int = 1, rate: float = 1) -> None:
        """Add to a counter."""

    def gauge(
        self, stat: str, value: float, rate: float = 1, delta: bool = False
    ) -> None:
        """Set a gauge."""


class HistogramSummary(msgspec.Struct, frozen=True):
    """Summary of one histogram.

    Parameters
    ----------
    tenant : TenantId
        Tenant that the traffic belongs to.
    traffic_class : str
        Class of the traffic.
    measure : str
        ``latency_ms`` or ``size_bytes``.
    count : int
        Number of values.
    p50, p99, max : int
        Percentiles and the largest value, in the measure's unit.
    """

    tenant: TenantId
    traffic_class: str
    measure: str
    count: int
    p50: int
    p99: int
    max: int


class Metrics:
    """Counters of events, and histograms per tenant and traffic class.

    Parameters
    ----------
    sink : StatsdSink or None
        Destination of `flush`; None disables the export.
    """

    def __init__(self, sink: StatsdSink | None = None) -> None:
        self._sink = sink
        self.counters: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._histograms: dict[HistogramKey, HdrHistogram] = {}

    def count(self, name: str, n_events: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += n_events

    def observe_latency(
        self, tenant: TenantId, traffic_class: TrafficClass, latency_ms: int
    ) -> None:
        """Record the latency of one answer."""
        key = (tenant, traffic_class, "latency_ms")
        self._observe(key, latency_ms, LATENCY_MAX_MS)

    def observe_size(
        self, tenant: TenantId, traffic_class: TrafficClass, size_bytes: int
    ) -> None:
        """Record the size of one payload."""
        key = (tenant, traffic_class, "size_bytes")
        self._observe(key, size_bytes, SIZE_MAX_BYTES)

    def _observe(self, key: HistogramKey, value: int, highest: int) -> None:
        """Record a value, clamped to the range of the histogram."""
        found = self._histograms.get(key)
        if found is None:
            found = HdrHistogram(1, highest, SIGNIFICANT_DIGITS)
            self._histograms[key] = found
        found.record_value(min(max(value, 1), highest))

    def summaries(self) -> list[HistogramSummary]:
        """Return a summary of each histogram, sorted by tenant, class and measure."""
        return [
            HistogramSummary(
                tenant=tenant,
                traffic_class=traffic_class.name.lower(),
                measure=measure,
                count=histogram.get_total_count(),
                p50=histogram.get_value_at_percentile(PERCENTILES[0]),
                p99=histogram.get_value_at_percentile(PERCENTILES[1]),
                max=histogram.get_max_value(),
            )
            for (tenant, traffic_class, measure), histogram in sorted(
                self._histograms.items()
            )
        ]

    def flush(self) -> None:
        """Send the increments since the last call, and the current percentiles."""
        if self._sink is None:
            return
        for name, value in self.counters.items():
            added = value - self._sent[name]
            if added:
                self._sink.incr(name, added)
                self._sent[name] = value
        for summary in self.summaries():
            prefix = f"{summary.tenant}.{summary.traffic_class}.{summary.measure}"
            self._sink.gauge(f"{prefix}.p50", summary.p50)
            self._sink.gauge(f"{prefix}.p99", summary.p99)
