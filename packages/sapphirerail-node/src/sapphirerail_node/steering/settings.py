"""Settings of an instance that steers packets by tag."""

import msgspec

from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.udp import Address

__all__ = ["SteeringSettings"]


class SteeringSettings(msgspec.Struct, frozen=True):
    """Settings of one instance, independent of their source format.

    Parameters
    ----------
    instance : InstanceId
        Name of the instance.
    data_centre : DataCentreId
        Data centre of the instance.
    packet_address : Address
        Receives the packets of callers.
    ready_address : Address
        Serves the readiness check.
    state_address : Address
        Serves the state to other instances, and metrics.
    metrics_address : Address or None
        Serves metrics only; None for no such socket.
    peer_address : Address
        Receives the messages of other instances.
    store_address : Address
        Address of the platform's store.
    seeds : tuple of Address
        State addresses of other instances, which may be out of date.
    stop_grace_ms : int
        Time between the stop signal and the kill of the process.
    """

    instance: InstanceId
    data_centre: DataCentreId
    packet_address: Address
    ready_address: Address
    state_address: Address
    metrics_address: Address | None
    peer_address: Address
    store_address: Address
    seeds: tuple[Address, ...]
    stop_grace_ms: int
