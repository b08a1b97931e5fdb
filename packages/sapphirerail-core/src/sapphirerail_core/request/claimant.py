"""Acquisition of the exclusive right to run a request.

A claim is granted by a quorum of replicas, so that a request that is not idempotent
runs at most once. Replicas in the claim's home data centre decide on the first
transmission; those in all data centres are asked for a retransmission.
"""

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

from ..effects import Effect, SendToPeer
from ..rendezvous import hash_key
from ..types import DataCentreId, InstanceId
from .claim_replica import NO_INSTANCE, ClaimReplica
from .context import Context
from .history import MembershipHistory
from .keys import RequestKey, claim_data_centres
from .messages import Claim, Grant, Withdraw
from .quorum_group import (
    QuorumGroup,
    n_missing_allowed,
    quorum_first,
    quorum_retransmission,
)

_RESEND_MAX_MS = 640

__all__ = ["ClaimDecision", "ClaimResult", "Claimant"]


class ClaimDecision(Enum):
    """Result of an attempt to claim a request."""

    OWNED = "owned"
    HELD = "held"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The decision on a claim, with the holder if it is another instance."""

    key: RequestKey
    decision: ClaimDecision
    holder: InstanceId = NO_INSTANCE


@dataclass(slots=True)
class _Attempt:
    key: RequestKey
    epoch: int
    is_first: bool
    deadline_at_ms: int
    groups: list[QuorumGroup]
    ask_again_at_ms: int
    unresponsive_at_ms: int
    yield_at_ms: int
    fail_at_ms: int
    asks_all_groups: bool
    n_asked: int = 0

    def asked(self) -> list[QuorumGroup]:
        """Return the quorum groups whose replicas were asked."""
        return self.groups if self.asks_all_groups else self.groups[:1]

    def denials(self) -> list[InstanceId]:
        """Return the claim holders reported by replicas."""
        return [who for group in self.groups for who in group.denials.values()]


class Claimant:
    """Makes claims and counts the replicas' votes until each claim is decided.

    Parameters
    ----------
    context : Context
        Plan, fleet and settings.
    replica : ClaimReplica
        The local replica, called directly.
    history : MembershipHistory
        Instances that joined or failed recently.
    """

    def __init__(
        self, context: Context, replica: ClaimReplica, history: MembershipHistory
    ) -> None:
        self._context = context
        self._history = history
        self._claim_replica = replica
        self._attempts: dict[RequestKey, _Attempt] = {}
        self._decided: list[ClaimResult] = []
        self._unresponsive_until_ms: dict[DataCentreId, int] = {}
        self._previous_homes: list[DataCentreId] = []
        self._previous_homes_until_ms = 0

    def on_data_centres_changed(
        self, previous: list[DataCentreId], now_ms: int
    ) -> None:
        """Keep asking previous home data centres while claims there may be open."""
        self._previous_homes = previous
        config = self._context.config
        retention_ms = config.deadline_max_ms + config.claim_margin_ms
        self._previous_homes_until_ms = now_ms + retention_ms

    def start(
        self, key: RequestKey, is_first: bool, deadline_at_ms: int, now_ms: int
    ) -> list[Effect]:
        """Begin to claim a request; `take_decided` returns the result.

        With too many open claims the replicas are overloaded and further ones would
        add to the load, so the claim fails immediately.
        """
        config = self._context.config
        if len(self._attempts) >= config.n_claims_open_max:
            self._decided.append(ClaimResult(key, ClaimDecision.FAILED))
            return []
        ask_at_ms = max(now_ms, self._history.settled_at_ms(now_ms))
        attempt = _Attempt(
            key=key,
            epoch=self._context.random_state.getrandbits(31),
            is_first=is_first,
            deadline_at_ms=deadline_at_ms,
            groups=[],
            ask_again_at_ms=ask_at_ms,
            unresponsive_at_ms=ask_at_ms + config.claim_unresponsive_ms,
            yield_at_ms=ask_at_ms + config.claim_contention_ms,
            fail_at_ms=deadline_at_ms - config.claim_reserve_ms,
            # Most retransmissions are known in the home data centre; the others are
            # asked only after the replicas there knew no claim or did not respond.
            asks_all_groups=is_first,
        )
        self._attempts[key] = attempt
        if ask_at_ms > now_ms:
            # While the view is incomplete, two instances could each obtain a majority
            # of replicas that has no member in common with the other's.
            return []
        return self._ask_current_replicas(attempt, now_ms)

    def stop(self, key: RequestKey) -> None:
        """Stop claiming a request whose right was obtained in another way."""
        self._attempts.pop(key, None)

    def on_grant(self, sender: InstanceId, grant: Grant, now_ms: int) -> list[Effect]:
        """Handle a replica's reply to a claim."""
        attempt = self._attempts.get(grant.key)
        if attempt is None or attempt.epoch != grant.epoch:
            return []
        self._count_vote(attempt, sender, grant)
        return self._decide(attempt, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Ask unresponsive replicas again, and abandon overdue claims."""
        effects: list[Effect] = []
        for attempt in list(self._attempts.values()):
            effects += self._advance(attempt, now_ms)
        return effects

    def _advance(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        if now_ms >= attempt.fail_at_ms:
            return self._abandon(attempt, ClaimDecision.FAILED)
        denials = attempt.denials()
        if denials and now_ms >= attempt.yield_at_ms:
            return self._abandon(attempt, ClaimDecision.HELD, max(denials))
        if now_ms < self._history.settled_at_ms(now_ms):
            return []
        if self._is_home_unresponsive(attempt, now_ms):
            return self._ask_next_home(attempt, now_ms)
        if now_ms < attempt.ask_again_at_ms:
            return []
        if not attempt.groups:
            return self._ask_current_replicas(attempt, now_ms)
        attempt.n_asked += 1
        if all(group.is_unresponsive() for group in attempt.asked()):
            attempt.asks_all_groups = True
        wait_ms = self._context.config.claim_resend_ms << attempt.n_asked
        attempt.ask_again_at_ms = now_ms + min(wait_ms, _RESEND_MAX_MS)
        self._update_groups(attempt, now_ms)
        return self._ask(attempt, now_ms, is_again=True)

    def _ask_current_replicas(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        """Ask the replicas of the current view, discarding earlier votes."""
        attempt.groups = self._groups(attempt, now_ms)
        attempt.ask_again_at_ms = now_ms + self._context.config.claim_resend_ms
        return self._ask(attempt, now_ms, is_again=False)

    def _update_groups(self, attempt: _Attempt, now_ms: int) -> None:
        """Use the current membership, and keep the votes that are still valid."""
        previous = attempt.groups
        attempt.groups = self._groups(attempt, now_ms)
        for group in attempt.groups:
            for voted in previous:
                if voted.data_centre == group.data_centre:
                    group.grants |= voted.grants & set(group.replicas)
                    group.denials |= voted.denials

    def take_decided(self) -> list[ClaimResult]:
        """Return the claims that were decided since the last call."""
        decided, self._decided = self._decided, []
        return decided

    def _groups(self, attempt: _Attempt, now_ms: int) -> list[QuorumGroup]:
        data_centres = claim_data_centres(self._context.plan, attempt.key)
        previous = (
            self._previous_homes if now_ms < self._previous_homes_until_ms else []
        )
        previous = [
            data_centre for data_centre in previous if data_centre not in data_centres
        ]
        if not attempt.is_first:
            return [
                self._group(attempt, data_centre, now_ms)
                for data_centre in data_centres + previous
            ]
        recently_joined = self._history.recently_joined(now_ms)
        home = self._home(data_centres, now_ms)
        groups = [self._group(attempt, home, now_ms)]
        if recently_joined:
            groups += self._earlier_groups(attempt, groups[0], recently_joined, now_ms)
        for data_centre in previous:
            group = self._group(attempt, data_centre, now_ms)
            group.is_optional = True
            groups.append(group)
        return groups

    def _earlier_groups(
        self,
        attempt: _Attempt,
        group: QuorumGroup,
        recently_joined: set[InstanceId],
        now_ms: int,
    ) -> list[QuorumGroup]:
        """Return the replicas in the view of an instance that knows no recent join.

        Two instances that learn of a join at different times share either the current
        replicas or these, however many instances join at once.
        """
        data_centres = claim_data_centres(self._context.plan, attempt.key)
        home = self._home(data_centres, now_ms, recently_joined)
        if home == group.data_centre and not recently_joined & set(group.replicas):
            return []
        live = [n for n in self._context.fleet.live(home) if n not in recently_joined]
        n_replicas = self._context.config.n_claim_replicas
        replicas = self._context.fleet.top_owners(attempt.key, live, n_replicas)
        return [QuorumGroup(home, replicas, quorum_first(len(replicas)))]

    def _home(
        self,
        data_centres: list[DataCentreId],
        now_ms: int,
        recently_joined: Set[InstanceId] = frozenset(),
    ) -> DataCentreId:
        fleet = self._context.fleet
        for data_centre in data_centres:
            is_unresponsive = now_ms < self._unresponsive_until_ms.get(data_centre, 0)
            if is_unresponsive:
                continue
            if any(name not in recently_joined for name in fleet.live(data_centre)):
                return data_centre
        return fleet.self_data_centre

    def _group(
        self, attempt: _Attempt, data_centre: DataCentreId, now_ms: int
    ) -> QuorumGroup:
        config = self._context.config
        if attempt.is_first:
            n_replicas = config.n_claim_replicas
            replicas = self._context.fleet.owners(attempt.key, n_replicas, data_centre)
            return QuorumGroup(data_centre, replicas, quorum_first(len(replicas)))
        n_replicas = config.n_claim_replicas_retransmission
        replicas = self._context.fleet.owners(attempt.key, n_replicas, data_centre)
        if not self._history.is_complete(now_ms):
            return QuorumGroup(
                data_centre, replicas, quorum_retransmission(len(replicas))
            )
        established = self._history.established(replicas, now_ms)
        n_failed = self._history.n_failed_replicas(attempt.key, replicas, now_ms)
        n_missing = n_missing_allowed(
            len(established), n_failed, config.n_claim_replicas
        )
        return QuorumGroup(
            data_centre,
            replicas,
            quorum_first(len(replicas)),
            established,
            len(established) - n_missing,
        )

    def _ask(self, attempt: _Attempt, now_ms: int, *, is_again: bool) -> list[Effect]:
        effects: list[Effect] = []
        self_id = self._context.fleet.self_id
        remaining_ms = max(0, attempt.deadline_at_ms - now_ms)
        claim = Claim(attempt.key, remaining_ms, attempt.epoch)
        asked: set[InstanceId] = set()
        for group in attempt.asked():
            if group.has_quorum():
                continue
            wanted = [name for name in group.unanswered() if name not in asked]
            if not is_again and attempt.is_first:
                # The local grant needs no message.
                wanted.sort(key=lambda name: name != self_id)
                wanted = wanted[: group.quorum]
            asked.update(wanted)
            effects += self._ask_replicas(attempt, claim, wanted, now_ms)
        return effects + self._decide(attempt, now_ms)

    def _ask_replicas(
        self, attempt: _Attempt, claim: Claim, replicas: list[InstanceId], now_ms: int
    ) -> list[Effect]:
        effects: list[Effect] = []
        self_id = self._context.fleet.self_id
        for name in replicas:
            if name == self_id:
                grant = self._claim_replica.claim(self_id, claim, now_ms)
                self._count_vote(attempt, self_id, grant)
            else:
                effects.append(SendToPeer(name, claim))
        return effects

    def _count_vote(self, attempt: _Attempt, sender: InstanceId, grant: Grant) -> None:
        for group in attempt.groups:
            if grant.holder == self._context.fleet.self_id:
                # Also drops the kept denial of an instance that is no longer a replica.
                group.denials.pop(sender, None)
            if sender not in group.replicas:
                continue
            if grant.holder == self._context.fleet.self_id:
                group.grants.add(sender)
            else:
                group.denials[sender] = grant.holder

    def _decide(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        if attempt.key not in self._attempts:
            return []
        denials = attempt.denials()
        if denials:
            return self._on_denied(attempt, denials)
        if (
            not attempt.asks_all_groups
            and attempt.groups
            and attempt.groups[0].has_quorum()
        ):
            attempt.asks_all_groups = True
            return self._ask(attempt, now_ms, is_again=False)
        required = [group for group in attempt.groups if not group.is_optional]
        if not attempt.is_first and not self._has_awaited_denials(attempt, now_ms):
            return []
        optional = [group for group in attempt.groups if group.is_optional]
        if not required or not all(group.has_quorum() for group in required):
            return []
        waited = now_ms >= attempt.ask_again_at_ms
        if not all(
            p.has_quorum() or (waited and p.is_unresponsive()) for p in optional
        ):
            return []
        self._finish(attempt, ClaimDecision.OWNED)
        return []

    @staticmethod
    def _has_awaited_denials(attempt: _Attempt, now_ms: int) -> bool:
        """Return whether any denial in transit must have arrived by now."""
        if all(not group.unanswered() for group in attempt.groups):
            return True
        return now_ms >= attempt.unresponsive_at_ms

    def _on_denied(self, attempt: _Attempt, denials: list[InstanceId]) -> list[Effect]:
        holder = max(denials)
        if holder != NO_INSTANCE and self._has_priority(attempt.key, holder):
            # Both claimants hold grants: the preferred one repeats its claim, the
            # other one withdraws.
            return []
        return self._abandon(attempt, ClaimDecision.HELD, holder)

    def _has_priority(self, key: RequestKey, other: InstanceId) -> bool:
        self_id = self._context.fleet.self_id
        return (hash_key(f"{key}:{self_id}"), self_id) < (
            hash_key(f"{key}:{other}"),
            other,
        )

    def _abandon(
        self,
        attempt: _Attempt,
        decision: ClaimDecision,
        holder: InstanceId = NO_INSTANCE,
    ) -> list[Effect]:
        self._finish(attempt, decision, holder)
        return self._withdraw(attempt)

    def _is_home_unresponsive(self, attempt: _Attempt, now_ms: int) -> bool:
        """Return whether no replica responds to a first transmission's claim."""
        if not attempt.is_first or now_ms < attempt.unresponsive_at_ms:
            return False
        return all(group.is_unresponsive() for group in attempt.groups)

    def _ask_next_home(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        config = self._context.config
        for group in attempt.groups:
            if group.data_centre != self._context.fleet.self_data_centre:
                until_ms = now_ms + config.unresponsive_ms
                self._unresponsive_until_ms[group.data_centre] = until_ms
        attempt.unresponsive_at_ms = now_ms + config.claim_unresponsive_ms
        return self._ask_current_replicas(attempt, now_ms)

    def _finish(
        self,
        attempt: _Attempt,
        decision: ClaimDecision,
        holder: InstanceId = NO_INSTANCE,
    ) -> None:
        del self._attempts[attempt.key]
        self._decided.append(ClaimResult(attempt.key, decision, holder))

    def _withdraw(self, attempt: _Attempt) -> list[Effect]:
        withdraw = Withdraw(attempt.key, attempt.epoch)
        self_id = self._context.fleet.self_id
        self._claim_replica.withdraw(self_id, withdraw)
        return [
            SendToPeer(name, withdraw)
            for group in attempt.asked()
            for name in group.replicas
            if name != self_id
        ]
