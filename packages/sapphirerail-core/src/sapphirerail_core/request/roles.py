"""The exclusive role of a server's admission owner: taking it and giving it up."""

from dataclasses import dataclass, field
from enum import Enum

from .. import rendezvous
from ..effects import Effect, SendToPeer
from ..types import InstanceId, InstanceState, ServerId
from .context import Context
from .keeper import NOBODY
from .messages import LoadNotice, RoleClaim, RoleRelease
from .routes import Routes

__all__ = ["Role", "RoleState", "RoleTable"]


class RoleState(Enum):
    """What this instance is to a server."""

    ACQUIRING = "acquiring"
    ACTIVE = "active"
    RELEASED = "released"


@dataclass(slots=True)
class Role:
    """Relation of this instance to one server.

    Parameters
    ----------
    state : RoleState
        Whether it may send to the server.
    holder : InstanceId
        Who took the role, once released.
    unanswered : set of InstanceId
        Possible holders that have not given the role up yet.
    answered : dict of InstanceId to RoleRelease
        What the others said when they gave it up.
    n_told : int
        Requests in flight that the new holder was told of last.
    """

    state: RoleState
    since_ms: int
    holder: InstanceId = NOBODY
    unanswered: set[InstanceId] = field(default_factory=set)
    answered: dict[InstanceId, RoleRelease] = field(default_factory=dict)
    ask_again_at_ms: int = 0
    n_told: int = 0


