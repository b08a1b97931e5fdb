"""Disseminates the newest plan: gossip among peers and polling of the store."""

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
from .packed_delta import decode_delta
from .poll_schedule import PollSchedule
from .sync_config import SyncConfig

__all__ = [
    "FetchPlan",
    "PlanSource",
    "PlanSync",
    "ReadStore",
    "SyncAction",
    "SyncConfig",
]

N_NEWER_PEERS_MAX = 8


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """Request the changes after a revision from a peer; 0 requests its whole plan."""

    instance: InstanceId
    since: Revision


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the root in the store, and the plan if its revision is higher."""


SyncAction = Effect | FetchPlan | ReadStore


@dataclass(frozen=True, slots=True)
class PlanSource:
    """Where the plan in force came from; None as the instance means the store."""

    instance: InstanceId | None
    at_ms: int


@dataclass(frozen=True, slots=True)
class _PendingFetch:
    """A pending request to a peer."""

    instance: InstanceId
    deadline_ms: int


class PlanSync:
    """Keeps the newest plan that the store or any peer is known to have.

    Parameters
    ----------
    config : SyncConfig
        Intervals and counts.
    fleet : FleetView
        View of the live instances.
    journal : Journal
        Records refused plans.
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
        The revision that this instance itself last read in the store.
    n_stale, n_mismatches : int
        Number of plans that were refused because they were older than the local one
        or conflicted with it (`n_stale`), and of responses that could not be applied
        (`n_mismatches`).
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
        self._newer_peers: dict[InstanceId, Revision] = {}
        self._pending_fetch: _PendingFetch | None = None
        self._needs_full = False
        self._last_refusal = ""
        self._next_fetch_ms = 0
        self._n_repeats_left = 0
        self._next_repeat_ms = 0
        self._next_exchange_ms = 0
        self._polls = PollSchedule(config, fleet, random_state)

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads the store for its data centre."""
        return self._polls.is_reader

    @property
    def is_store_behind(self) -> bool:
        """Whether the store had a lower revision than the local plan when last read."""
        known = self.store_revision
        return known is not None and known < self.plan.revision

    def contact_age_ms(self, now_ms: int) -> int:
        """Return the time since the last contact with the store, or `UNKNOWN_AGE`."""
        if self.contact_ms is None:
            return UNKNOWN_AGE
        return max(0, now_ms - self.contact_ms)

    def on_message(
        self, sender: InstanceId, message: PlanNews, now_ms: int
    ) -> list[SyncAction]:
        """Compare the plan that a peer announces with the local one."""
        local = self.plan
        if message.revision > local.revision:
            return self.on_peer_revision(sender, message.revision, now_ms)
        self._update_contact(message.contact_age_ms, now_ms)
        if message.revision < local.revision:
            return [SendToPeer(sender, self._announcement(now_ms))]
        if message.digest != local.digest:
            self._record_refusal(
                now_ms, f"a peer has a different plan at revision {local.revision}"
            )
        return []

    def on_peer_revision(
        self, sender: InstanceId, revision: Revision, now_ms: int
    ) -> list[SyncAction]:
        """Record the revision that a peer has, for example from its heartbeat."""
        if revision <= self.plan.revision:
            return []
        self._newer_peers.pop(sender, None)
        self._newer_peers[sender] = revision
        if len(self._newer_peers) > N_NEWER_PEERS_MAX:
            del self._newer_peers[next(iter(self._newer_peers))]
        return self._fetch_newest(now_ms)

    def on_answer(
        self, sender: InstanceId, answer: PlanAnswer, now_ms: int
    ) -> list[SyncAction]:
        """Process the response of a peer to `FetchPlan`."""
        self._clear_fetch(sender)
        self._newer_peers.pop(sender, None)
        try:
            plan = self._plan_from_answer(answer)
        except InputError as error:
            self._record_refusal(now_ms, f"{sender}: {error.message}")
            self.n_mismatches += 1
            if self._needs_full:
                # The whole plan of this peer is invalid as well; try another peer.
                return self._fetch_newest(now_ms)
            self._needs_full = True
            return self.on_peer_revision(sender, answer.revision, now_ms)
        actions = self._install(plan, PlanSource(sender, now_ms), now_ms)
        if actions:
            self._next_fetch_ms = now_ms + self._config.min_fetch_interval_ms
        if answer.revision <= self.plan.revision:
            self._update_contact(answer.contact_age_ms, now_ms)
        return actions + self._fetch_newest(now_ms)

    def on_fetch_failed(self, sender: InstanceId, now_ms: int) -> list[SyncAction]:
        """Ask another peer after a request failed."""
        self._clear_fetch(sender)
        self._newer_peers.pop(sender, None)
        return self._fetch_newest(now_ms)

    def on_store_plan(self, plan: Plan, now_ms: int) -> list[SyncAction]:
        """Process the plan that was read from the store.

        If the store has the revision in force, the local plan may be passed again.
        """
        self.store_revision = plan.revision
        if plan.revision < self.plan.revision:
            # The store can have a lower revision only after it lost writes.
            text = (
                f"the store has revision {plan.revision}, below the local revision "
                f"{self.plan.revision}"
            )
            self._record_refusal(now_ms, text)
            return []
        actions = self._install(plan, PlanSource(None, now_ms), now_ms)
        self.contact_ms = now_ms
        return actions

    def tick(self, now_ms: int) -> list[SyncAction]:
        """Return the actions that are due."""
        actions: list[SyncAction] = []
        if (
            self._pending_fetch is not None
            and now_ms >= self._pending_fetch.deadline_ms
        ):
            actions += self.on_fetch_failed(self._pending_fetch.instance, now_ms)
        else:
            actions += self._fetch_newest(now_ms)
        if self._n_repeats_left and now_ms >= self._next_repeat_ms:
            self._n_repeats_left -= 1
            self._next_repeat_ms = now_ms + self._config.repeat_interval_ms
            actions += self._announce(self._config.fan_out, now_ms)
        if now_ms >= self._next_exchange_ms:
            actions += self._exchange_plans(now_ms)
        if self._polls.is_due(now_ms, self.contact_age_ms(now_ms)):
            actions.append(ReadStore())
        return actions

    def _exchange_plans(self, now_ms: int) -> list[SyncAction]:
        """Announce the plan to a random peer, or to several while there is none."""
        is_empty = self.plan.revision == 0
        wait_ms = (
            self._config.repeat_interval_ms
            if is_empty
            else self._config.exchange_interval_ms
        )
        self._next_exchange_ms = now_ms + self._jittered(wait_ms)
        return self._announce(self._config.fan_out if is_empty else 1, now_ms)

    def _install(self, plan: Plan, source: PlanSource, now_ms: int) -> list[SyncAction]:
        if plan.revision <= self.plan.revision:
            return []
        self.plan = plan
        self.source = source
        self._needs_full = False
        self._newer_peers = {
            name: revision
            for name, revision in self._newer_peers.items()
            if revision > plan.revision
        }
        self._n_repeats_left = self._config.n_repeats
        self._next_repeat_ms = now_ms + self._config.repeat_interval_ms
        return self._announce(self._config.fan_out, now_ms)

    def _plan_from_answer(self, answer: PlanAnswer) -> Plan:
        if answer.full is not None:
            return answer.full.plan()
        delta = decode_delta(answer)
        return self.plan if delta is None else merge(self.plan, delta)

    def _fetch_newest(self, now_ms: int) -> list[SyncAction]:
        """Fetch from the peer with the highest revision, unless a fetch is pending."""
        self._newer_peers = {
            name: revision
            for name, revision in self._newer_peers.items()
            if revision > self.plan.revision
        }
        is_waiting = self._pending_fetch is not None or now_ms < self._next_fetch_ms
        if is_waiting or not self._newer_peers:
            return []
        peer = max(self._newer_peers, key=lambda name: self._newer_peers[name])
        since = Revision(0) if self._needs_full else self.plan.revision
        config = self._config
        wait_ms = config.fetch_timeout_ms if since else config.full_timeout_ms
        self._pending_fetch = _PendingFetch(peer, now_ms + wait_ms)
        return [FetchPlan(peer, since)]

    def _clear_fetch(self, sender: InstanceId) -> None:
        if self._pending_fetch is not None and self._pending_fetch.instance == sender:
            self._pending_fetch = None

    def _announce(self, n_peers: int, now_ms: int) -> list[SyncAction]:
        live = self._fleet.live()
        chosen = self._random.sample(live, min(n_peers + 1, len(live)))
        others = [name for name in chosen if name != self._fleet.self_id]
        announcement = self._announcement(now_ms)
        return [SendToPeer(peer, announcement) for peer in others[:n_peers]]

    def _announcement(self, now_ms: int) -> PlanNews:
        age_ms = self.contact_age_ms(now_ms)
        return PlanNews(self.plan.revision, self.plan.digest, age_ms)

    def _update_contact(self, age_ms: int, now_ms: int) -> None:
        if age_ms < 0:
            return
        contact_ms = now_ms - age_ms
        if self.contact_ms is None or contact_ms > self.contact_ms:
            self.contact_ms = contact_ms

    def _record_refusal(self, now_ms: int, detail: str) -> None:
        self.n_stale += 1
        if detail == self._last_refusal:
            return
        # Reads and exchanges repeat; only the first of equal refusals is recorded.
        self._last_refusal = detail
        self._journal.record(now_ms, Reason.PLAN_STALE, detail=detail)

    def _jittered(self, interval_ms: int) -> int:
        return int(interval_ms * self._random.uniform(0.75, 1.0))
