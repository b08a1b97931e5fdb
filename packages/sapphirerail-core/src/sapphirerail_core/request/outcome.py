"""Outcomes of requests, as recorded in the histograms."""

from enum import Enum

import msgspec

from ..types import ServiceId, TrafficClass

__all__ = ["Outcome", "OutcomeKind"]


class OutcomeKind(Enum):
    """How a request or the opening of a flow completed."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    REFUSED_UNKNOWN = "refused_unknown"


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of one request.

    Parameters
    ----------
    service : ServiceId
        The requested service.
    traffic_class : TrafficClass
        Class of the request.
    kind : OutcomeKind
        How the request completed.
    latency_ms : int
        Time from the arrival at the admission owner to completion.
    """

    service: ServiceId
    traffic_class: TrafficClass
    kind: OutcomeKind
    latency_ms: int
