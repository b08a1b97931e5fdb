"""Member table: applies updates and suspicions to the states of the members."""

import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from itertools import islice

import msgspec

from .. import rendezvous
from ..types import DataCentreId, InstanceId, InstanceState
from .config import FleetConfig
from .member import Member
from .messages import Alive, Left, MemberRecord, MemberUpdate, Suspected
from .ring import Ring

__all__ = ["Roster"]

N_REPORTERS = 2
"""Instances that have to report a suspicion before a member counts as failed."""

MemberCallback = Callable[[Member, int], None]


class Roster:
    """Stores the members and determines their states.

    Parameters
    ----------
    config : FleetConfig
        Timeouts and limits.
    own : MemberRecord
        Record of this instance.
    now_ms : int
        Start time.
    on_state : callable
        Called with the time and each member whose state has changed.
    """

    def __init__(
        self,
        config: FleetConfig,
        own: MemberRecord,
        now_ms: int,
        on_state: MemberCallback,
    ) -> None:
        self._config = config
        self._on_state = on_state
        self.self_id = own.instance
        self.members: dict[InstanceId, Member] = {}
        self.suspected: set[InstanceId] = set()
        self.gone: set[InstanceId] = set()
        self.digest = 0
        self._live: dict[DataCentreId, tuple[InstanceId, ...]] = {}
        self._rings: dict[DataCentreId, Ring] = {}
        self._data_centres: list[DataCentreId] | None = None
        self._add(own, now_ms)

    @property
    def own(self) -> Member:
        """Member that represents this instance."""
        return self.members[self.self_id]

    def get(self, instance: InstanceId) -> Member | None:
        """Return a member, or None if it is unknown."""
        return self.members.get(instance)

    def live(self, data_centre: DataCentreId) -> tuple[InstanceId, ...]:
        """Return the members of a data centre that are not gone, sorted."""
        found = self._live.get(data_centre)
        if found is None:
            found = tuple(
                sorted(
                    member.instance
                    for member in self.members.values()
                    if member.data_centre == data_centre and not member.gone
                )
            )
            self._live[data_centre] = found
        return found

    def data_centres(self) -> list[DataCentreId]:
        """Return the data centres that have live members, sorted."""
        if self._data_centres is None:
            found = {m.data_centre for m in self.members.values() if not m.gone}
            self._data_centres = sorted(found)
        return self._data_centres

    def neighbours(self, instance: InstanceId) -> tuple[InstanceId, ...]:
        """Return the instances that monitor a member: its nearest ring neighbours."""
        member = self.members[instance]
        ring = self._rings.get(member.data_centre)
        if ring is None:
            ring = Ring(self.live(member.data_centre))
            self._rings[member.data_centre] = ring
        return ring.neighbours(instance, self._config.n_ring, self._is_suspected)

    def _is_suspected(self, instance: InstanceId) -> bool:
        return instance in self.suspected and instance != self.self_id

    @singledispatchmethod
    def apply(self, update: MemberUpdate, now_ms: int) -> bool:
        """Apply an update; return whether it changed the member."""
        raise TypeError(f"expected a membership update, got {update!r}")

    @apply.register
    def _(self, update: Alive, now_ms: int) -> bool:
        record = update.record
        member = self.members.get(record.instance)
        if member is None:
            self._add(record, now_ms)
            return True
        if record.incarnation <= member.incarnation or member is self.own:
            return False
        self._apply_incarnation(member, record, now_ms)
        return True

    @apply.register
    def _(self, update: Suspected, now_ms: int) -> bool:
        member = self.members.get(update.instance)
        if member is None or member is self.own:
            return False
        if update.incarnation != member.incarnation:
            return False
        if update.reporter in member.suspected_by:
            return False
        if member.gone:
            return self._add_late_reporter(member, update, now_ms)
        self.add_suspicion(
            member, update.reporter, now_ms - update.no_contact_ms, now_ms
        )
        return True

    @apply.register
    def _(self, update: Left, now_ms: int) -> bool:
        member = self.members.get(update.instance)
        if member is None or member is self.own:
            return False
        if update.incarnation < member.incarnation:
            return False
        if member.state is InstanceState.LEFT:
            return False
        self._set_record(member, update.incarnation)
        self._set_state(member, InstanceState.LEFT, now_ms)
        return True

    def _add_late_reporter(
        self, member: Member, update: Suspected, now_ms: int
    ) -> bool:
        """Record a failed member's second reporter, for instances that need two."""
        if member.state is not InstanceState.DEAD:
            return False
        if len(member.suspected_by) >= N_REPORTERS:
            return False
        member.suspected_by[update.reporter] = now_ms - update.no_contact_ms
        return True

    def add_suspicion(
        self, member: Member, reporter: InstanceId, contact_ms: int, now_ms: int
    ) -> None:
        """Record that an instance suspects a member."""
        if not member.suspected_by:
            member.suspected_ms = now_ms
        member.suspected_by[reporter] = contact_ms
        self.suspected.add(member.instance)
        self.reassess(member, now_ms)

    def record_contact(
        self, instance: InstanceId, incarnation: int, now_ms: int
    ) -> None:
        """Record a contact with this incarnation of a member."""
        member = self.members.get(instance)
        if member is None or incarnation < member.incarnation or member.gone:
            return
        member.contact_ms = now_ms
        if member.suspected_by.pop(self.self_id, None) is not None:
            self.reassess(member, now_ms)

    def refute(self, incarnation: int) -> None:
        """Raise this instance's incarnation above one that others consider failed."""
        self._set_record(self.own, max(incarnation, self.own.incarnation) + 1)

    def reassess(self, member: Member, now_ms: int) -> None:
        """Recompute a member's state from the instances that suspect it."""
        if member.gone or member is self.own:
            return
        if not member.suspected_by:
            self.suspected.discard(member.instance)
            self._set_state(member, InstanceState.ALIVE, now_ms)
        elif self._has_failed(member, now_ms):
            self._set_state(member, InstanceState.DEAD, now_ms)
        else:
            self._set_state(member, InstanceState.SUSPECT, now_ms)

    def _has_failed(self, member: Member, now_ms: int) -> bool:
        if now_ms - member.contact_ms <= self._config.suspect_after_ms:
            return False
        n_reporters_needed = self.n_reporters_needed(member)
        if len(member.suspected_by) < n_reporters_needed:
            return False
        if n_reporters_needed >= N_REPORTERS or self.self_id in member.suspected_by:
            return True
        return now_ms - member.suspected_ms > self._config.verify_ms

    def n_reporters_needed(self, member: Member) -> int:
        """Return the number of suspicions after which a member counts as failed.

        It is two, or one if only one other instance of its data centre is left to
        report a suspicion.
        """
        possible = (
            name
            for name in self.live(member.data_centre)
            if name != member.instance and not self._is_suspected(name)
        )
        return max(1, len(list(islice(possible, N_REPORTERS))))

    def current_update(
        self, instance: InstanceId, reporter: InstanceId, now_ms: int
    ) -> MemberUpdate | None:
        """Return the current update about a member, or None if there is none.

        Parameters
        ----------
        instance : InstanceId
            The member.
        reporter : InstanceId
            Reporter of the suspicion; empty for the member's own state.
        now_ms : int
            Time of sending.
        """
        member = self.members.get(instance)
        if member is None:
            return None
        if member.state is InstanceState.LEFT:
            return Left(instance, member.incarnation)
        if not reporter:
            return Alive(member.record)
        contact_ms = member.suspected_by.get(reporter)
        if contact_ms is None:
            return None
        no_contact_ms = max(0, now_ms - contact_ms)
        return Suspected(instance, member.incarnation, reporter, no_contact_ms)

    def current_updates(self, instance: InstanceId, now_ms: int) -> list[MemberUpdate]:
        """Return all updates about a member, its record first."""
        member = self.members[instance]
        found: list[MemberUpdate | None] = [Alive(member.record)]
        if member.state is InstanceState.LEFT:
            found.append(Left(instance, member.incarnation))
        else:
            suspected_by = list(member.suspected_by)[:N_REPORTERS]
            found += [
                self.current_update(instance, name, now_ms) for name in suspected_by
            ]
        return [update for update in found if update is not None]

    def forget(self, instances: Iterable[InstanceId]) -> None:
        """Remove members that have been gone for a long time."""
        for instance in instances:
            self.members.pop(instance, None)
            self.suspected.discard(instance)
            self.gone.discard(instance)

    def sample(
        self, random_state: random.Random, data_centre: DataCentreId, n_wanted: int
    ) -> list[InstanceId]:
        """Return random live members of a data centre, excluding this instance."""
        live = self.live(data_centre)
        sampled = random_state.sample(live, min(n_wanted + 1, len(live)))
        return [name for name in sampled if name != self.self_id][:n_wanted]

    def _apply_incarnation(
        self, member: Member, record: MemberRecord, now_ms: int
    ) -> None:
        """Apply a newer incarnation of a member."""
        self._invalidate_caches(member.data_centre)
        self._toggle_in_digest(member)
        member.record = record
        self._toggle_in_digest(member)
        self._invalidate_caches(member.data_centre)
        member.known_ms = now_ms
        member.suspected_by.clear()
        self.suspected.discard(record.instance)
        if member.state is InstanceState.ALIVE:
            self._on_state(member, now_ms)
        self._set_state(member, InstanceState.ALIVE, now_ms)

    def _set_record(self, member: Member, incarnation: int) -> None:
        self._toggle_in_digest(member)
        member.record = msgspec.structs.replace(member.record, incarnation=incarnation)
        self._toggle_in_digest(member)

    def _add(self, record: MemberRecord, now_ms: int) -> None:
        member = Member(record, known_ms=now_ms, since_ms=now_ms)
        self.members[record.instance] = member
        self._toggle_in_digest(member)
        self._invalidate_caches(record.data_centre)
        self._on_state(member, now_ms)

    def _set_state(self, member: Member, state: InstanceState, now_ms: int) -> None:
        if member.state is state:
            return
        was_gone = member.gone
        self._toggle_in_digest(member)
        member.state = state
        self._toggle_in_digest(member)
        member.since_ms = now_ms
        if member.gone:
            self.suspected.discard(member.instance)
            self.gone.add(member.instance)
        else:
            self.gone.discard(member.instance)
        if was_gone != member.gone:
            self._invalidate_caches(member.data_centre)
        self._on_state(member, now_ms)

    def _invalidate_caches(self, data_centre: DataCentreId) -> None:
        self._data_centres = None
        self._live.pop(data_centre, None)
        self._rings.pop(data_centre, None)

    def _toggle_in_digest(self, member: Member) -> None:
        """Add a live member to the digest, or remove it if already included."""
        if not member.gone:
            text = f"{member.instance} {member.incarnation}"
            self.digest ^= rendezvous.hash_key(text) & 0xFFFFFFFF
