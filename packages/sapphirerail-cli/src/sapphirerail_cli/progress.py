"""Rollout progress of a plan revision, by data centre."""

from collections.abc import Iterable

import msgspec

from sapphirerail_core.types import DataCentreId, InstanceId, Revision

from .fleet_client import InstanceRevision, UnreachableInstance

__all__ = ["DataCentreProgress", "Progress", "compute_progress"]


class DataCentreProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Rollout progress of a revision in one data centre.

    Parameters
    ----------
    data_centre : DataCentreId
        Name of the data centre.
    n_in_force : int
        Number of instances that report the revision or a higher one.
    behind : tuple of InstanceId
        Instances that report a lower revision.
    unknown : tuple of InstanceId
        Listed instances that gave no usable answer.
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
    """Rollout progress of a revision over the fleet.

    Parameters
    ----------
    revision : Revision
        The revision that is rolled out.
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
        """Number of instances that report the revision or a higher one."""
        return sum(part.n_in_force for part in self.data_centres)

    @property
    def is_complete(self) -> bool:
        """Whether at least one instance is listed, and every one has the revision."""
        return 0 < self.n_listed == self.n_in_force


def compute_progress(
    revision: Revision, answers: Iterable[InstanceRevision | UnreachableInstance]
) -> Progress:
    """Return the progress of a revision from the answers of the instances."""
    by_data_centre: dict[
        DataCentreId, list[InstanceRevision | UnreachableInstance]
    ] = {}
    for answer in answers:
        by_data_centre.setdefault(answer.data_centre, []).append(answer)
    parts = tuple(
        _data_centre(revision, data_centre, by_data_centre[data_centre])
        for data_centre in sorted(by_data_centre)
    )
    return Progress(revision=revision, data_centres=parts)


def _data_centre(
    revision: Revision,
    data_centre: DataCentreId,
    answers: list[InstanceRevision | UnreachableInstance],
) -> DataCentreProgress:
    revisions = [answer for answer in answers if isinstance(answer, InstanceRevision)]
    behind = [answer.instance for answer in revisions if answer.revision < revision]
    unknown = [
        answer.instance for answer in answers if isinstance(answer, UnreachableInstance)
    ]
    return DataCentreProgress(
        data_centre=data_centre,
        n_in_force=len(revisions) - len(behind),
        behind=tuple(sorted(behind)),
        unknown=tuple(sorted(unknown)),
    )
