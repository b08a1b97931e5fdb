"""Retention of tombstones: removed parts, and servers that have left."""

import msgspec

from ..types import Revision, ServerState
from .digest import Part, part_digest
from .model import Plan

__all__ = ["RETENTION_REVISIONS", "drop_tombstones", "next_forgotten_at"]

RETENTION_REVISIONS = 8000
"""Number of revisions that a tombstone stays in the plan, so that deltas include the
removal; two days at 4,000 changes a day."""


def next_forgotten_at(plan: Plan) -> Revision:
    """Return the revision up to which tombstones are to be dropped.

    It advances in steps of `RETENTION_REVISIONS`, so that the plan is scanned rarely.
    """
    if plan.revision - plan.forgotten_at <= 2 * RETENTION_REVISIONS:
        return plan.forgotten_at
    return Revision(plan.revision - RETENTION_REVISIONS)


def drop_tombstones(plan: Plan, up_to: Revision) -> Plan:
    """Return the plan without the tombstones of a revision and the ones before it."""
    if up_to <= plan.forgotten_at:
        return plan
    servers = {
        name: server
        for name, server in plan.servers.items()
        if server.state is not ServerState.LEFT or server.changed_at > up_to
    }
    data_centres = {
        name: data_centre
        for name, data_centre in plan.removed_data_centres.items()
        if data_centre.changed_at > up_to
    }
    services = {
        name: service
        for name, service in plan.removed_services.items()
        if service.changed_at > up_to
    }
    dropped: list[Part] = [p for n, p in plan.servers.items() if n not in servers]
    dropped += [
        part
        for name, part in plan.removed_data_centres.items()
        if name not in data_centres
    ]
    dropped += [
        part for name, part in plan.removed_services.items() if name not in services
    ]
    digest = plan.digest
    for part in dropped:
        digest ^= part_digest(part)
    return msgspec.structs.replace(
        plan,
        servers=servers,
        removed_data_centres=data_centres,
        removed_services=services,
        digest=digest,
        forgotten_at=up_to,
    )
