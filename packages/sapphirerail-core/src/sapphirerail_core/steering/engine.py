"""Engine that steers packets to backend servers and observes the flows."""

import random
from collections import deque
from collections.abc import Iterable

import msgspec

from ..types import DataCentreId, ServiceId
from .actions import Action, Drop, Forward, Open, Reset
from .config import SteeringConfig
from .directory import Directory, KnownServer
from .events import Event, Reason, StateChange
from .failure_detector import ServerFailureDetector
from .flows import Flow, FlowTable
from .isolation import Isolation
from .messages import LoadReport, ServerLoad
from .model import OperatorState, Route, ServerEntry, UnreadableEntry
from .packet import Packet
from .peers import Peers
from .refresh import Refresh
from .routes import RouteTable, pick_service
from .server_selector import ServerSelector
from .server_state import Health
from .store_snapshot import StoreSnapshot
from .tag import NO_TAG

__all__ = ["OpeningRetry", "SteeringEngine"]

_N_UNKNOWN_TAGS_MAX = 1_024
# Bound once, as the lookup of an enum member is slow and made for each answer.
_ANSWERING = Health.ANSWERING
# Sequence numbers are 32 bits wide and wrap; a later one is less than half ahead.
_SEQUENCE_MASK = 0xFFFFFFFF
_SEQUENCE_HALF = 0x80000000


class OpeningRetry(msgspec.Struct):
    """An unanswered opening that the instance itself sends to another server."""

    packet: Packet
    action: Open


class _Pending(msgspec.Struct):
    """An opening that has not been answered yet."""

    packet: Packet
    flow: Flow
    server: KnownServer
    sent_at_ms: int
    n_retries: int


