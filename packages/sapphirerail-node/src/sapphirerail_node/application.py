"""Application of one entry instance: opens the sockets, serves and shuts down."""

import asyncio
import logging
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import msgspec
import statsd

from sapphirerail_core.datagram import Datagram, Kind
from sapphirerail_core.effects import Message
from sapphirerail_core.errors import SapphirerailError
from sapphirerail_core.explain import Query, answer_query
from sapphirerail_core.fleet.messages import MESSAGES as FLEET_MESSAGES
from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.messages import MESSAGES as PLAN_MESSAGES
from sapphirerail_core.request import Outcome
from sapphirerail_core.types import InstanceId
from sapphirerail_transport.http import HttpRequest, HttpResponse
from sapphirerail_transport.listing import HttpInstanceList
from sapphirerail_transport.message_codec import MessageCodec
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.udp import Address

from .api import Api
from .clock import monotonic_ms
from .datagram_endpoint import DatagramEndpoint
from .exit_code import ExitCode
from .instance_core import InstanceCore
from .lifecycle import LifeCycle, Phase
from .log import LogContext
from .metrics import Metrics
from .peers import PeerSocket
from .plan_service import PlanService
from .router import EffectSenders, Router
from .settings import Settings
from .shutdown import OpenWork, Shutdown
from .sockets import Sockets
from .status import InstanceStatus
from .ticker import Ticker

__all__ = ["Application"]

_log = logging.getLogger(__name__)

DISPATCH_INTERVAL_MS = 20
FLEET_INTERVAL_MS = 100
FLOW_INTERVAL_MS = 100
PLAN_INTERVAL_MS = 100
METRICS_INTERVAL_MS = 1_000
LISTING_INTERVAL_MS = 2_000
# Instances that start together should find each other before they acquire roles.
LISTING_START_INTERVAL_MS = 200
LISTING_START_MS = 5_000
SHUTDOWN_INTERVAL_MS = 50
READY_INTERVAL_MS = 20


