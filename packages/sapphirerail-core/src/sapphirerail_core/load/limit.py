"""Limit of work in flight at one backend server, from own observation."""

from enum import Enum

from ..datagram import HealthReport
from .config import LimitConfig
from .latency import LatencyTrack

__all__ = ["LimitState", "ServerLimit"]

_HOLD_FACTOR_MAX = 8


class LimitState(Enum):
    """What an owner believes of its server."""

    WARMING = "warming"
    WARM = "warm"
    EJECTED = "ejected"


class ServerLimit:
    """Adapts the limit of a server; it starts at one request in flight.

    Answers of usual latency raise the limit, any sign of a cold server sets it
    back to one. A server that misses deadlines in a row is ejected: it gets no
    request for a while, then one at a time.

    Parameters
    ----------
    n_slots : int
        Requests that the server runs at a time when warm.
    config : LimitConfig
        Thresholds.
    now_ms : int
        Start of the warm-up.

    Examples
    --------
    >>> limit = ServerLimit(2, LimitConfig(warm_up_ms=0, n_answers_to_rise=1), 0)
    >>> limit.allowed(0)
    1
    >>> limit.on_answer(10, 20)
    >>> limit.allowed(20)
    2
    """

    def __init__(self, n_slots: int, config: LimitConfig, now_ms: int) -> None:
        self.n_slots = max(1, n_slots)
        self.state = LimitState.WARMING
        self.reason = "new"
        self.limit = 1
        self.latency = LatencyTrack()
        self._config = config
        self._limit_since_ms = now_ms
        self._ejected_until_ms = 0
        self._probation_ms = config.probation_ms
        self._hold_factor = 1
        self._n_good = 0
        self._n_slow = 0
        self._n_silent = 0
        self._n_late = 0
        self._n_shed = 0
        self._n_flows_reported = 0

    def allowed(self, now_ms: int) -> int:
        """Return how many requests may be in flight now."""
        if self.state is LimitState.EJECTED:
            return 1 if now_ms >= self._ejected_until_ms else 0
        return self.limit

    def stall_age_ms(self) -> float:
        """Return the age from which an unanswered request is suspicious."""
        usual_ms = self.latency.expected_ms(self._config.stall_floor_ms)
        factor = self._config.stall_factor
        return max(factor * usual_ms, float(self._config.stall_floor_ms))

    def assume_limit(self, limit: int, now_ms: int) -> None:
        """Start from a limit that the previous owner had reached."""
        self.limit = max(1, min(limit, self.n_slots))
        self.state = self._state_of_limit()
        self.reason = "handed over"
        self._limit_since_ms = now_ms

    def on_answer(self, latency_ms: int, now_ms: int) -> None:
        """Take in a whole answer."""
        self._n_silent = 0
        self._n_late = 0
        self._n_shed = 0
        if self.state is LimitState.EJECTED:
            self._fall(now_ms, "answered after ejection")
            self._probation_ms = self._config.probation_ms
        config = self._config
        if self.latency.is_slow(
            latency_ms, config.latency_factor, config.latency_floor_ms
        ):
            self._on_slow(now_ms)
            return
        self._n_slow = 0
        self._n_good += 1
        self.latency.add(latency_ms)
        self._rise(now_ms)

    def on_shed(self, now_ms: int) -> None:
        """Take in a refusal for want of room at the server."""
        self._n_shed += 1
        if self.limit > 1:
            self._fall(now_ms, "shed")
        elif self._n_shed >= self._config.n_sheds_to_eject:
            self._eject(now_ms, "sheds all")

    def on_stall(self, now_ms: int) -> None:
        """Take in that a request has gone unanswered for suspiciously long."""
        if self.limit > 1:
            self._fall(now_ms, "stalled")

    def on_silence(self, now_ms: int) -> None:
        """Take in that a request passed its deadline without an answer."""
        self._n_silent += 1
        if self._n_silent >= self._config.n_silent_to_eject:
            self._eject(now_ms, "silent")
        elif self.state is not LimitState.EJECTED:
            self._fall(now_ms, "missed a deadline")

    def on_unreachable(self, now_ms: int) -> None:
        """Take in that the server answers no probe: it gets no trial request."""
        if self.state is not LimitState.EJECTED:
            self._eject(now_ms, "answers no probe")
        until_ms = now_ms + self._config.probation_ms
        self._ejected_until_ms = max(self._ejected_until_ms, until_ms)

    def on_late(self, now_ms: int) -> None:
        """Take in a missed deadline that a healthy server might miss as well."""
        self._n_late += 1
        if self._n_late >= self._config.n_late_to_fall:
            self._n_late = 0
            self.on_silence(now_ms)

    def on_reset(self, now_ms: int) -> None:
        """Take in that the server has lost what it knew: it was restarted."""
        if self.state is not LimitState.EJECTED:
            self._fall(now_ms, "restarted")

    def on_report(self, report: HealthReport, now_ms: int) -> None:
        """Use a report as a hint; it may only lower the limit."""
        n_before = self._n_flows_reported
        self._n_flows_reported = report.n_flows
        if n_before > 1 and report.n_flows == 0 and report.n_busy == 0:
            self.on_reset(now_ms)

    def _on_slow(self, now_ms: int) -> None:
        self._n_good = 0
        self._n_slow += 1
        if self._n_slow < self._config.n_slow_to_fall:
            return
        self._n_slow = 0
        if self.limit > 1:
            self._fall(now_ms, "slow answers")
            return
        # At the lowest limit the new latency is the usual one. The server may just
        # have turned cold, so that its warm-up begins now.
        self.latency = LatencyTrack()
        self._limit_since_ms = now_ms

    def _rise(self, now_ms: int) -> None:
        if self.limit >= self.n_slots:
            return
        held_ms = now_ms - self._limit_since_ms
        if held_ms < self._config.warm_up_ms * self._hold_factor:
            return
        if self._n_good < self._config.n_answers_to_rise:
            return
        self.limit = min(self.n_slots, self.limit * 2)
        self.state = self._state_of_limit()
        self.reason = "answers on time"
        self._limit_since_ms = now_ms
        self._n_good = 0

    def _fall(self, now_ms: int, reason: str) -> None:
        warming = self.state is LimitState.WARMING and self.limit > 1
        if warming:
            self._hold_factor = min(self._hold_factor * 2, _HOLD_FACTOR_MAX)
        elif self.state is LimitState.WARM:
            self._hold_factor = 1
        self.limit = 1
        self.state = LimitState.WARMING
        self.reason = reason
        self._limit_since_ms = now_ms
        self._n_good = 0

    def _eject(self, now_ms: int, reason: str) -> None:
        was_ejected = self.state is LimitState.EJECTED
        self._fall(now_ms, reason)
        self.state = LimitState.EJECTED
        if was_ejected:
            longest_ms = self._config.probation_max_ms
            self._probation_ms = min(2 * self._probation_ms, longest_ms)
        self._ejected_until_ms = now_ms + self._probation_ms

    def _state_of_limit(self) -> LimitState:
        full = self.limit >= self.n_slots
        return LimitState.WARM if full else LimitState.WARMING
