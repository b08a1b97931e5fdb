"""Anti-entropy: synchronizes members page by page after a join or a partition."""

import random

from ..effects import Effect, SendToPeer
from ..types import DataCentreId, InstanceId, InstanceState
from .config import FleetConfig
from .member import Member
from .messages import MembersPage, MemberUpdate, SyncRequest
from .roster import Roster

__all__ = ["MemberSync"]

WINDOW_SLACK_MS = 10_000
WINDOW_GROWTH_FACTOR = 8
"""Factor by which the requested time window grows while digests still differ."""
WINDOW_MAX_MS = 4_000_000
"""If the window would exceed this, all members are requested."""
REQUEST_INTERVAL_MS = 1000
REQUEST_PROBABILITY = 0.25


class MemberSync:
    """Requests the members from a peer if digests differ for too long.

    Parameters
    ----------
    config : FleetConfig
        Page size and delay.
    roster : Roster
        The members.
    random_state : random.Random
        Selects the peer that is asked.
    now_ms : int
        Start time.
    """

    def __init__(
        self,
        config: FleetConfig,
        roster: Roster,
        random_state: random.Random,
        now_ms: int,
    ) -> None:
        self._random_state = random_state
        self._config = config
        self._roster = roster
        self._start_ms = now_ms
        self._matched_ms: dict[InstanceId | DataCentreId, int] = {}
        self._requested_ms = now_ms
        self._window_ms = 0
        self._requested_digest = 0

    def on_digest(self, sender: InstanceId, digest: int, now_ms: int) -> list[Effect]:
        """Compare a peer's digest with the local one; request members if needed."""
        member = self._roster.get(sender)
        if member is None:
            return []
        comparison_key = self._comparison_key(member)
        if comparison_key is None:
            return []
        if digest == self._roster.digest:
            self._matched_ms[comparison_key] = now_ms
            self._window_ms = 0
            return []
        matched_ms = self._matched_ms.setdefault(comparison_key, now_ms)
        mismatch_ms = now_ms - matched_ms
        if mismatch_ms <= self._config.sync_after_ms:
            return []
        if now_ms - self._requested_ms < REQUEST_INTERVAL_MS:
            return []
        # Otherwise the peer that happens to tick first would always be asked.
        if self._random_state.random() >= REQUEST_PROBABILITY:
            return []
        self._requested_ms = now_ms
        # While updates still arrive, the missing ones are recent, so that the window
        # does not have to grow.
        if self._roster.digest != self._requested_digest:
            self._window_ms = 0
        self._requested_digest = self._roster.digest
        self._window_ms = max(
            self._window_ms * WINDOW_GROWTH_FACTOR, mismatch_ms + WINDOW_SLACK_MS
        )
        window_ms = 0 if self._window_ms > WINDOW_MAX_MS else self._window_ms
        return [SendToPeer(sender, SyncRequest(InstanceId(""), window_ms))]

    def page(
        self, sender: InstanceId, request: SyncRequest, now_ms: int
    ) -> MembersPage:
        """Return the page that a peer requests; its own data centre comes first."""
        requester = self._roster.get(sender)
        data_centre = None if requester is None else requester.data_centre
        first = self._sort_key(request.after, data_centre)
        names = [
            n for n in self._roster.members if self._sort_key(n, data_centre) > first
        ]
        if request.changed_within_ms:
            from_ms = now_ms - request.changed_within_ms
            names = [n for n in names if self._changed_ms(n) >= from_ms]
        names.sort(key=lambda name: self._sort_key(name, data_centre))
        chosen = names[: self._config.n_page]
        updates: list[MemberUpdate] = []
        for name in chosen:
            updates.extend(self._member_updates(name, request, now_ms))
        after = chosen[-1] if len(names) > len(chosen) else InstanceId("")
        return MembersPage(tuple(updates), after, request.changed_within_ms)

    def next_request(self, page: MembersPage) -> SyncRequest | None:
        """Return the request for the next page, or None."""
        if not page.after:
            return None
        return SyncRequest(page.after, page.changed_within_ms)

    def _comparison_key(self, member: Member) -> InstanceId | DataCentreId | None:
        """Return the key under which a member's digests are compared, or None.

        Neighbours are compared individually: two neighbours that missed the same
        update agree with each other. Another data centre is compared as a whole,
        since contact with each of its instances is too rare.
        """
        if member.data_centre != self._roster.own.data_centre:
            return member.data_centre
        is_neighbour = member.instance in self._roster.neighbours(self._roster.self_id)
        return member.instance if is_neighbour else None

    def _member_updates(
        self, name: InstanceId, request: SyncRequest, now_ms: int
    ) -> list[MemberUpdate]:
        """Return the updates about a member.

        The record of a failed member is omitted if it is older than the requested
        window: an instance without the record does not need to know of the failure.
        """
        updates = self._roster.current_updates(name, now_ms)
        member = self._roster.members[name]
        is_old = member.known_ms < now_ms - request.changed_within_ms
        has_failed = member.state is InstanceState.DEAD
        has_window = request.changed_within_ms > 0
        return updates[1:] if has_window and has_failed and is_old else updates

    def _changed_ms(self, instance: InstanceId) -> int:
        member = self._roster.members[instance]
        return max(member.since_ms, member.known_ms)

    def _sort_key(
        self, instance: InstanceId, data_centre: DataCentreId | None
    ) -> tuple[bool, InstanceId]:
        member = self._roster.get(instance)
        is_remote = member is not None and member.data_centre != data_centre
        return is_remote, instance
