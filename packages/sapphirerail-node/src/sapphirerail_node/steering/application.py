"""Application object of an entry instance that steers packets by tag."""

import asyncio
import gc
import random
import signal
import socket
import time
from collections.abc import Callable

from sapphirerail_core.steering import (
    Peers,
    Refresh,
    RefreshConfig,
    SteeringConfig,
    SteeringEngine,
)
from sapphirerail_core.steering.model import InstanceEntry
from sapphirerail_core.steering.peers import Peer
from sapphirerail_transport.http import (
    HttpError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from sapphirerail_transport.udp import (
    Address,
    bind_datagram,
    format_address,
    parse_address,
)

from ..clock import monotonic_ms
from ..exit_code import ExitCode
from ..lifecycle import LifeCycle, Phase
from ..ticker import Ticker
from .decision_log import DecisionLog, LogClass, configure_decision_log
from .metrics import SteeringMetrics
from .packet_service import PacketService
from .peer_service import REPORT_INTERVAL_MS, PeerService
from .ports import PacketCodec, PlatformStore
from .settings import SteeringSettings
from .state_api import StateApi, fetch_snapshot
from .store_service import StoreService

__all__ = ["SteeringApplication"]

PEER_TIMEOUT_MS = 1_200
SWEEP_INTERVAL_MS = 500
# A tenth of the time after which routers remove an unready instance.
ISOLATION_CHECK_INTERVAL_MS = 100
SETTINGS_CHECK_INTERVAL_MS = 2_000
SNAPSHOT_RETRY_MS = 500
READY_CHECK_MS = 20
# Routers remove an instance after two failed checks, half a second apart; the rest is
# a margin.
STOP_LINGER_MS = 1_800
STOP_QUIET_MS = 300
# Time left to close sockets and tasks before the process is killed.
STOP_MARGIN_MS = 1_500
STOP_CHECK_MS = 100
# Peers to connect to when this instance checks its own link; one may have just failed.
N_LINK_CHECK_PEERS = 2

SettingsReader = Callable[[], SteeringSettings]


class SteeringApplication:
    """Runs one entry instance: opens its sockets, serves, drains and cleans up.

    Parameters
    ----------
    settings : SteeringSettings
        Settings of the instance.
    codec : PacketCodec
        Encodes and decodes the platform's packets.
    store : PlatformStore
        Client of the platform's store.
    read_settings : callable
        Reads the settings again; raises `InputError` if they are invalid.
    packet_socket : socket.socket or None
        Already bound to the address for packets; if None, it is bound at the start.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        codec: PacketCodec,
        store: PlatformStore,
        read_settings: SettingsReader,
        packet_socket: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self._packet_socket = packet_socket
        self._read_settings = read_settings
        self.lifecycle = LifeCycle()
        self.metrics = SteeringMetrics()
        self.log: DecisionLog = configure_decision_log(
            settings.instance, settings.data_centre
        )
        now_ms = monotonic_ms()
        self._started_at_ms = now_ms
        local_entry = InstanceEntry(
            settings.instance,
            settings.data_centre,
            format_address(settings.peer_address),
        )
        self.engine = SteeringEngine.from_config(
            SteeringConfig(),
            Peers(local_entry, PEER_TIMEOUT_MS, now_ms),
            Refresh(RefreshConfig(), now_ms),
            time.time_ns(),
        )
        self.packets = PacketService(self.engine, codec, self.log, self.metrics)
        self.peers = PeerService(self.engine, self.metrics)
        self.packets.on_state_change = self.peers.schedule_report
        self.packets.link_check_addresses = self._live_peer_addresses
        self.store = StoreService(
            store,
            settings.store_address,
            self.engine,
            self.peers,
            self.log,
            self.metrics,
        )
        self._ready_server = HttpServer(self._answer_ready)
        state_api = StateApi(self.engine, self.metrics)
        self._state_server = HttpServer(state_api.handle)
        self._metrics_server = HttpServer(state_api.handle_metrics)
        self._ticker = Ticker()
        self._stop = asyncio.Event()

    @classmethod
    def from_config(
        cls,
        settings: SteeringSettings,
        codec: PacketCodec,
        store: PlatformStore,
        read_settings: SettingsReader,
        packet_socket: socket.socket | None = None,
    ) -> "SteeringApplication":
        """Return an application that has not been started."""
        return cls(settings, codec, store, read_settings, packet_socket)

    async def run(self) -> ExitCode:
        """Serve until a stop signal is received."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        try:
            await self._start()
            await self._stop.wait()
            await self._drain()
        finally:
            await self.lifecycle.close()
        self.log.write(LogClass.LIFECYCLE, "stopped", ran_ms=self._age_ms())
        return ExitCode.OK

    def _age_ms(self) -> int:
        return monotonic_ms() - self._started_at_ms

    async def _start(self) -> None:
        settings = self.settings
        self.lifecycle.add_close_hook("packets", self.packets.close)
        bound = self._packet_socket or bind_datagram(settings.packet_address)
        self.packets.bind(bound)
        self.lifecycle.add_close_hook("peers", self.peers.close)
        await self.peers.open(settings.peer_address, self.packets.log_events)
        self.lifecycle.add_close_hook("readiness", self._ready_server.close)
        await self._ready_server.start(settings.ready_address)
        self.lifecycle.add_close_hook("state", self._state_server.close)
        await self._state_server.start(settings.state_address)
        await self._start_metrics()
        self.lifecycle.add_close_hook("store", self.store.close)
        self.store.start()
        self._ticker.every(REPORT_INTERVAL_MS, self.peers.tick)
        self._ticker.every(SWEEP_INTERVAL_MS, self._sweep)
        self._ticker.every(ISOLATION_CHECK_INTERVAL_MS, self.store.check_isolation)
        self._ticker.every(
            SETTINGS_CHECK_INTERVAL_MS, lambda _: self._reload("interval")
        )
        self.lifecycle.add_close_hook("ticker", self._ticker.close)
        self._ticker.start()
        self.lifecycle.phase = Phase.SERVING
        self.log.write(LogClass.LIFECYCLE, "started", settings=repr(settings))
        await self._bootstrap()
        # The objects alive at this point, mostly from imports, need no collection.
        gc.freeze()

    async def _start_metrics(self) -> None:
        """Serve metrics; if the port is in use, the instance runs without them."""
        address = self.settings.metrics_address
        if address is None:
            return
        self.lifecycle.add_close_hook("metrics", self._metrics_server.close)
        try:
            await self._metrics_server.start(address)
        except OSError as error:
            self.log.write(
                LogClass.LIFECYCLE,
                "metrics_unavailable",
                address=format_address(address),
                why=str(error),
            )

    async def _bootstrap(self) -> None:
        """Fetch the state from other instances while the store has not answered."""
        while not self.engine.is_ready() and not self._stop.is_set():
            await self._await_ready()
            if not self.engine.is_ready():
                # Reads and drops the packets that have waited: they are useless now.
                self.packets.start_reading()
            for address in self._state_addresses():
                if self.engine.is_ready():
                    break
                await self._fetch(address)
        self.packets.start_reading()
        self.packets.log_events()
        if self.engine.is_ready():
            self.log.write(LogClass.LIFECYCLE, "ready", after_ms=self._age_ms())

    def _state_addresses(self) -> list[Address]:
        """Return the state addresses of known local peers and of the seeds."""
        local_address = self.settings.state_address
        peer_addresses = [
            self._state_address(peer) for peer in self.engine.peers.local_peers()
        ]
        return [
            address
            for address in dict.fromkeys((*peer_addresses, *self.settings.seeds))
            if address != local_address
        ]

    def _state_address(self, peer: Peer) -> Address:
        """Return a peer's state address; all instances use the same port."""
        return parse_address(peer.entry.address)[0], self.settings.state_address[1]

    def _live_peer_addresses(self) -> list[Address]:
        """Return the state addresses of some live peers in the local data centre."""
        live = self.engine.peers.live_local_peers(monotonic_ms())
        chosen = random.sample(live, min(N_LINK_CHECK_PEERS, len(live)))
        return [self._state_address(peer) for peer in chosen]

    async def _await_ready(self) -> None:
        """Wait for the first read of the store, for `SNAPSHOT_RETRY_MS` at most."""
        for _ in range(SNAPSHOT_RETRY_MS // READY_CHECK_MS):
            if self.engine.is_ready() or self._stop.is_set():
                return
            await asyncio.sleep(READY_CHECK_MS / 1000)

    async def _fetch(self, address: Address) -> None:
        try:
            snapshot = await fetch_snapshot(address)
        except HttpError as error:
            self.log.write(
                LogClass.LIFECYCLE,
                "snapshot_failed",
                address=format_address(address),
                code=error.code,
                why=error.message,
            )
            return
        now_ms = monotonic_ms()
        is_newer = self.engine.refresh.on_update(
            snapshot.store_revision, snapshot.age_ms, 0, now_ms
        )
        if is_newer:
            self.engine.apply_store_snapshot(snapshot.picture, now_ms)
            self.engine.peers.add(snapshot.instances)
        self.packets.log_events()

    def _sweep(self, now_ms: int) -> None:
        self.engine.sweep(now_ms)
        self.packets.log_events()
        self.packets.record_totals()
        self.metrics.record_total("lost", "log_lines", self.log.n_dropped)
        self.metrics.record_total("lost", "flow_records", self.engine.flows.n_evicted)

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        is_serving = self.lifecycle.phase is Phase.SERVING and self.engine.is_ready()
        # An isolated instance leaves its callers to instances that reach more servers.
        is_available = is_serving and not self.engine.isolation.is_isolated
        return HttpResponse(None, 200 if is_available else 503)

    def _reload(self, cause: str) -> None:
        """Read the settings again and apply what can change at run time."""
        try:
            settings = self._read_settings()
        except Exception as error:
            self.log.write(
                LogClass.LIFECYCLE, "reload_refused", cause=cause, why=str(error)
            )
            return
        if settings == self.settings:
            if cause == "signal":
                self.log.write(LogClass.LIFECYCLE, "reloaded", cause=cause, changed=[])
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.log.write(LogClass.LIFECYCLE, "reloaded", cause=cause, changed=changed)

    async def _drain(self) -> None:
        """Report not ready; forward packets until routers have removed the instance."""
        self.lifecycle.phase = Phase.DRAINING
        drain_started_ms = monotonic_ms()
        n_sent_before = self.packets.n_sent()
        self.log.write(LogClass.LIFECYCLE, "stopping", ran_ms=self._age_ms())
        self.peers.stop()
        self.store.start_unregistering()
        limit_ms = max(self.settings.stop_grace_ms - STOP_MARGIN_MS, STOP_LINGER_MS)
        while True:
            await asyncio.sleep(STOP_CHECK_MS / 1000)
            now_ms = monotonic_ms()
            is_quiet = now_ms - self.packets.last_packet_ms >= STOP_QUIET_MS
            lingered_ms = now_ms - drain_started_ms
            if lingered_ms >= limit_ms or (is_quiet and lingered_ms >= STOP_LINGER_MS):
                break
        self.log.write(
            LogClass.LIFECYCLE,
            "drained",
            lingered_ms=lingered_ms,
            n_forwarded=self.packets.n_sent() - n_sent_before,
        )
