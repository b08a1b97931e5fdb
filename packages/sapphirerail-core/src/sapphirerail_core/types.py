"""Identifiers and states that the aggregates share."""

from enum import Enum, IntEnum
from typing import NewType

__all__ = [
    "DataCentreId",
    "DataCentreState",
    "FlowId",
    "InstanceId",
    "InstanceState",
    "RequestId",
    "Revision",
    "ServerId",
    "ServerState",
    "ServiceId",
    "TenantId",
    "TrafficClass",
]

TenantId = NewType("TenantId", str)
ServiceId = NewType("ServiceId", str)
ServerId = NewType("ServerId", str)
DataCentreId = NewType("DataCentreId", str)
InstanceId = NewType("InstanceId", str)
FlowId = NewType("FlowId", int)
"""Unsigned 64-bit number that a caller gives to one connection."""
RequestId = NewType("RequestId", int)
"""Unsigned 32-bit number of a request, unique within its flow."""
Revision = NewType("Revision", int)
"""Number of a plan; a plan with a higher revision replaces a lower one."""


class TrafficClass(IntEnum):
    """Classes of traffic, most important first; overload sheds the last first."""

    TRANSACTION = 0
    FEED = 1
    UPLOAD = 2


class ServerState(Enum):
    """Place of a backend server in its planned life.

    Entering and active servers take new work; either begins with one request at a
    time. Draining ones keep their flows only.
    """

    ENTERING = "entering"
    ACTIVE = "active"
    DRAINING = "draining"
    LEFT = "left"


class DataCentreState(Enum):
    """Whether a data centre may receive packets."""

    IN = "in"
    OUT = "out"


class InstanceState(Enum):
    """What an instance believes of another instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    DEAD = "dead"
    LEFT = "left"
