"""Votes for one side of another data centre that has lost exactly half."""

from dataclasses import dataclass

from .. import rendezvous
from ..effects import Effect, SendToPeer
from ..types import DataCentreId, InstanceId
from .budget import TickBudget
from .config import FleetConfig
from .messages import TieAnswer, TieRequest
from .roster import Roster

__all__ = ["Arbiter", "arbiters", "n_needed"]

N_ARBITERS = 3
VOTE_BYTES = 80
N_VOTES = 16
"""Votes between two ticks; pages do not hold them up, but wait for them."""
DRIFT_SHARE = 6
"""A vote is kept for longer than it is used, by one part in so many."""


def arbiters(
    data_centre: DataCentreId, live: tuple[InstanceId, ...]
) -> tuple[InstanceId, ...]:
    """Return who of the tie-breaking instances votes on a data centre."""
    key = rendezvous.hash_key(data_centre)
    return tuple(InstanceId(n) for n in rendezvous.top(key, live, N_ARBITERS))


def n_needed(n_arbiters: int) -> int:
    """Return how many votes of so many arbiters win."""
    return n_arbiters // 2 + 1


@dataclass(slots=True)
class _Vote:
    """The side that has the vote, and until when no other one can get it."""

    side: int
    until_ms: int


class Arbiter:
    """Gives this instance's vote to one side of each tied data centre at a time.

    Two sides could win at once only with different arbiters. An instance therefore
    gives a new vote only after its own data centre has stood unchanged for as long as
    a vote lasts: by then all arbiters agree who they are, and no vote counts that an
    earlier one gave.

    Parameters
    ----------
    config : FleetConfig
        How long a vote lasts.
    roster : Roster
        The members.
    budget : TickBudget
        Bytes between two ticks that pages are then left with.
    now_ms : int
        Time of the start.
    """

    def __init__(
        self, config: FleetConfig, roster: Roster, budget: TickBudget, now_ms: int
    ) -> None:
        self._roster = roster
        self._budget = budget
        self._n_left = N_VOTES
        self._hold_ms = config.vote_ms + config.vote_ms // DRIFT_SHARE
        self._votes: dict[DataCentreId, _Vote] = {}
        self._live: tuple[InstanceId, ...] = ()
        self._arbiters: dict[DataCentreId, tuple[InstanceId, ...]] = {}
        self._changed_ms = now_ms

    def restart(self, now_ms: int) -> None:
        """Count the own data centre as changed, after a pause of this process."""
        self._changed_ms = now_ms

    def tick(self, now_ms: int) -> None:
        """Follow the own data centre, and allow the votes of one more tick."""
        self._n_left = N_VOTES
        self._follow(now_ms)

    def on_request(
        self, sender: InstanceId, request: TieRequest, leased: bool, now_ms: int
    ) -> list[Effect]:
        """Give this instance's vote to a side, or no answer."""
        member = self._roster.get(sender)
        if member is None or not leased or self._n_left <= 0:
            return []
        self._follow(now_ms)
        voters = self._voters(member.data_centre)
        if not self._grants(member.data_centre, request.side, voters, now_ms):
            return []
        self._n_left -= 1
        self._budget.spend(VOTE_BYTES)
        answer = TieAnswer(request.side, request.sent_ms, n_needed(len(voters)))
        return [SendToPeer(sender, answer)]

    def _grants(
        self,
        data_centre: DataCentreId,
        side: int,
        voters: tuple[InstanceId, ...],
        now_ms: int,
    ) -> bool:
        if self._roster.self_id not in voters:
            return False
        vote = self._votes.get(data_centre)
        if vote is None or now_ms > vote.until_ms:
            if now_ms - self._changed_ms <= self._hold_ms:
                return False
        elif vote.side != side:
            return False
        self._votes[data_centre] = _Vote(side, now_ms + self._hold_ms)
        return True

    def _voters(self, data_centre: DataCentreId) -> tuple[InstanceId, ...]:
        found = self._arbiters.get(data_centre)
        if found is None:
            found = arbiters(data_centre, self._live)
            self._arbiters[data_centre] = found
        return found

    def _follow(self, now_ms: int) -> None:
        live = self._roster.live(self._roster.own.data_centre)
        if live == self._live:
            return
        self._live = live
        self._arbiters.clear()
        self._changed_ms = now_ms
