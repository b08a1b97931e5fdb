"""The plan of one instance: reads the store, asks peers, answers them."""

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
from .plan_answers import PlanAnswers
from .settings import Settings

__all__ = ["PeerDirectory", "PlanService", "PlanStatus"]

_log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 25_000
WATCH_PAUSE_MS = 500
FETCH_TIMEOUT_MS = 3000
HEARTBEATS_INTERVAL_MS = 1000


class PeerDirectory(FleetView, Protocol):
    """A membership that also knows where the API of an instance listens."""

    def api_address(self, instance: InstanceId) -> str | None:
        """Return ``address:port``, or None if it is not known."""
        ...

    def revisions(self) -> Mapping[InstanceId, Revision]:
        """Return the revisions that live instances told in their heartbeats."""
        ...


class PlanStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance says of its plan.

    Parameters
    ----------
    revision : Revision
        The plan in force here; 0 while there is none and all work is refused.
    digest : int
        Digest of its content.
    source : str
        Where it came from: ``store``, the name of an instance, or ``none``.
    taken_age_ms : int or None
        Time since it was taken.
    is_reader : bool
        Whether this instance reads the store for its data centre.
    contact_age_ms : int
        Time since the store is known to have held no higher revision; -1 if never.
    store_revision : Revision or None
        Revision that this instance itself last read in the store.
    is_store_behind : bool
        Whether that is lower than the plan in force.
    store_error : str
        Code of the last failed call to the store since its last success.
    n_store_calls, n_store_errors, n_stale, n_mismatches : int
        Counts since the start.
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
    """Carries out what `PlanSync` decides.

    Parameters
    ----------
    store : Store
        The platform's key-value service.
    peers : PeerDirectory
        Who is alive and where.
    sync : PlanSync
        Decides.
    signer : Signer
        Signs calls to peers.
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
        self._answers = PlanAnswers()
        self._outbox: list[Effect] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_heartbeats_ms = 0
        self._reading = False
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
        """Return the service of an instance with these settings."""
        random_state = random.Random(f"{settings.seed}/{settings.instance}/plan")
        sync = PlanSync(SyncConfig(), peers, journal, random_state)
        return cls(HttpStore(settings.platform_address), peers, sync, signer)

    @property
    def plan(self) -> Plan:
        """The plan in force; never changed in place."""
        return self._sync.plan

    @property
    def is_informed(self) -> bool:
        """Whether there is a plan, or the store is known to hold none."""
        if self.plan.revision > 0:
            return True
        return self._sync.contact_age_ms(monotonic_ms()) >= 0

    async def start(self) -> None:
        """Start watching the store."""
        self._start_task(self._watch())

    async def close(self) -> None:
        """End all calls."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Take a message of the plan's kind."""
        if not isinstance(message, PlanNews):
            return []
        return self._carry_out(self._sync.on_message(sender, message, now_ms))

    def tick(self, now_ms: int) -> list[Effect]:
        """Do what is due."""
        actions = self._sync.tick(now_ms)
        if now_ms >= self._next_heartbeats_ms:
            self._next_heartbeats_ms = now_ms + HEARTBEATS_INTERVAL_MS
            for peer, revision in self._peers.revisions().items():
                actions += self._sync.on_peer_revision(peer, revision, now_ms)
        effects, self._outbox = self._outbox, []
        return effects + self._carry_out(actions)

    async def handle_plan(self, request: HttpRequest) -> HttpResponse:
        """Answer a peer's or an operator's question for the plan."""
        try:
            since = Revision(int(request.query.get("since", "0")))
        except ValueError as error:
            raise InputError("plan.bad_since", "since must be a number") from error
        age_ms = self._sync.contact_age_ms(monotonic_ms())
        may_pack = request.query.get("packed") == "1"
        answer = await self._answers.answer(self.plan, since, age_ms, may_pack=may_pack)
        return HttpResponse(answer)

    def status(self) -> PlanStatus:
        """Return what operators may want to know."""
        now_ms = monotonic_ms()
        sync = self._sync
        source = sync.source
        name = "none" if source is None else source.instance or "store"
        return PlanStatus(
            revision=sync.plan.revision,
            digest=sync.plan.digest,
            source=name,
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

    def _carry_out(self, actions: list[SyncAction]) -> list[Effect]:
        """Start the calls among the actions and return the rest."""
        effects: list[Effect] = []
        for action in actions:
            if isinstance(action, FetchPlan):
                self._start_task(self._fetch(action))
            elif isinstance(action, ReadStore):
                self._start_task(self._read())
            else:
                effects.append(action)
        return effects

    def _apply(self, decide: Callable[[], list[SyncAction]]) -> None:
        """Let the decision change the plan, tell of it, and keep its effects."""
        before = self.plan
        actions = decide()
        if self.plan is not before:
            _log.info("plan taken", extra={"revision": self.plan.revision})
            self._tell()
        self._outbox += self._carry_out(actions)

    def _tell(self) -> None:
        """Pass the plan on; one part that fails must not keep it from the others."""
        for callback in self.on_plan:
            try:
                callback(self.plan)
            except Exception:
                _log.exception("a part of the instance could not use the plan")

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, request: FetchPlan) -> None:
        """Ask a peer and pass its answer on."""
        peer = request.instance
        try:
            answer = await self._ask(request)
        except SapphirerailError as error:
            _log.debug("no plan from a peer", extra={"peer": peer, "error": error.code})
            self._apply(lambda: self._sync.on_fetch_failed(peer, monotonic_ms()))
            return
        self._apply(lambda: self._sync.on_answer(peer, answer, monotonic_ms()))

    async def _ask(self, request: FetchPlan) -> PlanAnswer:
        address = self._peers.api_address(request.instance)
        if address is None:
            raise InputError("plan.no_address", f"{request.instance} has no address")
        client = HttpClient(parse_address(address), self._signer)
        target = f"/plan?since={request.since}&packed=1"
        return await client.ask(PlanAnswer, "GET", target, timeout_ms=FETCH_TIMEOUT_MS)

    async def _read(self, watched: StoredValue | None = None) -> None:
        """Read the root, and the shards only if it has a higher revision."""
        if self._reading:
            return
        self._reading = True
        try:
            await self._read_newer(watched)
        finally:
            self._reading = False

    async def _read_newer(self, watched: StoredValue | None) -> None:
        self._n_store_calls += 1
        try:
            found = await self._reader.read_newer(self.plan, watched)
        except SapphirerailError as error:
            self._on_store_error(error)
            return
        self._store_error = ""
        self._root_version = found.version
        self._apply(lambda: self._sync.on_store_plan(found.plan, monotonic_ms()))

    async def _watch(self) -> None:
        """Hold a watch on the root while this instance is a reader.

        `PlanSync` has the root read regularly as well, so that a watch that stays
        open and silent delays a change by one such reading at most.
        """
        while True:
            if not self._sync.is_reader or self._root_version is None:
                await asyncio.sleep(WATCH_PAUSE_MS / 1000)
                continue
            self._n_store_calls += 1
            version = self._root_version
            try:
                value = await self._store.watch(ROOT_KEY, version, WATCH_TIMEOUT_MS)
            except SapphirerailError as error:
                self._on_store_error(error)
                await asyncio.sleep(WATCH_PAUSE_MS / 1000)
                continue
            if value is not None:
                await self._read(value)
                # A burst of changes is read in steps, and failures don't spin.
                await asyncio.sleep(WATCH_PAUSE_MS / 1000)

    def _on_store_error(self, error: SapphirerailError) -> None:
        self._store_error = error.code
        self._n_store_errors += 1
