"""The keepers of one claim in one data centre."""

from dataclasses import dataclass, field

from ..types import DataCentreId, InstanceId

__all__ = ["Panel", "n_missing_allowed", "quorum_first", "quorum_retransmission"]

_N_LARGE = 4


def quorum_first(n_keepers: int) -> int:
    """Return the grants that a first transmission needs.

    A majority; of two majorities whose views of the membership differ by one
    instance, at least one keeper is common.
    """
    return n_keepers // 2 + 1


def quorum_retransmission(n_keepers: int) -> int:
    """Return the grants that a retransmission needs from a little known fleet.

    The majority that granted the first transmission may have lost a member and
    the keepers may have been joined by others since, so all but one must grant.
    """
    return n_keepers - 1 if n_keepers >= _N_LARGE else n_keepers


def n_missing_allowed(n_seasoned: int, n_dead: int, n_keepers: int) -> int:
    """Return how many seasoned keepers may stay silent on a retransmission.

    The first transmission was granted by a majority, of which `n_dead` may have
    died. Of those left at least one must be heard.

    Parameters
    ----------
    n_seasoned : int
        Keepers that were there when the claim may have been made.
    n_dead : int
        Keepers that died since.
    n_keepers : int
        Keepers of a first transmission.

    Returns
    -------
    int
        Negative if all who knew the claim may be dead.

    Examples
    --------
    >>> n_missing_allowed(4, 0, 4), n_missing_allowed(3, 1, 4)
    (2, 1)
    >>> n_missing_allowed(1, 2, 4)
    -1
    """
    n_first = min(n_keepers, n_seasoned + n_dead)
    return quorum_first(n_first) - n_dead - 1


@dataclass(slots=True)
class Panel:
    """Votes of one data centre's keepers.

    Parameters
    ----------
    data_centre : DataCentreId
        Where the keepers are.
    keepers : tuple of InstanceId
        Those who are asked.
    quorum : int
        Grants that are needed.
    seasoned : set of InstanceId
        Keepers that were there when an earlier claim may have been made.
    n_seasoned_needed : int
        Grants that are needed from those.
    is_optional : bool
        Whether the claim may go on if none of the keepers answers.
    """

    data_centre: DataCentreId
    keepers: tuple[InstanceId, ...]
    quorum: int
    seasoned: set[InstanceId] = field(default_factory=set)
    n_seasoned_needed: int = 0
    is_optional: bool = False
    grants: set[InstanceId] = field(default_factory=set)
    denials: dict[InstanceId, InstanceId] = field(default_factory=dict)

    def has_quorum(self) -> bool:
        """Return whether enough keepers granted."""
        if not self.keepers or len(self.grants) < self.quorum:
            return False
        return len(self.grants & self.seasoned) >= self.n_seasoned_needed

    def is_silent(self) -> bool:
        """Return whether no keeper has answered."""
        return not self.grants and not self.denials

    def unanswered(self) -> list[InstanceId]:
        """Return the keepers that have not granted."""
        return [name for name in self.keepers if name not in self.grants]
