"""News that is passed on a bounded number of times."""

from dataclasses import dataclass

from ..types import InstanceId
from .messages import Accused, Alive, Left, Rumour
from .roster import N_ACCUSERS, Roster

__all__ = ["RumourQueue"]

N_SENDS_PER_DOUBLING = 2
"""Times that news is passed on, per doubling of the number of members."""


@dataclass(frozen=True, slots=True)
class _Subject:
    """A member's state, or one accusation against it."""

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
    """Hands out the news that was passed on least often first.

    Parameters
    ----------
    roster : Roster
        Gives each rumour its content at the time of sending, so that a refuted
        one is not passed on.
    """

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._n_sent: dict[_Subject, int] = {}

    def __len__(self) -> int:
        return len(self._n_sent)

    def add(self, rumour: Rumour) -> None:
        """Queue news, unless enough accusers of the same instance are known."""
        if isinstance(rumour, Accused) and self._is_surplus(rumour):
            return
        self._n_sent[_subject(rumour)] = 0

    def take(self, n_wanted: int, now_ms: int) -> tuple[Rumour, ...]:
        """Return the next rumours and count them as passed on once."""
        n_sends = self._n_sends()
        chosen = sorted(self._n_sent.items(), key=lambda item: item[1])[:n_wanted]
        found = []
        for subject, n_sent in chosen:
            rumour = self._roster.rumour(subject.instance, subject.accuser, now_ms)
            if rumour is None or n_sent + 1 >= n_sends:
                del self._n_sent[subject]
            else:
                self._n_sent[subject] = n_sent + 1
            if rumour is not None:
                found.append(rumour)
        return tuple(found)

    def _n_sends(self) -> int:
        return N_SENDS_PER_DOUBLING * len(self._roster.members).bit_length()

    def _is_surplus(self, rumour: Accused) -> bool:
        member = self._roster.get(rumour.instance)
        if member is None:
            return True
        first = list(member.accusers)[:N_ACCUSERS]
        return rumour.accuser not in first
