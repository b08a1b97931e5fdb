"""Passes datagrams and messages to the decisions, and carries out effects."""

import logging
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Protocol

import msgspec

from sapphirerail_core.datagram import Datagram, Kind, RefusalCode, Run
from sapphirerail_core.effects import (
    Effect,
    Message,
    SendToCaller,
    SendToPeer,
    SendToServer,
)
from sapphirerail_core.flow.address import NO_ADDRESS, pack_address
from sapphirerail_core.journal import Journal, Reason
from sapphirerail_core.plan import EMPTY_PLAN, Plan
from sapphirerail_core.types import InstanceId, ServerId, ServerState
from sapphirerail_transport.udp import Address, format_address

from .metrics import Metrics

__all__ = ["FlowHandler", "Outlets", "RequestHandler", "Router"]

_log = logging.getLogger(__name__)

NEW_WORK_KINDS = frozenset({Kind.OPEN, Kind.REQUEST, Kind.CANCEL})
CALLER_KINDS = NEW_WORK_KINDS | {Kind.DATA, Kind.KEEPALIVE, Kind.CLOSE, Kind.ACK}
SERVER_KINDS = frozenset(
    {
        Kind.DATA,
        Kind.KEEPALIVE,
        Kind.CLOSE,
        Kind.ANSWER,
        Kind.ACK,
        Kind.REFUSAL,
        Kind.RESET,
        Kind.HEALTH,
    }
)


