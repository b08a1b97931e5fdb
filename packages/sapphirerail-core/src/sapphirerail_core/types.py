"""Identifiers and states shared by all subpackages."""

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
"""Unsigned 64-bit number that a caller assigns to one connection."""
RequestId = NewType("RequestId", int)
"""Unsigned 32-bit number of a request, unique within its flow."""
Revision = NewType("Revision", int)
"""Version number of a plan; a plan with a higher revision replaces a lower one."""


class TrafficClass(IntEnum):
    """Traffic classes, most important first; overload sheds the last one first."""

    TRANSACTION = 0
    FEED = 1
    UPLOAD = 2


class ServerState(Enum):
    """Planned lifecycle state of a backend server.

    Entering and active servers accept new work; both start with one request at a
    time. Draining servers only keep their existing flows.
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
    """State of an instance as detected by another instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    DEAD = "dead"
    LEFT = "left"
