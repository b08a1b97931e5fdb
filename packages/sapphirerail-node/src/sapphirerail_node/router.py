"""Passes datagrams to the decision logic, and executes the effects it returns."""

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

__all__ = ["EffectSenders", "FlowHandler", "RequestHandler", "Router"]

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
    """Decision logic of flows."""

    def on_caller_datagram(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Handle a datagram that a caller sends on an open flow."""
        ...

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle a datagram that a server sends on a flow."""
        ...


class RequestHandler(Protocol):
    """Decision logic of requests and of openings of flows."""

    def submit(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Handle a request, an opening or a cancellation from a caller."""
        ...

    def expects(self, datagram: Datagram) -> bool:
        """Return whether a server's datagram belongs to a request or an opening."""
        ...

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Handle a server's answer to a request or an opening."""
        ...


class EffectSenders(msgspec.Struct, frozen=True):
    """Functions that send the datagrams and messages of effects.

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
    """Dispatches received datagrams, and checks outgoing ones against the plan.

    Parameters
    ----------
    flows : FlowHandler
        Handles datagrams of open flows.
    requests : RequestHandler
        Handles requests and openings of flows.
    senders : EffectSenders
        Send the datagrams and messages of effects.
    metrics : Metrics
        Counts dropped datagrams and records payload sizes.
    journal : Journal
        Records the reasons of dropped datagrams.
    """

    def __init__(
        self,
        flows: FlowHandler,
        requests: RequestHandler,
        senders: EffectSenders,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._flows = flows
        self._requests = requests
        self._senders = senders
        self._metrics = metrics
        self._journal = journal
        self._plan = EMPTY_PLAN
        self._server_by_address: dict[str, ServerId] = {}
        self._now_ms = 0
        # Kept because each lookup of a singledispatchmethod creates its dispatcher.
        self._execute_effect = self._execute_one

    def on_plan(self, plan: Plan) -> None:
        """Apply a new plan to the address lookup and the checks."""
        self._plan = plan
        servers = plan.servers.values()
        # The address of a server that left can belong to another server now, which
        # takes precedence.
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
        """Handle a datagram that arrived through the fabric or directly."""
        self._now_ms = now_ms
        if not datagram.caller:
            sender_text = format_address(sender)
            datagram = msgspec.structs.replace(datagram, caller=sender_text)
        if datagram.kind not in CALLER_KINDS:
            self._drop(datagram, "caller.unexpected_kind")
            return
        is_new = datagram.kind in NEW_WORK_KINDS
        if is_new and pack_address(datagram.caller) == NO_ADDRESS:
            self._refuse_bad_address(datagram, sender)
            return
        service = self._plan.services.get(datagram.service)
        if service is None:
            self._refuse_unknown_service(datagram)
            return
        self._metrics.observe_size(
            service.tenant, datagram.traffic_class, len(datagram.body)
        )
        if datagram.kind in NEW_WORK_KINDS:
            self.execute(self._requests.submit(datagram, now_ms))
        else:
            self.execute(self._flows.on_caller_datagram(datagram, now_ms))

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
        self.execute(handler.on_server_datagram(server, datagram, now_ms))

    def execute(self, effects: Iterable[Effect]) -> None:
        """Execute effects in order."""
        for effect in effects:
            self._execute_effect(effect)

    @singledispatchmethod
    def _execute_one(self, effect: Effect) -> None:
        raise TypeError(f"{effect!r} is not an effect that the router can execute")

    @_execute_one.register
    def _(self, effect: SendToCaller) -> None:
        self._senders.to_caller(effect.datagram)

    @_execute_one.register
    def _(self, effect: SendToPeer) -> None:
        self._senders.to_peer(effect.instance, effect.message)

    @_execute_one.register
    def _(self, effect: SendToServer) -> None:
        server = self._plan.servers.get(effect.server)
        if server is None:
            self._drop(effect.datagram, "outgoing.unknown_server")
        elif server.service != effect.datagram.service:
            # Last check of the guarantee that no packet reaches another service.
            _log.error(
                "dropped a datagram whose server belongs to another service",
                extra={"flow": effect.datagram.flow, "server": effect.server},
            )
            self._drop(effect.datagram, "outgoing.wrong_service")
        elif server.state is ServerState.LEFT:
            self._drop(effect.datagram, "outgoing.server_left")
        elif self._plan.is_evacuated(server.data_centre):
            self._drop(effect.datagram, "outgoing.data_centre_out")
        else:
            self._senders.to_server(effect.datagram, server.address)

    def _refuse_bad_address(self, datagram: Datagram, sender: Address) -> None:
        """Refuse new work without an IPv4 address to answer to.

        The refusal goes to the sender of the packet, such as the edge of the fabric.
        """
        self._drop(datagram, "caller.bad_address")
        refusal = msgspec.structs.replace(
            datagram,
            kind=Kind.REFUSAL,
            code=RefusalCode.MALFORMED,
            # An earlier attempt may have reached an instance of a version that lacks
            # this check, and may have been executed.
            run=Run.NO if datagram.attempt == 0 else Run.UNKNOWN,
            caller=format_address(sender),
            body=b"",
        )
        self._senders.to_caller(refusal)

    def _refuse_unknown_service(self, datagram: Datagram) -> None:
        self._drop(datagram, "caller.unknown_service")
        if datagram.kind not in (Kind.OPEN, Kind.REQUEST):
            return
        refusal = msgspec.structs.replace(
            datagram,
            kind=Kind.REFUSAL,
            code=self._refusal_code(),
            # An earlier attempt may have reached an instance whose plan has the
            # service, and may have been executed.
            run=Run.NO if datagram.attempt == 0 else Run.UNKNOWN,
            body=b"",
        )
        self._senders.to_caller(refusal)

    def _refusal_code(self) -> RefusalCode:
        """Return `NO_PLAN` before the first plan, else `UNKNOWN_SERVICE`."""
        if self._plan.revision == 0:
            return RefusalCode.NO_PLAN
        return RefusalCode.UNKNOWN_SERVICE

    def _drop(self, datagram: Datagram, reason: str) -> None:
        self._metrics.count(f"dropped.{reason}")
        self._journal.record(
            self._now_ms, Reason.DATAGRAM_DROPPED, flow=datagram.flow, detail=reason
        )
