"""The keepers of one claim in one data centre."""

from dataclasses import dataclass, field

from ..types import DataCentreId, InstanceId

__all__ = ["Panel", "quorum_first", "quorum_retransmission"]

_N_LARGE = 4


def quorum_first(n_keepers: int) -> int:
    """Return the grants that a first transmission needs.

    A majority; of two majorities whose views of the membership differ by one
    instance, at least one keeper is common.
    """
    return n_keepers // 2 + 1


def quorum_retransmission(n_keepers: int) -> int:
    """Return the grants that a retransmission needs.

    The majority that granted the first transmission may have lost a member and
    the keepers may have been joined by others since, so all but one must grant.
    """
    return n_keepers - 1 if n_keepers >= _N_LARGE else n_keepers


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
    is_optional : bool
        Whether the claim may go on if none of the keepers answers.
    """

    data_centre: DataCentreId
    keepers: tuple[InstanceId, ...]
    quorum: int
    is_optional: bool = False
    grants: set[InstanceId] = field(default_factory=set)
    denials: dict[InstanceId, InstanceId] = field(default_factory=dict)

    def has_quorum(self) -> bool:
        """Return whether enough keepers granted."""
        return bool(self.keepers) and len(self.grants) >= self.quorum

    def is_silent(self) -> bool:
        """Return whether no keeper has answered."""
        return not self.grants and not self.denials

    def unanswered(self) -> list[InstanceId]:
        """Return the keepers that have not granted."""
        return [name for name in self.keepers if name not in self.grants]
