"""What became of a request, as the histograms count it."""

from enum import Enum

import msgspec

from ..types import ServiceId, TrafficClass

__all__ = ["Outcome", "OutcomeKind"]


class OutcomeKind(Enum):
    """End of a request or of the opening of a flow."""

    ANSWERED = "answered"
    REFUSED_NOT_RUN = "refused_not_run"
    REFUSED_UNKNOWN = "refused_unknown"


class Outcome(msgspec.Struct, frozen=True):
    """The end of one request.

    Parameters
    ----------
    service : ServiceId
        The service that was asked.
    traffic_class : TrafficClass
        Class of the request.
    kind : OutcomeKind
        How it ended.
    latency_ms : int
        From its arrival at the admission owner to its end.
    """

    service: ServiceId
    traffic_class: TrafficClass
    kind: OutcomeKind
    latency_ms: int
