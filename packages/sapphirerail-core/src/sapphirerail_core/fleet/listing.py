"""Interface to the platform's list of instances, which may be out of date."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import msgspec

from ..types import DataCentreId, InstanceId

__all__ = ["InstanceList", "ListedInstance", "ListedState"]


class ListedState(Enum):
    """State of an instance as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """Entry of the list; it may be missing, or remain after the instance stopped.

    Parameters
    ----------
    instance : InstanceId
        Name of the instance.
    data_centre : DataCentreId
        Data centre of the instance.
    peer_address : str
        ``address:port`` for messages between instances.
    api_address : str
        ``address:port`` of its HTTP interface.
    state : ListedState
        State reported by the platform.
    """

    instance: InstanceId
    data_centre: DataCentreId
    peer_address: str
    api_address: str
    state: ListedState = ListedState.LIVE


class InstanceList(Protocol):
    """Source of the platform's list."""

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the current list of the platform."""
        ...
