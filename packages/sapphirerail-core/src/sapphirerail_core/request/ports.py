"""What admission asks of the flows."""

from typing import Protocol

from ..datagram import Datagram
from ..effects import Effect
from ..types import FlowId, ServerId, ServiceId

__all__ = ["FlowPort"]


class FlowPort(Protocol):
    """Placement and records of flows, as the dispatcher uses them."""

    def candidates(self, service: ServiceId, flow: FlowId) -> list[ServerId]:
        """Return the servers that may take new work of a flow, preferred first."""
        ...

    def lookup(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return the server that an open flow is known to be on."""
        ...

    def opened(self, datagram: Datagram, server: ServerId, now_ms: int) -> list[Effect]:
        """Record that a flow is being opened on a server."""
        ...

    def refused(self, datagram: Datagram, server: ServerId, now_ms: int) -> None:
        """Note that a server refused to open a flow."""
        ...
