"""Counters and histograms of an entry instance, and their text form."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import Any

__all__ = ["Histogram", "SteeringMetrics"]

# Milliseconds; from one round trip in a data centre to the longest deadline.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
PREFIX = "sapphirerail"


class Histogram:
    """Counts values by upper bound."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Add a value."""
        self.counts[bisect_left(BUCKETS_MS, value_ms)] += 1
        self.total_ms += value_ms

    def cumulative(self) -> Iterator[tuple[str, int]]:
        """Yield each upper bound with the count of values up to it."""
        total = 0
        for bound, count in zip((*BUCKETS_MS, "+Inf"), self.counts, strict=True):
            total += count
            yield str(bound), total


class SteeringMetrics:
    """All figures of one process.

    Counter and histogram names are pairs of a family and a label, such as
    ``("packets", "known_tag")``.
    """

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, family: str, label: str, n_events: int = 1) -> None:
        """Add to a counter."""
        self.counters[family, label] += n_events

    def record_total(self, family: str, label: str, n_events: int) -> None:
        """Set a counter that is kept elsewhere."""
        self.counters[family, label] = n_events

    def observe(self, family: str, label: str, value_ms: float) -> None:
        """Add a duration."""
        found = self.histograms.get((family, label))
        if found is None:
            found = self.histograms[family, label] = Histogram()
        found.observe(value_ms)

    def collect(self) -> Iterator[Any]:
        """Yield the metric families, as a registry of `prometheus_client` asks."""
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
        """Return all figures in the text exposition format.

        The library is imported by the first call only: an instance whose figures
        nobody asks for does not hold it in memory.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)  # type: ignore[arg-type]
        return generate_latest(registry)
