"""Decision journal: a ring buffer of decisions with typed reasons, for `explain`."""

from collections import deque
from enum import Enum

import msgspec

from .types import FlowId, InstanceId, RequestId, Revision, ServerId

__all__ = ["Journal", "JournalEntry", "Reason"]


class Reason(Enum):
    """Reason codes of decisions."""

    # Fleet
    INSTANCE_ALIVE = "instance.alive"
    INSTANCE_SUSPECT = "instance.suspect"
    INSTANCE_UNREACHABLE = "instance.unreachable"
    INSTANCE_DEAD = "instance.dead"
    INSTANCE_LEFT = "instance.left"
    INSTANCE_REFUTED = "instance.refuted"
    LEASE_HELD = "lease.held"
    LEASE_LOST = "lease.lost"
    PAUSE_NOTICED = "pause.noticed"

    # Flow
    FLOW_OPENED = "flow.opened"
    FLOW_CLOSED = "flow.closed"
    FLOW_LOST = "flow.lost"
    FLOW_GIVEN_UP = "flow.given_up"
    FLOW_EVICTED = "flow.evicted"
    FLOW_UNRECORDED = "flow.unrecorded"
    FLOW_SEARCHED = "flow.searched"
    FLOW_FOUND = "flow.found"
    FLOW_SILENT = "flow.silent"
    FLOW_WAY_BACK = "flow.way_back"

    # Request
    REQUEST_REFUSED = "request.refused"

    # Plan
    PLAN_APPLIED = "plan.applied"
    PLAN_STALE = "plan.stale"

    # Edge
    DATAGRAM_DROPPED = "datagram.dropped"


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One decision.

    Parameters
    ----------
    at_ms : int
        Time of the decision on the instance's clock, in milliseconds.
    reason : Reason
        Reason code.
    instance : InstanceId
        Instance that made the decision.
    revision : Revision
        Revision of the plan in force at that time.
    flow, request, server
        Objects that the decision affects; None if not applicable.
    detail : str
        Short free-form text.
    """

    at_ms: int
    reason: Reason
    instance: InstanceId
    revision: Revision = Revision(0)
    flow: FlowId | None = None
    request: RequestId | None = None
    server: ServerId | None = None
    detail: str = ""


class Journal:
    """Decision journal: keeps the latest decisions of one instance in memory.

    Parameters
    ----------
    instance : InstanceId
        Instance that makes the decisions.
    n_entries : int
        Maximum number of entries; the oldest is overwritten first.
    """

    def __init__(self, instance: InstanceId, n_entries: int = 4096) -> None:
        self.instance = instance
        self.revision = Revision(0)
        self._entries: deque[JournalEntry] = deque(maxlen=n_entries)

    def record(
        self,
        now_ms: int,
        reason: Reason,
        *,
        flow: FlowId | None = None,
        request: RequestId | None = None,
        server: ServerId | None = None,
        detail: str = "",
    ) -> None:
        """Append a decision with this instance's id and current plan revision."""
        entry = JournalEntry(
            at_ms=now_ms,
            reason=reason,
            instance=self.instance,
            revision=self.revision,
            flow=flow,
            request=request,
            server=server,
            detail=detail,
        )
        self._entries.append(entry)

    def entries(self) -> list[JournalEntry]:
        """Return the decisions in the journal, oldest first."""
        return list(self._entries)
