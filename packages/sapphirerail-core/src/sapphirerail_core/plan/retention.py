"""How long a plan keeps backend servers that have left."""

import msgspec

from ..types import Revision, ServerState
from .digest import part_digest
from .model import Plan

__all__ = ["RETENTION_REVISIONS", "forget_left", "forgotten_at"]

RETENTION_REVISIONS = 8000
"""Revisions that a server which has left stays in the plan, so that a delta can tell
of its leaving; two days of changes at 4,000 a day."""


def forgotten_at(plan: Plan) -> Revision:
    """Return up to which revision the servers that left are dropped.

    It moves in steps of `RETENTION_REVISIONS`, so that the scan for them is rare.
    """
    if plan.revision - plan.forgotten_at <= 2 * RETENTION_REVISIONS:
        return plan.forgotten_at
    return Revision(plan.revision - RETENTION_REVISIONS)


def forget_left(plan: Plan, up_to: Revision) -> Plan:
    """Return the plan without the servers that left at a revision or before."""
    if up_to <= plan.forgotten_at:
        return plan
    kept = dict(plan.servers)
    digest = plan.digest
    for name, server in plan.servers.items():
        if server.state is ServerState.LEFT and server.changed_at <= up_to:
            digest ^= part_digest(server)
            del kept[name]
    return msgspec.structs.replace(
        plan, servers=kept, digest=digest, forgotten_at=up_to
    )
