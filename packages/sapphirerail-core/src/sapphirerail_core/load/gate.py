"""Admission to one backend server: what waits, what is in flight, the limit."""

import math
from dataclasses import dataclass

from ..datagram import HealthReport
from ..types import ServerId
from .config import LimitConfig
from .limit import LimitState, ServerLimit
from .queue import AdmissionQueue, QueueItem

__all__ = ["InFlight", "Inherited", "ServerGate"]


@dataclass(slots=True)
class InFlight:
    """A request that the server may be running."""

    sent_at_ms: int
    deadline_at_ms: int
    is_overdue: bool = False
    is_lost: bool = False


@dataclass(frozen=True, slots=True)
class Inherited:
    """Requests of a previous owner, and when the last of them has ended.

    Of a lost owner's requests nobody tells how they end.
    """

    n_in_flight: int
    until_ms: int
    is_lost: bool = False


class ServerGate:
    """Counts a server's work in one place.

    Parameters
    ----------
    server : ServerId
        The server.
    n_slots : int
        Requests that it runs at a time when warm.
    n_flows_max : int
        Connections that it bears.
    config : LimitConfig
        Thresholds of its limit.
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
        self.limit = ServerLimit(n_slots, config, now_ms)
        self.queue = AdmissionQueue(config.n_queued_per_slot * max(1, n_slots))
        self.in_flight: dict[int, InFlight] = {}
        self._config = config
        self._proven_at_ms = -1
        self._n_probes_unanswered = 0
        self._inherited: dict[str, Inherited] = {}

    def n_in_flight(self, now_ms: int) -> int:
        """Return how many requests the server may be running."""
        inherited = [
            part.n_in_flight
            for part in self._inherited.values()
            if part.until_ms > now_ms
        ]
        return self.n_own() + sum(inherited)

    def n_own(self) -> int:
        """Return how many requests of this owner the server may be running."""
        return sum(not work.is_lost for work in self.in_flight.values())

    def n_waiting(self) -> int:
        """Return a figure of load that other instances can compare."""
        if self.limit.state is LimitState.EJECTED:
            return self.queue.n_items_max
        return len(self.queue) + len(self.in_flight)

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time until the last request in flight has surely ended."""
        ends = [self._ended_at_ms(work) for work in self.in_flight.values()]
        ends += [p.until_ms for p in self._inherited.values() if p.n_in_flight]
        return max(0, math.ceil(max(ends)) - now_ms) if ends else 0

    def has_room(self, now_ms: int) -> bool:
        """Return whether one more request may be sent."""
        return self.n_in_flight(now_ms) < self.limit.allowed(now_ms)

    def is_closed(self, now_ms: int) -> bool:
        """Return whether the server is ejected and gets no request now."""
        if self.limit.state is not LimitState.EJECTED:
            return False
        return not self.has_room(now_ms)

    def bears_flow(self) -> bool:
        """Return whether one more connection may be opened."""
        return self.n_flows < self.n_flows_max

    def is_blocked(self, now_ms: int) -> bool:
        """Return whether the requests of lost owners may take all the room."""
        n_lost = sum(
            part.n_in_flight
            for part in self._inherited.values()
            if part.is_lost and part.until_ms > now_ms
        )
        return n_lost > 0 and n_lost >= self.limit.allowed(now_ms)

    def wait_ms(self, item: QueueItem) -> float:
        """Return the expected time to the answer of an item queued now.

        A request in flight is on average half done, and the item itself has to be
        run after its wait.
        """
        default_ms = self._config.latency_floor_ms
        usual_ms = self.limit.latency.expected_ms(default_ms)
        n_ahead = self.queue.n_ahead(item.traffic_class) + len(self.in_flight) / 2
        return usual_ms * (1 + n_ahead / max(1, self.limit.limit))

    def is_hopeless(self, remaining_ms: int) -> bool:
        """Return whether a request may well miss its deadline while it runs.

        Its slot is then better given to one that waits, and it can still be refused
        as not run. An idle server gets it all the same: its latency may show that the
        usual one has changed. A busy one shows that by its other requests.
        """
        if not len(self.queue) and not self.in_flight:
            return False
        return remaining_ms < self.limit.latency.likely_within_ms(0)

    def gave_enough(self, given_ms: int) -> bool:
        """Return whether a healthy server answers within a time, as far as known."""
        usual_ms = self.limit.latency.expected_ms(0)
        return given_ms >= self._config.miss_factor * usual_ms

    def has_stalled(self, sent_at_ms: int, now_ms: int) -> bool:
        """Return whether a request has been unanswered for suspiciously long."""
        return now_ms - sent_at_ms > self.limit.stall_age_ms()

    def inherit(
        self, holder: str, n_in_flight: int, until_ms: int, *, is_lost: bool = False
    ) -> None:
        """Count the requests that another owner has in flight at the server."""
        self._inherited[holder] = Inherited(n_in_flight, until_ms, is_lost)

    def on_sent(self, key: int, deadline_at_ms: int, now_ms: int) -> None:
        """Count a request as in flight."""
        self.in_flight[key] = InFlight(now_ms, deadline_at_ms)

    def on_probe_sent(self, now_ms: int) -> None:
        """Count a probe; several in a row without a sign of life eject the server."""
        if self.is_unreachable():
            self.limit.on_unreachable(now_ms)
        self._n_probes_unanswered += 1

    def is_unreachable(self) -> bool:
        """Return whether the server answered none of the last probes."""
        return self._n_probes_unanswered >= self._config.n_probes_to_eject

    def on_report(self, report: HealthReport, now_ms: int) -> None:
        """Take in what the server says of itself."""
        self._n_probes_unanswered = 0
        self.n_flows = report.n_flows
        self.limit.on_report(report, now_ms)

    def on_answer(self, key: int, now_ms: int) -> None:
        """Free the slot of a request that was answered."""
        self._n_probes_unanswered = 0
        work = self.in_flight.pop(key, None)
        if work is not None:
            self._proven_at_ms = max(self._proven_at_ms, work.sent_at_ms)
            self.limit.on_answer(now_ms - work.sent_at_ms, now_ms)

    def on_refusal(self, key: int, is_shed: bool, now_ms: int) -> None:
        """Free the slot of a request that the server refused."""
        self._n_probes_unanswered = 0
        work = self.in_flight.pop(key, None)
        if work is not None and is_shed:
            self.limit.on_shed(now_ms)

    def give_up(self, key: int) -> None:
        """Free the slot of a request that the server surely does not run."""
        self.in_flight.pop(key, None)

    def take_overdue(self, now_ms: int) -> list[int]:
        """Return the keys whose deadline passed since the last call."""
        overdue = []
        for key, work in list(self.in_flight.items()):
            # An answer to a later request shows that only this one was lost.
            is_lost_alone = work.sent_at_ms < self._proven_at_ms
            if work.deadline_at_ms <= now_ms and not work.is_overdue:
                work.is_overdue = True
                overdue.append(key)
                if not is_lost_alone:
                    self._on_missed(work, now_ms)
            elif work.is_overdue:
                # The server may have dropped it at the deadline: no further sign.
                continue
            elif self.has_stalled(work.sent_at_ms, now_ms):
                if not is_lost_alone:
                    self.limit.on_stall(now_ms)
                elif self.limit.state is LimitState.WARM:
                    # A warm server bears it, should the request run after all.
                    work.is_lost = True
        self._free_ended(now_ms)
        return overdue

    def _on_missed(self, work: InFlight, now_ms: int) -> None:
        """Take in a missed deadline; one that was too short shows little."""
        if self.gave_enough(work.deadline_at_ms - work.sent_at_ms):
            self.limit.on_silence(now_ms)
        else:
            self.limit.on_late(now_ms)

    def _free_ended(self, now_ms: int) -> None:
        for key, work in list(self.in_flight.items()):
            if work.is_overdue and self._ended_at_ms(work) <= now_ms:
                del self.in_flight[key]

    def _ended_at_ms(self, work: InFlight) -> float:
        # A server may check the deadline only before it starts to run a request.
        usual_end_ms = work.sent_at_ms + self.limit.stall_age_ms()
        return max(work.deadline_at_ms, usual_end_ms) + self._config.silence_grace_ms
