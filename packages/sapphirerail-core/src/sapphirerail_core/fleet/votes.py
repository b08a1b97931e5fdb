"""Asks the arbiters for their votes when exactly half of a data centre is lost."""

from dataclasses import dataclass

from .. import rendezvous
from ..effects import Effect, SendToPeer
from ..types import DataCentreId, InstanceId
from .arbiter import arbiters
from .config import FleetConfig
from .messages import TieAnswer, TieRequest
from .roster import Roster

__all__ = ["Votes"]

RETRY_SHIFT_MS = 100
"""Moves a retry to another tick of an arbiter whose votes of one tick were given."""


@dataclass(slots=True)
class _Asked:
    """What one arbiter was asked, and the request that it granted last."""

    sent_ms: int
    granted_ms: int | None = None
    n_needed: int = 0


class Votes:
    """Keeps the votes for the side on which this instance stands.

    A side is named by a hash of the instances that live on it, so that those who do
    not agree yet on who lives share no votes.

    Parameters
    ----------
    config : FleetConfig
        Times between requests, and how long a vote lasts.
    roster : Roster
        The members.
    """

    def __init__(self, config: FleetConfig, roster: Roster) -> None:
        self._config = config
        self._roster = roster
        self._live: tuple[InstanceId, ...] = ()
        self._side = 0
        self._asked: dict[InstanceId, _Asked] = {}

    def ask(self, data_centre: DataCentreId, now_ms: int) -> list[Effect]:
        """Return the requests that are due to the arbiters of a data centre."""
        self._follow()
        own = self._roster.own.data_centre
        names = arbiters(own, self._roster.live(data_centre))
        effects: list[Effect] = []
        for name in names:
            asked = self._asked.get(name)
            if asked is None:
                asked = self._asked[name] = _Asked(now_ms)
            elif now_ms - asked.sent_ms < self._wait_ms(asked):
                continue
            asked.sent_ms = now_ms
            effects.append(SendToPeer(name, TieRequest(self._side, now_ms)))
        return effects

    def on_answer(self, sender: InstanceId, answer: TieAnswer) -> None:
        """Take in an arbiter's answer."""
        asked = self._asked.get(sender)
        if asked is None or answer.side != self._side:
            return
        if answer.sent_ms != asked.sent_ms:
            return
        asked.n_needed = answer.n_needed
        asked.granted_ms = answer.sent_ms

    def won(self, now_ms: int) -> bool:
        """Return whether enough votes for the present live instances count now."""
        self._follow()
        # A tick may come late by a pause that is not noticed.
        first_ms = now_ms - self._config.vote_ms + self._config.pause_ms
        valid = [
            asked
            for asked in self._asked.values()
            if asked.granted_ms is not None and asked.granted_ms >= first_ms
        ]
        if not valid:
            return False
        return len(valid) >= max(asked.n_needed for asked in valid)

    def _follow(self) -> None:
        live = self._roster.live(self._roster.own.data_centre)
        if live is self._live:
            return
        self._live = live
        self._side = rendezvous.hash_key(" ".join(live))
        self._asked.clear()

    def _wait_ms(self, asked: _Asked) -> int:
        if asked.granted_ms == asked.sent_ms:
            return self._config.vote_renewal_ms
        return self._config.vote_renewal_ms // 2 + RETRY_SHIFT_MS
