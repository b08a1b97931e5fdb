"""Quorums of the replicas of a claim."""

from dataclasses import dataclass, field

from ..types import DataCentreId, InstanceId

__all__ = ["QuorumGroup", "n_missing_allowed", "quorum_first", "quorum_retransmission"]

_N_REPLICAS_LARGE = 4


def quorum_first(n_replicas: int) -> int:
    """Return the number of grants needed for a first transmission.

    This is a majority: two majorities have a replica in common even if their views
    of the membership differ by one instance.
    """
    return n_replicas // 2 + 1


def quorum_retransmission(n_replicas: int) -> int:
    """Return the grants needed for a retransmission if the history is incomplete.

    Since the first transmission a member of its majority may have failed and other
    replicas may have joined, so all replicas but one must grant.
    """
    return n_replicas - 1 if n_replicas >= _N_REPLICAS_LARGE else n_replicas


def n_missing_allowed(n_established: int, n_failed: int, n_replicas: int) -> int:
    """Return how many established replicas need not respond to a retransmission.

    A majority granted the first transmission, and `n_failed` of them may have failed
    since. At least one of the others must respond.

    Parameters
    ----------
    n_established : int
        Live replicas that were members when the claim may have been made.
    n_failed : int
        Replicas that failed since then.
    n_replicas : int
        Replicas asked for a first transmission.

    Returns
    -------
    int
        Negative if all replicas that stored the claim may have failed.

    Examples
    --------
    >>> n_missing_allowed(4, 0, 4), n_missing_allowed(3, 1, 4)
    (2, 1)
    >>> n_missing_allowed(1, 2, 4)
    -1
    """
    n_first = min(n_replicas, n_established + n_failed)
    return quorum_first(n_first) - n_failed - 1


@dataclass(slots=True)
class QuorumGroup:
    """Replicas of a claim in one data centre, and their votes.

    Parameters
    ----------
    data_centre : DataCentreId
        Data centre of the replicas.
    replicas : tuple of InstanceId
        The replicas that vote.
    quorum : int
        Number of grants needed.
    established : set of InstanceId
        Replicas that were members when an earlier claim may have been made.
    n_established_needed : int
        Number of grants needed from established replicas.
    is_optional : bool
        Whether the claim may succeed if none of the replicas responds.
    grants : set of InstanceId
        Replicas that granted the claim.
    denials : dict of InstanceId to InstanceId
        Replicas that denied the claim, each with the holder that it reported.
    """

    data_centre: DataCentreId
    replicas: tuple[InstanceId, ...]
    quorum: int
    established: set[InstanceId] = field(default_factory=set)
    n_established_needed: int = 0
    is_optional: bool = False
    grants: set[InstanceId] = field(default_factory=set)
    denials: dict[InstanceId, InstanceId] = field(default_factory=dict)

    def has_quorum(self) -> bool:
        """Return whether enough replicas granted the claim."""
        if not self.replicas or len(self.grants) < self.quorum:
            return False
        return len(self.grants & self.established) >= self.n_established_needed

    def is_unresponsive(self) -> bool:
        """Return whether no replica has responded."""
        return not self.grants and not self.denials

    def unanswered(self) -> list[InstanceId]:
        """Return the replicas that have not granted the claim."""
        return [name for name in self.replicas if name not in self.grants]
