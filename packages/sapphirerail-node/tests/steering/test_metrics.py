from sapphirerail_node.steering.metrics import Histogram, SteeringMetrics


def test_counters_and_histograms_have_text_exposition():
    metrics = SteeringMetrics()
    metrics.count("packets", "known_tag", 3)
    metrics.record_total("lost", "log_lines", 7)
    metrics.record_total("lost", "log_lines", 9)
    metrics.observe("store", "servers", 4.0)
    text = metrics.exposition().decode()
    assert 'sapphirerail_packets_total{label="known_tag"} 3.0' in text
    assert 'sapphirerail_lost_total{label="log_lines"} 9.0' in text
    assert 'sapphirerail_store_servers_ms_bucket{le="5"} 1.0' in text
    assert "sapphirerail_store_servers_ms_sum 4.0" in text


def test_histogram_buckets_are_cumulative():
    histogram = Histogram()
    for value_ms in (0.5, 1, 7, 9_000):
        histogram.observe(value_ms)
    counts = dict(histogram.cumulative())
    assert (counts["1"], counts["10"], counts["+Inf"]) == (2, 3, 4)
