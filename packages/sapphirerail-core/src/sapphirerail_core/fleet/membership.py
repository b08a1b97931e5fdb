"""Membership as seen by one instance: heartbeats, suspicion and the peer lease."""

import random
from collections.abc import Iterable, Mapping, Sequence

from ..effects import Effect, Message
from ..journal import Journal, Reason
from ..types import DataCentreId, InstanceId, InstanceState, Revision
from . import rounds
from .config import FleetConfig
from .handlers import handle
from .listing import ListedInstance, ListedState
from .member import Member
from .messages import MemberRecord
from .owners import OwnerTable, top_owners
from .state import FleetState, StateChangeCallback
from .status import FleetStatus, MemberStatus

__all__ = ["Membership", "StateChangeCallback"]

ROLE_NEVER_MS = 1 << 62
"""Takeover time of a live instance's roles: never."""


class Membership:
    """Implements `FleetView` with heartbeats among a bounded set of neighbours.

    Parameters
    ----------
    config : FleetConfig
        Timeouts and limits, equal on all instances.
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
        now_ms: int = 0,
    ) -> None:
        self._fleet = FleetState(config, own, random_state, journal, now_ms)
        self.on_state_change = self._fleet.on_state_change
        self._owner_tables: dict[DataCentreId, OwnerTable] = {}
        self._owner_sets: dict[DataCentreId, tuple[InstanceId, ...]] = {}
        self._tick_ms: int | None = None
        self._round_ms = now_ms
        self._rejoin_ms = now_ms
        self._lease_was_held = False

    @classmethod
    def from_config(
        cls,
        config: FleetConfig,
        self_id: InstanceId,
        self_data_centre: DataCentreId,
        incarnation: int,
        random_state: random.Random,
        journal: Journal,
        *,
        peer_address: str = "",
        api_address: str = "",
        now_ms: int = 0,
    ) -> "Membership":
        """Return the membership of an instance that starts now.

        Parameters
        ----------
        config : FleetConfig
            Timeouts and limits, equal on all instances.
        self_id : InstanceId
            Name of this instance.
        self_data_centre : DataCentreId
            Data centre of this instance.
        incarnation : int
            Higher than that of any earlier process of this name, such as the
            start time.
        random_state : random.Random
            Selects helpers and targets.
        journal : Journal
            Records the decisions.
        peer_address, api_address : str
            ``address:port`` that is published to the other instances.
        now_ms : int
            Start time.
        """
        own = MemberRecord(
            self_id, self_data_centre, peer_address, api_address, incarnation
        )
        return cls(config, own, random_state, journal, now_ms)

    # Read access

    @property
    def self_id(self) -> InstanceId:
        """Name of this instance."""
        return self._fleet.roster.self_id

    @property
    def self_data_centre(self) -> DataCentreId:
        """Data centre of this instance."""
        return self._fleet.roster.own.data_centre

    def live(self, data_centre: DataCentreId | None = None) -> tuple[InstanceId, ...]:
        """Return the reachable instances that are alive or suspected, sorted."""
        if data_centre is None:
            names = [n for d in self._fleet.roster.data_centres() for n in self.live(d)]
            return tuple(sorted(names))
        if self._fleet.reachability.is_unreachable(data_centre):
            return ()
        return self._fleet.roster.live(data_centre)

    def state(self, instance: InstanceId) -> InstanceState:
        """Return the detected state of an instance; DEAD if it is unknown."""
        return self._fleet.state(instance)

    def data_centre(self, instance: InstanceId) -> DataCentreId | None:
        """Return the data centre of an instance, or None if it is unknown."""
        member = self._fleet.roster.get(instance)
        return None if member is None else member.data_centre

    def owners(
        self, key: int, n_owners: int, data_centre: DataCentreId
    ) -> tuple[InstanceId, ...]:
        """Return the owners of a key among the live instances of a data centre."""
        live = self.live(data_centre)
        table = self._owner_tables.get(data_centre)
        if table is None:
            table = OwnerTable(live)
            self._owner_tables[data_centre] = table
        elif self._owner_sets[data_centre] is not live:
            table.update(live)
        self._owner_sets[data_centre] = live
        return table.owners(key, n_owners)

    def top_owners(
        self, key: int, instances: Iterable[InstanceId], n_first: int
    ) -> tuple[InstanceId, ...]:
        """Return the given instances that rank first as owners of a key."""
        return top_owners(key, instances, n_first)

    def holds_lease(self, now_ms: int) -> bool:
        """Return whether this instance may make exclusive decisions now."""
        return not self._fleet.leaving and self._fleet.lease.holds(now_ms)

    def role_valid_from_ms(self, instance: InstanceId) -> int:
        """Return the time from which roles of a failed instance may be used."""
        expiry_ms = self._fleet.config.lease_ms + self._fleet.config.lease_margin_ms
        member = self._fleet.roster.get(instance)
        if member is None:
            return self._fleet.started_ms + expiry_ms
        if member.state is InstanceState.LEFT:
            return member.since_ms
        if member.state is InstanceState.DEAD:
            contact_ms = max(member.last_contact_ms(), self._fleet.started_ms)
            return self._roles_from_ms(member, contact_ms + expiry_ms)
        return ROLE_NEVER_MS

    def _roles_from_ms(self, member: Member, lease_expired_ms: int) -> int:
        if member.data_centre != self.self_data_centre:
            return lease_expired_ms
        mass_failure = self._fleet.quorum_members.mass_failure
        return mass_failure.roles_from_ms(member.since_ms, lease_expired_ms)

    def peer_address(self, instance: InstanceId) -> str | None:
        """Return an instance's address for messages, or None if it is unknown."""
        member = self._fleet.roster.get(instance)
        if member is not None:
            return member.record.peer_address
        listed = self._fleet.listed.get(instance)
        return None if listed is None else listed.peer_address

    def api_address(self, instance: InstanceId) -> str | None:
        """Return the HTTP address of an instance, or None if it is unknown."""
        member = self._fleet.roster.get(instance)
        if member is not None:
            return member.record.api_address
        listed = self._fleet.listed.get(instance)
        return None if listed is None else listed.api_address

    def set_revision(self, revision: Revision) -> None:
        """Set the plan revision in force, which heartbeats report to the others."""
        self._fleet.revision = revision
        self._fleet.roster.own.revision = revision

    def revisions(self) -> Mapping[InstanceId, Revision]:
        """Return the plan revision that each live instance last reported.

        With 19 instances, each one reports about once per second; with thousands,
        this instance receives direct reports from a sample only.
        """
        return {
            name: member.revision
            for name, member in self._fleet.roster.members.items()
            if not member.gone
        }

    def status(self, now_ms: int) -> FleetStatus:
        """Return the status for operators."""
        listed_ms = self._fleet.quorum_members.listed_ms
        return FleetStatus(
            instance=self.self_id,
            data_centre=self.self_data_centre,
            lease_held=self.holds_lease(now_ms),
            counted_lost=self._fleet.quorum_members.counted_failed(),
            unreachable=self._fleet.reachability.unreachable_for(now_ms),
            probing=self._fleet.detector.probing(),
            list_age_ms=None if listed_ms is None else now_ms - listed_ms,
            members=[
                self._member_status(self._fleet.roster.members[name], now_ms)
                for name in sorted(self._fleet.roster.members)
            ],
        )

    def _member_status(self, member: Member, now_ms: int) -> MemberStatus:
        return MemberStatus(
            instance=member.instance,
            data_centre=member.data_centre,
            state=self.state(member.instance),
            since_ms=now_ms - member.since_ms,
            incarnation=member.incarnation,
            revision=member.revision,
            suspected_by=sorted(member.suspected_by),
        )

    # Events

    def on_listing(
        self, entries: Sequence[ListedInstance], now_ms: int
    ) -> list[Effect]:
        """Apply the platform's list, which suggests instances to join.

        It never changes the state of a member.
        """
        fleet = self._fleet
        fleet.listed = {
            entry.instance: entry
            for entry in entries
            if entry.instance != self.self_id and entry.state is ListedState.LIVE
        }
        fleet.quorum_members.on_listing(entries, now_ms)
        return rounds.join_listed(fleet)

    def on_message(
        self, sender: InstanceId, message: Message, now_ms: int
    ) -> list[Effect]:
        """Handle a message from another instance."""
        fleet = self._fleet
        member = fleet.roster.get(sender)
        if member is not None and not member.gone:
            fleet.reachability.record_contact(member.data_centre, now_ms)
        effects = handle(message, fleet, sender, now_ms)
        return effects + fleet.pop_callback_effects()

    def tick(self, now_ms: int) -> list[Effect]:
        """Send due messages, and update failure detection and the lease."""
        fleet = self._fleet
        self._detect_pause(now_ms)
        fleet.dissemination.refill()
        fleet.budget.refill()
        effects: list[Effect] = []
        if now_ms - self._round_ms >= fleet.config.heartbeat_ms:
            self._round_ms = now_ms
            effects += rounds.heartbeats(fleet, now_ms)
        effects += self._detect_failures(now_ms)
        effects += fleet.probe_helper.tick(now_ms)
        self._update_reachability(now_ms)
        fleet.arbiter.tick(now_ms)
        effects += self._update_lease(now_ms)
        if now_ms - self._rejoin_ms >= fleet.config.rejoin_ms:
            self._rejoin_ms = now_ms
            self._remove_expired(now_ms)
            effects += rounds.rejoin(fleet, now_ms)
        effects += fleet.page_queue.tick(now_ms)
        effects += fleet.requests
        fleet.requests = []
        effects += rounds.disseminate(fleet, now_ms)
        return effects + fleet.pop_callback_effects()

    def leave(self, now_ms: int) -> list[Effect]:
        """Drop the lease and notify others that this instance stops."""
        self._fleet.leaving = True
        self._fleet.lease.drop(now_ms)
        return rounds.announce_leave(self._fleet)

    def _detect_pause(self, now_ms: int) -> None:
        fleet, last_ms = self._fleet, self._tick_ms
        self._tick_ms = now_ms
        if last_ms is None or now_ms - last_ms <= fleet.config.pause_ms:
            return
        fleet.lease.drop(now_ms)
        fleet.detector.reset_timers(now_ms)
        fleet.reachability.reset_timers(now_ms)
        fleet.arbiter.reset_timers(now_ms)
        detail = f"{now_ms - last_ms} ms"
        fleet.journal.record(now_ms, Reason.PAUSE_NOTICED, detail=detail)

    def _detect_failures(self, now_ms: int) -> list[Effect]:
        fleet = self._fleet
        effects = fleet.detector.tick(now_ms)
        for member in fleet.detector.unresponsive:
            effects += rounds.report_suspicion(fleet, member, now_ms)
        for name in list(fleet.roster.suspected):
            fleet.roster.reassess(fleet.roster.members[name], now_ms)
        return effects

    def _update_reachability(self, now_ms: int) -> None:
        fleet = self._fleet
        for data_centre in fleet.reachability.tick(fleet.roster.data_centres(), now_ms):
            for name in fleet.roster.live(data_centre):
                fleet.report_state(name, now_ms)

    def _update_lease(self, now_ms: int) -> list[Effect]:
        fleet = self._fleet
        effects = fleet.quorum_members.tick(now_ms)
        if fleet.joined_ms is None and self._is_alone(now_ms):
            fleet.record_joined(now_ms)
        witnesses = fleet.roster.neighbours(self.self_id)
        may_hold = fleet.joined_ms is not None and fleet.quorum_members.has_majority(
            now_ms
        )
        fleet.lease.renew(witnesses, may_hold, now_ms)
        held = self.holds_lease(now_ms)
        if held is not self._lease_was_held:
            self._lease_was_held = held
            reason = Reason.LEASE_HELD if held else Reason.LEASE_LOST
            fleet.journal.record(now_ms, reason)
        return effects

    def _is_alone(self, now_ms: int) -> bool:
        fleet = self._fleet
        if len(fleet.roster.live(self.self_data_centre)) > 1:
            return False
        if fleet.quorum_members.listed_ms is not None:
            return not fleet.quorum_members.counted_failed()
        return now_ms - fleet.started_ms > fleet.config.standalone_after_ms

    def _remove_expired(self, now_ms: int) -> None:
        fleet = self._fleet
        members = fleet.roster.members
        first_ms = now_ms - fleet.config.forget_after_ms
        fleet.roster.forget(
            [name for name in fleet.roster.gone if members[name].since_ms < first_ms]
        )
        fleet.echoes = {n: s for n, s in fleet.echoes.items() if n in members}
