"""Simulates plan dissemination on a virtual clock, with loss and partitions."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from sapphirerail_core import rendezvous
from sapphirerail_core.effects import SendToPeer
from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.plan import EMPTY_PLAN, Plan, layout
from sapphirerail_core.plan.delta import FullPlan, PlanAnswer, delta_since
from sapphirerail_core.plan.messages import PlanNews
from sapphirerail_core.plan.packed_delta import encode_delta
from sapphirerail_core.plan.sync import (
    FetchPlan,
    PlanSync,
    ReadStore,
    SyncAction,
    SyncConfig,
)
from sapphirerail_core.types import DataCentreId, InstanceId, Revision

__all__ = ["NetworkConfig", "PlanNetwork"]

JOURNAL_ENTRIES = 8


@dataclass(frozen=True, slots=True)
class NetworkConfig:
    """Faults and delays of messages and calls.

    Parameters
    ----------
    loss : float
        Share of lost messages and lost calls.
    delay_ms : int
        Maximum delay of a message.
    call_ms : int
        Duration of a call to a peer or to the store.
    tick_ms : int
        Time between ticks of an instance.
    watch_pause_ms : int
        Time from a read that a watch triggered to the next watch.
    unresponsive_watches : bool
        Whether watches on the store stay open and never report a change.
    """

    loss: float = 0.0
    delay_ms: int = 2
    call_ms: int = 6
    tick_ms: int = 100
    watch_pause_ms: int = 500
    unresponsive_watches: bool = False


class _SharedFleet(FixedFleet):
    """A membership whose lists all instances share, to save memory at thousands."""

    shared: dict[DataCentreId | None, tuple[InstanceId, ...]]
    known_owners: dict[tuple[int, DataCentreId], tuple[InstanceId, ...]]

    def live(self, data_centre: DataCentreId | None = None) -> tuple[InstanceId, ...]:
        """Return the members, of one data centre or of all."""
        return self.shared.get(data_centre, ())

    def owners(
        self, key: int, n_owners: int, data_centre: DataCentreId
    ) -> tuple[InstanceId, ...]:
        """Return the highest-ranked members for a key."""
        if (key, data_centre) not in self.known_owners:
            names = rendezvous.top(key, self.live(data_centre), n_owners)
            found = tuple(InstanceId(name) for name in names)
            self.known_owners[key, data_centre] = found
        return self.known_owners[key, data_centre]


class PlanNetwork:
    """Connects real `PlanSync` objects to a store and to each other.

    Parameters
    ----------
    members : mapping of InstanceId to DataCentreId
        All instances.
    seed : int
        Seed of all random choices.
    config : NetworkConfig
        Faults and delays of the network.
    sync : SyncConfig
        Intervals and fan-out of the dissemination.
    """

    def __init__(
        self,
        members: Mapping[InstanceId, DataCentreId],
        seed: int,
        config: NetworkConfig = NetworkConfig(),  # noqa: B008
        sync: SyncConfig = SyncConfig(),  # noqa: B008
    ) -> None:
        self.now_ms = 0
        self.store_plan: Plan = EMPTY_PLAN
        self.is_store_up = True
        self.partitioned: set[DataCentreId] = set()
        self.paused: set[InstanceId] = set()
        self.n_events: Counter[str] = Counter()
        self.n_bytes: Counter[str] = Counter()
        self.applied_ms: dict[tuple[InstanceId, Revision], int] = {}
        self.n_reverts = 0
        self.syncs: dict[InstanceId, PlanSync] = {}
        self._config = config
        self._sync_config = sync
        self._members = dict(members)
        self._seed = seed
        self._random = random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._watch_due_ms: dict[InstanceId, int] = {}
        self._highest: dict[InstanceId, Revision] = {}
        self._answers: dict[tuple[Revision, int, Revision], tuple[PlanAnswer, int]] = {}
        self._shared: dict[DataCentreId | None, tuple[InstanceId, ...]] = {}
        self._known_owners: dict[tuple[int, DataCentreId], tuple[InstanceId, ...]] = {}
        self._update_shared_lists()
        for name in self._members:
            self.start(name)

    def start(self, name: InstanceId) -> None:
        """Start an instance without a plan; it replaces one of the same name."""
        fleet = _SharedFleet(name, {})
        fleet.members = self._members
        fleet.shared = self._shared
        fleet.known_owners = self._known_owners
        random_state = random.Random(f"{self._seed}/{name}/{self.now_ms}")
        journal = Journal(name, JOURNAL_ENTRIES)
        sync = PlanSync(self._sync_config, fleet, journal, random_state)
        self.syncs[name] = sync
        self._highest[name] = Revision(0)
        phase_ms = random_state.randrange(self._config.tick_ms)
        self._schedule(self.now_ms + phase_ms, lambda: self._tick(name, sync))

    def write(self, plan: Plan) -> None:
        """Replace the plan in the store and notify the watches that work."""
        self.store_plan = plan
        if self._config.unresponsive_watches or not self.is_store_up:
            return
        for name, sync in self.syncs.items():
            if sync.is_reader:
                self._notify_watch(name)

    def run(self, duration_ms: int) -> None:
        """Advance the clock."""
        self.run_until(lambda: False, duration_ms)

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Advance the clock until a condition holds; return whether it does."""
        end_ms = self.now_ms + limit_ms
        while self._queue and self._queue[0][0] <= end_ms:
            if condition():
                return True
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms
        return condition()

    def all_reached(self, revision: Revision) -> bool:
        """Return whether every instance has at least a revision."""
        return all(sync.plan.revision >= revision for sync in self.syncs.values())

    def deliver(
        self, sender: InstanceId, receiver: InstanceId, message: PlanNews
    ) -> None:
        """Deliver a message now, for instance a delayed or replayed one."""
        sync = self.syncs[receiver]
        self._apply_actions(receiver, sync.on_message(sender, message, self.now_ms))

    def _update_shared_lists(self) -> None:
        self._shared[None] = tuple(sorted(self._members))
        for data_centre in set(self._members.values()):
            self._shared[data_centre] = tuple(
                name for name in self._shared[None] if self._is_in(name, data_centre)
            )

    def _is_in(self, name: InstanceId, data_centre: DataCentreId) -> bool:
        return self._members[name] == data_centre

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action))

    def _after_delay(self, action: Callable[[], None]) -> None:
        delay_ms = self._random.randint(1, self._config.delay_ms)
        self._schedule(self.now_ms + delay_ms, action)

    def _notify_watch(self, name: InstanceId) -> None:
        """Schedule a store read after the watch reopens, unless one is due."""
        due_ms = self._watch_due_ms.get(name, 0)
        if due_ms > self.now_ms:
            return
        delay_ms = self._random.randint(1, self._config.delay_ms)
        at_ms = max(self.now_ms + delay_ms, due_ms + self._config.watch_pause_ms)
        self._watch_due_ms[name] = at_ms
        self._schedule(at_ms, lambda: self._read_store(name))

    def _tick(self, name: InstanceId, sync: PlanSync) -> None:
        if self.syncs.get(name) is not sync:
            return
        self._schedule(
            self.now_ms + self._config.tick_ms, lambda: self._tick(name, sync)
        )
        if name not in self.paused:
            self._apply_actions(name, sync.tick(self.now_ms))

    def _apply_actions(self, name: InstanceId, actions: list[SyncAction]) -> None:
        self._check_revision(name)
        for action in actions:
            if isinstance(action, SendToPeer):
                self._send(name, action)
            elif isinstance(action, FetchPlan):
                self._fetch(name, action)
            elif isinstance(action, ReadStore):
                self._schedule(
                    self.now_ms + self._config.call_ms,
                    lambda: self._read_store(name),
                )

    def _check_revision(self, name: InstanceId) -> None:
        revision = self.syncs[name].plan.revision
        if revision < self._highest[name]:
            self.n_reverts += 1
        if revision > self._highest[name]:
            self._highest[name] = revision
            self.applied_ms[name, revision] = self.now_ms

    def _reaches(self, one: InstanceId, other: InstanceId) -> bool:
        """Return whether a message or call gets through; draws the loss."""
        if self._random.random() < self._config.loss:
            return False
        data_centres = {self._members[one], self._members[other]}
        return len(data_centres) == 1 or not data_centres & self.partitioned

    def _send(self, sender: InstanceId, effect: SendToPeer) -> None:
        self.n_events["message"] += 1
        self.n_bytes["message"] += len(msgspec.msgpack.encode(effect.message))
        receiver = effect.instance
        if not self._reaches(sender, receiver):
            return

        def arrive() -> None:
            if receiver not in self.paused and isinstance(effect.message, PlanNews):
                self.deliver(sender, receiver, effect.message)

        self._after_delay(arrive)

    def _fetch(self, requester: InstanceId, request: FetchPlan) -> None:
        self.n_events["fetch"] += 1
        if not self._reaches(requester, request.instance):
            return

        def answer() -> None:
            if request.instance in self.paused or requester in self.paused:
                return
            responder = self.syncs[request.instance]
            found = self._answer(responder, request.since)
            sync = self.syncs[requester]
            actions = sync.on_answer(request.instance, found, self.now_ms)
            self._apply_actions(requester, actions)

        self._schedule(self.now_ms + self._config.call_ms, answer)

    def _answer(self, responder: PlanSync, since: Revision) -> PlanAnswer:
        plan = responder.plan
        age_ms = responder.contact_age_ms(self.now_ms)
        key = (plan.revision, plan.digest, since)
        if key not in self._answers:
            self._answers[key] = _make_answer(plan, since)
        answer, n_bytes = self._answers[key]
        self.n_bytes["fetch"] += n_bytes
        return msgspec.structs.replace(answer, contact_age_ms=age_ms)

    def _read_store(self, name: InstanceId) -> None:
        self.n_events["store"] += 1
        if not self.is_store_up or self._members[name] in self.partitioned:
            return
        if name not in self.paused:
            sync = self.syncs[name]
            actions = sync.on_store_plan(self.store_plan, self.now_ms)
            self._apply_actions(name, actions)


def _make_answer(plan: Plan, since: Revision) -> tuple[PlanAnswer, int]:
    """Return a peer's answer and its size on the wire."""
    answer = PlanAnswer(plan.revision, 0)
    delta = delta_since(plan, since) if since else None
    if delta is not None and since < plan.revision:
        answer = encode_delta(delta, 0, may_pack=True)
    elif since < plan.revision:
        texts = tuple(layout.pack(shard) for shard in layout.split(plan).values())
        full = FullPlan(layout.make_root(plan, {}, ()), texts)
        answer = PlanAnswer(plan.revision, 0, full=full)
    return answer, len(msgspec.json.encode(answer))
