"""The exclusive admission role of a server: acquisition and release."""

from dataclasses import dataclass, field
from enum import Enum

from .. import rendezvous
from ..effects import Effect, SendToPeer
from ..types import InstanceId, InstanceState, ServerId
from .claim_replica import NO_INSTANCE
from .context import Context
from .messages import LoadNotice, RoleClaim, RoleRelease
from .routes import Routes

__all__ = ["Role", "RoleState", "RoleTable"]


class RoleState(Enum):
    """State of this instance's admission role for a server."""

    ACQUIRING = "acquiring"
    ACTIVE = "active"
    RELEASED = "released"


@dataclass(slots=True)
class Role:
    """The admission role of this instance for one server.

    Parameters
    ----------
    state : RoleState
        Whether it may send to the server.
    holder : InstanceId
        New holder of the role, once released.
    unanswered : set of InstanceId
        Possible holders that have not released the role yet.
    answered : dict of InstanceId to RoleRelease
        Releases received from the others.
    n_reported : int
        Number of requests in flight last reported to the new holder; -1 if none was.
    """

    state: RoleState
    since_ms: int
    holder: InstanceId = NO_INSTANCE
    unanswered: set[InstanceId] = field(default_factory=set)
    answered: dict[InstanceId, RoleRelease] = field(default_factory=dict)
    ask_again_at_ms: int = 0
    n_reported: int = 0


