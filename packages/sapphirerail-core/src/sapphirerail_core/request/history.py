"""Recent membership changes that affect the replicas of open claims."""

from ..types import InstanceId, InstanceState
from .context import Context
from .keys import RequestKey

__all__ = ["MembershipHistory"]


class MembershipHistory:
    """Records which instances joined or failed during the lifetime of open claims.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    started_at_ms : int or None
        When this instance started; it has no information about earlier changes.
    """

    def __init__(self, context: Context, started_at_ms: int | None) -> None:
        config = context.config
        self._context = context
        self._retention_ms = config.deadline_max_ms + config.claim_margin_ms
        self._started_at_ms = started_at_ms
        self._view_settle_ms = config.view_settle_ms
        self._settled_at_ms = started_at_ms
        if started_at_ms is not None:
            self._settled_at_ms = started_at_ms + self._view_settle_ms
        self._joined_at_ms: dict[InstanceId, int] = {}
        # Ordered by join time, so that expired entries are found at the front.
        self._recently_joined: dict[InstanceId, int] = {}
        self._failed_at_ms: dict[InstanceId, int] = {}

    def on_state(self, instance: InstanceId, state: InstanceState, now_ms: int) -> None:
        """Record a membership change."""
        if state is InstanceState.DEAD:
            self._failed_at_ms[instance] = now_ms
        elif state is InstanceState.ALIVE:
            # While it was considered failed, claims may have been made without it.
            self._failed_at_ms.pop(instance, None)
            self._joined_at_ms[instance] = now_ms
            self._recently_joined.pop(instance, None)
            self._recently_joined[instance] = now_ms

    def start(self, now_ms: int) -> None:
        """Use the current time as the start time if that is not known yet."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
            self._settled_at_ms = now_ms + self._view_settle_ms

    def on_pause(self, paused_ms: int, now_ms: int) -> None:
        """Handle a pause of this instance, during which it missed changes."""
        self._started_at_ms = now_ms
        if paused_ms > self._view_settle_ms // 2:
            self._settled_at_ms = now_ms + self._view_settle_ms

    def settled_at_ms(self, now_ms: int) -> int:
        """Return when this instance knows all members that the others know."""
        if self._settled_at_ms is None:
            return now_ms + self._view_settle_ms
        return self._settled_at_ms

    def recently_joined(self, now_ms: int) -> set[InstanceId]:
        """Return the instances that other instances may not know of yet."""
        since_ms = now_ms - self._view_settle_ms
        while self._recently_joined:
            oldest = next(iter(self._recently_joined))
            if self._recently_joined[oldest] > since_ms:
                break
            del self._recently_joined[oldest]
        return set(self._recently_joined)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether all changes since the oldest open claim are recorded."""
        if self._started_at_ms is None:
            return False
        return now_ms >= self._started_at_ms + self._retention_ms

    def established(
        self, replicas: tuple[InstanceId, ...], now_ms: int
    ) -> set[InstanceId]:
        """Return the replicas that have been members for longer than any open claim."""
        oldest_ms = now_ms - self._retention_ms
        return {
            name
            for name in replicas
            if self._joined_at_ms.get(name, oldest_ms) <= oldest_ms
        }

    def n_failed_replicas(
        self, key: RequestKey, replicas: tuple[InstanceId, ...], now_ms: int
    ) -> int:
        """Return how many replicas of a claim may have failed since it was made."""
        oldest_ms = now_ms - self._retention_ms
        data_centre = self._context.fleet.data_centre(replicas[0]) if replicas else None
        failed = [
            name
            for name, at_ms in self._failed_at_ms.items()
            if at_ms > oldest_ms and self._may_be_in(name, data_centre)
        ]
        known = self.established(replicas, now_ms)
        n_replicas = self._context.config.n_claim_replicas
        first_replicas = self._context.fleet.top_owners(
            key, [*known, *failed], n_replicas
        )
        return len(set(first_replicas) & set(failed))

    def _may_be_in(self, instance: InstanceId, data_centre: str | None) -> bool:
        return self._context.fleet.data_centre(instance) in (None, data_centre)
