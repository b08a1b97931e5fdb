"""Interface between request admission and the flow table."""

from typing import Protocol

from ..datagram import Datagram
from ..effects import Effect
from ..types import FlowId, ServerId, ServiceId

__all__ = ["FlowPort"]


class FlowPort(Protocol):
    """Flow placement and flow records, as used by the dispatcher."""

    def candidates(self, service: ServiceId, flow: FlowId) -> list[ServerId]:
        """Return the servers eligible for new work of a flow, preferred first."""
        ...

    def lookup(self, service: ServiceId, flow: FlowId) -> ServerId | None:
        """Return the server of an open flow, or None if it is unknown."""
        ...

    def opened(self, datagram: Datagram, server: ServerId, now_ms: int) -> list[Effect]:
        """Record that the opening of a flow is being sent to a server."""
        ...

    def refused(self, datagram: Datagram, server: ServerId, now_ms: int) -> None:
        """Record that a server refused to open a flow."""
        ...