class RoleTable:
    """Takes roles on demand, one holder at a time.

    A role is taken when a request for its server arrives. All who may have held it
    are asked first; those who are dead are waited for until their lease has lapsed.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    routes : Routes
        Who is in line for a server.
    started_at_ms : int or None
        When this instance started, if that is known yet.
    """

    def __init__(
        self, context: Context, routes: Routes, started_at_ms: int | None
    ) -> None:
        self._context = context
        self._routes = routes
        self._started_at_ms = started_at_ms
        self._roles: dict[ServerId, Role] = {}
        self._lost: dict[InstanceId, int] = {}
        self._notices: dict[ServerId, LoadNotice] = {}

    def start(self, now_ms: int) -> None:
        """Take the present for the start, unless the start is known."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms

    def role(self, server: ServerId) -> Role | None:
        """Return the relation to a server, if there is one."""
        return self._roles.get(server)

    def is_active(self, server: ServerId, now_ms: int) -> bool:
        """Return whether this instance may send to a server now."""
        role = self._roles.get(server)
        if role is None or role.state is not RoleState.ACTIVE:
            return False
        return self._context.fleet.holds_lease(now_ms)

    def holder_of(self, server: ServerId, now_ms: int) -> InstanceId | None:
        """Return whom a request for a server goes to: a known holder, or the owner."""
        role = self._roles.get(server)
        if role is not None and role.state is RoleState.RELEASED:
            if not self._has_lapsed(role.holder, now_ms):
                return role.holder
        if role is not None and role.state is RoleState.ACTIVE:
            return self._context.fleet.self_id
        return self._owner_of(server, now_ms)

    def take(self, server: ServerId, now_ms: int) -> list[Effect]:
        """Begin to take the role of a server, unless it is held or being taken."""
        role = self._roles.get(server)
        if role is not None and role.state is not RoleState.RELEASED:
            return []
        if not self._context.fleet.holds_lease(now_ms):
            return []
        former = role.holder if role is not None else NOBODY
        role = Role(RoleState.ACQUIRING, now_ms)
        role.unanswered = self._possible_holders(server)
        if former != NOBODY:
            role.unanswered.add(former)
        self._roles[server] = role
        return self._ask(server, role, now_ms)

    def on_claim(self, sender: InstanceId, server: ServerId, now_ms: int) -> bool:
        """Decide on a role claim; return whether this instance keeps the role."""
        role = self._roles.get(server)
        if role is not None and role.state is not RoleState.RELEASED:
            if self._outranks(sender, server) and self._may_keep(now_ms):
                return True
        if role is not None:
            role.state = RoleState.RELEASED
            role.holder = sender
            role.since_ms = now_ms
            role.n_told = -1
        return False

    def release(self, server: ServerId, holder: InstanceId, now_ms: int) -> None:
        """Remember who took over a server that still runs requests from here."""
        role = Role(RoleState.RELEASED, now_ms, holder=holder, n_told=-1)
        self._roles.setdefault(server, role)

    def other_owner(self, server: ServerId, asker: InstanceId) -> InstanceId:
        """Return who else may hold a role, in this instance's opinion."""
        self_id = self._context.fleet.self_id
        role = self._roles.get(server)
        if role is not None and role.state is RoleState.RELEASED:
            if role.holder not in (asker, self_id):
                return role.holder
        for name in self._routes.in_line(server):
            if name != asker:
                return NOBODY if name == self_id else name
        return NOBODY

    def on_release(self, sender: InstanceId, release: RoleRelease) -> None:
        """Take in an answer to a role claim."""
        role = self._roles.get(release.server)
        if role is None or role.state is not RoleState.ACQUIRING:
            return
        if release.owner == sender:
            role.state = RoleState.RELEASED
            role.holder = sender
            return
        other = release.owner
        known = role.answered.keys() | {NOBODY, self._context.fleet.self_id}
        if other not in known:
            if self._context.fleet.data_centre(other) is None:
                # The sender knows an instance that this one has yet to hear of.
                return
            role.unanswered.add(other)
        role.unanswered.discard(sender)
        role.answered[sender] = release

    def on_lost(self, instance: InstanceId, now_ms: int) -> None:
        """Remember a dead or left instance as a possible holder for a while."""
        self._lost[instance] = now_ms

    def on_back(self, instance: InstanceId) -> None:
        """Take in that an instance is alive again."""
        self._lost.pop(instance, None)

    def suspend(self) -> None:
        """Give all held roles up: the lease lapsed, others may have taken them."""
        for state in (RoleState.ACTIVE, RoleState.ACQUIRING):
            for server in self.servers(state):
                del self._roles[server]

    def drop(self, server: ServerId) -> None:
        """Forget a server that has left."""
        self._roles.pop(server, None)

    def servers(self, state: RoleState) -> list[ServerId]:
        """Return the servers whose role is in a state."""
        return [name for name, role in self._roles.items() if role.state is state]

    def tick(self, now_ms: int) -> tuple[list[Effect], list[ServerId]]:
        """Ask again, and return the servers whose role is now held."""
        effects: list[Effect] = []
        gained: list[ServerId] = []
        for server in self.servers(RoleState.ACQUIRING):
            role = self._roles[server]
            if self._is_free(server, role, now_ms):
                role.state = RoleState.ACTIVE
                role.since_ms = now_ms
                gained.append(server)
            elif now_ms >= role.ask_again_at_ms:
                effects += self._ask(server, role, now_ms)
        memory_ms = self._context.config.role_memory_ms
        for name, lost_at_ms in list(self._lost.items()):
            if now_ms - lost_at_ms > memory_ms:
                del self._lost[name]
        return effects, gained

    def lost_holders(self, server: ServerId) -> list[InstanceId]:
        """Return the lost instances that may have sent requests to a server."""
        role = self._roles.get(server)
        answered = role.answered if role is not None else {}
        return [
            name
            for name in self._lost
            if name not in answered and self._may_have_held(name, server)
        ]

    def on_notice(self, notice: LoadNotice) -> None:
        """Remember the limit that the owner had reached."""
        self._notices[notice.server] = notice

    def noticed_limit(self, server: ServerId) -> int:
        """Return the limit that the owner told last; 0 if it told none."""
        notice = self._notices.get(server)
        return notice.limit if notice is not None else 0

    def notice(self, server: ServerId, limit: int) -> list[Effect]:
        """Tell the limit of a server to the instance that is next in line."""
        for name in self._routes.in_line(server):
            if name != self._context.fleet.self_id:
                return [SendToPeer(name, LoadNotice(server, limit))]
        return []

    def _owner_of(self, server: ServerId, now_ms: int) -> InstanceId | None:
        """Return the owner, or who is next while this instance may not claim yet."""
        in_line = self._routes.in_line(server)
        if not in_line:
            return None
        self_id = self._context.fleet.self_id
        if in_line[0] == self_id and self._is_young(now_ms):
            return in_line[:2][-1]
        return in_line[0]

    def _is_young(self, now_ms: int) -> bool:
        if self._started_at_ms is None:
            return True
        return now_ms < self._started_at_ms + self._context.config.view_settle_ms

    def _possible_holders(self, server: ServerId) -> set[InstanceId]:
        n_witnesses = self._context.config.n_role_witnesses
        self_id = self._context.fleet.self_id
        others = [name for name in self._routes.in_line(server) if name != self_id]
        return set(others[:n_witnesses]) | set(self.lost_holders(server))

    def _ask(self, server: ServerId, role: Role, now_ms: int) -> list[Effect]:
        role.ask_again_at_ms = now_ms + self._context.config.role_resend_ms
        return [
            SendToPeer(name, RoleClaim((server,)))
            for name in sorted(role.unanswered)
            if not self._has_lapsed(name, now_ms)
        ]

    def _is_free(self, server: ServerId, role: Role, now_ms: int) -> bool:
        fleet = self._context.fleet
        if not fleet.holds_lease(now_ms):
            return False
        if not all(self._has_lapsed(name, now_ms) for name in role.unanswered):
            return False
        if role.answered:
            return True
        if self._started_at_ms is None:
            return False
        return now_ms >= self._started_at_ms + self._context.config.role_settle_ms

    def _has_lapsed(self, instance: InstanceId, now_ms: int) -> bool:
        fleet = self._context.fleet
        state = fleet.state(instance)
        if state is InstanceState.LEFT:
            # It answers while it drains; after that it has nothing in flight.
            left_at_ms = self._lost.get(instance, now_ms)
            return now_ms >= left_at_ms + self._context.config.role_settle_ms
        if state is not InstanceState.DEAD:
            return False
        return fleet.role_valid_from_ms(instance) <= now_ms

    def _may_keep(self, now_ms: int) -> bool:
        if self._context.is_draining:
            return False
        return self._context.fleet.holds_lease(now_ms)

    def _outranks(self, other: InstanceId, server: ServerId) -> bool:
        self_id = self._context.fleet.self_id
        key = rendezvous.hash_key(server)
        return rendezvous.rank(key, [self_id, other])[0] == self_id

    def _may_have_held(self, lost: InstanceId, server: ServerId) -> bool:
        planned = self._context.plan.servers.get(server)
        if planned is None:
            return False
        place = self._context.fleet.data_centre(lost)
        if place is not None and place != planned.data_centre:
            return False
        return not self._outranks(lost, server)
