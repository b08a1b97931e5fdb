from sapphirerail_core.types import TrafficClass
from sapphirerail_node.metrics import Metrics


class _Sink:
    def __init__(self):
        self.counts = []
        self.gauges = {}

    def incr(self, stat, count=1, rate=1):
        self.counts.append((stat, count))

    def gauge(self, stat, value, rate=1, delta=False):
        self.gauges[stat] = value


def test_flush_sends_only_increments():
    sink = _Sink()
    metrics = Metrics(sink)
    metrics.count("a", 2)
    metrics.flush()
    metrics.flush()
    metrics.count("a")
    metrics.flush()
    assert sink.counts == [("a", 2), ("a", 1)]


def test_histograms_are_kept_per_tenant_and_class():
    sink = _Sink()
    metrics = Metrics(sink)
    for latency_ms in range(1, 101):
        metrics.observe_latency("adwinsa", TrafficClass.TRANSACTION, latency_ms)
    metrics.observe_latency("condor", TrafficClass.FEED, 10**9)
    metrics.observe_size("condor", TrafficClass.FEED, 0)
    first, second, third = metrics.summaries()
    assert (first.tenant, first.traffic_class, first.count) == (
        "adwinsa",
        "transaction",
        100,
    )
    assert first.p50 == 50 and first.p99 == 99
    assert second.measure == "latency_ms" and second.max >= 60_000
    assert third.measure == "size_bytes" and third.max == 1
    metrics.flush()
    assert sink.gauges["adwinsa.transaction.latency_ms.p50"] == 50
