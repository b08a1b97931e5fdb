"""Baseline: each instance decides alone on the servers' reports, without claims."""

import random
from collections.abc import Callable

import msgspec

from sapphirerail_core.datagram import Datagram, HealthReport, Kind
from sapphirerail_core.effects import Effect, Message, SendToCaller, SendToServer
from sapphirerail_core.plan.model import EMPTY_PLAN, Plan
from sapphirerail_core.request.ports import FlowPort
from sapphirerail_core.types import FlowId, InstanceId, InstanceState, ServerId

__all__ = ["AloneDispatcher"]

_REPORT_MS = 1_000


class AloneDispatcher:
    """Sends each request at once to the server that reported the least work."""

    def __init__(self, flows: FlowPort, random_state: random.Random) -> None:
        self._flows = flows
        self._random = random_state
        self._plan = EMPTY_PLAN
        self._reported: dict[ServerId, int] = {}
        self._report_at_ms = 0
        self.on_outcome: Callable[..., None] | None = None

    def on_plan(self, plan: Plan, now_ms: int) -> list[Effect]:
        """Use a new plan."""
        self._plan = plan
        return []

    def submit(self, datagram: Datagram, now_ms: int) -> list[Effect]:
        """Send a request without asking anybody."""
        servers = self._flows.candidates(datagram.service, datagram.flow)
        self._random.shuffle(servers)
        best = min(servers, key=lambda name: self._reported.get(name, 0))
        return [SendToServer(best, datagram)]

    def on_server_datagram(
        self, server: ServerId, datagram: Datagram, now_ms: int
    ) -> list[Effect]:
        """Pass an answer on, or remember a report."""
        if datagram.kind is not Kind.HEALTH:
            return [SendToCaller(datagram)]
        report = msgspec.msgpack.decode(datagram.body, type=HealthReport)
        self._reported[server] = report.n_busy + report.n_queued
        return []

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Ignore messages: nothing is shared."""
        return []

    def on_instance_state(
        self, instance: InstanceId, state: InstanceState, now_ms: int
    ) -> list[Effect]:
        """Ignore the membership."""
        return []

    def drain(self, now_ms: int) -> list[Effect]:
        """Do nothing: nothing waits here."""
        return []

    @property
    def n_in_flight(self) -> int:
        """No outcome is owed: nothing is remembered."""
        return 0

    def tick(self, now_ms: int) -> list[Effect]:
        """Ask for reports."""
        if now_ms < self._report_at_ms:
            return []
        self._report_at_ms = now_ms + _REPORT_MS
        return [
            SendToServer(
                server.server,
                Datagram(kind=Kind.PROBE, service=server.service, flow=FlowId(0)),
            )
            for server in self._plan.servers.values()
        ]
