"""Obtains the sole right to run a request from its keepers."""

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

from ..effects import Effect, SendToPeer
from ..rendezvous import hash_key
from ..types import DataCentreId, InstanceId
from .context import Context
from .history import MembershipHistory
from .keeper import NOBODY, ClaimKeeper
from .keys import RequestKey, claim_data_centres
from .messages import Claim, Grant, Withdraw
from .panel import (
    Panel,
    n_missing_allowed,
    quorum_first,
    quorum_retransmission,
)

_RESEND_MAX_MS = 640

__all__ = ["ClaimDecision", "ClaimResult", "Claimant"]


class ClaimDecision(Enum):
    """End of an attempt to claim."""

    OWNED = "owned"
    HELD = "held"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """A decided claim and, if another one holds it, who."""

    key: RequestKey
    decision: ClaimDecision
    holder: InstanceId = NOBODY


@dataclass(slots=True)
class _Attempt:
    key: RequestKey
    epoch: int
    is_first: bool
    deadline_at_ms: int
    panels: list[Panel]
    ask_again_at_ms: int
    silent_at_ms: int
    yield_at_ms: int
    fail_at_ms: int
    is_wide: bool
    n_asked: int = 0

    def asked(self) -> list[Panel]:
        """Return the panels whose keepers were asked."""
        return self.panels if self.is_wide else self.panels[:1]

    def denials(self) -> list[InstanceId]:
        """Return who holds the claim in the keepers' opinion."""
        return [who for panel in self.panels for who in panel.denials.values()]


