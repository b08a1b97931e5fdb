"""Keeps the plan of one instance up to date from the store and from its peers."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

import msgspec

from sapphirerail_core.effects import Effect, Message
from sapphirerail_core.errors import InputError, SapphirerailError
from sapphirerail_core.fleet.view import FleetView
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan import Plan
from sapphirerail_core.plan.delta import PlanAnswer
from sapphirerail_core.plan.layout import ROOT_KEY
from sapphirerail_core.plan.messages import PlanNews
from sapphirerail_core.plan.reader import PlanReader
from sapphirerail_core.plan.store import Store, StoredValue, Version
from sapphirerail_core.plan.sync import (
    FetchPlan,
    PlanSync,
    ReadStore,
    SyncAction,
    SyncConfig,
)
from sapphirerail_core.types import InstanceId, Revision
from sapphirerail_transport.http import HttpClient, HttpRequest, HttpResponse
from sapphirerail_transport.signature import Signer
from sapphirerail_transport.store import HttpStore
from sapphirerail_transport.udp import parse_address

from .clock import monotonic_ms
from .plan_answer_cache import PlanAnswerCache
from .settings import Settings

__all__ = ["PeerDirectory", "PlanService", "PlanStatus"]

_log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 25_000
WATCH_INTERVAL_MS = 500
FETCH_TIMEOUT_MS = 3000
PEER_REVISIONS_INTERVAL_MS = 1000


class PeerDirectory(FleetView, Protocol):
    """A fleet view that also has the API addresses and revisions of instances."""

    def api_address(self, instance: InstanceId) -> str | None:
        """Return ``address:port`` of an instance's API, or None if it is not known."""
        ...

    def revisions(self) -> Mapping[InstanceId, Revision]:
        """Return the plan revisions that live instances sent in their heartbeats."""
        ...


class PlanStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the plan at one instance.

    Parameters
    ----------
    revision : Revision
        Revision of the plan in force at this instance; 0 while it has no plan and
        refuses all work.
    digest : int
        Digest of the plan's content.
    source : str
        Where the plan came from: ``store``, the name of an instance, or ``none``.
    taken_age_ms : int or None
        Time since the plan was applied.
    is_reader : bool
        Whether this instance reads the store for its data centre.
    contact_age_ms : int
        Time since the store is known to have held no higher revision; -1 if unknown.
    store_revision : Revision or None
        Revision that this instance itself last read in the store.
    is_store_behind : bool
        Whether `store_revision` is lower than the revision of the plan in force.
    store_error : str
        Error code if the last call to the store failed, else empty.
    n_store_calls, n_store_errors : int
        Calls to the store since the start, and those that failed.
    n_stale, n_mismatches : int
        Plans refused since the start, for a lower revision or because a peer's answer
        was inconsistent.
    """

    revision: Revision
    digest: int
    source: str
    taken_age_ms: int | None
    is_reader: bool
    contact_age_ms: int
    store_revision: Revision | None
    is_store_behind: bool
    store_error: str
    n_store_calls: int
    n_store_errors: int
    n_stale: int
    n_mismatches: int


class PlanService:
    """Executes the actions of `PlanSync`: store calls and plan requests to peers.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    peers : PeerDirectory
        State and API addresses of the other instances.
    sync : PlanSync
        Decides which source to ask and which plan to apply.
    signer : Signer
        Signs requests to peers.

    Attributes
    ----------
    on_plan : list of callable
        Called with each new plan.
    """

    def __init__(
        self, store: Store, peers: PeerDirectory, sync: PlanSync, signer: Signer
    ) -> None:
        self.on_plan: list[Callable[[Plan], None]] = []
        self._store = store
        self._reader = PlanReader(store)
        self._peers = peers
        self._sync = sync
        self._signer = signer
        self._answers = PlanAnswerCache()
        self._outbox: list[Effect] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_peer_revisions_ms = 0
        self._is_reading = False
        self._root_version: Version | None = None
        self._store_error = ""
        self._n_store_calls = 0
        self._n_store_errors = 0

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        peers: PeerDirectory,
        journal: Journal,
        signer: Signer,
    ) -> "PlanService":
        """Create the service of an instance with these settings."""
        random_state = random.Random(f"{settings.seed}/{settings.instance}/plan")
        sync = PlanSync(SyncConfig(), peers, journal, random_state)
        return cls(HttpStore(settings.platform_address), peers, sync, signer)

    @property
    def plan(self) -> Plan:
        """The plan in force; a new plan replaces the object."""
        return self._sync.plan

    @property
    def is_initialised(self) -> bool:
        """Whether this instance has a plan, or knows that the store holds none."""
        if self.plan.revision > 0:
            return True
        return self._sync.contact_age_ms(monotonic_ms()) >= 0

    async def start(self) -> None:
        """Start watching the store."""
        self._start_task(self._watch())

    async def close(self) -> None:
        """Cancel all open calls."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Handle a plan announcement of a peer; ignore other messages."""
        if not isinstance(message, PlanNews):
            return []
        return self._execute(self._sync.on_message(sender, message, now_ms))

    def tick(self, now_ms: int) -> list[Effect]:
        """Run the periodic work that is due, and return the pending effects."""
        actions = self._sync.tick(now_ms)
        if now_ms >= self._next_peer_revisions_ms:
            self._next_peer_revisions_ms = now_ms + PEER_REVISIONS_INTERVAL_MS
            for peer, revision in self._peers.revisions().items():
                actions += self._sync.on_peer_revision(peer, revision, now_ms)
        effects, self._outbox = self._outbox, []
        return effects + self._execute(actions)

    async def handle_plan(self, request: HttpRequest) -> HttpResponse:
        """Answer a plan request of a peer or an operator."""
        try:
            since = Revision(int(request.query.get("since", "0")))
        except ValueError as error:
            raise InputError("plan.bad_since", "since must be an integer") from error
        age_ms = self._sync.contact_age_ms(monotonic_ms())
        may_pack = request.query.get("packed") == "1"
        answer = await self._answers.answer(self.plan, since, age_ms, may_pack=may_pack)
        return HttpResponse(answer)

    def status(self) -> PlanStatus:
        """Return the status of the plan for operators."""
        now_ms = monotonic_ms()
        sync = self._sync
        source = sync.source
        source_name = "none" if source is None else source.instance or "store"
        return PlanStatus(
            revision=sync.plan.revision,
            digest=sync.plan.digest,
            source=source_name,
            taken_age_ms=None if source is None else now_ms - source.at_ms,
            is_reader=sync.is_reader,
            contact_age_ms=sync.contact_age_ms(now_ms),
            store_revision=sync.store_revision,
            is_store_behind=sync.is_store_behind,
            store_error=self._store_error,
            n_store_calls=self._n_store_calls,
            n_store_errors=self._n_store_errors,
            n_stale=sync.n_stale,
            n_mismatches=sync.n_mismatches,
        )

    def _execute(self, actions: list[SyncAction]) -> list[Effect]:
        """Start tasks for the calls among the actions, and return the effects."""
        effects: list[Effect] = []
        for action in actions:
            if isinstance(action, FetchPlan):
                self._start_task(self._fetch(action))
            elif isinstance(action, ReadStore):
                self._start_task(self._read())
            else:
                effects.append(action)
        return effects

    def _run_step(self, step: Callable[[], list[SyncAction]]) -> None:
        """Run a step of `PlanSync`, publish a changed plan, and queue the effects."""
        before = self.plan
        actions = step()
        if self.plan is not before:
            _log.info("plan applied", extra={"revision": self.plan.revision})
            self._publish()
        self._outbox += self._execute(actions)

    def _publish(self) -> None:
        """Call all callbacks with the plan, even if one of them fails."""
        for callback in self.on_plan:
            try:
                callback(self.plan)
            except Exception:
                _log.exception("a callback failed on the new plan")

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, request: FetchPlan) -> None:
        """Request the plan from a peer and pass the answer to `PlanSync`."""
        peer = request.instance
        try:
            answer = await self._request_plan(request)
        except SapphirerailError as error:
            _log.debug("plan request failed", extra={"peer": peer, "error": error.code})
            self._run_step(lambda: self._sync.on_fetch_failed(peer, monotonic_ms()))
            return
        self._run_step(lambda: self._sync.on_answer(peer, answer, monotonic_ms()))

    async def _request_plan(self, request: FetchPlan) -> PlanAnswer:
        address = self._peers.api_address(request.instance)
        if address is None:
            raise InputError(
                "plan.no_address", f"instance {request.instance} has no API address"
            )
        client = HttpClient(parse_address(address), self._signer)
        target = f"/plan?since={request.since}&packed=1"
        return await client.call_json(
            PlanAnswer, "GET", target, timeout_ms=FETCH_TIMEOUT_MS
        )

    async def _read(self, watched: StoredValue | None = None) -> None:
        """Read the store's root, and the shards only if its revision is higher."""
        if self._is_reading:
            return
        self._is_reading = True
        try:
            await self._read_newer(watched)
        finally:
            self._is_reading = False

    async def _read_newer(self, watched: StoredValue | None) -> None:
        self._n_store_calls += 1
        try:
            found = await self._reader.read_newer(self.plan, watched)
        except SapphirerailError as error:
            self._on_store_error(error)
            return
        self._store_error = ""
        self._root_version = found.version
        self._run_step(lambda: self._sync.on_store_plan(found.plan, monotonic_ms()))

    async def _watch(self) -> None:
        """Watch the store's root while this instance is a reader.

        `PlanSync` polls the root as well, so that a watch that stays open but reports
        nothing delays a change by at most one poll interval.
        """
        while True:
            if not self._sync.is_reader or self._root_version is None:
                await asyncio.sleep(WATCH_INTERVAL_MS / 1000)
                continue
            self._n_store_calls += 1
            version = self._root_version
            try:
                value = await self._store.watch(ROOT_KEY, version, WATCH_TIMEOUT_MS)
            except SapphirerailError as error:
                self._on_store_error(error)
                await asyncio.sleep(WATCH_INTERVAL_MS / 1000)
                continue
            if value is not None:
                await self._read(value)
                # Batches bursts of changes and avoids a busy loop on failures.
                await asyncio.sleep(WATCH_INTERVAL_MS / 1000)

    def _on_store_error(self, error: SapphirerailError) -> None:
        self._store_error = error.code
        self._n_store_errors += 1
