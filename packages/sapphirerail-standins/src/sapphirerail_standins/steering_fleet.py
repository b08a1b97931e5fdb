"""Runs steering engines on a virtual clock; servers and callers are plain data."""

from sapphirerail_core.steering import (
    Action,
    Open,
    Peers,
    Refresh,
    RefreshConfig,
    SteeringConfig,
    SteeringEngine,
)
from sapphirerail_core.steering.messages import LoadReport
from sapphirerail_core.steering.model import (
    Configuration,
    InstanceEntry,
    OperatorState,
    RequestKind,
    Route,
    ServerEntry,
    ServiceEntry,
    Share,
)
from sapphirerail_core.steering.packet import FlowKey, Packet, ServiceAddress
from sapphirerail_core.types import (
    DataCentreId,
    InstanceId,
    Revision,
    ServerId,
    ServiceId,
)

__all__ = [
    "BOOKINGS",
    "FEED",
    "HOLD",
    "SKETCHES",
    "SteeringFleet",
    "UPLOAD",
    "configuration",
    "later_packet",
    "opening",
    "server_entry",
]

BOOKINGS = ServiceId("bookings")
SKETCHES = ServiceId("sketches")
FEED = ServiceAddress(1 << 16 | 80)
HOLD = ServiceAddress(1 << 16 | 81)
UPLOAD = ServiceAddress(2 << 16 | 80)
PEER_TIMEOUT_MS = 1_200
# Exceeds the time after which a missing entry counts as a departure.
STEADY_MS = 10_000


def configuration(
    revision: int = 1, *, routes: tuple[Route, ...] | None = None, per_s: float = 0.0
) -> Configuration:
    """Return a configuration with a feed, a hold and an upload route."""
    if routes is None:
        routes = (
            Route(FEED, "feed", RequestKind.SAFE, (Share(BOOKINGS, 1),)),
            Route(HOLD, "hold", RequestKind.UNSAFE, (Share(BOOKINGS, 1),)),
            Route(UPLOAD, "upload", RequestKind.UPLOAD, (Share(SKETCHES, 1),)),
        )
    services = (
        ServiceEntry(BOOKINGS, 2_000, per_s),
        ServiceEntry(SKETCHES, 2_000, per_s),
    )
    return Configuration(Revision(revision), routes, services, 15_000)


def server_entry(
    number: int,
    service: ServiceId = BOOKINGS,
    data_centre: str = "osu",
    **changes: object,
) -> ServerEntry:
    """Return the entry of a server; keyword arguments replace its fields."""
    fields: dict[str, object] = {
        "server": ServerId(f"i-{number:08x}"),
        "identity": number,
        "service": service,
        "data_centre": DataCentreId(data_centre),
        "address": f"10.0.0.{number % 250 + 1}:8080",
        "started_at_ms": 1_000 + number,
        "n_slots": 2,
        "is_draining": False,
        "cold_ms": 0,
    }
    return ServerEntry(**(fields | changes))  # type: ignore[arg-type]


def opening(
    flow: int, destination: ServiceAddress = FEED, sequence: int = 1_000
) -> Packet:
    """Return the packet that opens a flow."""
    key = FlowKey(flow.to_bytes(12, "big"))
    return Packet(key, destination, True, False, False, 0, sequence, 0, 0, bytes(32))


def later_packet(
    flow: int,
    tag: int,
    destination: ServiceAddress = FEED,
    *,
    sequence: int = 1_001,
    acknowledged: int = 500,
    n_data_bytes: int = 0,
    is_finish: bool = False,
    is_reset: bool = False,
) -> Packet:
    """Return a packet of an open flow."""
    return Packet(
        flow=FlowKey(flow.to_bytes(12, "big")),
        destination=destination,
        is_opening=False,
        is_finish=is_finish,
        is_reset=is_reset,
        tag=tag,
        sequence=sequence,
        acknowledged=acknowledged,
        n_data_bytes=n_data_bytes,
        raw=bytes(32 + n_data_bytes),
    )


