"""Spreads the newest plan: whom to tell, whom to ask, when to read the store."""

import random
from dataclasses import dataclass

from ..effects import Effect, SendToPeer
from ..errors import InputError
from ..fleet.view import FleetView
from ..journal import Journal, Reason
from ..types import InstanceId, Revision
from .delta import PlanAnswer, merge
from .messages import UNKNOWN_AGE, PlanNews
from .model import EMPTY_PLAN, Plan
from .packed_delta import delta_of
from .store_polls import StorePolls
from .sync_config import SyncConfig

__all__ = [
    "FetchPlan",
    "PlanSource",
    "PlanSync",
    "ReadStore",
    "SyncAction",
    "SyncConfig",
]

N_TELLERS_MAX = 8


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Ask a peer for what changed after a revision; 0 asks for its whole plan."""

    instance: InstanceId
    since: Revision


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the root in the store, and the plan if its revision is higher."""


SyncAction = Effect | FetchPlan | ReadStore


@dataclass(frozen=True, slots=True)
class PlanSource:
    """Where the plan in force came from; no instance means the store."""

    instance: InstanceId | None
    at_ms: int


@dataclass(frozen=True, slots=True)
class _Fetch:
    """A question to a peer that has no answer yet."""

    instance: InstanceId
    until_ms: int


