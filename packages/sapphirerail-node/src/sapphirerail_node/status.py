"""Status of one instance, as shown to operators."""

from typing import Any

import msgspec

from sapphirerail_core.types import DataCentreId, InstanceId, Revision

from .metrics import HistogramSummary

__all__ = ["InstanceStatus", "ReadyLine"]


class ReadyLine(msgspec.Struct, frozen=True):
    """JSON line printed once on standard output when the instance is ready."""

    instance: InstanceId
    caller_address: str
    server_address: str
    peer_address: str
    api_address: str


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one instance.

    Parameters
    ----------
    instance, data_centre
        Name and data centre of the instance.
    phase : str
        Phase of the process's life cycle.
    revision : Revision
        Revision of the plan in force at the instance.
    uptime_ms : int
        Time since the start.
    plan, fleet, flows, requests : object
        Status of each component.
    counters : dict of str to int
        Counters of events since the start, by name.
    histograms : list of HistogramSummary
        Latency and size per tenant and traffic class.
    """

    instance: InstanceId
    data_centre: DataCentreId
    phase: str
    revision: Revision
    uptime_ms: int
    plan: Any
    fleet: Any
    flows: Any
    requests: Any
    counters: dict[str, int]
    histograms: list[HistogramSummary]