class RoleTable:
    """Acquires roles on demand; each role has at most one holder at a time.

    A role is acquired when a request for its server arrives. All possible holders
    must release it first; a failed one counts as released when its lease has expired.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    routes : Routes
        Instances ranked for each server.
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
        self._departed_at_ms: dict[InstanceId, int] = {}
        self._notices: dict[ServerId, LoadNotice] = {}

    def start(self, now_ms: int) -> None:
        """Use the current time as the start time if that is not known yet."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms

    def role(self, server: ServerId) -> Role | None:
        """Return the role for a server, if there is one."""
        return self._roles.get(server)

    def is_active(self, server: ServerId, now_ms: int) -> bool:
        """Return whether this instance may currently send to a server."""
        role = self._roles.get(server)
        if role is None or role.state is not RoleState.ACTIVE:
            return False
        return self._context.fleet.holds_lease(now_ms)

    def holder_of(self, server: ServerId, now_ms: int) -> InstanceId | None:
        """Return the known role holder of a server, or else its owner."""
        role = self._roles.get(server)
        if role is not None and role.state is RoleState.RELEASED:
            if not self._no_longer_holds(role.holder, now_ms):
                return role.holder
        if role is not None and role.state is RoleState.ACTIVE:
            return self._context.fleet.self_id
        return self._owner_of(server, now_ms)

    def acquire(self, server: ServerId, now_ms: int) -> list[Effect]:
        """Begin to acquire the role of a server, unless held or being acquired."""
        role = self._roles.get(server)
        if role is not None and role.state is not RoleState.RELEASED:
            return []
        if not self._context.fleet.holds_lease(now_ms):
            return []
        previous = role.holder if role is not None else NO_INSTANCE
        role = Role(RoleState.ACQUIRING, now_ms)
        role.unanswered = self._possible_holders(server)
        if previous != NO_INSTANCE:
            role.unanswered.add(previous)
        self._roles[server] = role
        return self._send_claims(server, role, now_ms)

    def on_role_claim(self, sender: InstanceId, server: ServerId, now_ms: int) -> bool:
        """Handle a role claim, and return whether this instance keeps the role."""
        role = self._roles.get(server)
        if role is not None and role.state is not RoleState.RELEASED:
            if self._outranks(sender, server) and self._may_keep(now_ms):
                return True
        if role is not None:
            role.state = RoleState.RELEASED
            role.holder = sender
            role.since_ms = now_ms
            role.n_reported = -1
        return False

    def release(self, server: ServerId, holder: InstanceId, now_ms: int) -> None:
        """Record the new holder of a server that still runs local requests."""
        role = Role(RoleState.RELEASED, now_ms, holder=holder, n_reported=-1)
        self._roles.setdefault(server, role)

    def other_owner(self, server: ServerId, asker: InstanceId) -> InstanceId:
        """Return the role holder in this instance's view, other than the asker."""
        self_id = self._context.fleet.self_id
        role = self._roles.get(server)
        if role is not None and role.state is RoleState.RELEASED:
            if role.holder not in (asker, self_id):
                return role.holder
        for name in self._routes.ranked_owners(server):
            if name != asker:
                return NO_INSTANCE if name == self_id else name
        return NO_INSTANCE

    def on_release(self, sender: InstanceId, release: RoleRelease) -> None:
        """Handle a reply to a role claim."""
        role = self._roles.get(release.server)
        if role is None or role.state is not RoleState.ACQUIRING:
            return
        if release.owner == sender:
            role.state = RoleState.RELEASED
            role.holder = sender
            return
        other = release.owner
        known = role.answered.keys() | {NO_INSTANCE, self._context.fleet.self_id}
        if other not in known:
            if self._context.fleet.data_centre(other) is None:
                # The sender knows an instance that this one does not know yet.
                return
            role.unanswered.add(other)
        role.unanswered.discard(sender)
        role.answered[sender] = release

    def on_departed(self, instance: InstanceId, now_ms: int) -> None:
        """Record a failed or departed instance as a possible holder.

        It counts as one for `role_memory_ms`.
        """
        self._departed_at_ms[instance] = now_ms

    def on_rejoined(self, instance: InstanceId) -> None:
        """Handle the return of an instance."""
        self._departed_at_ms.pop(instance, None)

    def abandon_all(self) -> None:
        """Abandon all held roles, as others may have acquired them.

        They may do so once the lease of this instance has expired.
        """
        for state in (RoleState.ACTIVE, RoleState.ACQUIRING):
            for server in self.servers(state):
                del self._roles[server]

    def drop(self, server: ServerId) -> None:
        """Delete the role of a server that has left."""
        self._roles.pop(server, None)

    def servers(self, state: RoleState) -> list[ServerId]:
        """Return the servers whose role is in a given state."""
        return [name for name, role in self._roles.items() if role.state is state]

    def tick(self, now_ms: int) -> tuple[list[Effect], list[ServerId]]:
        """Repeat role claims, and return the servers whose role was acquired."""
        effects: list[Effect] = []
        gained: list[ServerId] = []
        for server in self.servers(RoleState.ACQUIRING):
            role = self._roles[server]
            if self._is_free(server, role, now_ms):
                role.state = RoleState.ACTIVE
                role.since_ms = now_ms
                gained.append(server)
            elif now_ms >= role.ask_again_at_ms:
                effects += self._send_claims(server, role, now_ms)
        retention_ms = self._context.config.role_memory_ms
        for name, departed_at_ms in list(self._departed_at_ms.items()):
            if now_ms - departed_at_ms > retention_ms:
                del self._departed_at_ms[name]
        return effects, gained

    def departed_holders(self, server: ServerId) -> list[InstanceId]:
        """Return the departed instances that may have sent requests to a server."""
        role = self._roles.get(server)
        answered = role.answered if role is not None else {}
        return [
            name
            for name in self._departed_at_ms
            if name not in answered and self._may_have_held(name, server)
        ]

    def on_load_notice(self, notice: LoadNotice) -> None:
        """Record the limit that the owner of a server reported."""
        self._notices[notice.server] = notice

    def reported_limit(self, server: ServerId) -> int:
        """Return the limit that the owner reported last; 0 if it reported none."""
        notice = self._notices.get(server)
        return notice.limit if notice is not None else 0

    def send_load_notice(self, server: ServerId, limit: int) -> list[Effect]:
        """Send the limit of a server to the next instance in rank."""
        for name in self._routes.ranked_owners(server):
            if name != self._context.fleet.self_id:
                return [SendToPeer(name, LoadNotice(server, limit))]
        return []

    def _owner_of(self, server: ServerId, now_ms: int) -> InstanceId | None:
        """Return the owner, or the next in rank if it may not make claims yet.

        This instance makes no claims until its view of the membership has settled.
        """
        ranked_owners = self._routes.ranked_owners(server)
        if not ranked_owners:
            return None
        self_id = self._context.fleet.self_id
        if ranked_owners[0] == self_id and self._is_view_unsettled(now_ms):
            return ranked_owners[:2][-1]
        return ranked_owners[0]

    def _is_view_unsettled(self, now_ms: int) -> bool:
        if self._started_at_ms is None:
            return True
        return now_ms < self._started_at_ms + self._context.config.view_settle_ms

    def _possible_holders(self, server: ServerId) -> set[InstanceId]:
        n_witnesses = self._context.config.n_role_witnesses
        self_id = self._context.fleet.self_id
        others = [
            name for name in self._routes.ranked_owners(server) if name != self_id
        ]
        return set(others[:n_witnesses]) | set(self.departed_holders(server))

    def _send_claims(self, server: ServerId, role: Role, now_ms: int) -> list[Effect]:
        role.ask_again_at_ms = now_ms + self._context.config.role_resend_ms
        return [
            SendToPeer(name, RoleClaim((server,)))
            for name in sorted(role.unanswered)
            if not self._no_longer_holds(name, now_ms)
        ]

    def _is_free(self, server: ServerId, role: Role, now_ms: int) -> bool:
        fleet = self._context.fleet
        if not fleet.holds_lease(now_ms):
            return False
        if not all(self._no_longer_holds(name, now_ms) for name in role.unanswered):
            return False
        if role.answered:
            return True
        if self._started_at_ms is None:
            return False
        return now_ms >= self._started_at_ms + self._context.config.role_settle_ms

    def _no_longer_holds(self, instance: InstanceId, now_ms: int) -> bool:
        fleet = self._context.fleet
        state = fleet.state(instance)
        if state is InstanceState.LEFT:
            # A leaving instance replies while it drains; after that it has no
            # requests in flight.
            left_at_ms = self._departed_at_ms.get(instance, now_ms)
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

    def _may_have_held(self, departed: InstanceId, server: ServerId) -> bool:
        planned = self._context.plan.servers.get(server)
        if planned is None:
            return False
        data_centre = self._context.fleet.data_centre(departed)
        if data_centre is not None and data_centre != planned.data_centre:
            return False
        return not self._outranks(departed, server)
