"""Dissemination of membership updates, each sent a limited number of times."""

import heapq
from dataclasses import dataclass

from ..types import InstanceId
from .messages import Alive, Left, MemberUpdate, Suspected
from .roster import N_REPORTERS, Roster

__all__ = ["DisseminationQueue"]

N_SENDS_PER_DOUBLING = 2
"""Number of times that an update is sent, per doubling of the number of members."""
ALIVE_BYTES = 80
SHORT_BYTES = 48
"""Wire size of a suspicion or a planned stop, including names."""


@dataclass(frozen=True, slots=True)
class _Subject:
    """State of a member, or one suspicion of it."""

    instance: InstanceId
    reporter: InstanceId


def _subject(update: MemberUpdate) -> _Subject:
    match update:
        case Alive():
            return _Subject(update.record.instance, InstanceId(""))
        case Suspected():
            return _Subject(update.instance, update.reporter)
        case Left():
            return _Subject(update.instance, InstanceId(""))


class DisseminationQueue:
    """Queue of updates to disseminate; the update sent least often comes first.

    Parameters
    ----------
    roster : Roster
        Provides the content of each update at the time of sending, so that a
        refuted one is not sent.
    tick_bytes : int
        Maximum bytes of updates sent per tick.
    """

    def __init__(self, roster: Roster, tick_bytes: int) -> None:
        self._roster = roster
        self._tick_bytes = tick_bytes
        self._left_bytes = tick_bytes
        self._n_sent: dict[_Subject, int] = {}

    def __len__(self) -> int:
        return len(self._n_sent)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, unless enough suspicions of the instance are known."""
        if isinstance(update, Suspected) and self._is_redundant(update):
            return
        self._n_sent[_subject(update)] = 0

    def refill(self) -> None:
        """Reset the byte budget for the next tick."""
        self._left_bytes = self._tick_bytes

    def next_updates(self, n_wanted: int, now_ms: int) -> tuple[MemberUpdate, ...]:
        """Return the next updates and count them as sent once more."""
        n_sends_max = self._n_sends_max()
        found: list[MemberUpdate] = []
        for subject in self._least_sent(n_wanted):
            if self._left_bytes <= 0:
                break
            update = self._roster.current_update(
                subject.instance, subject.reporter, now_ms
            )
            self._n_sent[subject] += 1
            if update is None or self._n_sent[subject] >= n_sends_max:
                del self._n_sent[subject]
            if update is None:
                continue
            found.append(update)
            has_record = isinstance(update, Alive)
            self._left_bytes -= ALIVE_BYTES if has_record else SHORT_BYTES
        return tuple(found)

    def _least_sent(self, n_wanted: int) -> list[_Subject]:
        return heapq.nsmallest(n_wanted, self._n_sent, key=self._n_sent.__getitem__)

    def _n_sends_max(self) -> int:
        return N_SENDS_PER_DOUBLING * len(self._roster.members).bit_length()

    def _is_redundant(self, update: Suspected) -> bool:
        member = self._roster.get(update.instance)
        if member is None:
            return True
        first = list(member.suspected_by)[:N_REPORTERS]
        return update.reporter not in first
