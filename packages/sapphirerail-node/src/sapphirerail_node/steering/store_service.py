"""Keeps an instance's snapshot of the platform's store up to date."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from sapphirerail_core.steering import SteeringEngine
from sapphirerail_core.steering.store_snapshot import StoreSnapshot
from sapphirerail_transport.udp import Address

from ..clock import monotonic_ms
from .decision_log import DecisionLog, LogClass
from .metrics import SteeringMetrics
from .peer_service import PeerService
from .ports import (
    LeaseExpiredError,
    PlatformStore,
    RegistrationId,
    StoreCallError,
)
from .probe import Reach, probe

__all__ = ["StoreService"]

_log = logging.getLogger(__name__)

ResultT = TypeVar("ResultT")

# Delay before a failed call is retried.
RETRY_MS = 1_000
# Time after which the registration of a failed instance expires, and how often a live
# instance extends it.
REGISTRATION_TTL_MS = 15_000
RENEW_INTERVAL_MS = 5_000
# Longest sleep of the refresh loop: reads by other instances move its next read.
REFRESH_SLEEP_MAX_MS = 250


class StoreService:
    """Reads the store when due, and keeps this instance registered.

    Parameters
    ----------
    store : PlatformStore
        Client of the platform's store.
    address : Address
        Address of the store, for probes.
    engine : SteeringEngine
        Applies what is read.
    peers : PeerService
        Sends the changes to the other instances.
    log : DecisionLog
        Gets a line when the store becomes unreachable and reachable again.
    metrics : SteeringMetrics
        Counts calls by outcome.
    """

    def __init__(
        self,
        store: PlatformStore,
        address: Address,
        engine: SteeringEngine,
        peers: PeerService,
        log: DecisionLog,
        metrics: SteeringMetrics,
    ) -> None:
        self.store = store
        self._address = address
        self._engine = engine
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._registration: RegistrationId | None = None
        self._unreachable_since_ms: int | None = None
        self._registration_task: asyncio.Task[None] | None = None
        self._probe_task: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the registration loop and the refresh loop."""
        self._registration_task = asyncio.create_task(
            self._run_forever(self._keep_registered)
        )
        self._tasks.append(self._registration_task)
        self._tasks.append(asyncio.create_task(self._run_forever(self._refresh)))

    async def _run_forever(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop permanently; if it fails, log the error and restart it."""
        while True:
            try:
                await loop()
            except Exception:
                _log.exception("%s failed and is restarted", loop.__name__)
                await asyncio.sleep(RETRY_MS / 1000)

    def start_unregistering(self) -> None:
        """End the registration in the background, but go on reading the store."""
        if self._registration_task is not None:
            self._registration_task.cancel()
        if self._registration is not None:
            self._tasks.append(asyncio.create_task(self._unregister()))

    async def close(self) -> None:
        """Stop all loops."""
        if self._probe_task is not None:
            self._tasks.append(self._probe_task)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _unregister(self) -> None:
        with contextlib.suppress(StoreCallError):
            # If the store cannot be reached, the lease expires by itself.
            await self._call("unregister", self.store.unregister, self._registration)

    async def _call(
        self, name: str, call: Callable[..., Awaitable[ResultT]], *arguments: object
    ) -> ResultT:
        started_at_ms = monotonic_ms()
        try:
            result = await call(*arguments)
        except StoreCallError as error:
            self._metrics.count("store_calls", f"{name}.{error.code}")
            if not isinstance(error, LeaseExpiredError):
                self._on_store_lost(name, error)
            raise
        self._metrics.count("store_calls", f"{name}.ok")
        self._metrics.observe("store", name, monotonic_ms() - started_at_ms)
        self._on_store_regained(name)
        return result

    def _on_store_lost(self, name: str, error: StoreCallError) -> None:
        if self._unreachable_since_ms is None:
            self._unreachable_since_ms = monotonic_ms()
            self._log.write(
                LogClass.LIFECYCLE,
                "store_lost",
                call=name,
                code=error.code,
                why=error.message,
            )

    def _on_store_regained(self, name: str) -> None:
        if self._unreachable_since_ms is not None:
            away_ms = monotonic_ms() - self._unreachable_since_ms
            self._unreachable_since_ms = None
            self._log.write(
                LogClass.LIFECYCLE, "store_regained", call=name, away_ms=away_ms
            )

    def check_isolation(self, now_ms: int) -> None:
        """Check whether this instance is isolated; probe the store if it may be."""
        if self._engine.check_isolation(now_ms):
            self._probe_task = asyncio.create_task(self._probe())

    async def _probe(self) -> None:
        reach = await probe(self._address, self._engine.config)
        is_reached = reach is Reach.REACHED
        self._engine.isolation.on_store_probe(is_reached, monotonic_ms())

    async def _refresh(self) -> None:
        refresh = self._engine.refresh
        while True:
            now_ms = monotonic_ms()
            wait_ms = refresh.wait_ms(*self._ranks(now_ms), now_ms)
            if wait_ms:
                await asyncio.sleep(min(wait_ms, REFRESH_SLEEP_MAX_MS) / 1000)
                continue
            await self._read()

    async def _read(self) -> None:
        started_at_ms = monotonic_ms()
        refresh = self._engine.refresh
        known = self._known_snapshot()
        try:
            read = await self._call(
                "read", self.store.read, known, refresh.store_revision
            )
        except StoreCallError:
            refresh.on_failure(monotonic_ms())
            return
        for kind, n_malformed in read.n_malformed.items():
            self._metrics.count("entries", "malformed", n_malformed)
            self._metrics.count("entries_malformed", kind, n_malformed)
        previous = self._known_snapshot()
        store_revision = read.snapshot.operator_state.store_revision
        if not refresh.on_read(store_revision, started_at_ms):
            return
        self._engine.apply_store_snapshot(read.snapshot, started_at_ms)
        self._peers.publish_changes(previous)

    def _known_snapshot(self) -> StoreSnapshot | None:
        """Return what this instance knows of the store; None before the first read."""
        if self._engine.refresh.read_at_ms() is None:
            return None
        return self._engine.store_snapshot()

    def _ranks(self, now_ms: int) -> tuple[int, int]:
        """Return the rank of the local data centre and of this instance within it."""
        peers = self._engine.peers
        data_centre_rank = peers.data_centres().index(peers.local.data_centre)
        return data_centre_rank, peers.local_rank(now_ms)

    async def _keep_registered(self) -> None:
        while True:
            try:
                if self._registration is None:
                    entry = self._engine.peers.local
                    self._registration = await self._call(
                        "register", self.store.register, entry, REGISTRATION_TTL_MS
                    )
                else:
                    await self._call("renew", self.store.renew, self._registration)
            except LeaseExpiredError:
                self._registration = None
                continue
            except StoreCallError:
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
