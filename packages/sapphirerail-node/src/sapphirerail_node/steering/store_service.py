"""Keeps an instance's picture of the platform's store current."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from sapphirerail_core.steering import SteeringEngine

from ..clock import monotonic_ms
from .decision_log import DecisionLog, LogClass
from .metrics import SteeringMetrics
from .peer_service import PeerService
from .ports import (
    HistoryLostError,
    LeaseEndedError,
    PlatformStore,
    RegistrationId,
    StoreCallError,
)

__all__ = ["StoreService"]

_log = logging.getLogger(__name__)

ResultT = TypeVar("ResultT")

# A watch that waits counts as one call. That its connection went silent is noticed by
# a change that peers know of, or at its end.
WATCH_WAIT_MS = 30_000
READER_WATCH_WAIT_MS = 2_500
# Collects the changes of a storm into few calls, well below the 3 s of a change.
WATCH_GAP_MS = 300
RETRY_MS = 200
RETRY_MAX_MS = 1_000
REGISTRATION_TTL_MS = 15_000
RENEW_INTERVAL_MS = 5_000
READER_LIST_INTERVAL_MS = 10_000
LIST_INTERVAL_MS = 60_000
# Longest sleep of the loop that reads servers, as others' reads shift its time.
REFRESH_SLEEP_MAX_MS = 250
# An instance that read for itself within this time acts as a reader.
READER_MS = 2_000


class StoreService:
    """Reads servers, follows operators' changes, and registers the instance.

    Parameters
    ----------
    store : PlatformStore
        The platform's store.
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
        engine: SteeringEngine,
        peers: PeerService,
        log: DecisionLog,
        metrics: SteeringMetrics,
    ) -> None:
        self.store = store
        self._engine = engine
        self._peers = peers
        self._log = log
        self._metrics = metrics
        self._registration: RegistrationId | None = None
        self._lost_at_ms: int | None = None
        self._own_read_ms: int | None = None
        self._registered = asyncio.Event()
        self._staying: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all loops."""
        self._staying = asyncio.create_task(self._keep_up(self._stay_registered))
        self._tasks.append(self._staying)
        for loop in (
            self._refresh_servers,
            self._follow_operators,
            self._list_instances,
        ):
            self._tasks.append(asyncio.create_task(self._keep_up(loop)))

    async def _keep_up(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop for good; one that fails is logged and begins anew."""
        while True:
            try:
                await loop()
            except Exception:
                _log.exception("%s failed and begins anew", loop.__name__)
                await asyncio.sleep(RETRY_MAX_MS / 1000)

    def leave(self) -> None:
        """End the registration in the background; everything else goes on."""
        if self._staying is not None:
            self._staying.cancel()
        if self._registration is not None:
            self._tasks.append(asyncio.create_task(self._unregister()))

    async def close(self) -> None:
        """Stop all loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _unregister(self) -> None:
        with contextlib.suppress(StoreCallError):
            # The lease runs out by itself if the store cannot be reached.
            await self._call("unregister", self.store.unregister, self._registration)

    def is_reader(self) -> bool:
        """Return whether this instance reads the store for others."""
        if self._own_read_ms is None:
            return False
        return monotonic_ms() - self._own_read_ms <= READER_MS

    async def _call(
        self, name: str, call: Callable[..., Awaitable[ResultT]], *arguments: object
    ) -> ResultT:
        began_ms = monotonic_ms()
        try:
            result = await call(*arguments)
        except StoreCallError as error:
            self._metrics.count("store_calls", f"{name}.{error.code}")
            if not isinstance(error, HistoryLostError | LeaseEndedError):
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
            # A watch that began in the outage may wait for good.
            self._peers.on_behind.set()
            self._log.write(LogClass.LIFE, "store_regained", call=name, away_ms=away_ms)

    async def _refresh_servers(self) -> None:
        refresh = self._engine.refresh
        while True:
            now_ms = monotonic_ms()
            wait_ms = refresh.wait_ms(*self._ranks(now_ms), now_ms)
            if wait_ms:
                await asyncio.sleep(min(wait_ms, REFRESH_SLEEP_MAX_MS) / 1000)
                continue
            await self._read_servers()

    async def _read_servers(self) -> None:
        began_ms = monotonic_ms()
        refresh = self._engine.refresh
        try:
            read = await self._call("servers", self.store.read_servers)
        except StoreCallError:
            refresh.on_failure(monotonic_ms())
            return
        refresh.on_read(read.store_revision, began_ms)
        self._own_read_ms = began_ms
        if read.n_malformed:
            self._metrics.count("entries", "malformed", read.n_malformed)
        self._engine.apply_servers(read.entries, began_ms)
        self._peers.relay_read()

    def _ranks(self, now_ms: int) -> tuple[int, int]:
        """Return the ranks of the own data centre and of the instance in it."""
        peers = self._engine.peers
        data_centre_rank = peers.data_centres().index(peers.own.data_centre)
        return data_centre_rank, peers.own_rank(now_ms)

    async def _follow_operators(self) -> None:
        retry_ms = RETRY_MS
        is_complete = False
        while True:
            try:
                if is_complete:
                    await self._await_changes()
                else:
                    await self._read_operator_state()
                    is_complete = True
                retry_ms = RETRY_MS
            except HistoryLostError:
                is_complete = False
            except StoreCallError:
                is_complete = False
                await asyncio.sleep(retry_ms / 1000)
                retry_ms = min(2 * retry_ms, RETRY_MAX_MS)

    async def _read_operator_state(self) -> None:
        self._peers.on_behind.clear()
        state = await self._call("operators", self.store.read_operator_state)
        self._engine.apply_operator_state(state, monotonic_ms())

    async def _await_changes(self) -> None:
        """Wait for changes, or read anew if a peer knows of one first."""
        wait_ms = READER_WATCH_WAIT_MS if self.is_reader() else WATCH_WAIT_MS
        state = self._engine.routes.state
        watch = asyncio.create_task(
            self._call(
                "watch", self.store.wait_operator_changes, state.store_revision, wait_ms
            )
        )
        behind = asyncio.create_task(self._peers.on_behind.wait())
        try:
            await asyncio.wait({watch, behind}, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                # The watch may hear of the change a moment later by itself.
                await asyncio.wait({watch}, timeout=WATCH_GAP_MS / 1000)
            if watch.done():
                changes = watch.result()
                current = self._engine.routes.state
                self._engine.apply_operator_state(
                    current.with_changes(changes), monotonic_ms()
                )
            else:
                await self._read_operator_state()
        finally:
            for task in (watch, behind):
                task.cancel()
            await asyncio.gather(watch, behind, return_exceptions=True)
        self._peers.on_behind.clear()
        await asyncio.sleep(WATCH_GAP_MS / 1000)

    async def _stay_registered(self) -> None:
        while True:
            try:
                if self._registration is None:
                    entry = self._engine.peers.own
                    self._registration = await self._call(
                        "register", self.store.register, entry, REGISTRATION_TTL_MS
                    )
                    self._registered.set()
                else:
                    await self._call("renew", self.store.renew, self._registration)
            except LeaseEndedError:
                self._registration = None
                continue
            except StoreCallError:
                await asyncio.sleep(RETRY_MAX_MS / 1000)
                continue
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000)

    async def _list_instances(self) -> None:
        # Of two instances that start together, the one that registers last sees the
        # other, and its reports make it known.
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._registered.wait(), RETRY_MAX_MS / 1000)
        is_fresh = True
        while True:
            try:
                entries = await self._call(
                    "instances", self.store.read_instances, is_fresh
                )
            except StoreCallError:
                await asyncio.sleep(RETRY_MAX_MS / 1000)
                continue
            is_fresh = False
            self._engine.peers.apply(entries)
            is_reader = self.is_reader()
            interval_ms = READER_LIST_INTERVAL_MS if is_reader else LIST_INTERVAL_MS
            await asyncio.sleep(interval_ms / 1000)
