"""Restores the plan of an instance after the store lost writes."""

import msgspec

from ..types import Revision
from .draft import Change
from .model import Plan, Write

__all__ = ["discarded_writes", "restored_above"]


def restored_above(stored: Plan, instance_plan: Plan) -> Change:
    """Return the change that restores an instance's plan at a higher revision.

    The content is unchanged, including revisions of parts and layers, so that
    instances with the same plan need only an empty delta.

    Parameters
    ----------
    stored : Plan
        The plan in the store, with a lower revision.
    instance_plan : Plan
        The newest plan of any instance.

    Returns
    -------
    Change
        The plan of the instance at a revision above both.
    """
    revision = Revision(max(stored.revision, instance_plan.revision) + 1)
    plan = msgspec.structs.replace(instance_plan, revision=revision)
    return Change(
        plan, (), len(instance_plan.data_centres) + len(instance_plan.servers)
    )


def discarded_writes(stored: Plan, instance_plan: Plan) -> tuple[Write, ...]:
    """Return the writes in the store that `restored_above` discards.

    A store that lost writes may have accepted others since, at revisions that the
    instances refuse. Only recent writes can be listed, as histories are bounded.
    """
    if not instance_plan.history:
        return ()
    known = {write.write_id for write in instance_plan.history}
    oldest = instance_plan.history[0].revision
    return tuple(
        write
        for write in stored.history
        if write.revision >= oldest and write.write_id not in known
    )
