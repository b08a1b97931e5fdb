"""A plan that an instance kept, put back above a store that lost writes."""

import msgspec

from ..types import Revision
from .draft import Change
from .model import Plan, Write

__all__ = ["dropped_writes", "rewritten_above"]


def rewritten_above(stored: Plan, kept: Plan) -> Change:
    """Return the change that puts a kept plan above what the store holds.

    The content stays as it was kept, changes and layers included, so that instances
    that hold the kept plan need an empty delta only.

    Parameters
    ----------
    stored : Plan
        The plan in the store, with a lower revision.
    kept : Plan
        The newest plan that an instance has.

    Returns
    -------
    Change
        The kept plan at a revision above both.
    """
    revision = Revision(max(stored.revision, kept.revision) + 1)
    plan = msgspec.structs.replace(kept, revision=revision)
    return Change(plan, (), len(kept.data_centres) + len(kept.servers))


def dropped_writes(stored: Plan, kept: Plan) -> tuple[Write, ...]:
    """Return the writes in the store that `rewritten_above` loses.

    A store that lost writes may have taken others since, at revisions that the
    instances refuse. Only the newest writes are known, as histories are bounded.
    """
    if not kept.history:
        return ()
    known = {write.write_id for write in kept.history}
    oldest = kept.history[0].revision
    return tuple(
        write
        for write in stored.history
        if write.revision >= oldest and write.write_id not in known
    )
