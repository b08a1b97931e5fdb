"""The platform's lagging list of instances, as an interface."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import msgspec

from ..types import DataCentreId, InstanceId

__all__ = ["InstanceList", "ListedInstance", "ListedState"]


class ListedState(Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """An entry of the list; it may be out of date in both directions.

    Parameters
    ----------
    instance : InstanceId
        Name of the instance.
    data_centre : DataCentreId
        Where it stands.
    peer_address : str
        ``address:port`` for messages between instances.
    api_address : str
        ``address:port`` of its HTTP interface.
    state : ListedState
        What the platform says of it.
    """

    instance: InstanceId
    data_centre: DataCentreId
    peer_address: str
    api_address: str
    state: ListedState = ListedState.LIVE


class InstanceList(Protocol):
    """Source of the platform's list."""

    async def fetch(self) -> Sequence[ListedInstance]:
        """Return the list as the platform gives it now."""
        ...
