"""Baseline dispatcher: uses only the load reports of servers, without claims."""

import random
from collections.abc import Callable

import msgspec

from sapphirerail_core.datagram import Datagram, HealthReport, Kind
from sapphirerail_core.effects import Effect, Message, SendToCaller, SendToServer
from sapphirerail_core.plan.model import EMPTY_PLAN, Plan
from sapphirerail_core.request.ports import FlowPort
from sapphirerail_core.types import FlowId, InstanceId, InstanceState, ServerId

__all__ = ["ReportsOnlyDispatcher"]

_REPORT_INTERVAL_MS = 1_000


class ReportsOnlyDispatcher:
    """Sends each request immediately to the server with the lowest reported load."""

    def __init__(self, flows: FlowPort, random_state: random.Random) -> None:
        self._flows = flows
        self._random = random_state
        self._plan = EMPTY_PLAN
        self._reported_load: dict[ServerId, int] = {}
        self._next_report_at_ms = 0
        self.on_outcome: Callable[..., None] | None = None

    def on_plan(self, plan: Plan, now_ms: int) -> list[Effect]:
        """Apply a new plan."""
        self._plan = plan
        return []

    def submit(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Send a request without consulting other instances."""
        servers = self._flows.candidates(datagram.service, datagram.flow)
        self._random.shuffle(servers)
        best = min(servers, key=lambda name: self._reported_load.get(name, 0))
        return [SendToServer(best, datagram)]

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Forward an answer to the caller, or store a load report."""
        if datagram.kind is not Kind.HEALTH:
            return [SendToCaller(datagram)]
        report = msgspec.msgpack.decode(datagram.body, type=HealthReport)
        self._reported_load[server] = report.n_busy + report.n_queued
        return []

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Ignore messages from other instances; no state is shared."""
        return []

    def on_instance_state(
        self, instance: InstanceId, state: InstanceState, now_ms: int
    ) -> list[Effect]:
        """Ignore membership changes."""
        return []

    def drain(self, now_ms: int) -> list[Effect]:
        """Do nothing; no request is queued here."""
        return []

    @property
    def n_in_flight(self) -> int:
        """Always 0; requests are not tracked."""
        return 0

    def tick(self, now_ms: int) -> list[Effect]:
        """Request a load report from every server once per report interval."""
        if now_ms < self._next_report_at_ms:
            return []
        self._next_report_at_ms = now_ms + _REPORT_INTERVAL_MS
        return [
            SendToServer(
                server.server,
                Datagram(kind=Kind.PROBE, service=server.service, flow=FlowId(0)),
            )
            for server in self._plan.servers.values()
        ]
