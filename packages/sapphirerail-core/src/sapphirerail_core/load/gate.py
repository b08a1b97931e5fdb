"""Admission to one backend server: its queue, requests in flight and limit."""

import math
from dataclasses import dataclass

from ..datagram import HealthReport
from ..types import ServerId
from .config import LimitConfig
from .limit import ConcurrencyLimit, LimitState
from .queue import AdmissionQueue, QueueItem

__all__ = ["InFlightRequest", "InheritedRequests", "ServerGate"]


@dataclass(slots=True)
class InFlightRequest:
    """A request that the server may be running.

    Parameters
    ----------
    sent_at_ms, deadline_at_ms : int
        When it was sent, and when its deadline passes.
    is_overdue : bool
        Whether `ServerGate.check_deadlines` has reported its deadline as passed.
    is_lost : bool
        Whether it counts as lost in transit, so that it occupies no slot.
    """

    sent_at_ms: int
    deadline_at_ms: int
    is_overdue: bool = False
    is_lost: bool = False


@dataclass(frozen=True, slots=True)
class InheritedRequests:
    """Requests that another owner has in flight, until the last of them completes.

    Nobody reports the completion of the requests of a failed owner.
    """

    n_in_flight: int
    until_ms: int
    has_owner_failed: bool = False


class ServerGate:
    """Decides which requests one server gets, as its admission owner.

    Parameters
    ----------
    server : ServerId
        The server.
    n_slots : int
        Requests that it runs concurrently when warm.
    n_flows_max : int
        Connections that it can handle.
    config : LimitConfig
        Thresholds of its limit, and the size of its queue.
    now_ms : int
        Start of the warm-up.
    """

    def __init__(
        self,
        server: ServerId,
        n_slots: int,
        n_flows_max: int,
        config: LimitConfig,
        now_ms: int,
    ) -> None:
        self.server = server
        self.n_flows_max = n_flows_max
        self.n_flows = 0
        self.limit = ConcurrencyLimit(n_slots, config, now_ms)
        self.queue = AdmissionQueue(config.n_queued_per_slot * max(1, n_slots))
        self.in_flight: dict[int, InFlightRequest] = {}
        self._config = config
        # When the newest of the answered requests was sent.
        self._answered_sent_at_ms = -1
        self._n_probes_unanswered = 0
        self._probe_sent_at_ms = -1
        self._responded_at_ms = -1
        self._inherited: dict[str, InheritedRequests] = {}

    def n_in_flight(self, now_ms: int) -> int:
        """Return how many requests the server may be running."""
        inherited = [
            part.n_in_flight
            for part in self._inherited.values()
            if part.until_ms > now_ms
        ]
        return self.n_in_flight_here() + sum(inherited)

    def n_in_flight_here(self) -> int:
        """Return how many requests sent by this owner the server may be running."""
        return sum(not request.is_lost for request in self.in_flight.values())

    def n_outstanding(self) -> int:
        """Return the outstanding requests, a measure of load that instances compare.

        It is at its maximum for an ejected server.
        """
        if self.limit.state is LimitState.EJECTED:
            return self.queue.n_items_max
        return len(self.queue) + len(self.in_flight)

    def max_remaining_ms(self, now_ms: int) -> int:
        """Return the time until no request in flight can still be running."""
        ends_ms = [self._latest_end_ms(request) for request in self.in_flight.values()]
        ends_ms += [p.until_ms for p in self._inherited.values() if p.n_in_flight]
        return max(0, math.ceil(max(ends_ms)) - now_ms) if ends_ms else 0

    def has_capacity(self, now_ms: int) -> bool:
        """Return whether one more request may be sent."""
        return self.n_in_flight(now_ms) < self.limit.n_allowed(now_ms)

    def is_unavailable(self, now_ms: int) -> bool:
        """Return whether the server is ejected and gets no trial request now."""
        if self.limit.state is not LimitState.EJECTED:
            return False
        return not self.has_capacity(now_ms)

    def can_open_flow(self) -> bool:
        """Return whether one more connection may be opened."""
        return self.n_flows < self.n_flows_max

    def is_blocked_by_failed_owners(self, now_ms: int) -> bool:
        """Return whether the requests of failed owners may occupy all slots."""
        n_orphaned = sum(
            part.n_in_flight
            for part in self._inherited.values()
            if part.has_owner_failed and part.until_ms > now_ms
        )
        return n_orphaned > 0 and n_orphaned >= self.limit.n_allowed(now_ms)

    def expected_response_ms(self, item: QueueItem) -> float:
        """Return the expected time until an item queued now is answered.

        It is the time in the queue plus one run. A request in flight is half done on
        average.
        """
        default_ms = self._config.latency_floor_ms
        mean_ms = self.limit.latency.expected_ms(default_ms)
        n_ahead = self.queue.n_ahead(item.traffic_class) + len(self.in_flight) / 2
        return mean_ms * (1 + n_ahead / max(1, self.limit.n_in_flight_max))

    def is_likely_to_miss_deadline(self, remaining_ms: int) -> bool:
        """Return whether a request is likely to miss its deadline while it runs.

        A waiting request then makes better use of the slot, and this one can still be
        refused as not run. An idle server gets it anyway, because its answer may show
        that the normal latency has changed; on a busy server, other requests show it.
        """
        if not len(self.queue) and not self.in_flight:
            return False
        return remaining_ms < self.limit.latency.upper_estimate_ms(0)

    def is_sufficient_time(self, timeout_ms: int) -> bool:
        """Return whether a healthy server is expected to answer within a timeout."""
        mean_ms = self.limit.latency.expected_ms(0)
        return timeout_ms >= self._config.short_timeout_factor * mean_ms

    def has_stalled(self, sent_at_ms: int, now_ms: int) -> bool:
        """Return whether a request has been unanswered for abnormally long."""
        return now_ms - sent_at_ms > self.limit.stall_age_ms()

    def set_inherited(
        self,
        owner: str,
        n_in_flight: int,
        until_ms: int,
        *,
        has_owner_failed: bool = False,
    ) -> None:
        """Set how many requests another owner has in flight at the server."""
        self._inherited[owner] = InheritedRequests(
            n_in_flight, until_ms, has_owner_failed
        )

    def on_sent(self, key: int, deadline_at_ms: int, now_ms: int) -> None:
        """Count a request as in flight."""
        self.in_flight[key] = InFlightRequest(now_ms, deadline_at_ms)

    def on_probe_sent(self, now_ms: int) -> None:
        """Count a probe; too many consecutive unanswered ones eject the server."""
        if self.is_unreachable():
            self.limit.on_unreachable(now_ms)
        self._n_probes_unanswered += 1
        self._probe_sent_at_ms = now_ms

    def needs_early_probe(self, now_ms: int) -> bool:
        """Return whether to probe before the next notice, as callers may be waiting.

        They are if a request has stalled and the server has sent nothing since.
        """
        if now_ms - self._probe_sent_at_ms < self._config.stalled_probe_ms:
            return False
        return any(
            request.sent_at_ms > self._responded_at_ms
            and not request.is_overdue
            and self.has_stalled(request.sent_at_ms, now_ms)
            for request in self.in_flight.values()
        )

    def is_unreachable(self) -> bool:
        """Return whether the server answered none of the last probes."""
        return self._n_probes_unanswered >= self._config.n_probes_to_eject

    def on_report(self, report: HealthReport, now_ms: int) -> None:
        """Update the state after a health report, which also answers a probe."""
        self._on_response(now_ms)
        self.n_flows = report.n_flows
        self.limit.on_report(report, now_ms)

    def on_answer(self, key: int, now_ms: int) -> None:
        """Release the slot of a request that was answered."""
        self._on_response(now_ms)
        request = self.in_flight.pop(key, None)
        if request is not None:
            self._answered_sent_at_ms = max(
                self._answered_sent_at_ms, request.sent_at_ms
            )
            self.limit.on_answer(now_ms - request.sent_at_ms, now_ms)

    def on_refusal(self, key: int, is_shed: bool, now_ms: int) -> None:
        """Release the slot of a request that the server refused."""
        self._on_response(now_ms)
        request = self.in_flight.pop(key, None)
        if request is not None and is_shed:
            self.limit.on_shed(now_ms)

    def _on_response(self, now_ms: int) -> None:
        self._n_probes_unanswered = 0
        self._responded_at_ms = now_ms

    def release_slot(self, key: int) -> None:
        """Release the slot of a request that was sent to another server instead."""
        self.in_flight.pop(key, None)

    def check_deadlines(self, now_ms: int) -> list[int]:
        """Mark overdue requests and release the slots of those that have ended.

        Timeouts and stalled requests also lower the limit.

        Returns
        -------
        list of int
            The keys of the requests whose deadline passed since the last call.
        """
        overdue = []
        for key, request in list(self.in_flight.items()):
            # The server answered a later request, so only this one was lost.
            is_lost_alone = request.sent_at_ms < self._answered_sent_at_ms
            if request.deadline_at_ms <= now_ms and not request.is_overdue:
                request.is_overdue = True
                overdue.append(key)
                if not is_lost_alone:
                    self._on_deadline_missed(request, now_ms)
            elif request.is_overdue:
                # The server may have dropped it at the deadline, so that a missing
                # answer shows nothing more.
                continue
            elif self.has_stalled(request.sent_at_ms, now_ms):
                if not is_lost_alone:
                    self.limit.on_stall(now_ms)
                elif self.limit.state is LimitState.WARM:
                    # A warm server can handle one more request if this one is running.
                    request.is_lost = True
        self._release_completed(now_ms)
        return overdue

    def _on_deadline_missed(self, request: InFlightRequest, now_ms: int) -> None:
        """Count a timeout; one with a short deadline counts less."""
        if self.is_sufficient_time(request.deadline_at_ms - request.sent_at_ms):
            self.limit.on_timeout(now_ms)
        else:
            self.limit.on_short_timeout(now_ms)

    def _release_completed(self, now_ms: int) -> None:
        for key, request in list(self.in_flight.items()):
            if request.is_overdue and self._latest_end_ms(request) <= now_ms:
                del self.in_flight[key]

    def _latest_end_ms(self, request: InFlightRequest) -> float:
        # A server may check the deadline only before it starts to run a request.
        stalled_at_ms = request.sent_at_ms + self.limit.stall_age_ms()
        return (
            max(request.deadline_at_ms, stalled_at_ms) + self._config.deadline_grace_ms
        )
