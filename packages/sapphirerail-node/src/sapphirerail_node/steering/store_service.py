"""Keeps an instance's picture of the platform's store current."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from sapphirerail_core.steering import SteeringEngine
from sapphirerail_transport.udp import Address

from ..clock import monotonic_ms
from .decision_log import DecisionLog, LogClass
from .metrics import SteeringMetrics
from .peer_service import PeerService
from .ports import (
    LeaseEndedError,
    PlatformStore,
    RegistrationId,
    StoreCallError,
)
from .probe import is_reachable

__all__ = ["StoreService"]

_log = logging.getLogger(__name__)

ResultT = TypeVar("ResultT")

# Wait before a failed call is made again.
RETRY_MS = 1_000
# Life of a registration whose instance is gone, and how often a live one extends it.
REGISTRATION_TTL_MS = 15_000
RENEW_INTERVAL_MS = 5_000
# Longest sleep of the loop that reads, as others' reads shift its time.
REFRESH_SLEEP_MAX_MS = 250


class StoreService:
    """Reads the store for others or hears of their reads, and registers the instance.

    Parameters
    ----------
    store : PlatformStore
        The platform's store.
    address : Address
        Where it answers.
    engine : SteeringEngine
        Takes in what is read.
    peers : PeerService
        Relays what is read.
    log : DecisionLog
        Lost and regained dependency.
    metrics : SteeringMetrics
        Calls by outcome.
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
        self._lost_at_ms: int | None = None
        self._staying: asyncio.Task[None] | None = None
        self._probing: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all loops."""
        self._staying = asyncio.create_task(self._keep_up(self._stay_registered))
        self._tasks.append(self._staying)
        self._tasks.append(asyncio.create_task(self._keep_up(self._refresh)))

    async def _keep_up(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop for good; one that fails is logged and begins anew."""
        while True:
            try:
                await loop()
            except Exception:
                _log.exception("%s failed and begins anew", loop.__name__)
                await asyncio.sleep(RETRY_MS / 1000)

    def leave(self) -> None:
        """End the registration in the background; everything else goes on."""
        if self._staying is not None:
            self._staying.cancel()
        if self._registration is not None:
            self._tasks.append(asyncio.create_task(self._unregister()))

    async def close(self) -> None:
        """Stop all loops."""
        if self._probing is not None:
            self._tasks.append(self._probing)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _unregister(self) -> None:
        with contextlib.suppress(StoreCallError):
            # The lease runs out by itself if the store cannot be reached.
            await self._call("unregister", self.store.unregister, self._registration)

    async def _call(
        self, name: str, call: Callable[..., Awaitable[ResultT]], *arguments: object
    ) -> ResultT:
        began_ms = monotonic_ms()
        try:
            result = await call(*arguments)
        except StoreCallError as error:
            self._metrics.count("store_calls", f"{name}.{error.code}")
            if not isinstance(error, LeaseEndedError):
                self._on_lost(name, error)
            raise
        self._metrics.count("store_calls", f"{name}.ok")
        self._metrics.observe("store", name, monotonic_ms() - began_ms)
        self._on_regained(name)
        return result

    def _on_lost(self, name: str, error: StoreCallError) -> None:
        if self._lost_at_ms is None:
            self._lost_at_ms = monotonic_ms()
            self._log.write(
                LogClass.LIFE,
                "store_lost",
                call=name,
                code=error.code,
                why=error.message,
            )

    def _on_regained(self, name: str) -> None:
        if self._lost_at_ms is not None:
            away_ms = monotonic_ms() - self._lost_at_ms
            self._lost_at_ms = None
            self._log.write(LogClass.LIFE, "store_regained", call=name, away_ms=away_ms)

    def watch_isolation(self, now_ms: int) -> None:
        """Decide whether this instance is cut off; probe the store if that tells."""
        if self._engine.check_isolation(now_ms):
            self._probing = asyncio.create_task(self._probe())

    async def _probe(self) -> None:
        is_reached = await is_reachable(self._address, self._engine.config)
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
        began_ms = monotonic_ms()
        refresh = self._engine.refresh
        try:
            read = await self._call("read", self.store.read)
        except StoreCallError:
            refresh.on_failure(monotonic_ms())
            return
        if read.n_malformed:
            self._metrics.count("entries", "malformed", read.n_malformed)
        is_first = refresh.read_at_ms() is None
        before = None if is_first else self._engine.store_snapshot()
        refresh.on_read(read.picture.operator_state.store_revision, began_ms)
        self._engine.apply_store_snapshot(read.picture, began_ms)
        self._peers.relay_read(before)

    def _ranks(self, now_ms: int) -> tuple[int, int]:
        """Return the ranks of the own data centre and of the instance in it."""
        peers = self._engine.peers
        data_centre_rank = peers.data_centres().index(peers.local.data_centre)
        return data_centre_rank, peers.local_rank(now_ms)

    async def _stay_registered(self) -> None:
        while True:
            try:
                if self._registration is None:
                    entry = self._engine.peers.local
                    self._registration = await self._call(
                        "register", self.store.register, entry, REGISTRATION_TTL_MS
                    )
                else:
                    await self._call("renew", self.store.renew, self._registration)
            except LeaseEndedError:
                self._registration = None
                continue
            except StoreCallError:
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
