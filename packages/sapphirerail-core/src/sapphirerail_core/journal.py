"""A bounded ring of decisions with typed reasons, kept for explanations."""

from collections import deque
from enum import Enum

import msgspec

from .types import FlowId, InstanceId, RequestId, Revision, ServerId

__all__ = ["Entry", "Journal", "Reason"]


class Reason(Enum):
    """Why a decision was taken."""

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


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One decision.

    Parameters
    ----------
    at_ms : int
        Time of the decision on the instance's clock, in milliseconds.
    reason : Reason
        Why it was taken.
    instance : InstanceId
        Where it was taken.
    revision : Revision
        Plan in force at that moment.
    flow, request, server
        What it was about; None where it does not apply.
    detail : str
        Short free text for the reader.
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
    """Keeps the newest decisions of one instance.

    Parameters
    ----------
    instance : InstanceId
        The instance whose decisions are kept.
    n_entries : int
        How many entries are kept; the oldest goes first.
    """

    def __init__(self, instance: InstanceId, n_entries: int = 4096) -> None:
        self.instance = instance
        self.revision = Revision(0)
        self._entries: deque[Entry] = deque(maxlen=n_entries)

    def note(
        self,
        now_ms: int,
        reason: Reason,
        *,
        flow: FlowId | None = None,
        request: RequestId | None = None,
        server: ServerId | None = None,
        detail: str = "",
    ) -> None:
        """Add a decision, stamped with this instance and its revision."""
        entry = Entry(
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

    def entries(self) -> list[Entry]:
        """Return the kept decisions, oldest first."""
        return list(self._entries)
