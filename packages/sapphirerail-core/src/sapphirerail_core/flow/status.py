"""Flow state and counters of one instance, as shown to operators."""

import msgspec

from ..types import Revision, ServerId

__all__ = ["FlowStatus"]


class FlowStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State and counters of one instance's flows.

    Parameters
    ----------
    revision : Revision
        Revision of the current plan.
    n_flows : int
        Flows in the local table.
    n_records : int
        Records that this instance keeps as an owner.
    n_unacknowledged : int
        Batches and records that owners have not acknowledged.
    n_orphans : int
        Flows of failed instances that wait to be taken over.
    n_evicted : int
        Flows that were evicted because the table was full.
    n_searches, n_found : int
        Lookups of flows at the servers, and those that found the flow.
    n_probes : int
        Probes of unresponsive or idle flows.
    n_handed_over : int
        Unresponsive flows that were handed over to another instance.
    n_lost : int
        Flows that were lost or abandoned.
    draining : dict of ServerId to int
        Flows in the local table of each draining server.
    """

    revision: Revision
    n_flows: int
    n_records: int
    n_unacknowledged: int
    n_orphans: int
    n_evicted: int
    n_searches: int
    n_found: int
    n_probes: int
    n_handed_over: int
    n_lost: int
    draining: dict[ServerId, int]
