"""In how many instances of which data centre a revision is in force."""

from collections.abc import Iterable

import msgspec

from sapphirerail_core.types import DataCentreId, InstanceId, Revision

from .fleet_client import InstanceRevision, Unknown

__all__ = ["DataCentreProgress", "Progress", "progress_of"]


class DataCentreProgress(msgspec.Struct, frozen=True, kw_only=True):
    """The instances of one data centre.

    Parameters
    ----------
    data_centre : DataCentreId
        Where they stand.
    n_in_force : int
        Instances that said they have the revision or a higher one.
    behind : tuple of InstanceId
        Instances that said they have a lower one.
    unknown : tuple of InstanceId
        Instances on the platform's list that gave no answer.
    """

    data_centre: DataCentreId
    n_in_force: int
    behind: tuple[InstanceId, ...]
    unknown: tuple[InstanceId, ...]

    @property
    def n_listed(self) -> int:
        """Instances on the platform's list."""
        return self.n_in_force + len(self.behind) + len(self.unknown)


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a revision has come.

    Parameters
    ----------
    revision : Revision
        What is waited for.
    data_centres : tuple of DataCentreProgress
        One for each data centre with listed instances.
    """

    revision: Revision
    data_centres: tuple[DataCentreProgress, ...]

    @property
    def n_listed(self) -> int:
        """Instances on the platform's list."""
        return sum(part.n_listed for part in self.data_centres)

    @property
    def n_in_force(self) -> int:
        """Instances that said they have the revision."""
        return sum(part.n_in_force for part in self.data_centres)

    @property
    def is_complete(self) -> bool:
        """Whether every listed instance, and at least one, has the revision."""
        return 0 < self.n_listed == self.n_in_force


def progress_of(
    revision: Revision, answers: Iterable[InstanceRevision | Unknown]
) -> Progress:
    """Return how far a revision has come by the answers of the instances."""
    found: dict[DataCentreId, list[InstanceRevision | Unknown]] = {}
    for answer in answers:
        found.setdefault(answer.data_centre, []).append(answer)
    parts = tuple(
        _data_centre(revision, data_centre, found[data_centre])
        for data_centre in sorted(found)
    )
    return Progress(revision=revision, data_centres=parts)


def _data_centre(
    revision: Revision,
    data_centre: DataCentreId,
    answers: list[InstanceRevision | Unknown],
) -> DataCentreProgress:
    told = [answer for answer in answers if isinstance(answer, InstanceRevision)]
    behind = [answer.instance for answer in told if answer.revision < revision]
    unknown = [answer.instance for answer in answers if isinstance(answer, Unknown)]
    return DataCentreProgress(
        data_centre=data_centre,
        n_in_force=len(told) - len(behind),
        behind=tuple(sorted(behind)),
        unknown=tuple(sorted(unknown)),
    )
