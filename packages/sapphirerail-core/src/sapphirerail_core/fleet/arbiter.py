"""Tie-breaking votes for a data centre in which exactly half the instances failed."""

from dataclasses import dataclass

from .. import rendezvous
from ..effects import Effect, SendToPeer
from ..types import DataCentreId, InstanceId
from .budget import TickBudget
from .config import FleetConfig
from .messages import TieAnswer, TieRequest
from .roster import Roster

__all__ = ["Arbiter", "n_votes_needed", "select_arbiters"]

N_ARBITERS = 3
VOTE_BYTES = 80
N_VOTES_PER_TICK = 16
"""Maximum votes per tick. Votes take precedence over member pages in the budget."""
HOLD_MARGIN_DIVISOR = 6
"""A vote is held for 1/6 longer than it is valid, to allow for clock drift."""


def select_arbiters(
    data_centre: DataCentreId, live: tuple[InstanceId, ...]
) -> tuple[InstanceId, ...]:
    """Return the instances of the tie-breaking data centre that vote on another one."""
    key = rendezvous.hash_key(data_centre)
    return tuple(InstanceId(n) for n in rendezvous.top(key, live, N_ARBITERS))


def n_votes_needed(n_arbiters: int) -> int:
    """Return the number of votes needed for a majority of the arbiters."""
    return n_arbiters // 2 + 1


@dataclass(slots=True)
class _Vote:
    """Partition side that holds the vote, and the time until which it is reserved."""

    partition_side: int
    until_ms: int


class Arbiter:
    """Grants this instance's vote to at most one partition side per data centre.

    Two sides can only win at the same time if they ask different arbiters. An
    instance therefore grants a new vote only after the membership of its own data
    centre has been unchanged for the hold time of a vote: by then all instances
    agree on the set of arbiters, and the votes of earlier arbiters have expired.

    Parameters
    ----------
    config : FleetConfig
        Validity of a vote.
    roster : Roster
        The members.
    budget : TickBudget
        Bytes per tick, shared with the member pages.
    now_ms : int
        Start time.
    """

    def __init__(
        self, config: FleetConfig, roster: Roster, budget: TickBudget, now_ms: int
    ) -> None:
        self._roster = roster
        self._budget = budget
        self._n_left = N_VOTES_PER_TICK
        self._hold_ms = config.vote_ms + config.vote_ms // HOLD_MARGIN_DIVISOR
        self._granted: dict[DataCentreId, _Vote] = {}
        self._live: tuple[InstanceId, ...] = ()
        self._arbiters: dict[DataCentreId, tuple[InstanceId, ...]] = {}
        self._changed_ms = now_ms

    def reset_timers(self, now_ms: int) -> None:
        """Treat the local data centre as changed, after a pause of this process."""
        self._changed_ms = now_ms

    def tick(self, now_ms: int) -> None:
        """Update the local members and reset the number of votes per tick."""
        self._n_left = N_VOTES_PER_TICK
        self._update_live(now_ms)

    def on_request(
        self, sender: InstanceId, request: TieRequest, holds_lease: bool, now_ms: int
    ) -> list[Effect]:
        """Grant this instance's vote to a partition side, or send no answer."""
        member = self._roster.get(sender)
        if member is None or not holds_lease or self._n_left <= 0:
            return []
        self._update_live(now_ms)
        voters = self._voters(member.data_centre)
        if not self._grants(member.data_centre, request.partition_side, voters, now_ms):
            return []
        self._n_left -= 1
        self._budget.spend(VOTE_BYTES)
        answer = TieAnswer(
            request.partition_side, request.sent_ms, n_votes_needed(len(voters))
        )
        return [SendToPeer(sender, answer)]

    def _grants(
        self,
        data_centre: DataCentreId,
        partition_side: int,
        voters: tuple[InstanceId, ...],
        now_ms: int,
    ) -> bool:
        if self._roster.self_id not in voters:
            return False
        vote = self._granted.get(data_centre)
        if vote is None or now_ms > vote.until_ms:
            if now_ms - self._changed_ms <= self._hold_ms:
                return False
        elif vote.partition_side != partition_side:
            return False
        self._granted[data_centre] = _Vote(partition_side, now_ms + self._hold_ms)
        return True

    def _voters(self, data_centre: DataCentreId) -> tuple[InstanceId, ...]:
        voters = self._arbiters.get(data_centre)
        if voters is None:
            voters = select_arbiters(data_centre, self._live)
            self._arbiters[data_centre] = voters
        return voters

    def _update_live(self, now_ms: int) -> None:
        live = self._roster.live(self._roster.own.data_centre)
        if live == self._live:
            return
        self._live = live
        self._arbiters.clear()
        self._changed_ms = now_ms