class Claimant:
    """Collects the grants of claims until each is decided.

    Parameters
    ----------
    context : Context
        Plan, fleet and settings.
    keeper : ClaimKeeper
        This instance's own memory, asked without a message.
    history : MembershipHistory
        Who joined and died of late.
    """

    def __init__(
        self, context: Context, keeper: ClaimKeeper, history: MembershipHistory
    ) -> None:
        self._context = context
        self._history = history
        self._keeper = keeper
        self._attempts: dict[RequestKey, _Attempt] = {}
        self._decided: list[ClaimResult] = []
        self._silent_until_ms: dict[DataCentreId, int] = {}
        self._former: list[DataCentreId] = []
        self._former_until_ms = 0

    def on_data_centres(self, former: list[DataCentreId], now_ms: int) -> None:
        """Keep asking former homes while claims made there may be open."""
        self._former = former
        config = self._context.config
        memory_ms = config.deadline_max_ms + config.claim_margin_ms
        self._former_until_ms = now_ms + memory_ms

    def start(
        self, key: RequestKey, is_first: bool, deadline_at_ms: int, now_ms: int
    ) -> list[Effect]:
        """Begin to claim a request; the result comes from `take_decided`.

        With too many claims open the keepers do not keep up, and asking more of
        them would make it worse: the claim fails at once.
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
            panels=[],
            ask_again_at_ms=ask_at_ms,
            silent_at_ms=ask_at_ms + config.claim_silence_ms,
            yield_at_ms=ask_at_ms + config.claim_contention_ms,
            fail_at_ms=deadline_at_ms - config.claim_reserve_ms,
            # Most retransmissions are known at home; the other data centres are
            # asked only after the home's keepers knew nothing or kept silent.
            is_wide=is_first,
        )
        self._attempts[key] = attempt
        if ask_at_ms > now_ms:
            # With a view that is still growing, two instances could each find a
            # majority of keepers that does not meet the other's.
            return []
        return self._ask_anew(attempt, now_ms)

    def stop(self, key: RequestKey) -> None:
        """Give up a claim whose right was obtained in another way."""
        self._attempts.pop(key, None)

    def on_grant(self, sender: InstanceId, grant: Grant, now_ms: int) -> list[Effect]:
        """Take in a keeper's answer."""
        attempt = self._attempts.get(grant.key)
        if attempt is None or attempt.epoch != grant.epoch:
            return []
        self._count(attempt, sender, grant)
        return self._decide(attempt, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Ask silent keepers again, and end the claims that take too long."""
        effects: list[Effect] = []
        for attempt in list(self._attempts.values()):
            effects += self._advance(attempt, now_ms)
        return effects

    def _advance(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        if now_ms >= attempt.fail_at_ms:
            return self._give_up(attempt, ClaimDecision.FAILED)
        denials = attempt.denials()
        if denials and now_ms >= attempt.yield_at_ms:
            return self._give_up(attempt, ClaimDecision.HELD, max(denials))
        if now_ms < self._history.settled_at_ms(now_ms):
            return []
        if self._is_home_silent(attempt, now_ms):
            return self._next_home(attempt, now_ms)
        if now_ms < attempt.ask_again_at_ms:
            return []
        if not attempt.panels:
            return self._ask_anew(attempt, now_ms)
        attempt.n_asked += 1
        if all(panel.is_silent() for panel in attempt.asked()):
            attempt.is_wide = True
        wait_ms = self._context.config.claim_resend_ms << attempt.n_asked
        attempt.ask_again_at_ms = now_ms + min(wait_ms, _RESEND_MAX_MS)
        self._refresh(attempt, now_ms)
        return self._ask(attempt, now_ms, is_again=True)

    def _ask_anew(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        """Ask the keepers by the present view, without any votes so far."""
        attempt.panels = self._panels(attempt, now_ms)
        attempt.ask_again_at_ms = now_ms + self._context.config.claim_resend_ms
        return self._ask(attempt, now_ms, is_again=False)

    def _refresh(self, attempt: _Attempt, now_ms: int) -> None:
        """Use the present membership, and keep the votes that still count."""
        former = attempt.panels
        attempt.panels = self._panels(attempt, now_ms)
        for panel in attempt.panels:
            for voted in former:
                if voted.data_centre == panel.data_centre:
                    panel.grants |= voted.grants & set(panel.keepers)
                    panel.denials |= voted.denials

    def take_decided(self) -> list[ClaimResult]:
        """Return the claims that were decided since the last call."""
        decided, self._decided = self._decided, []
        return decided

    def _panels(self, attempt: _Attempt, now_ms: int) -> list[Panel]:
        places = claim_data_centres(self._context.plan, attempt.key)
        former = self._former if now_ms < self._former_until_ms else []
        former = [place for place in former if place not in places]
        if not attempt.is_first:
            return [self._panel(attempt, place, now_ms) for place in places + former]
        newcomers = self._history.newcomers(now_ms)
        home = self._home(places, now_ms)
        panels = [self._panel(attempt, home, now_ms)]
        if newcomers:
            panels += self._earlier_panels(attempt, panels[0], newcomers, now_ms)
        for place in former:
            panel = self._panel(attempt, place, now_ms)
            panel.is_optional = True
            panels.append(panel)
        return panels

    def _earlier_panels(
        self,
        attempt: _Attempt,
        panel: Panel,
        newcomers: set[InstanceId],
        now_ms: int,
    ) -> list[Panel]:
        """Return the keepers as an instance sees them that knows no newcomer yet.

        Two instances that hear of a join at different times have either the
        present keepers in common or these, however many join at once.
        """
        places = claim_data_centres(self._context.plan, attempt.key)
        home = self._home(places, now_ms, newcomers)
        if home == panel.data_centre and not newcomers & set(panel.keepers):
            return []
        live = [n for n in self._context.fleet.live(home) if n not in newcomers]
        n_keepers = self._context.config.n_keepers
        keepers = self._context.fleet.top_owners(attempt.key, live, n_keepers)
        return [Panel(home, keepers, quorum_first(len(keepers)))]

    def _home(
        self,
        places: list[DataCentreId],
        now_ms: int,
        newcomers: Set[InstanceId] = frozenset(),
    ) -> DataCentreId:
        fleet = self._context.fleet
        for place in places:
            is_silent = now_ms < self._silent_until_ms.get(place, 0)
            if is_silent:
                continue
            if any(name not in newcomers for name in fleet.live(place)):
                return place
        return fleet.self_data_centre

    def _panel(self, attempt: _Attempt, place: DataCentreId, now_ms: int) -> Panel:
        config = self._context.config
        if attempt.is_first:
            n_keepers = config.n_keepers
            keepers = self._context.fleet.owners(attempt.key, n_keepers, place)
            return Panel(place, keepers, quorum_first(len(keepers)))
        n_keepers = config.n_keepers_retransmission
        keepers = self._context.fleet.owners(attempt.key, n_keepers, place)
        if not self._history.is_complete(now_ms):
            return Panel(place, keepers, quorum_retransmission(len(keepers)))
        seasoned = self._history.seasoned(keepers, now_ms)
        n_dead = self._history.n_dead_keepers(attempt.key, keepers, now_ms)
        n_missing = n_missing_allowed(len(seasoned), n_dead, config.n_keepers)
        return Panel(
            place,
            keepers,
            quorum_first(len(keepers)),
            seasoned,
            len(seasoned) - n_missing,
        )

    def _ask(self, attempt: _Attempt, now_ms: int, *, is_again: bool) -> list[Effect]:
        effects: list[Effect] = []
        self_id = self._context.fleet.self_id
        remaining_ms = max(0, attempt.deadline_at_ms - now_ms)
        claim = Claim(attempt.key, remaining_ms, attempt.epoch)
        asked: set[InstanceId] = set()
        for panel in attempt.asked():
            if panel.has_quorum():
                continue
            wanted = [name for name in panel.unanswered() if name not in asked]
            if not is_again and attempt.is_first:
                # Its own grant costs no message.
                wanted.sort(key=lambda name: name != self_id)
                wanted = wanted[: panel.quorum]
            asked.update(wanted)
            effects += self._ask_keepers(attempt, claim, wanted, now_ms)
        return effects + self._decide(attempt, now_ms)

    def _ask_keepers(
        self, attempt: _Attempt, claim: Claim, keepers: list[InstanceId], now_ms: int
    ) -> list[Effect]:
        effects: list[Effect] = []
        self_id = self._context.fleet.self_id
        for name in keepers:
            if name == self_id:
                grant = self._keeper.claim(self_id, claim, now_ms)
                self._count(attempt, self_id, grant)
            else:
                effects.append(SendToPeer(name, claim))
        return effects

    def _count(self, attempt: _Attempt, sender: InstanceId, grant: Grant) -> None:
        for panel in attempt.panels:
            if grant.holder == self._context.fleet.self_id:
                # Also of a former keeper, whose denial was kept.
                panel.denials.pop(sender, None)
            if sender not in panel.keepers:
                continue
            if grant.holder == self._context.fleet.self_id:
                panel.grants.add(sender)
            else:
                panel.denials[sender] = grant.holder

    def _decide(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        if attempt.key not in self._attempts:
            return []
        denials = attempt.denials()
        if denials:
            return self._on_denied(attempt, denials)
        if not attempt.is_wide and attempt.panels and attempt.panels[0].has_quorum():
            attempt.is_wide = True
            return self._ask(attempt, now_ms, is_again=False)
        required = [panel for panel in attempt.panels if not panel.is_optional]
        if not attempt.is_first and not self._has_waited(attempt, now_ms):
            return []
        optional = [panel for panel in attempt.panels if panel.is_optional]
        if not required or not all(panel.has_quorum() for panel in required):
            return []
        waited = now_ms >= attempt.ask_again_at_ms
        if not all(p.has_quorum() or (waited and p.is_silent()) for p in optional):
            return []
        self._end(attempt, ClaimDecision.OWNED)
        return []

    @staticmethod
    def _has_waited(attempt: _Attempt, now_ms: int) -> bool:
        """Return whether a denial that is on its way would have come by now."""
        if all(not panel.unanswered() for panel in attempt.panels):
            return True
        return now_ms >= attempt.silent_at_ms

    def _on_denied(self, attempt: _Attempt, denials: list[InstanceId]) -> list[Effect]:
        holder = max(denials)
        if holder != NOBODY and self._goes_first(attempt.key, holder):
            # Both hold some grants: the one that goes first asks again, the other
            # one withdraws.
            return []
        return self._give_up(attempt, ClaimDecision.HELD, holder)

    def _goes_first(self, key: RequestKey, other: InstanceId) -> bool:
        self_id = self._context.fleet.self_id
        return (hash_key(f"{key}:{self_id}"), self_id) < (
            hash_key(f"{key}:{other}"),
            other,
        )

    def _give_up(
        self,
        attempt: _Attempt,
        decision: ClaimDecision,
        holder: InstanceId = NOBODY,
    ) -> list[Effect]:
        self._end(attempt, decision, holder)
        return self._withdraw(attempt)

    def _is_home_silent(self, attempt: _Attempt, now_ms: int) -> bool:
        """Return whether no keeper of a first transmission can be reached."""
        if not attempt.is_first or now_ms < attempt.silent_at_ms:
            return False
        return all(panel.is_silent() for panel in attempt.panels)

    def _next_home(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        config = self._context.config
        for panel in attempt.panels:
            if panel.data_centre != self._context.fleet.self_data_centre:
                until_ms = now_ms + config.unresponsive_ms
                self._silent_until_ms[panel.data_centre] = until_ms
        attempt.silent_at_ms = now_ms + config.claim_silence_ms
        return self._ask_anew(attempt, now_ms)

    def _end(
        self,
        attempt: _Attempt,
        decision: ClaimDecision,
        holder: InstanceId = NOBODY,
    ) -> None:
        del self._attempts[attempt.key]
        self._decided.append(ClaimResult(attempt.key, decision, holder))

    def _withdraw(self, attempt: _Attempt) -> list[Effect]:
        withdraw = Withdraw(attempt.key, attempt.epoch)
        self_id = self._context.fleet.self_id
        self._keeper.withdraw(self_id, withdraw)
        return [
            SendToPeer(name, withdraw)
            for panel in attempt.asked()
            for name in panel.keepers
            if name != self_id
        ]