class SteeringEngine:
    """Decides what to do with each packet of a caller.

    `ServerSelector` selects the server of an opening; the packet is marked with the
    server's tag, which the caller includes in every later packet. So any instance can
    steer any packet without state of its flow; the flow records serve only to detect
    server failures and to measure load.

    Parameters
    ----------
    config : SteeringConfig
        Thresholds.
    peers : Peers
        The other instances.
    refresh : Refresh
        Schedule of store reads, and the age of the directory.
    rng : random.Random
        Random generator for server selection.
    """

    def __init__(
        self,
        config: SteeringConfig,
        peers: Peers,
        refresh: Refresh,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.peers = peers
        self.refresh = refresh
        self.routes = RouteTable()
        self.directory = Directory(config, self.routes.has_service)
        self.flows = FlowTable(config.n_flows_max)
        self.server_selector = ServerSelector(
            config, self.directory, self.routes, peers, rng
        )
        self._rng = rng
        self._pending: deque[_Pending] = deque()
        self._unknown_tags: dict[int, int] = {}
        self.failure_detector = ServerFailureDetector(
            self.directory, peers.local.data_centre
        )
        self.isolation = Isolation(config, self.directory, self.routes, peers)
        self._events: list[Event] = []
        # State that was read once is kept, so this never becomes false again.
        self._is_ready = False
        # Bound once because every packet uses them.
        self._server_of = self.directory.by_tag
        self._flow_of = self.flows.get
        self._removed_destinations = self.routes.removed
        self._evacuated_since_ms = self.routes.evacuated_since_ms

    @classmethod
    def from_config(
        cls, config: SteeringConfig, peers: Peers, refresh: Refresh, seed: int
    ) -> "SteeringEngine":
        """Return an engine with a seeded random generator."""
        return cls(config, peers, refresh, random.Random(seed))

    # Updates of state.

    def is_ready(self) -> bool:
        """Return whether both the configuration and the servers have been read."""
        if not self._is_ready:
            has_configuration = self.routes.state.configuration is not None
            self._is_ready = has_configuration and self.refresh.read_at_ms() is not None
        return self._is_ready

    def apply_operator_state(self, state: OperatorState, now_ms: int) -> None:
        """Apply a read of the operators' state."""
        self._on_operator_events(self.routes.apply(state, now_ms), now_ms)

    def _on_operator_events(self, events: list[Event], now_ms: int) -> None:
        for event in events:
            if event.change is StateChange.DATA_CENTRE_BACK:
                self.server_selector.treat_as_cold(DataCentreId(event.subject), now_ms)
        self._events += events

    def apply_evacuations(
        self, evacuated: tuple[DataCentreId, ...], store_revision: int, now_ms: int
    ) -> None:
        """Apply the list of all evacuated data centres as of a store revision."""
        events = self.routes.apply_evacuations(evacuated, store_revision, now_ms)
        self._on_operator_events(events, now_ms)

    def apply_servers(
        self,
        entries: Iterable[ServerEntry],
        now_ms: int,
        unreadable: tuple[UnreadableEntry, ...] = (),
    ) -> None:
        """Apply a complete read of the server entries, and of unreadable ones."""
        steady_ms = self.refresh.steady_ms(now_ms)
        self._events += self.directory.apply(entries, steady_ms, now_ms, unreadable)

    def store_snapshot(self) -> StoreSnapshot:
        """Return the newest read of the store that this instance knows."""
        return StoreSnapshot(
            self.routes.state,
            self.directory.entries,
            self.peers.registered,
            self.directory.unreadable,
        )

    def apply_store_snapshot(self, snapshot: StoreSnapshot, now_ms: int) -> None:
        """Apply a read of the store by this instance or another one."""
        self.apply_operator_state(snapshot.operator_state, now_ms)
        self.peers.apply(snapshot.instances, now_ms)
        self.apply_servers(snapshot.servers, now_ms, snapshot.unreadable_servers)

    def apply_load_report(self, report: LoadReport, now_ms: int) -> None:
        """Apply a load report of a peer in the local data centre."""
        peer = self.peers.on_contact(report.sender, now_ms)
        self._add_peer_loads(peer.report, -1)
        self._add_peer_loads(report, 1)
        peer.report = report
        for load in report.loads:
            server = self.directory.by_tag(load.tag)
            if server is None:
                continue
            if load.is_failed:
                self.failure_detector.on_peer_failure_report(
                    server, report.sender.instance, load.unresponsive_ms, now_ms
                )

    def check_isolation(self, now_ms: int) -> bool:
        """Check whether this instance is isolated; starts more probes if it may be.

        Returns
        -------
        bool
            Whether the caller should probe the store now.
        """
        if not (self.failure_detector.has_suspects() or self.isolation.is_isolated):
            self.isolation.reset_store_probe()
            return False
        event = self.isolation.check(now_ms)
        if event is not None:
            self._events.append(event)
        for server in self.isolation.take_remote_probes(now_ms):
            self.failure_detector.on_no_response(server, now_ms, now_ms)
        return self.isolation.needs_store_probe(now_ms)

    def report_loads(self, now_ms: int) -> tuple[ServerLoad, ...]:
        """Return this instance's load on, and view of, each server, for its peers."""
        self.failure_detector.has_unreported_failures = False
        loads = []
        for server in self.directory.servers():
            unresponsive_ms = server.unresponsive_ms(now_ms)
            if not (server.n_flows or unresponsive_ms):
                continue
            weight = self.config.flow_weight * server.n_flows
            load = round(server.n_in_flight + weight, 2)
            is_failed = server.health is Health.FAILED
            loads.append(ServerLoad(server.tag, load, unresponsive_ms, is_failed))
        return tuple(loads)

    def is_idle(self) -> bool:
        """Return whether there is nothing to probe, report or log."""
        return not self._events and self.failure_detector.is_idle()

    def take_events(self) -> list[Event]:
        """Return the state changes since the last call."""
        events, self._events = self._events, []
        return events + self.failure_detector.take_events()

    # Packets.

    def on_packet(self, packet: Packet, now_ms: int) -> Action:
        """Return the action for a caller's packet."""
        if not (self._is_ready or self.is_ready()):
            return Drop(Reason.NOT_READY)
        if packet.is_opening:
            return self._on_opening(packet, now_ms)
        if packet.tag == NO_TAG:
            return Drop(Reason.NO_TAG)
        if packet.destination in self._removed_destinations:
            return Reset(Reason.ROUTE_REMOVED)
        server = self._server_of(packet.tag)
        if server is None:
            return self._on_unknown_tag(packet, now_ms)
        flow = self._observe(packet, server, now_ms)
        if server.departed_at_ms is None and not (
            self._evacuated_since_ms or flow.is_retryable
        ):
            return Forward(server)
        return self._action_for_server(packet, server, flow, now_ms)

    def _on_opening(self, packet: Packet, now_ms: int) -> Action:
        route = self.routes.route(packet.destination)
        if route is None:
            return Reset(Reason.NO_ROUTE)
        if not route.shares:
            return Reset(Reason.ROUTE_INVALID)
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.opening_sequence == packet.sequence:
            return self._on_repeated_opening(packet, flow, route, now_ms)
        return self._open(packet, route, now_ms)

    def _open(self, packet: Packet, route: Route, now_ms: int) -> Action:
        service = pick_service(route, self._rng)
        server = self.server_selector.pick(service, (), now_ms)
        if server is None:
            return Reset(self._refusal_reason(service, now_ms))
        flow = Flow(server, packet.sequence, now_ms)
        flow.is_retryable = route.kind.is_idempotent
        self.flows.add(packet.flow, flow)
        # Counts the request that will follow: otherwise all openings within a few
        # milliseconds would select the same idle server.
        self.flows.begin_request(flow, now_ms)
        self._add_pending(packet, flow, 0, now_ms)
        return Open(server, Reason.NEW_FLOW)

    def _refusal_reason(self, service: ServiceId, now_ms: int) -> Reason:
        eligible = self.server_selector.eligible_servers(service)
        if not eligible:
            return Reason.NO_SERVER
        if any(not server.is_failed(now_ms) for server in eligible):
            return Reason.SERVERS_COLD
        for server in eligible:
            server.expedite_probe()
        return Reason.SERVERS_FAILED

    def _on_repeated_opening(
        self, packet: Packet, flow: Flow, route: Route, now_ms: int
    ) -> Action:
        flow.seen_at_ms = now_ms
        if not flow.is_open:
            self._reopen(flow, route, now_ms)
        return Open(flow.server, Reason.REPEATED_OPENING)

    def _reopen(self, flow: Flow, route: Route, now_ms: int) -> bool:
        """Move an unanswered opening to an untried server; False if there is none."""
        tried = [server for server, _ in flow.attempts]
        service = flow.server.entry.service
        if service not in {share.service for share in route.shares}:
            service = pick_service(route, self._rng)
        server = self.server_selector.pick(service, tried, now_ms)
        if server is None or server in tried:
            return False
        self.flows.move(flow, server)
        flow.attempts.append((server, now_ms))
        return True

    def _add_pending(
        self, packet: Packet, flow: Flow, n_retries: int, now_ms: int
    ) -> None:
        pending = _Pending(packet, flow, flow.server, now_ms, n_retries)
        self._pending.append(pending)

    def retry_wait_ms(self, now_ms: int) -> int | None:
        """Return the time until the next opening times out; None if none is pending."""
        if not self._pending:
            return None
        due_ms = self._pending[0].sent_at_ms + self.config.opening_timeout_ms
        return max(0, due_ms - now_ms)

    def retry_openings(self, now_ms: int) -> list[OpeningRetry]:
        """Return the timed-out openings that are to be sent to another server."""
        retries = []
        while self._pending and self.retry_wait_ms(now_ms) == 0:
            pending = self._pending.popleft()
            if not pending.flow.is_open:
                retries += self._retry(pending, now_ms)
        return retries

    def _retry(self, pending: _Pending, now_ms: int) -> list[OpeningRetry]:
        packet, flow = pending.packet, pending.flow
        self.failure_detector.on_no_response(pending.server, pending.sent_at_ms, now_ms)
        route = self.routes.route(packet.destination)
        if self.flows.get(packet.flow) is not flow or route is None or not route.shares:
            return []
        is_allowed = pending.n_retries < self.config.n_opening_retries
        if not is_allowed or not self._reopen(flow, route, now_ms):
            return []
        self._add_pending(packet, flow, pending.n_retries + 1, now_ms)
        return [OpeningRetry(packet, Open(flow.server, Reason.UNANSWERED_OPENING))]

    def _action_for_server(
        self, packet: Packet, server: KnownServer, flow: Flow, now_ms: int
    ) -> Action:
        """Return the action for a packet whose server may be departed or unusable."""
        if packet.is_reset:
            return Forward(server)
        departed_ms = server.departed_at_ms
        if departed_ms is not None:
            if now_ms - departed_ms >= self.config.departed_grace_ms:
                return Reset(Reason.SERVER_DEPARTED, server)
        elif self._evacuated_since_ms and self._is_evacuation_grace_over(
            server, now_ms
        ):
            # Operators asked that nothing more be sent there. The server is alive, and
            # a reset would wrongly report its failure to the caller.
            return Drop(Reason.DATA_CENTRE_OUT)
        elif flow.is_retryable and self._is_failure_confirmed(server, now_ms):
            # A caller that may retry its request can use the rest of its deadline.
            return Reset(Reason.SERVER_FAILED, server)
        return Forward(server)

    def _is_failure_confirmed(self, server: KnownServer, now_ms: int) -> bool:
        """Return whether a server's failure is confirmed enough to reset its flows."""
        if not server.is_failed(now_ms):
            return False
        is_alone = len(self.peers.live_local_instances(now_ms)) == 1
        return server.is_failure_confirmed(now_ms, is_alone=is_alone)

    def _is_evacuation_grace_over(self, server: KnownServer, now_ms: int) -> bool:
        """Return whether the grace time of a server's evacuated data centre is over."""
        evacuated_since_ms = self.routes.evacuated_since_ms.get(
            server.entry.data_centre
        )
        if evacuated_since_ms is None:
            return False
        return now_ms - evacuated_since_ms >= self.config.evacuation_grace_ms

    def _on_unknown_tag(self, packet: Packet, now_ms: int) -> Action:
        """Reset a flow only if a read that began later still lacks the tag's server."""
        seen_ms = self._unknown_tags.get(packet.tag)
        if seen_ms is None:
            if len(self._unknown_tags) >= _N_UNKNOWN_TAGS_MAX:
                self._unknown_tags.clear()
            self._unknown_tags[packet.tag] = now_ms
            self.refresh.request_read()
            return Drop(Reason.UNCONFIRMED_TAG)
        read_ms = self.refresh.read_at_ms()
        is_steady = self.refresh.steady_ms(now_ms) >= self.config.steady_ms
        is_listed = self.directory.has_unreadable_entry(packet.tag)
        if is_listed or read_ms is None or read_ms <= seen_ms or not is_steady:
            return Drop(Reason.UNCONFIRMED_TAG)
        return Reset(Reason.UNKNOWN_TAG)

    # Observation of flows.

    def _observe(self, packet: Packet, server: KnownServer, now_ms: int) -> Flow:
        flow = self._flow_of(packet.flow)
        if flow is None:
            flow = self._adopt(packet, server, now_ms)
        flow.seen_at_ms = now_ms
        if not flow.is_open:
            self._on_opened(flow, server, packet.acknowledged, now_ms)
        if flow.server is not server:
            self.flows.move(flow, server)
        advance = (packet.acknowledged - flow.acknowledged) & _SEQUENCE_MASK
        if 0 < advance < _SEQUENCE_HALF:
            flow.acknowledged = packet.acknowledged
            since_ms = flow.request_sent_at_ms or now_ms
            self.flows.end_request(flow)
            if server.health is _ANSWERING:
                server.progress_at_ms = now_ms
            else:
                self.failure_detector.on_progress(server, since_ms, now_ms)
        if packet.n_data_bytes:
            self._on_data(packet, flow, now_ms)
        if packet.is_finish or packet.is_reset:
            self.flows.end_request(flow)
        return flow

    def _adopt(self, packet: Packet, server: KnownServer, now_ms: int) -> Flow:
        """Track an open flow that another instance opened."""
        flow = Flow(server, packet.sequence, now_ms)
        flow.is_open = True
        flow.acknowledged = packet.acknowledged
        route = self.routes.route(packet.destination)
        flow.is_retryable = route is not None and route.kind.is_idempotent
        self.flows.add(packet.flow, flow)
        return flow

    def _on_opened(
        self, flow: Flow, server: KnownServer, acknowledged: int, now_ms: int
    ) -> None:
        flow.is_open = True
        flow.acknowledged = acknowledged
        self.flows.end_request(flow)
        for tried, sent_at_ms in flow.attempts:
            if tried is server:
                self.failure_detector.on_progress(server, sent_at_ms, now_ms)

    def _on_data(self, packet: Packet, flow: Flow, now_ms: int) -> None:
        end = (packet.sequence + packet.n_data_bytes) & _SEQUENCE_MASK
        is_new = 0 < (end - flow.data_end) & _SEQUENCE_MASK < _SEQUENCE_HALF
        if is_new or not flow.request_sent_at_ms:
            flow.data_end = end
            self.flows.begin_request(flow, now_ms)
            return
        if now_ms - flow.request_sent_at_ms >= self.config.retransmission_ms:
            self.failure_detector.on_no_response(
                flow.server, flow.request_sent_at_ms, now_ms
            )

    def _add_peer_loads(self, report: LoadReport | None, sign: int) -> None:
        """Add the loads of a report to those of the servers, or subtract them."""
        for load in () if report is None else report.loads:
            server = self.directory.by_tag(load.tag)
            if server is not None:
                server.peer_load = max(0.0, server.peer_load + sign * load.load)

    def _sum_peer_loads(self, now_ms: int) -> None:
        """Sum the loads of all reports anew, without those of lost peers.

        In between, each report adds only its own difference: with a sum at each report
        the work of an instance grew with the square of its data centre.
        """
        totals: dict[int, float] = {}
        for peer in self.peers.local_peers():
            is_live = now_ms - peer.last_contact_ms <= self.config.peer_load_ttl_ms
            if not is_live:
                peer.report = None
            if peer.report is None:
                continue
            for load in peer.report.loads:
                totals[load.tag] = totals.get(load.tag, 0.0) + load.load
        for server in self.directory.servers():
            server.peer_load = totals.get(server.tag, 0.0)

    def _flow_idle_ms(self) -> int:
        """Return the configured idle timeout of flows."""
        configuration = self.routes.state.configuration
        if configuration is None:
            return self.config.flow_idle_ms
        return configuration.flow_idle_ms

    def sweep(self, now_ms: int) -> None:
        """Drop expired flows, departed servers, budgets and unknown tags."""
        self.flows.sweep(self._flow_idle_ms(), self.config.request_max_ms, now_ms)
        self.directory.forget_departed(now_ms)
        self.server_selector.discard_budgets(self.directory.servers())
        self._sum_peer_loads(now_ms)
        for tag, seen_ms in list(self._unknown_tags.items()):
            if now_ms - seen_ms > self.config.departed_keep_ms:
                del self._unknown_tags[tag]
