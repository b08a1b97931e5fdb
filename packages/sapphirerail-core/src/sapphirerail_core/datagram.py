"""The datagram that callers, instances and backend servers exchange."""

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
    """What a datagram asks for or says."""

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
    """What a refusal says about the request: whether it was run."""

    NO = 0
    UNKNOWN = 1


class RefusalCode(IntEnum):
    """Why a request or a flow was refused."""

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
        What the datagram asks for or says.
    service : ServiceId
        The service that it belongs to.
    flow : FlowId
        The connection of the caller, unsigned 64 bits.
    request : RequestId
        Number of the request within the flow; 0 outside requests.
    attempt : int
        0 for the first transmission, then rising with each retransmission.
    part : int
        Position of this part, from 0; in a feed, the event's number.
    n_parts : int
        Number of parts of the whole; 0 where it is open-ended.
    traffic_class : TrafficClass
        Class that shedding and histograms go by.
    idempotent : bool
        Whether running the request twice does no harm.
    deadline_ms : int
        Time left for the answer, in milliseconds, at the moment of sending;
        0 where there is none.
    caller : str
        ``address:port`` that answers go to; the fabric's edge fills it in and
        backend servers return it unchanged.
    code : RefusalCode
        Reason of a refusal or a reset.
    run : Run
        For a refusal, whether the request may have been run.
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
    """What a backend server says of itself; it may lag or be wrong.

    Parameters
    ----------
    n_busy : int
        Requests that it is running.
    n_queued : int
        Requests that wait in it.
    n_flows : int
        Open flows.
    """

    n_busy: int = 0
    n_queued: int = 0
    n_flows: int = 0
