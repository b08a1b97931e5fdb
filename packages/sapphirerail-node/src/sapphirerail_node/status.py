"""What an instance tells operators about itself."""

from typing import Any

import msgspec

from sapphirerail_core.types import DataCentreId, InstanceId, Revision

from .metrics import HistogramSummary

__all__ = ["InstanceStatus", "ReadyLine"]


class ReadyLine(msgspec.Struct, frozen=True):
    """Printed once on standard output when all sockets are open."""

    instance: InstanceId
    caller_address: str
    server_address: str
    peer_address: str
    api_address: str


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of one instance.

    Parameters
    ----------
    instance, data_centre
        Who answers.
    phase : str
        Phase of the process's life.
    revision : Revision
        Plan in force here.
    uptime_ms : int
        Time since the start.
    plan, fleet, flows, requests : object
        Status of each aggregate.
    counters : dict of str to int
        Events since the start.
    histograms : list of HistogramSummary
        Latency and size per tenant and class.
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
