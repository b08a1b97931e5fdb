"""Running estimate of a server's latency."""

__all__ = ["LatencyEstimator"]

_SMOOTHING = 0.1
_N_DEVIATIONS = 2


class LatencyEstimator:
    """Exponentially weighted mean and mean absolute deviation, without outliers.

    The caller leaves out the latencies for which `is_slow` returns True.
    """

    def __init__(self) -> None:
        self.mean_ms: float | None = None
        self.deviation_ms = 0.0

    def add(self, latency_ms: int) -> None:
        """Add a sample to the mean and the mean absolute deviation."""
        if self.mean_ms is None:
            self.mean_ms = float(latency_ms)
            return
        difference_ms = latency_ms - self.mean_ms
        self.mean_ms += _SMOOTHING * difference_ms
        self.deviation_ms += _SMOOTHING * (abs(difference_ms) - self.deviation_ms)

    def expected_ms(self, default_ms: int) -> float:
        """Return the mean, or the default without samples."""
        return float(default_ms) if self.mean_ms is None else self.mean_ms

    def upper_estimate_ms(self, default_ms: int) -> float:
        """Return a time that few answers exceed, or the default without samples."""
        return self.expected_ms(default_ms) + _N_DEVIATIONS * self.deviation_ms

    def is_slow(self, latency_ms: int, factor: float, floor_ms: int) -> bool:
        """Return whether a latency exceeds a multiple of the mean and a floor."""
        if self.mean_ms is None or latency_ms < floor_ms:
            return False
        return latency_ms > factor * self.mean_ms
