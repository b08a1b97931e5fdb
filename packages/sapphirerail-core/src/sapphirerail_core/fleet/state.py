"""State shared by the components of the membership."""

import random
from collections.abc import Callable, Sequence

from ..effects import Effect
from ..journal import Journal, Reason
from ..types import InstanceId, InstanceState, Revision
from .arbiter import Arbiter
from .budget import TickBudget
from .config import FleetConfig
from .detector import Detector
from .electorate import Electorate
from .helper import ProbeHelper
from .lease import PeerLease
from .listing import ListedInstance
from .member import Member
from .messages import Accused, Alive, Heartbeat, Left, MemberRecord, Rumour
from .page_desk import PageDesk
from .reach import Reach
from .roster import Roster
from .rumours import RumourQueue
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
        self.reach = Reach(own.data_centre, config.unreachable_after_ms)
        self.roster = Roster(config, own, now_ms, self._on_member_state)
        self.news = RumourQueue(self.roster, config.rumour_tick_bytes)
        self.detector = Detector(config, self.roster, random_state)
        self.helper = ProbeHelper(config, own.instance)
        self.budget = TickBudget(config.answer_tick_bytes)
        self.arbiter = Arbiter(config, self.roster, self.budget, now_ms)
        self.votes = Votes(config, self.roster)
        self.electorate = Electorate(config, self.roster, self.votes)
        self.lease = PeerLease(config, now_ms)
        self.sync = MemberSync(config, self.roster, random_state, now_ms)
        self.desk = PageDesk(self.sync, self.budget)

    def is_local(self, instance: InstanceId) -> bool:
        """Return whether an instance is known to be in the local data centre."""
        member = self.roster.get(instance)
        return member is not None and member.data_centre == self.data_centre

    def state(self, instance: InstanceId) -> InstanceState:
        """Return the detected state of an instance; DEAD if it is unknown."""
        member = self.roster.get(instance)
        if member is None:
            return InstanceState.DEAD
        if not member.gone and self.reach.is_unreachable(member.data_centre):
            return InstanceState.UNREACHABLE
        return member.state

    def note_joined(self, now_ms: int) -> None:
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
            heard=self.reach.ages(now_ms) if self.is_local(target) else {},
            rumours=self.news.take(self.config.n_rumours, now_ms),
        )

    def take_rumours(self, rumours: Sequence[Rumour], now_ms: int) -> None:
        """Apply updates and queue the new ones for dissemination."""
        for rumour in rumours:
            if self.refutes(rumour, now_ms):
                self.news.add(Alive(self.roster.own.record))
            elif self.roster.apply(rumour, now_ms):
                self.news.add(rumour)

    def refutes(self, rumour: Rumour, now_ms: int) -> bool:
        """Raise this instance's incarnation if an update about it is wrong."""
        incarnation = self._wrong_incarnation(rumour)
        if incarnation is None or self.leaving:
            return False
        self.roster.refute(incarnation)
        self.journal.note(now_ms, Reason.INSTANCE_REFUTED)
        return True

    def _wrong_incarnation(self, rumour: Rumour) -> int | None:
        own = self.roster.own
        match rumour:
            case Alive(record=record):
                instance, incarnation = record.instance, record.incarnation
                if record == own.record:
                    return None
            case Accused() | Left():
                instance, incarnation = rumour.instance, rumour.incarnation
        if instance != own.instance or incarnation < own.incarnation:
            return None
        return incarnation

    def report(self, instance: InstanceId, now_ms: int) -> None:
        """Record an instance's state in the decision journal and call the callbacks."""
        state = self.state(instance)
        self.journal.note(now_ms, _REASONS[state], detail=instance)
        for callback in self.on_state_change:
            self._callback_effects += callback(instance, state, now_ms)

    def take_callback_effects(self) -> list[Effect]:
        """Return and clear the effects of the callbacks since the last call."""
        effects = self._callback_effects
        self._callback_effects = []
        return effects

    def _on_member_state(self, member: Member, now_ms: int) -> None:
        if member.instance != self.self_id:
            self.report(member.instance, now_ms)