class PlanSync:
    """Keeps the newest plan that the store or any peer was heard to have.

    Parameters
    ----------
    config : SyncConfig
        Times and counts.
    fleet : FleetView
        Who is alive.
    journal : Journal
        Gets refused plans.
    random_state : random.Random
        Chooses peers and jitter.

    Attributes
    ----------
    plan : Plan
        The plan in force.
    source : PlanSource or None
        Where it came from.
    contact_ms : int or None
        When the store was last known to hold no higher revision.
    store_revision : Revision or None
        What this instance itself last read in the store.
    n_stale, n_mismatches : int
        Plans that were refused, as lower or as not following from the own one.
    """

    def __init__(
        self,
        config: SyncConfig,
        fleet: FleetView,
        journal: Journal,
        random_state: random.Random,
    ) -> None:
        self.plan: Plan = EMPTY_PLAN
        self.source: PlanSource | None = None
        self.contact_ms: int | None = None
        self.store_revision: Revision | None = None
        self.n_stale = 0
        self.n_mismatches = 0
        self._config = config
        self._fleet = fleet
        self._journal = journal
        self._random = random_state
        self._tellers: dict[InstanceId, Revision] = {}
        self._fetch: _Fetch | None = None
        self._needs_full = False
        self._last_refusal = ""
        self._next_fetch_ms = 0
        self._n_repeats_left = 0
        self._next_repeat_ms = 0
        self._next_round_ms = 0
        self._polls = StorePolls(config, fleet, random_state)

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store for its data centre."""
        return self._polls.is_reader

    @property
    def is_store_behind(self) -> bool:
        """Whether the store was last seen with a lower revision than this plan."""
        known = self.store_revision
        return known is not None and known < self.plan.revision

    def contact_age_ms(self, now_ms: int) -> int:
        """Return how old the news from the store is, or `UNKNOWN_AGE`."""
        if self.contact_ms is None:
            return UNKNOWN_AGE
        return max(0, now_ms - self.contact_ms)

    def on_message(
        self, sender: InstanceId, message: PlanNews, now_ms: int
    ) -> list[SyncAction]:
        """Compare a peer's plan with the own one."""
        own = self.plan
        if message.revision > own.revision:
            return self.on_peer_revision(sender, message.revision, now_ms)
        self._note_contact(message.contact_age_ms, now_ms)
        if message.revision < own.revision:
            return [SendToPeer(sender, self._news(now_ms))]
        if message.digest != own.digest:
            self._refuse(now_ms, f"a peer has another revision {own.revision}")
        return []

    def on_peer_revision(
        self, sender: InstanceId, revision: Revision, now_ms: int
    ) -> list[SyncAction]:
        """Take note that a peer has a revision, as from its heartbeat."""
        if revision <= self.plan.revision:
            return []
        self._tellers.pop(sender, None)
        self._tellers[sender] = revision
        if len(self._tellers) > N_TELLERS_MAX:
            del self._tellers[next(iter(self._tellers))]
        return self._ask(now_ms)

    def on_answer(
        self, sender: InstanceId, answer: PlanAnswer, now_ms: int
    ) -> list[SyncAction]:
        """Take a peer's answer to `FetchPlan`."""
        self._end_fetch(sender)
        self._tellers.pop(sender, None)
        try:
            plan = self._answered(answer)
        except InputError as error:
            self._refuse(now_ms, f"{sender}: {error.message}")
            self.n_mismatches += 1
            if self._needs_full:
                # The whole plan of this peer is not sound either.
                return self._ask(now_ms)
            self._needs_full = True
            return self.on_peer_revision(sender, answer.revision, now_ms)
        taken = self._take(plan, PlanSource(sender, now_ms), now_ms)
        if taken:
            self._next_fetch_ms = now_ms + self._config.fetch_gap_ms
        if answer.revision <= self.plan.revision:
            self._note_contact(answer.contact_age_ms, now_ms)
        return taken + self._ask(now_ms)

    def on_fetch_failed(self, sender: InstanceId, now_ms: int) -> list[SyncAction]:
        """Ask another peer after one gave no answer."""
        self._end_fetch(sender)
        self._tellers.pop(sender, None)
        return self._ask(now_ms)

    def on_store_plan(self, plan: Plan, now_ms: int) -> list[SyncAction]:
        """Take the plan that a reading of the store found.

        A reading that found the revision in force may pass the plan itself again.
        """
        self.store_revision = plan.revision
        if plan.revision < self.plan.revision:
            # Only a store that lost writes can hold less than was read from it.
            text = f"the store has {plan.revision}, below {self.plan.revision}"
            self._refuse(now_ms, text)
            return []
        taken = self._take(plan, PlanSource(None, now_ms), now_ms)
        self.contact_ms = now_ms
        return taken

    def tick(self, now_ms: int) -> list[SyncAction]:
        """Do what is due."""
        actions: list[SyncAction] = []
        if self._fetch is not None and now_ms >= self._fetch.until_ms:
            actions += self.on_fetch_failed(self._fetch.instance, now_ms)
        else:
            actions += self._ask(now_ms)
        if self._n_repeats_left and now_ms >= self._next_repeat_ms:
            self._n_repeats_left -= 1
            self._next_repeat_ms = now_ms + self._config.repeat_ms
            actions += self._tell(self._config.fan_out, now_ms)
        if now_ms >= self._next_round_ms:
            actions += self._exchange(now_ms)
        if self._polls.is_due(now_ms, self.contact_age_ms(now_ms)):
            actions.append(ReadStore())
        return actions

    def _exchange(self, now_ms: int) -> list[SyncAction]:
        """Compare plans with a peer at random; without a plan, with several."""
        is_empty = self.plan.revision == 0
        wait_ms = self._config.repeat_ms if is_empty else self._config.round_ms
        self._next_round_ms = now_ms + self._jittered(wait_ms)
        return self._tell(self._config.fan_out if is_empty else 1, now_ms)

    def _take(self, plan: Plan, source: PlanSource, now_ms: int) -> list[SyncAction]:
        if plan.revision <= self.plan.revision:
            return []
        self.plan = plan
        self.source = source
        self._needs_full = False
        self._tellers = {
            name: revision
            for name, revision in self._tellers.items()
            if revision > plan.revision
        }
        self._n_repeats_left = self._config.n_repeats
        self._next_repeat_ms = now_ms + self._config.repeat_ms
        return self._tell(self._config.fan_out, now_ms)

    def _answered(self, answer: PlanAnswer) -> Plan:
        if answer.full is not None:
            return answer.full.plan()
        delta = delta_of(answer)
        return self.plan if delta is None else merge(self.plan, delta)

    def _ask(self, now_ms: int) -> list[SyncAction]:
        """Ask the peer with the highest revision, unless one is being asked."""
        self._tellers = {
            name: revision
            for name, revision in self._tellers.items()
            if revision > self.plan.revision
        }
        is_waiting = self._fetch is not None or now_ms < self._next_fetch_ms
        if is_waiting or not self._tellers:
            return []
        peer = max(self._tellers, key=lambda name: self._tellers[name])
        since = Revision(0) if self._needs_full else self.plan.revision
        config = self._config
        wait_ms = config.fetch_timeout_ms if since else config.full_timeout_ms
        self._fetch = _Fetch(peer, now_ms + wait_ms)
        return [FetchPlan(peer, since)]

    def _end_fetch(self, sender: InstanceId) -> None:
        if self._fetch is not None and self._fetch.instance == sender:
            self._fetch = None

    def _tell(self, n_peers: int, now_ms: int) -> list[SyncAction]:
        live = self._fleet.live()
        chosen = self._random.sample(live, min(n_peers + 1, len(live)))
        others = [name for name in chosen if name != self._fleet.self_id]
        news = self._news(now_ms)
        return [SendToPeer(peer, news) for peer in others[:n_peers]]

    def _news(self, now_ms: int) -> PlanNews:
        age_ms = self.contact_age_ms(now_ms)
        return PlanNews(self.plan.revision, self.plan.digest, age_ms)

    def _note_contact(self, age_ms: int, now_ms: int) -> None:
        if age_ms < 0:
            return
        heard_ms = now_ms - age_ms
        if self.contact_ms is None or heard_ms > self.contact_ms:
            self.contact_ms = heard_ms

    def _refuse(self, now_ms: int, detail: str) -> None:
        self.n_stale += 1
        if detail == self._last_refusal:
            return
        # Readings and exchanges repeat; the journal holds the first of a kind.
        self._last_refusal = detail
        self._journal.record(now_ms, Reason.PLAN_STALE, detail=detail)

    def _jittered(self, time_ms: int) -> int:
        return int(time_ms * self._random.uniform(0.75, 1.0))
