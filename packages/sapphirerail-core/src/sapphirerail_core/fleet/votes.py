"""Requests tie-breaking votes when exactly half of a data centre has failed."""

from dataclasses import dataclass

from .. import rendezvous
from ..effects import Effect, SendToPeer
from ..types import DataCentreId, InstanceId
from .arbiter import select_arbiters
from .config import FleetConfig
from .messages import TieAnswer, TieRequest
from .roster import Roster

__all__ = ["Votes"]

RETRY_OFFSET_MS = 100
"""Moves a retry to another tick if the arbiter had no votes left in the first one."""


@dataclass(slots=True)
class _VoteRequest:
    """Last request to one arbiter, and the last request that it granted."""

    sent_ms: int
    granted_ms: int | None = None
    n_needed: int = 0


class Votes:
    """Collects the votes for the partition side of this instance.

    A partition side is identified by a hash of its live instances, so that instances
    that do not agree on the live ones yet do not share votes.

    Parameters
    ----------
    config : FleetConfig
        Interval between requests and validity of a vote.
    roster : Roster
        The members.
    """

    def __init__(self, config: FleetConfig, roster: Roster) -> None:
        self._config = config
        self._roster = roster
        self._live: tuple[InstanceId, ...] = ()
        self._partition_side = 0
        self._requests: dict[InstanceId, _VoteRequest] = {}

    def request_votes(self, data_centre: DataCentreId, now_ms: int) -> list[Effect]:
        """Return the due requests to the arbiters of a data centre."""
        self._update_live()
        own = self._roster.own.data_centre
        names = select_arbiters(own, self._roster.live(data_centre))
        effects: list[Effect] = []
        for name in names:
            request = self._requests.get(name)
            if request is None:
                request = self._requests[name] = _VoteRequest(now_ms)
            elif now_ms - request.sent_ms < self._wait_ms(request):
                continue
            request.sent_ms = now_ms
            effects.append(SendToPeer(name, TieRequest(self._partition_side, now_ms)))
        return effects

    def on_answer(self, sender: InstanceId, answer: TieAnswer) -> None:
        """Record an arbiter's vote, unless it answers an older request."""
        request = self._requests.get(sender)
        if request is None or answer.partition_side != self._partition_side:
            return
        if answer.sent_ms != request.sent_ms:
            return
        request.n_needed = answer.n_needed
        request.granted_ms = answer.sent_ms

    def has_won(self, now_ms: int) -> bool:
        """Return whether enough valid votes for the current live instances exist."""
        self._update_live()
        # A tick may be late by a pause below the detection threshold.
        oldest_ms = now_ms - self._config.vote_ms + self._config.pause_ms
        valid = [
            request
            for request in self._requests.values()
            if request.granted_ms is not None and request.granted_ms >= oldest_ms
        ]
        if not valid:
            return False
        return len(valid) >= max(request.n_needed for request in valid)

    def _update_live(self) -> None:
        live = self._roster.live(self._roster.own.data_centre)
        if live is self._live:
            return
        self._live = live
        self._partition_side = rendezvous.hash_key(" ".join(live))
        self._requests.clear()

    def _wait_ms(self, request: _VoteRequest) -> int:
        if request.granted_ms == request.sent_ms:
            return self._config.vote_renewal_ms
        return self._config.vote_renewal_ms // 2 + RETRY_OFFSET_MS
