"""Usual latency of a server."""

__all__ = ["LatencyTrack"]

_SMOOTHING = 0.1


class LatencyTrack:
    """Exponentially weighted mean of latencies that are not outliers."""

    def __init__(self) -> None:
        self.mean_ms: float | None = None

    def add(self, latency_ms: int) -> None:
        """Take a latency into the mean."""
        if self.mean_ms is None:
            self.mean_ms = float(latency_ms)
            return
        self.mean_ms += _SMOOTHING * (latency_ms - self.mean_ms)

    def expected_ms(self, default_ms: int) -> float:
        """Return the mean, or the default before the first latency."""
        return float(default_ms) if self.mean_ms is None else self.mean_ms

    def is_slow(self, latency_ms: int, factor: float, floor_ms: int) -> bool:
        """Return whether a latency is far above the mean."""
        if self.mean_ms is None or latency_ms < floor_ms:
            return False
        return latency_ms > factor * self.mean_ms