class SteeringFleet:
    """Steering engines that share a clock and entries, and exchange load reports.

    Parameters
    ----------
    data_centres : dict of str to str
        Data centre of each instance by its name.
    config : SteeringConfig or None
        Settings of all engines.
    is_new : bool
        Whether all instances start now and have had no contact with others.
    """

    def __init__(
        self,
        data_centres: dict[str, str] | None = None,
        config: SteeringConfig | None = None,
        *,
        is_new: bool = False,
    ) -> None:
        self._is_new = is_new
        self.now_ms = 100_000
        self.engines: dict[str, SteeringEngine] = {}
        self._config = config or SteeringConfig()
        data_centres = data_centres or {"osu-1": "osu"}
        entries = [
            InstanceEntry(InstanceId(name), DataCentreId(data_centre), f"10.9.0.1:{n}")
            for n, (name, data_centre) in enumerate(data_centres.items())
        ]
        for seed, local in enumerate(entries):
            self.engines[local.instance] = self._engine(local, entries, seed)
        if not is_new:
            self.exchange_reports()

    def _engine(
        self, local: InstanceEntry, entries: list[InstanceEntry], seed: int
    ) -> SteeringEngine:
        started_ms = self.now_ms if self._is_new else self.now_ms - STEADY_MS
        peers = Peers(local, PEER_TIMEOUT_MS, started_ms)
        if self._is_new:
            return self._engine_of(peers, seed)
        peers.apply(entries, self.now_ms)
        for entry in entries:
            if entry.instance != local.instance:
                peers.on_contact(entry, self.now_ms)
        return self._engine_of(peers, seed)

    def _engine_of(self, peers: Peers, seed: int) -> SteeringEngine:
        refresh = Refresh(RefreshConfig(), self.now_ms - STEADY_MS)
        return SteeringEngine.from_config(self._config, peers, refresh, seed)

    @property
    def engine(self) -> SteeringEngine:
        """The engine of the first instance."""
        return next(iter(self.engines.values()))

    def advance(self, step_ms: int) -> None:
        """Advance the clock."""
        self.now_ms += step_ms

    def configure(
        self, state: Configuration | None = None, evacuated: tuple[str, ...] = ()
    ) -> None:
        """Apply an operator state to all engines."""
        names = tuple(DataCentreId(name) for name in evacuated)
        operator_state = OperatorState(
            self.now_ms, self.now_ms, state or configuration(), names
        )
        for engine in self.engines.values():
            engine.apply_operator_state(operator_state, self.now_ms)

    def announce(self, *entries: ServerEntry) -> None:
        """Apply one complete store read of the server entries to all engines."""
        for engine in self.engines.values():
            engine.refresh.on_read(self.now_ms, self.now_ms)
            engine.apply_servers(entries, self.now_ms)

    def exchange_reports(self) -> None:
        """Deliver each engine's load report to the others of its data centre."""
        for sender in self.engines.values():
            report = LoadReport(sender.peers.local, 0, sender.report_loads(self.now_ms))
            for receiver in self.engines.values():
                local = receiver.peers.local
                is_near = local.data_centre == sender.peers.local.data_centre
                if is_near and receiver is not sender:
                    receiver.apply_load_report(report, self.now_ms)

    def send(self, packet: Packet, instance: str | None = None) -> Action:
        """Deliver a packet to an instance and return the engine's action."""
        engine = self.engine if instance is None else self.engines[instance]
        return engine.on_packet(packet, self.now_ms)

    def open(self, flow: int, destination: ServiceAddress = FEED) -> int:
        """Open a flow that its server answers, and return the server's tag."""
        action = self.send(opening(flow, destination))
        assert isinstance(action, Open), action
        self.advance(7)
        self.send(later_packet(flow, action.server.tag, destination))
        return action.server.tag
