"""Obtains the sole right to run a request from its keepers."""

from dataclasses import dataclass
from enum import Enum

from ..effects import Effect, SendToPeer
from ..rendezvous import hash_key
from ..types import DataCentreId, InstanceId
from .context import Context
from .keeper import NOBODY, ClaimKeeper
from .keys import RequestKey, claim_data_centres
from .messages import Claim, Grant, Withdraw
from .panel import Panel, quorum_first, quorum_retransmission

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
    fail_at_ms: int
    n_homes_passed: int = 0


class Claimant:
    """Collects the grants of claims until each is decided.

    Parameters
    ----------
    context : Context
        Plan, fleet and settings.
    keeper : ClaimKeeper
        This instance's own memory, asked without a message.
    """

    def __init__(self, context: Context, keeper: ClaimKeeper) -> None:
        self._context = context
        self._keeper = keeper
        self._attempts: dict[RequestKey, _Attempt] = {}
        self._decided: list[ClaimResult] = []
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
        """Begin to claim a request; the result comes from `take_decided`."""
        config = self._context.config
        attempt = _Attempt(
            key=key,
            epoch=self._context.random_state.getrandbits(31),
            is_first=is_first,
            deadline_at_ms=deadline_at_ms,
            panels=[],
            ask_again_at_ms=now_ms + config.claim_resend_ms,
            fail_at_ms=now_ms + config.claim_timeout_ms,
        )
        attempt.panels = self._panels(attempt, now_ms)
        self._attempts[key] = attempt
        return self._ask(attempt, now_ms, is_again=False)

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
            if now_ms >= attempt.fail_at_ms:
                effects += self._time_out(attempt, now_ms)
            elif now_ms >= attempt.ask_again_at_ms:
                attempt.ask_again_at_ms = now_ms + self._context.config.claim_resend_ms
                effects += self._ask(attempt, now_ms, is_again=True)
        return effects

    def take_decided(self) -> list[ClaimResult]:
        """Return the claims that were decided since the last call."""
        decided, self._decided = self._decided, []
        return decided

    def _panels(self, attempt: _Attempt, now_ms: int) -> list[Panel]:
        places = claim_data_centres(self._context.plan, attempt.key)
        former = self._former if now_ms < self._former_until_ms else []
        former = [place for place in former if place not in places]
        if not attempt.is_first:
            return [self._panel(attempt, place) for place in places + former]
        home = self._home(places, attempt.n_homes_passed)
        panels = [self._panel(attempt, home)] if home is not None else []
        for place in former:
            panel = self._panel(attempt, place)
            panel.is_optional = True
            panels.append(panel)
        return panels

    def _home(self, places: list[DataCentreId], n_passed: int) -> DataCentreId | None:
        fleet = self._context.fleet
        live = [place for place in places if fleet.live(place)]
        if fleet.self_data_centre not in live:
            live.append(fleet.self_data_centre)
        return live[n_passed] if n_passed < len(live) else None

    def _panel(self, attempt: _Attempt, place: DataCentreId) -> Panel:
        config = self._context.config
        n_keepers = config.n_keepers
        if not attempt.is_first:
            n_keepers = config.n_keepers_retransmission
        keepers = self._context.fleet.owners(attempt.key, n_keepers, place)
        n_keepers = len(keepers)
        quorum = quorum_first(n_keepers)
        if not attempt.is_first:
            quorum = quorum_retransmission(n_keepers)
        return Panel(place, keepers, quorum)

    def _ask(self, attempt: _Attempt, now_ms: int, *, is_again: bool) -> list[Effect]:
        effects: list[Effect] = []
        remaining_ms = max(0, attempt.deadline_at_ms - now_ms)
        claim = Claim(attempt.key, remaining_ms, attempt.epoch)
        for panel in attempt.panels:
            wanted = panel.unanswered()
            if not is_again:
                wanted = wanted[: panel.quorum]
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
            if sender not in panel.keepers:
                continue
            if grant.holder == self._context.fleet.self_id:
                panel.grants.add(sender)
                panel.denials.pop(sender, None)
            else:
                panel.denials[sender] = grant.holder

    def _decide(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        if attempt.key not in self._attempts:
            return []
        denials = [d for panel in attempt.panels for d in panel.denials.values()]
        if denials:
            return self._on_denied(attempt, denials)
        required = [panel for panel in attempt.panels if not panel.is_optional]
        optional = [panel for panel in attempt.panels if panel.is_optional]
        if not required or not all(panel.has_quorum() for panel in required):
            return []
        waited = now_ms >= attempt.ask_again_at_ms
        if not all(p.has_quorum() or (waited and p.is_silent()) for p in optional):
            return []
        self._end(attempt, ClaimDecision.OWNED)
        return []

    def _on_denied(self, attempt: _Attempt, denials: list[InstanceId]) -> list[Effect]:
        holder = max(denials)
        if holder != NOBODY and self._goes_first(attempt.key, holder):
            # Both hold some grants: the one that goes first asks again, the other
            # one withdraws.
            return []
        self._end(attempt, ClaimDecision.HELD, holder)
        return self._withdraw(attempt)

    def _goes_first(self, key: RequestKey, other: InstanceId) -> bool:
        self_id = self._context.fleet.self_id
        return (hash_key(f"{key}:{self_id}"), self_id) < (
            hash_key(f"{key}:{other}"),
            other,
        )

    def _time_out(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        denials = [d for panel in attempt.panels for d in panel.denials.values()]
        if denials:
            self._end(attempt, ClaimDecision.HELD, max(denials))
            return self._withdraw(attempt)
        config = self._context.config
        silent = all(panel.is_silent() for panel in attempt.panels)
        passed_ms = now_ms + config.claim_timeout_ms
        if attempt.is_first and silent and passed_ms < attempt.deadline_at_ms:
            return self._next_home(attempt, now_ms)
        self._end(attempt, ClaimDecision.FAILED)
        return self._withdraw(attempt)

    def _next_home(self, attempt: _Attempt, now_ms: int) -> list[Effect]:
        attempt.n_homes_passed += 1
        attempt.panels = self._panels(attempt, now_ms)
        if not attempt.panels:
            self._end(attempt, ClaimDecision.FAILED)
            return []
        attempt.ask_again_at_ms = now_ms + self._context.config.claim_resend_ms
        attempt.fail_at_ms = now_ms + self._context.config.claim_timeout_ms
        return self._ask(attempt, now_ms, is_again=False)

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
            for panel in attempt.panels
            for name in panel.keepers
            if name != self_id
        ]
