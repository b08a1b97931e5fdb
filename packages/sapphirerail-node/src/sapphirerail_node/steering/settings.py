"""What a steering instance is told at its start."""

import msgspec

from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_transport.udp import Address

__all__ = ["SteeringSettings"]


class SteeringSettings(msgspec.Struct, frozen=True):
    """Settings of one instance, whatever form they came in.

    Parameters
    ----------
    instance : InstanceId
        Its name.
    data_centre : DataCentreId
        Where it stands.
    packet_address : Address
        Takes the packets of callers.
    ready_address : Address
        Answers whether it can take packets.
    state_address : Address
        Serves its state and figures to others.
    metrics_address : Address or None
        Serves its figures alone; None for no such socket.
    peer_address : Address
        Takes the messages of other instances.
    store_address : Address
        The platform's store.
    seeds : tuple of Address
        State addresses of other instances, which may be stale.
    stop_grace_ms : int
        Time between the signal to stop and the kill.
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
