"""Adaptive concurrency limit of one backend server, from observed answers."""

from enum import Enum

from ..datagram import HealthReport
from .config import LimitConfig
from .latency import LatencyEstimator

__all__ = ["ConcurrencyLimit", "LimitState"]

_WARM_UP_FACTOR_MAX = 8


class LimitState(Enum):
    """State of a server as its admission owner observes it."""

    WARMING = "warming"
    WARM = "warm"
    EJECTED = "ejected"


class ConcurrencyLimit:
    """Adapts how many requests may be in flight at a server, starting at one.

    Answers of normal latency double the limit up to the number of slots (slow start);
    any sign of a cold server resets it to one. After consecutive timeouts the server
    is ejected: it gets no request for some time, and then one trial request at a time.

    Parameters
    ----------
    n_slots : int
        Requests that the warm server runs concurrently.
    config : LimitConfig
        Thresholds and times.
    now_ms : int
        Start of the warm-up.

    Examples
    --------
    >>> config = LimitConfig(warm_up_ms=0, n_answers_to_increase=1)
    >>> limit = ConcurrencyLimit(2, config, 0)
    >>> limit.n_allowed(0)
    1
    >>> limit.on_answer(10, 20)
    >>> limit.n_allowed(20)
    2
    """

    def __init__(self, n_slots: int, config: LimitConfig, now_ms: int) -> None:
        self.n_slots = max(1, n_slots)
        self.state = LimitState.WARMING
        self.reason = "new"
        self.n_in_flight_max = 1
        self.latency = LatencyEstimator()
        self._config = config
        self._limit_since_ms = now_ms
        self._ejected_until_ms = 0
        self._ejection_ms = config.ejection_ms
        self._warm_up_factor = 1
        self._n_normal = 0
        self._n_slow = 0
        self._n_timeouts = 0
        self._n_short_timeouts = 0
        self._n_sheds = 0
        self._n_flows_reported = 0

    def n_allowed(self, now_ms: int) -> int:
        """Return how many requests may be in flight now."""
        if self.state is LimitState.EJECTED:
            return 1 if now_ms >= self._ejected_until_ms else 0
        return self.n_in_flight_max

    def stall_age_ms(self) -> float:
        """Return the age above which an unanswered request is stalled."""
        mean_ms = self.latency.expected_ms(self._config.stall_floor_ms)
        factor = self._config.stall_factor
        return max(factor * mean_ms, float(self._config.stall_floor_ms))

    def adopt_limit(self, limit: int, now_ms: int) -> None:
        """Start from the limit that the previous owner had reached."""
        self.n_in_flight_max = max(1, min(limit, self.n_slots))
        self.state = self._state_of_limit()
        self.reason = "handed over"
        self._limit_since_ms = now_ms

    def on_answer(self, latency_ms: int, now_ms: int) -> None:
        """Update the state after a complete answer."""
        self._n_timeouts = 0
        self._n_short_timeouts = 0
        self._n_sheds = 0
        if self.state is LimitState.EJECTED:
            self._reset_limit(now_ms, "answered after ejection")
            self._ejection_ms = self._config.ejection_ms
        config = self._config
        if self.latency.is_slow(
            latency_ms, config.latency_factor, config.latency_floor_ms
        ):
            self._on_slow(now_ms)
            return
        self._n_slow = 0
        self._n_normal += 1
        self.latency.add(latency_ms)
        self._increase(now_ms)

    def on_shed(self, now_ms: int) -> None:
        """Update the state after the server has shed a request."""
        self._n_sheds += 1
        if self.n_in_flight_max > 1:
            self._reset_limit(now_ms, "shed")
        elif self._n_sheds >= self._config.n_sheds_to_eject:
            self._eject(now_ms, "sheds all")

    def on_stall(self, now_ms: int) -> None:
        """Reset the limit after a request has stalled."""
        if self.n_in_flight_max > 1:
            self._reset_limit(now_ms, "stalled")

    def on_timeout(self, now_ms: int) -> None:
        """Update the state after a request has timed out."""
        self._n_timeouts += 1
        if self._n_timeouts >= self._config.n_timeouts_to_eject:
            self._eject(now_ms, "silent")
        elif self.state is not LimitState.EJECTED:
            self._reset_limit(now_ms, "missed a deadline")

    def on_unreachable(self, now_ms: int) -> None:
        """Eject a server that answers no probe, and postpone its trial request."""
        if self.state is not LimitState.EJECTED:
            self._eject(now_ms, "answers no probe")
        until_ms = now_ms + self._config.ejection_ms
        self._ejected_until_ms = max(self._ejected_until_ms, until_ms)

    def on_short_timeout(self, now_ms: int) -> None:
        """Count a timeout whose deadline a healthy server might miss as well."""
        self._n_short_timeouts += 1
        if self._n_short_timeouts >= self._config.n_short_timeouts_per_timeout:
            self._n_short_timeouts = 0
            self.on_timeout(now_ms)

    def on_restart(self, now_ms: int) -> None:
        """Reset the limit of a server that has restarted and lost its state."""
        if self.state is not LimitState.EJECTED:
            self._reset_limit(now_ms, "restarted")

    def on_report(self, report: HealthReport, now_ms: int) -> None:
        """Use a health report as a hint; it can only lower the limit."""
        n_before = self._n_flows_reported
        self._n_flows_reported = report.n_flows
        if n_before > 1 and report.n_flows == 0 and report.n_busy == 0:
            self.on_restart(now_ms)

    def _on_slow(self, now_ms: int) -> None:
        self._n_normal = 0
        self._n_slow += 1
        if self._n_slow < self._config.n_slow_to_reset:
            return
        self._n_slow = 0
        if self.n_in_flight_max > 1:
            self._reset_limit(now_ms, "slow answers")
            return
        # The limit is at its minimum, so the new latency becomes the normal one. The
        # server may just have turned cold: its warm-up starts now.
        self.latency = LatencyEstimator()
        self._limit_since_ms = now_ms

    def _increase(self, now_ms: int) -> None:
        if self.n_in_flight_max >= self.n_slots:
            return
        unchanged_ms = now_ms - self._limit_since_ms
        if unchanged_ms < self._config.warm_up_ms * self._warm_up_factor:
            return
        if self._n_normal < self._config.n_answers_to_increase:
            return
        self.n_in_flight_max = min(self.n_slots, self.n_in_flight_max * 2)
        self.state = self._state_of_limit()
        self.reason = "answers on time"
        self._limit_since_ms = now_ms
        self._n_normal = 0

    def _reset_limit(self, now_ms: int, reason: str) -> None:
        has_increased = self.state is LimitState.WARMING and self.n_in_flight_max > 1
        if has_increased:
            self._warm_up_factor = min(self._warm_up_factor * 2, _WARM_UP_FACTOR_MAX)
        elif self.state is LimitState.WARM:
            self._warm_up_factor = 1
        self.n_in_flight_max = 1
        self.state = LimitState.WARMING
        self.reason = reason
        self._limit_since_ms = now_ms
        self._n_normal = 0

    def _eject(self, now_ms: int, reason: str) -> None:
        was_ejected = self.state is LimitState.EJECTED
        self._reset_limit(now_ms, reason)
        self.state = LimitState.EJECTED
        if was_ejected:
            max_ms = self._config.ejection_max_ms
            self._ejection_ms = min(2 * self._ejection_ms, max_ms)
        self._ejected_until_ms = now_ms + self._ejection_ms

    def _state_of_limit(self) -> LimitState:
        is_warm = self.n_in_flight_max >= self.n_slots
        return LimitState.WARM if is_warm else LimitState.WARMING
