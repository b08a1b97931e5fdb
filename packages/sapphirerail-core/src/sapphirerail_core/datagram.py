"""Datagram format that callers, instances and backend servers exchange."""

from enum import IntEnum

import msgspec

from .types import FlowId, RequestId, ServiceId, TrafficClass

__all__ = [
    "DATAGRAM_VERSION",
    "Datagram",
    "HealthReport",
    "Kind",
    "RefusalCode",
    "Run",
]

DATAGRAM_VERSION = 1


class Kind(IntEnum):
    """Type of a datagram."""

    OPEN = 1
    DATA = 2
    KEEPALIVE = 3
    CLOSE = 4
    REQUEST = 5
    CANCEL = 6
    ANSWER = 7
    ACK = 8
    REFUSAL = 9
    RESET = 10
    PROBE = 11
    HEALTH = 12


class Run(IntEnum):
    """Whether a refused request may have been executed."""

    NO = 0
    UNKNOWN = 1


class RefusalCode(IntEnum):
    """Reason why a request or a flow was refused or reset."""

    NONE = 0
    UNKNOWN_SERVICE = 1
    NO_SERVER = 2
    OVERLOADED = 3
    DEADLINE_EXCEEDED = 4
    SERVER_SHED = 5
    SERVER_LOST = 6
    OWNER_LOST = 7
    DATA_CENTRE_OUT = 8
    FLOW_LOST = 9
    CANCELLED = 10
    DUPLICATE = 11
    MALFORMED = 12
    UNREACHABLE = 13
    NO_PLAN = 14


class Datagram(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One packet of a flow or of a request.

    Parameters
    ----------
    kind : Kind
        Type of the datagram.
    service : ServiceId
        Service that the flow belongs to.
    flow : FlowId
        Connection of the caller, unsigned 64 bits.
    request : RequestId
        Number of the request within the flow; 0 outside requests.
    attempt : int
        0 for the first transmission, incremented with each retransmission.
    part : int
        Index of this part, from 0; in a feed, the number of the event.
    n_parts : int
        Total number of parts; 0 if the number is not known in advance.
    traffic_class : TrafficClass
        Class that determines the shedding order and the latency histogram.
    idempotent : bool
        Whether the request can safely be executed twice.
    deadline_ms : int
        Remaining time for the answer, in milliseconds, at the moment of sending;
        0 for no deadline.
    caller : str
        ``address:port`` that answers are sent to; the edge of the fabric sets it
        and backend servers return it unchanged.
    code : RefusalCode
        Reason of a refusal or a reset.
    run : Run
        For a refusal, whether the request may have been executed.
    body : bytes
        The payload.
    """

    kind: Kind
    service: ServiceId
    flow: FlowId
    version: int = DATAGRAM_VERSION
    request: RequestId = RequestId(0)
    attempt: int = 0
    part: int = 0
    n_parts: int = 1
    traffic_class: TrafficClass = TrafficClass.TRANSACTION
    idempotent: bool = False
    deadline_ms: int = 0
    caller: str = ""
    code: RefusalCode = RefusalCode.NONE
    run: Run = Run.UNKNOWN
    body: bytes = b""


class HealthReport(msgspec.Struct, frozen=True, array_like=True):
    """Load that a backend server reports; it may be out of date or wrong.

    Parameters
    ----------
    n_busy : int
        Number of requests that the server is executing.
    n_queued : int
        Number of requests in its queue.
    n_flows : int
        Number of open flows.
    """

    n_busy: int = 0
    n_queued: int = 0
    n_flows: int = 0
