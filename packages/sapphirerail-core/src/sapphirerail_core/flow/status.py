"""What operators may ask of the flows of one instance."""

import msgspec

from ..types import Revision, ServerId

__all__ = ["FlowStatus"]


class FlowStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State and counts of one instance's flows.

    Parameters
    ----------
    revision : Revision
        Plan in force.
    n_flows : int
        Flows in the local table.
    n_records : int
        Records kept as an owner.
    n_unacknowledged : int
        Batches and records that owners have not acknowledged.
    n_orphans : int
        Flows of lost instances that wait to be taken over.
    n_evicted : int
        Flows that went because the table was full.
    n_searches, n_found : int
        Searches through the servers, and those with success.
    n_probes : int
        Probes of silent or idle flows.
    n_handed_over : int
        Silent flows that were handed over to another instance.
    n_lost : int
        Flows that were given up.
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