class Application:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    log_context : LogContext
        Receives the revision of the current plan for the log records.
    """

    def __init__(self, settings: Settings, log_context: LogContext) -> None:
        self.settings = settings
        self.lifecycle = LifeCycle()
        self._log_context = log_context
        self._started_ms = monotonic_ms()
        self._stopped = asyncio.Event()
        self._exit_code = ExitCode.OK
        signer = Signer(settings.key)
        self.metrics = Metrics(_statsd_client(settings))
        self._sockets = Sockets.from_config(settings)
        self.core = InstanceCore.from_config(
            settings,
            time.time_ns(),
            self._sockets.peer_advertised(settings),
            self._sockets.api_advertised(settings),
            self._started_ms,
        )
        self.core.dispatcher.on_outcome = self._on_outcome
        self.shutdown = Shutdown(settings.stop_linger_ms, settings.stop_timeout_ms)
        self.caller_endpoint = DatagramEndpoint(
            "caller", self._on_caller_datagram, self.metrics
        )
        self.server_endpoint = DatagramEndpoint(
            "server", self._on_server_datagram, self.metrics
        )
        self.peers = PeerSocket(
            settings.instance,
            MessageCodec(signer),
            self._on_message,
            self.metrics,
            urgent=FLEET_MESSAGES,
        )
        self.router = Router(
            self.core.flows,
            self.core.dispatcher,
            EffectSenders(self._to_caller, self.server_endpoint.send, self._to_peer),
            self.metrics,
            self.core.journal,
        )
        self.listing = HttpInstanceList(settings.platform_address)
        self.plan_service = PlanService.from_config(
            settings, self.core.membership, self.core.journal, signer
        )
        self.core.register_handler(PLAN_MESSAGES, self.plan_service.on_message)
        self.plan_service.on_plan.append(self._on_plan)
        self.api = Api(signer)
        self.ticker = Ticker()

    @classmethod
    def from_config(cls, settings: Settings, log_context: LogContext) -> "Application":
        """Return an application that has not been started."""
        return cls(settings, log_context)

    async def run(self) -> ExitCode:
        """Start, serve until the shutdown is complete, and release all resources.

        Returns
        -------
        ExitCode
            Exit code of the process.
        """
        self._watch_signals()
        await self.start()
        await self._wait_for_plan()
        ready = self._sockets.ready_line(self.settings)
        sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
        sys.stdout.flush()
        await self._stopped.wait()
        await self.lifecycle.close()
        _log.info("stopped", extra={"exit_code": int(self._exit_code)})
        return self._exit_code

    async def start(self) -> None:
        """Start reading from all sockets and start the periodic jobs."""
        await self.plan_service.start()
        self.lifecycle.add_close_hook("plan service", self.plan_service.close)
        listing = asyncio.create_task(self._poll_listing())
        self.lifecycle.add_close_hook("instance list", _cancelling(listing))
        await self._open_sockets()
        self._start_ticker()
        self.lifecycle.add_close_hook("ticker", self.ticker.close)
        self.lifecycle.phase = Phase.SERVING

    async def _wait_for_plan(self) -> None:
        """Wait for the first plan, because without one all work is refused.

        The wait has a timeout, because without the platform and peers no plan arrives.
        """
        deadline_ms = monotonic_ms() + self.settings.ready_timeout_ms
        while not self.plan_service.is_initialised and not self._stopped.is_set():
            if monotonic_ms() >= deadline_ms:
                _log.warning(
                    "ready without a plan; refusing all work until one arrives"
                )
                return
            await asyncio.sleep(READY_INTERVAL_MS / 1000)

    def stop(self) -> None:
        """Begin a graceful shutdown; a second call stops the process immediately."""
        if self.shutdown.has_begun:
            _log.warning("second signal", extra=self._open_work()._asdict())
            self._exit_with(ExitCode.FORCED)
            return
        now_ms = monotonic_ms()
        _log.info("shutdown begins")
        self.lifecycle.phase = Phase.DRAINING
        self.shutdown.begin(now_ms)
        self.router.execute(self.core.drain(now_ms))

    def status(self) -> InstanceStatus:
        """Return the status of this instance for operators."""
        core = self.core
        return InstanceStatus(
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            phase=self.lifecycle.phase.value,
            revision=self.plan_service.plan.revision,
            uptime_ms=monotonic_ms() - self._started_ms,
            plan=self.plan_service.status(),
            fleet=core.membership.status(monotonic_ms()),
            flows=core.flows.status(),
            requests=core.dispatcher.status(monotonic_ms()),
            counters=dict(self.metrics.counters),
            histograms=self.metrics.summaries(),
        )

    async def _open_sockets(self) -> None:
        self._mount_handlers()
        await self.api.open(self._sockets.api)
        self.lifecycle.add_close_hook("api", self.api.close)
        for endpoint, bound in (
            (self.peers, self._sockets.peer),
            (self.server_endpoint, self._sockets.server),
            (self.caller_endpoint, self._sockets.caller),
        ):
            await endpoint.open(bound)
            self.lifecycle.add_close_hook("socket", _closing(endpoint.close))

    def _mount_handlers(self) -> None:
        self.api.mount("GET", "/status", self._handle_status)
        self.api.mount("GET", "/debug", self._handle_debug)
        self.api.mount("GET", "/plan", self.plan_service.handle_plan)
        self.api.mount("GET", "/explain", self._handle_explain)

    def _start_ticker(self) -> None:
        core = self.core
        jobs = (
            (DISPATCH_INTERVAL_MS, core.dispatcher.tick),
            (FLEET_INTERVAL_MS, core.membership.tick),
            (FLOW_INTERVAL_MS, core.flows.tick),
            (PLAN_INTERVAL_MS, self.plan_service.tick),
        )
        for interval_ms, tick in jobs:
            self.ticker.every(
                interval_ms,
                lambda now_ms, tick=tick: self.router.execute(tick(now_ms)),
            )
        self.ticker.every(METRICS_INTERVAL_MS, lambda now_ms: self.metrics.flush())
        self.ticker.every(SHUTDOWN_INTERVAL_MS, self._check_shutdown)
        self.ticker.start()

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)

    def _check_shutdown(self, now_ms: int) -> None:
        open_work = self._open_work()
        if self.shutdown.is_complete(now_ms, open_work):
            self._exit_with(ExitCode.OK)
        elif self.shutdown.is_overdue(now_ms):
            _log.error(
                "shutdown took too long; open work is cut", extra=open_work._asdict()
            )
            self._exit_with(ExitCode.FORCED)

    def _open_work(self) -> OpenWork:
        return OpenWork(
            n_in_flight=self.core.dispatcher.n_in_flight,
            n_unacknowledged=self.core.flows.n_unacknowledged,
        )

    def _exit_with(self, code: ExitCode) -> None:
        if not self._stopped.is_set():
            self._exit_code = code
            self._stopped.set()

    def _on_caller_datagram(self, datagram: Datagram, sender: Address) -> None:
        now_ms = monotonic_ms()
        self.shutdown.on_traffic(now_ms)
        self.router.on_caller_datagram(datagram, sender, now_ms)

    def _on_server_datagram(self, datagram: Datagram, sender: Address) -> None:
        now_ms = monotonic_ms()
        if datagram.kind is not Kind.HEALTH:
            self.shutdown.on_traffic(now_ms)
        self.router.on_server_datagram(datagram, sender, now_ms)

    def _on_message(self, sender: InstanceId, message: Message) -> None:
        effects = self.core.on_message(sender, message, monotonic_ms())
        self.router.execute(effects)

    def _on_plan(self, plan: Plan) -> None:
        self._log_context.revision = plan.revision
        self.router.on_plan(plan)
        self.router.execute(self.core.on_plan(plan, monotonic_ms()))
        _log.info("plan in force")

    def _on_outcome(self, outcome: Outcome) -> None:
        service = self.plan_service.plan.services.get(outcome.service)
        if service is not None:
            self.metrics.observe_latency(
                service.tenant, outcome.traffic_class, outcome.latency_ms
            )

    def _to_caller(self, datagram: Datagram) -> None:
        self.caller_endpoint.send(datagram, datagram.caller)

    def _to_peer(self, instance: InstanceId, message: Message) -> None:
        address = self.core.membership.peer_address(instance)
        if address is None:
            self.metrics.count("peer.no_address")
            return
        self.peers.send(instance, message, address)

    async def _poll_listing(self) -> None:
        while True:
            try:
                entries = await self.listing.fetch()
            except SapphirerailError as error:
                self.metrics.count("listing.failed")
                _log.debug("instance list unavailable", extra={"error": error.code})
            else:
                effects = self.core.membership.on_listing(entries, monotonic_ms())
                self.router.execute(effects)
            is_starting = monotonic_ms() - self._started_ms < LISTING_START_MS
            wait_ms = LISTING_START_INTERVAL_MS if is_starting else LISTING_INTERVAL_MS
            await asyncio.sleep(wait_ms / 1000)

    async def _handle_status(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(self.status())

    async def _handle_debug(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            {
                "settings": self.settings.printable(),
                "python": sys.version,
                "status": self.status(),
                "journal": self.core.journal.entries(),
            }
        )

    async def _handle_explain(self, request: HttpRequest) -> HttpResponse:
        subject = request.query.get("subject", "")
        query = Query.from_text(subject, request.query.get("id", ""))
        entries = self.core.journal.entries()
        name = self.settings.instance
        return HttpResponse(answer_query(query, name, entries, monotonic_ms()))


def _closing(close: Callable[[], None]) -> Callable[[], Awaitable[None]]:
    async def hook() -> None:
        close()

    return hook


def _cancelling(task: asyncio.Task[None]) -> Callable[[], Awaitable[None]]:
    async def hook() -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    return hook


def _statsd_client(settings: Settings) -> statsd.StatsClient | None:
    if settings.statsd_address is None:
        return None
    host, port = settings.statsd_address
    return statsd.StatsClient(host, port, prefix=f"sapphirerail.{settings.instance}")