class FlowHandler(Protocol):
    """The decisions about flows."""

    def on_caller_datagram(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Handle a datagram of an open flow from its caller."""
        ...

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle a datagram of a flow from its server."""
        ...


class RequestHandler(Protocol):
    """The decisions about requests and new flows."""

    def submit(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Handle new work, or its cancellation, from a caller."""
        ...

    def expects(self, datagram: Datagram) -> bool:
        """Return whether a datagram of a server belongs to a request."""
        ...

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle a server's answer to a request or an opening."""
        ...


class Outlets(msgspec.Struct, frozen=True):
    """Where effects go.

    Parameters
    ----------
    to_caller : callable
        Sends a datagram to the address in its ``caller`` field.
    to_server : callable
        Sends a datagram to ``address:port`` of a backend server.
    to_peer : callable
        Sends a message to an instance.
    """

    to_caller: Callable[[Datagram], None]
    to_server: Callable[[Datagram, str], None]
    to_peer: Callable[[InstanceId, Message], None]


class Router:
    """Decides which aggregate handles what, and guards the way out.

    Parameters
    ----------
    flows : FlowHandler
        Decides about flows.
    requests : RequestHandler
        Decides about requests and openings.
    outlets : Outlets
        Carry out effects.
    metrics : Metrics
        Counts drops and sizes.
    journal : Journal
        Keeps the reasons of drops.
    """

    def __init__(
        self,
        flows: FlowHandler,
        requests: RequestHandler,
        outlets: Outlets,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._flows = flows
        self._requests = requests
        self._outlets = outlets
        self._metrics = metrics
        self._journal = journal
        self._plan = EMPTY_PLAN
        self._server_by_address: dict[str, ServerId] = {}
        self._now_ms = 0
        # Looking the method up anew would build its dispatcher for each effect.
        self._dispatch = self._carry_out

    def on_plan(self, plan: Plan) -> None:
        """Use a new plan for addresses and for the guards."""
        self._plan = plan
        servers = plan.servers.values()
        # The address of a server that has left may belong to another one by now.
        self._server_by_address = {
            server.address: server.server
            for server in servers
            if server.state is ServerState.LEFT
        } | {
            server.address: server.server
            for server in servers
            if server.state is not ServerState.LEFT
        }

    def on_caller_datagram(
        self, datagram: Datagram, sender: Address, now_ms: int
    ) -> None:
        """Handle a datagram from the fabric or directly from a caller."""
        self._now_ms = now_ms
        if not datagram.caller:
            caller = format_address(sender)
            datagram = msgspec.structs.replace(datagram, caller=caller)
        if datagram.kind not in CALLER_KINDS:
            self._drop(datagram, "caller.unexpected_kind")
            return
        is_new = datagram.kind in NEW_WORK_KINDS
        if is_new and pack_address(datagram.caller) == NO_ADDRESS:
            self._refuse_address(datagram, sender)
            return
        service = self._plan.services.get(datagram.service)
        if service is None:
            self._refuse_unknown_service(datagram)
            return
        self._metrics.observe_size(
            service.tenant, datagram.traffic_class, len(datagram.body)
        )
        if datagram.kind in NEW_WORK_KINDS:
            self.carry_out(self._requests.submit(datagram, now_ms))
        else:
            self.carry_out(self._flows.on_caller_datagram(datagram, now_ms))

    def on_server_datagram(
        self, datagram: Datagram, sender: Address, now_ms: int
    ) -> None:
        """Handle a datagram from a backend server."""
        self._now_ms = now_ms
        server = self._server_by_address.get(format_address(sender))
        if server is None:
            self._drop(datagram, "server.unknown_sender")
            return
        if datagram.service != self._plan.servers[server].service:
            self._drop(datagram, "server.wrong_service")
            return
        if datagram.kind not in SERVER_KINDS:
            self._drop(datagram, "server.unexpected_kind")
            return
        handler = self._flows
        if self._requests.expects(datagram):
            handler = self._requests
        self.carry_out(handler.on_server_datagram(server, datagram, now_ms))

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carry out effects in their order."""
        for effect in effects:
            self._dispatch(effect)

    @singledispatchmethod
    def _carry_out(self, effect: Effect) -> None:
        raise TypeError(f"no way to carry out {effect!r}")

    @_carry_out.register
    def _(self, effect: SendToCaller) -> None:
        self._outlets.to_caller(effect.datagram)

    @_carry_out.register
    def _(self, effect: SendToPeer) -> None:
        self._outlets.to_peer(effect.instance, effect.message)

    @_carry_out.register
    def _(self, effect: SendToServer) -> None:
        server = self._plan.servers.get(effect.server)
        if server is None:
            self._drop(effect.datagram, "outgoing.unknown_server")
        elif server.service != effect.datagram.service:
            # Last guard of the promise that no packet reaches another service.
            _log.error(
                "datagram for another service dropped",
                extra={"flow": effect.datagram.flow, "server": effect.server},
            )
            self._drop(effect.datagram, "outgoing.wrong_service")
        elif server.state is ServerState.LEFT:
            self._drop(effect.datagram, "outgoing.server_left")
        elif self._plan.is_evacuated(server.data_centre):
            self._drop(effect.datagram, "outgoing.data_centre_out")
        else:
            self._outlets.to_server(effect.datagram, server.address)

    def _refuse_address(self, datagram: Datagram, sender: Address) -> None:
        """Tell the fabric that its caller has no IPv4 address to answer to."""
        self._drop(datagram, "caller.bad_address")
        refusal = msgspec.structs.replace(
            datagram,
            kind=Kind.REFUSAL,
            code=RefusalCode.MALFORMED,
            # An earlier attempt may have met an instance of an older version.
            run=Run.NO if datagram.attempt == 0 else Run.UNKNOWN,
            caller=format_address(sender),
            body=b"",
        )
        self._outlets.to_caller(refusal)

    def _refuse_unknown_service(self, datagram: Datagram) -> None:
        self._drop(datagram, "caller.unknown_service")
        if datagram.kind not in (Kind.OPEN, Kind.REQUEST):
            return
        refusal = msgspec.structs.replace(
            datagram,
            kind=Kind.REFUSAL,
            code=self._refusal_code(),
            # An earlier attempt may have met an instance that knows the service.
            run=Run.NO if datagram.attempt == 0 else Run.UNKNOWN,
            body=b"",
        )
        self._outlets.to_caller(refusal)

    def _refusal_code(self) -> RefusalCode:
        """Return why a service is not known: perhaps nothing is known yet."""
        if self._plan.revision == 0:
            return RefusalCode.NO_PLAN
        return RefusalCode.UNKNOWN_SERVICE

    def _drop(self, datagram: Datagram, why: str) -> None:
        self._metrics.count(f"dropped.{why}")
        self._journal.note(
            self._now_ms, Reason.DATAGRAM_DROPPED, flow=datagram.flow, detail=why
        )
