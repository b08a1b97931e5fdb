"""Admission gates of the servers that this instance owns.

A gate holds the queue, the requests in flight and the concurrency limit of a server.
"""

from ..datagram import Datagram, Kind
from ..effects import Effect, SendToPeer, SendToServer
from ..load.gate import ServerGate
from ..types import FlowId, InstanceId, ServerId
from .claim_replica import NO_INSTANCE
from .context import Context
from .messages import RoleRelease
from .roles import RoleState, RoleTable
from .status import ServerStatus

__all__ = ["GateTable"]


class GateTable:
    """Creates gates, and transfers their state from one owner to the next.

    Parameters
    ----------
    context : Context
        Plan and settings.
    roles : RoleTable
        Admission roles of this instance.
    """

    def __init__(self, context: Context, roles: RoleTable) -> None:
        self._context = context
        self._roles = roles
        self._gates: dict[ServerId, ServerGate] = {}
        self._notice_at_ms = 0

    def get(self, server: ServerId) -> ServerGate | None:
        """Return the gate of a server."""
        return self._gates.get(server)

    def get_or_create(self, server: ServerId, now_ms: int) -> ServerGate:
        """Return the gate of a server, creating it if there is none."""
        gate = self._gates.get(server)
        if gate is None:
            planned = self._context.plan.servers[server]
            gate = ServerGate(
                server,
                planned.n_slots,
                planned.n_flows_max,
                self._context.config.limit,
                now_ms,
            )
            self._gates[server] = gate
        return gate

    def all(self) -> list[ServerGate]:
        """Return all gates."""
        return list(self._gates.values())

    def drop(self, server: ServerId) -> None:
        """Delete the gate of a server that has left."""
        self._gates.pop(server, None)

    def on_role_acquired(self, server: ServerId, now_ms: int) -> None:
        """Initialise a gate with the load and the limit of previous owners."""
        role = self._roles.role(server)
        if role is None or server not in self._context.plan.servers:
            return
        gate = self.get_or_create(server, now_ms)
        limits = [release.limit for release in role.answered.values()]
        departed = self._roles.departed_holders(server)
        if departed:
            self._inherit_from_departed(gate, departed[0], now_ms)
        elif max(limits, default=0) > 0:
            gate.limit.adopt_limit(max(limits), now_ms)
        for sender, release in role.answered.items():
            self._inherit(gate, sender, release, now_ms)

    def on_release(self, sender: InstanceId, release: RoleRelease, now_ms: int) -> None:
        """Update the number of requests that a previous owner has in flight."""
        gate = self._gates.get(release.server)
        role = self._roles.role(release.server)
        if gate is None or role is None or role.state is not RoleState.ACTIVE:
            return
        self._inherit(gate, sender, release, now_ms)

    def release(self, server: ServerId, other: InstanceId, now_ms: int) -> RoleRelease:
        """Return the release of a role, with the load for the next owner."""
        gate = self._gates.get(server)
        if gate is None:
            return RoleRelease(server, owner=other)
        return RoleRelease(
            server,
            owner=other,
            n_in_flight=gate.n_in_flight(now_ms),
            remaining_ms=gate.max_remaining_ms(now_ms),
            limit=gate.limit.n_in_flight_max,
        )

    def tick(self, now_ms: int) -> list[Effect]:
        """Report completed requests to new holders, send load notices and probes."""
        effects: list[Effect] = []
        for server in self._roles.servers(RoleState.RELEASED):
            effects += self._report_to_holder(server, now_ms)
        if now_ms < self._notice_at_ms:
            return effects + self._send_early_probes(now_ms)
        self._notice_at_ms = now_ms + self._context.config.notice_ms
        effects += self._resend_reports(now_ms)
        for server in self._roles.servers(RoleState.ACTIVE):
            gate = self._gates.get(server)
            if gate is not None:
                effects += self._roles.send_load_notice(
                    server, gate.limit.n_in_flight_max
                )
                effects += self._send_probe(gate, now_ms)
        for server in self._roles.servers(RoleState.RELEASED):
            gate = self._gates.get(server)
            if gate is not None and gate.n_in_flight_here():
                # Requests still in flight must be moved off an unreachable server,
                # which only unanswered probes detect.
                effects += self._send_probe(gate, now_ms)
        return effects

    def _send_early_probes(self, now_ms: int) -> list[Effect]:
        effects: list[Effect] = []
        for state in (RoleState.ACTIVE, RoleState.RELEASED):
            for server in self._roles.servers(state):
                gate = self._gates.get(server)
                if gate is not None and gate.needs_early_probe(now_ms):
                    effects += self._send_probe(gate, now_ms)
        return effects

    def _send_probe(self, gate: ServerGate, now_ms: int) -> list[Effect]:
        probe = self._probe(gate.server)
        if probe:
            gate.on_probe_sent(now_ms)
        return probe

    def n_unreported(self) -> int:
        """Return how many new holders lack the current number in flight."""
        pairs = (
            (self._gates.get(server), self._roles.role(server))
            for server in self._roles.servers(RoleState.RELEASED)
        )
        return sum(
            gate is not None
            and role is not None
            and gate.n_in_flight_here() != role.n_reported
            for gate, role in pairs
        )

    def status(self, now_ms: int) -> list[ServerStatus]:
        """Return the status of each gate."""
        return [self._status(gate, now_ms) for gate in self._gates.values()]

    def _status(self, gate: ServerGate, now_ms: int) -> ServerStatus:
        role = self._roles.role(gate.server)
        return ServerStatus(
            server=gate.server,
            role=role.state.value if role is not None else "none",
            state=gate.limit.state.value,
            reason=gate.limit.reason,
            limit=gate.limit.n_allowed(now_ms),
            n_in_flight=gate.n_in_flight(now_ms),
            n_queued=len(gate.queue),
            n_flows=gate.n_flows,
            latency_ms=gate.limit.latency.expected_ms(0),
        )

    def _inherit(
        self, gate: ServerGate, sender: InstanceId, release: RoleRelease, now_ms: int
    ) -> None:
        until_ms = now_ms + release.remaining_ms
        gate.set_inherited(sender, release.n_in_flight, until_ms)

    def _inherit_from_departed(
        self, gate: ServerGate, departed: InstanceId, now_ms: int
    ) -> None:
        if self._roles.reported_limit(gate.server) >= gate.limit.n_slots:
            # A warm server can handle an additional request until those of the failed
            # owner have ended.
            return
        config = self._context.config
        longest_ms = config.deadline_max_ms + config.limit.deadline_grace_ms
        until_ms = now_ms + longest_ms
        gate.set_inherited(
            departed, gate.limit.n_slots, until_ms, has_owner_failed=True
        )

    def _report_to_holder(self, server: ServerId, now_ms: int) -> list[Effect]:
        role = self._roles.role(server)
        gate = self._gates.get(server)
        if role is None or gate is None:
            return []
        n_in_flight_here = gate.n_in_flight_here()
        if n_in_flight_here == role.n_reported:
            return []
        role.n_reported = n_in_flight_here
        return [SendToPeer(role.holder, self.release(server, NO_INSTANCE, now_ms))]

    def _resend_reports(self, now_ms: int) -> list[Effect]:
        """Resend releases to new holders, because earlier ones may be lost."""
        effects: list[Effect] = []
        retention_ms = self._context.config.deadline_max_ms
        for server in self._roles.servers(RoleState.RELEASED):
            role = self._roles.role(server)
            if role is not None and now_ms - role.since_ms <= retention_ms:
                release = self.release(server, NO_INSTANCE, now_ms)
                effects.append(SendToPeer(role.holder, release))
        return effects

    def _probe(self, server: ServerId) -> list[Effect]:
        planned = self._context.plan.servers.get(server)
        if planned is None or self._context.plan.is_evacuated(planned.data_centre):
            return []
        probe = Datagram(kind=Kind.PROBE, service=planned.service, flow=FlowId(0))
        return [SendToServer(server, probe)]
