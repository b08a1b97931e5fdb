"""State shared by the components of the membership."""

import random
from collections.abc import Callable, Sequence

from ..effects import Effect
from ..journal import Journal, Reason
from ..types import InstanceId, InstanceState, Revision
from .arbiter import Arbiter
from .budget import TickBudget
from .config import FleetConfig
from .detector import FailureDetector
from .dissemination import DisseminationQueue
from .lease import PeerLease
from .listing import ListedInstance
from .member import Member
from .messages import Alive, Heartbeat, Left, MemberRecord, MemberUpdate, Suspected
from .page_queue import PageQueue
from .probe_helper import ProbeHelper
from .quorum_members import QuorumMembers
from .reachability import Reachability
from .roster import Roster
from .sync import MemberSync
from .votes import Votes

__all__ = ["FleetState", "StateChangeCallback"]

StateChangeCallback = Callable[[InstanceId, InstanceState, int], list[Effect]]

_REASONS = {
    InstanceState.ALIVE: Reason.INSTANCE_ALIVE,
    InstanceState.SUSPECT: Reason.INSTANCE_SUSPECT,
    InstanceState.UNREACHABLE: Reason.INSTANCE_UNREACHABLE,
    InstanceState.DEAD: Reason.INSTANCE_DEAD,
    InstanceState.LEFT: Reason.INSTANCE_LEFT,
}


class FleetState:
    """Owns the components of one instance's membership and reports state changes.

    Parameters
    ----------
    config : FleetConfig
        Timeouts and limits.
    own : MemberRecord
        Record of this instance.
    random_state : random.Random
        Selects helpers and targets.
    journal : Journal
        Records the decisions.
    now_ms : int
        Start time.
    """

    def __init__(
        self,
        config: FleetConfig,
        own: MemberRecord,
        random_state: random.Random,
        journal: Journal,
        now_ms: int,
    ) -> None:
        self.config = config
        self.random_state = random_state
        self.journal = journal
        self.self_id = own.instance
        self.data_centre = own.data_centre
        self.started_ms = now_ms
        self.joined_ms: int | None = None
        self.leaving = False
        self.revision = Revision(0)
        self.sequence = random_state.randrange(1, 1 << 30)
        self.n_remote_sent = random_state.randrange(1 << 16)
        self.echoes: dict[InstanceId, int] = {}
        self.listed: dict[InstanceId, ListedInstance] = {}
        self.requests: list[Effect] = []
        self.on_state_change: list[StateChangeCallback] = []
        self._callback_effects: list[Effect] = []
        self.reachability = Reachability(own.data_centre, config.unreachable_after_ms)
        self.roster = Roster(config, own, now_ms, self._on_member_state)
        self.dissemination = DisseminationQueue(self.roster, config.update_tick_bytes)
        self.detector = FailureDetector(config, self.roster, random_state)
        self.probe_helper = ProbeHelper(config, own.instance)
        self.budget = TickBudget(config.answer_tick_bytes)
        self.arbiter = Arbiter(config, self.roster, self.budget, now_ms)
        self.votes = Votes(config, self.roster)
        self.quorum_members = QuorumMembers(config, self.roster, self.votes)
        self.lease = PeerLease(config, now_ms)
        self.sync = MemberSync(config, self.roster, random_state, now_ms)
        self.page_queue = PageQueue(self.sync, self.budget)

    def is_local(self, instance: InstanceId) -> bool:
        """Return whether an instance is known to be in the local data centre."""
        member = self.roster.get(instance)
        return member is not None and member.data_centre == self.data_centre

    def state(self, instance: InstanceId) -> InstanceState:
        """Return the detected state of an instance; DEAD if it is unknown."""
        member = self.roster.get(instance)
        if member is None:
            return InstanceState.DEAD
        if not member.gone and self.reachability.is_unreachable(member.data_centre):
            return InstanceState.UNREACHABLE
        return member.state

    def record_joined(self, now_ms: int) -> None:
        """Record that the members of the local data centre are known."""
        if self.joined_ms is None:
            self.joined_ms = now_ms

    def heartbeat(self, target: InstanceId, sequence: int, now_ms: int) -> Heartbeat:
        """Return a heartbeat for a target; sequence 0 requests no answer."""
        return Heartbeat(
            incarnation=self.roster.own.incarnation,
            sequence=sequence,
            echo=self.echoes.get(target, 0),
            revision=self.revision,
            digest=self.roster.digest,
            contact_ages_ms=self.reachability.contact_ages(now_ms)
            if self.is_local(target)
            else {},
            updates=self.dissemination.next_updates(self.config.n_updates, now_ms),
        )

    def apply_updates(self, updates: Sequence[MemberUpdate], now_ms: int) -> None:
        """Apply updates and queue the new ones for dissemination."""
        for update in updates:
            if self.refute_if_wrong(update, now_ms):
                self.dissemination.add(Alive(self.roster.own.record))
            elif self.roster.apply(update, now_ms):
                self.dissemination.add(update)

    def refute_if_wrong(self, update: MemberUpdate, now_ms: int) -> bool:
        """Raise this instance's incarnation if an update about it is wrong."""
        incarnation = self._wrong_incarnation(update)
        if incarnation is None or self.leaving:
            return False
        self.roster.refute(incarnation)
        self.journal.record(now_ms, Reason.INSTANCE_REFUTED)
        return True

    def _wrong_incarnation(self, update: MemberUpdate) -> int | None:
        own = self.roster.own
        match update:
            case Alive(record=record):
                instance, incarnation = record.instance, record.incarnation
                if record == own.record:
                    return None
            case Suspected() | Left():
                instance, incarnation = update.instance, update.incarnation
        if instance != own.instance or incarnation < own.incarnation:
            return None
        return incarnation

    def report_state(self, instance: InstanceId, now_ms: int) -> None:
        """Record an instance's state in the decision journal and call the callbacks."""
        state = self.state(instance)
        self.journal.record(now_ms, _REASONS[state], detail=instance)
        for callback in self.on_state_change:
            self._callback_effects += callback(instance, state, now_ms)

    def pop_callback_effects(self) -> list[Effect]:
        """Return and clear the effects of the callbacks since the last call."""
        effects = self._callback_effects
        self._callback_effects = []
        return effects

    def _on_member_state(self, member: Member, now_ms: int) -> None:
        if member.instance != self.self_id:
            self.report_state(member.instance, now_ms)
