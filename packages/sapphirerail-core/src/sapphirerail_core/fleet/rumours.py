"""Dissemination of membership updates, each sent a limited number of times."""

import heapq
from dataclasses import dataclass

from ..types import InstanceId
from .messages import Accused, Alive, Left, Rumour
from .roster import N_ACCUSERS, Roster

__all__ = ["RumourQueue"]

N_SENDS_PER_DOUBLING = 2
"""Number of times that an update is sent, per doubling of the number of members."""
ALIVE_BYTES = 80
SHORT_BYTES = 48
"""Wire size of a suspicion or a planned stop, including names."""


@dataclass(frozen=True, slots=True)
class _Subject:
    """State of a member, or one suspicion of it."""

    instance: InstanceId
    accuser: InstanceId


def _subject(rumour: Rumour) -> _Subject:
    match rumour:
        case Alive():
            return _Subject(rumour.record.instance, InstanceId(""))
        case Accused():
            return _Subject(rumour.instance, rumour.accuser)
        case Left():
            return _Subject(rumour.instance, InstanceId(""))


class RumourQueue:
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

    def add(self, rumour: Rumour) -> None:
        """Queue an update, unless enough suspicions of the instance are known."""
        if isinstance(rumour, Accused) and self._is_redundant(rumour):
            return
        self._n_sent[_subject(rumour)] = 0

    def refill(self) -> None:
        """Reset the byte budget for the next tick."""
        self._left_bytes = self._tick_bytes

    def take(self, n_wanted: int, now_ms: int) -> tuple[Rumour, ...]:
        """Return the next updates and count them as sent once more."""
        n_sends_max = self._n_sends_max()
        found: list[Rumour] = []
        for subject in self._least_sent(n_wanted):
            if self._left_bytes <= 0:
                break
            rumour = self._roster.rumour(subject.instance, subject.accuser, now_ms)
            self._n_sent[subject] += 1
            if rumour is None or self._n_sent[subject] >= n_sends_max:
                del self._n_sent[subject]
            if rumour is None:
                continue
            found.append(rumour)
            has_record = isinstance(rumour, Alive)
            self._left_bytes -= ALIVE_BYTES if has_record else SHORT_BYTES
        return tuple(found)

    def _least_sent(self, n_wanted: int) -> list[_Subject]:
        return heapq.nsmallest(n_wanted, self._n_sent, key=self._n_sent.__getitem__)

    def _n_sends_max(self) -> int:
        return N_SENDS_PER_DOUBLING * len(self._roster.members).bit_length()

    def _is_redundant(self, rumour: Accused) -> bool:
        member = self._roster.get(rumour.instance)
        if member is None:
            return True
        first = list(member.accusers)[:N_ACCUSERS]
        return rumour.accuser not in first
