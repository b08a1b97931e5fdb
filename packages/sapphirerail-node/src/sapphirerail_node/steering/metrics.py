"""Counters and histograms of an entry instance, and their text exposition."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import Any

__all__ = ["Histogram", "SteeringMetrics"]

# From one round trip within a data centre to the longest deadline.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
PREFIX = "sapphirerail"


class Histogram:
    """Counts durations by upper bound."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Add a duration."""
        self.counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.total_ms += value_ms

    def cumulative(self) -> Iterator[tuple[str, int]]:
        """Yield each upper bound with the count of durations up to it."""
        total = 0
        for bound, count in zip((*BUCKETS_MS, "+Inf"), self.counts, strict=True):
            total += count
            yield str(bound), total


class SteeringMetrics:
    """All counters and histograms of one process.

    Counter and histogram names are pairs of a family and a label, such as
    ``("packets", "known_tag")``.
    """

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, family: str, label: str, n_events: int = 1) -> None:
        """Increase a counter."""
        self.counters[family, label] += n_events

    def record_total(self, family: str, label: str, n_events: int) -> None:
        """Set a counter to a total that is counted elsewhere."""
        self.counters[family, label] = n_events

    def observe(self, family: str, label: str, value_ms: float) -> None:
        """Add a duration to a histogram."""
        histogram = self.histograms.get((family, label))
        if histogram is None:
            histogram = self.histograms[family, label] = Histogram()
        histogram.observe(value_ms)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, for a registry of `prometheus_client`."""
        from prometheus_client import core

        for family in sorted({name for name, _ in self.counters}):
            metric: Any = core.CounterMetricFamily(
                f"{PREFIX}_{family}", family, labels=["label"]
            )
            for (name, label), value in sorted(self.counters.items()):
                if name == family:
                    metric.add_metric([label], value)
            yield metric
        for (family, label), histogram in sorted(self.histograms.items()):
            metric = core.HistogramMetricFamily(f"{PREFIX}_{family}_{label}_ms", family)
            buckets = list(histogram.cumulative())
            metric.add_metric([], buckets, histogram.total_ms)
            yield metric

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        The library is imported by the first call, so that it takes no memory in an
        instance whose metrics nobody collects.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)  # type: ignore[arg-type]
        return generate_latest(registry)
