"""Which lost instances still count when a majority of a data centre is needed."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..types import DataCentreId, InstanceId, InstanceState
from .config import FleetConfig
from .listing import ListedInstance, ListedState
from .messages import ProbeAnswer
from .roster import Roster

__all__ = ["Electorate"]

N_CONFIRMATIONS = 2
"""Instances of the tie-breaking data centre that must miss a lost instance."""


@dataclass(slots=True)
class _Lost:
    """An instance that is dead, or listed but never heard of."""

    since_ms: int
    unreached_by: set[InstanceId] = field(default_factory=set)
    released: bool = False


class Electorate:
    """Counts the instances of this data centre that a majority is taken of.

    A lost instance counts until the platform's list no longer names it or until a
    documented time has passed. Where exactly half is lost, one other data centre
    breaks the tie: instances there that hold their own lease must have failed to
    reach each lost one. Both halves would ask the same data centre, and at most one
    side of it holds leases, so that at most one half wins.

    Parameters
    ----------
    config : FleetConfig
        The documented times.
    roster : Roster
        The members.
    """

    def __init__(self, config: FleetConfig, roster: Roster) -> None:
        self._config = config
        self._roster = roster
        self._lost: dict[InstanceId, _Lost] = {}
        self._listed: set[InstanceId] = set()
        self.listed_ms: int | None = None

    def on_listing(self, entries: Sequence[ListedInstance], now_ms: int) -> None:
        """Take in the platform's list."""
        own = self._roster.own
        self._listed = {
            entry.instance
            for entry in entries
            if entry.data_centre == own.data_centre
            and entry.state is ListedState.LIVE
            and entry.instance != own.instance
        }
        self.listed_ms = now_ms
        for name, lost in self._lost.items():
            if name not in self._listed and now_ms > lost.since_ms:
                lost.released = True

    def tie_breaker(self) -> DataCentreId | None:
        """Return the data centre that breaks ties, the next one by name."""
        own = self._roster.own.data_centre
        others = [name for name in self._roster.data_centres() if name != own]
        following = [name for name in others if name > own]
        return next(iter(following + others), None)

    def on_probe(self, helper: InstanceId, answer: ProbeAnswer) -> None:
        """Take in whether the tie-breaking data centre reached a lost instance."""
        lost = self._lost.get(answer.subject)
        member = self._roster.get(helper)
        if lost is None or member is None:
            return
        if member.data_centre != self.tie_breaker() or not answer.leased:
            return
        if answer.reached:
            lost.unreached_by.clear()
        else:
            lost.unreached_by.add(helper)

    def tick(self, now_ms: int) -> None:
        """Follow the roster, and release those whose time has passed."""
        names = self._lost_names()
        for name in [n for n in self._lost if n not in names]:
            del self._lost[name]
        for name in names:
            lost = self._lost.setdefault(name, _Lost(now_ms))
            if now_ms - lost.since_ms > self._counted_ms(name):
                lost.released = True

    def has_majority(self) -> bool:
        """Return whether the live ones outnumber those lost, or win the tie."""
        n_live = len(self._roster.live(self._roster.own.data_centre))
        counted = self.counted_lost()
        if n_live != len(counted):
            return n_live > len(counted)
        return all(
            len(self._lost[name].unreached_by) >= N_CONFIRMATIONS for name in counted
        )

    def is_tied(self) -> bool:
        """Return whether exactly half of those that count are lost."""
        n_live = len(self._roster.live(self._roster.own.data_centre))
        return n_live == len(self.counted_lost())

    def counted_lost(self) -> list[InstanceId]:
        """Return the lost instances that still count, sorted."""
        return sorted(n for n, lost in self._lost.items() if not lost.released)

    def _lost_names(self) -> set[InstanceId]:
        own = self._roster.own
        dead = {
            name
            for name in self._roster.gone
            if self._roster.members[name].state is InstanceState.DEAD
            and self._roster.members[name].data_centre == own.data_centre
        }
        return dead | {n for n in self._listed if n not in self._roster.members}

    def _counted_ms(self, instance: InstanceId) -> int:
        if instance in self._listed:
            return self._config.counted_listed_ms
        return self._config.counted_unlisted_ms
