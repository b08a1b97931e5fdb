"""Quorum of a data centre: which failed instances still count towards the majority."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..effects import Effect
from ..types import DataCentreId, InstanceId, InstanceState
from .config import FleetConfig
from .listing import ListedInstance, ListedState
from .mass_failure import MassFailure
from .roster import Roster
from .votes import Votes

__all__ = ["QuorumMembers"]


@dataclass(slots=True)
class _FailedInstance:
    """Instance that has failed, or is listed but has never been in contact."""

    since_ms: int
    released: bool = False


class QuorumMembers:
    """Tracks the instances of the local data centre that count towards the quorum.

    A failed instance counts until the platform's list no longer contains it or a
    configured time has passed. If exactly half has failed, another data centre
    breaks the tie: its arbiters that hold their own lease vote for one partition
    side. Both halves ask the same data centre, and at most one partition side of it
    holds leases, so at most one half wins.

    Parameters
    ----------
    config : FleetConfig
        The configured times.
    roster : Roster
        The members.
    votes : Votes
        The arbiters' votes for the partition side of this instance.
    """

    def __init__(self, config: FleetConfig, roster: Roster, votes: Votes) -> None:
        self._votes = votes
        self.mass_failure = MassFailure(config)
        self._config = config
        self._roster = roster
        self._failed: dict[InstanceId, _FailedInstance] = {}
        self._listed: set[InstanceId] = set()
        self.listed_ms: int | None = None

    def on_listing(self, entries: Sequence[ListedInstance], now_ms: int) -> None:
        """Apply the platform's list; release failed instances that it omits."""
        own = self._roster.own
        self._listed = {
            entry.instance
            for entry in entries
            if entry.data_centre == own.data_centre
            and entry.state is ListedState.LIVE
            and entry.instance != own.instance
        }
        self.listed_ms = now_ms
        for name, failed in self._failed.items():
            if name not in self._listed and now_ms > failed.since_ms:
                failed.released = True

    def tie_breaker(self) -> DataCentreId | None:
        """Return the data centre that breaks ties: the next one by name."""
        own = self._roster.own.data_centre
        others = [name for name in self._roster.data_centres() if name != own]
        following = [name for name in others if name > own]
        return next(iter(following + others), None)

    def tick(self, now_ms: int) -> list[Effect]:
        """Update the failed instances, release expired ones and request votes."""
        names = self._failed_names()
        for name in [n for n in self._failed if n not in names]:
            del self._failed[name]
        for name in names:
            failed = self._failed.setdefault(name, _FailedInstance(now_ms))
            if now_ms - failed.since_ms > self._counted_ms(name):
                failed.released = True
        own = self._roster.own.data_centre
        failed_ms = [
            self._roster.members[name].since_ms
            for name in names
            if name in self._roster.members
        ]
        self.mass_failure.tick(failed_ms, len(self._roster.live(own)), now_ms)
        data_centre = self.tie_breaker()
        if data_centre is None or not self.is_tied():
            return []
        return self._votes.request_votes(data_centre, now_ms)

    def has_majority(self, now_ms: int) -> bool:
        """Return whether the live instances are a majority or have won the tie."""
        if self.mass_failure.is_in_progress:
            return False
        n_live = len(self._roster.live(self._roster.own.data_centre))
        n_failed = self._n_counted_failed()
        return n_live > n_failed or (n_live == n_failed and self._votes.has_won(now_ms))

    def is_tied(self) -> bool:
        """Return whether exactly half of the counted instances have failed."""
        n_live = len(self._roster.live(self._roster.own.data_centre))
        return n_live == self._n_counted_failed()

    def counted_failed(self) -> list[InstanceId]:
        """Return the failed instances that still count, sorted."""
        return sorted(n for n, failed in self._failed.items() if not failed.released)

    def _n_counted_failed(self) -> int:
        return sum(not failed.released for failed in self._failed.values())

    def _failed_names(self) -> set[InstanceId]:
        own = self._roster.own
        failed = {
            name
            for name in self._roster.gone
            if self._roster.members[name].state is InstanceState.DEAD
            and self._roster.members[name].data_centre == own.data_centre
        }
        return failed | {n for n in self._listed if n not in self._roster.members}

    def _counted_ms(self, instance: InstanceId) -> int:
        if instance in self._listed:
            return self._config.counted_listed_ms
        return self._config.counted_unlisted_ms
