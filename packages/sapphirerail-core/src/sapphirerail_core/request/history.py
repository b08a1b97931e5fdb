"""Recent changes of the membership that the keepers of open claims went through."""

from ..types import InstanceId, InstanceState
from .context import Context
from .keys import RequestKey

__all__ = ["MembershipHistory"]


class MembershipHistory:
    """Remembers who joined or died while claims that are still open were made.

    Parameters
    ----------
    context : Context
        Fleet and settings.
    started_at_ms : int or None
        When this instance started; what was before, it does not know.
    """

    def __init__(self, context: Context, started_at_ms: int | None) -> None:
        config = context.config
        self._context = context
        self._memory_ms = config.deadline_max_ms + config.claim_margin_ms
        self._started_at_ms = started_at_ms
        self._view_settle_ms = config.view_settle_ms
        self._settled_at_ms = started_at_ms
        if started_at_ms is not None:
            self._settled_at_ms = started_at_ms + self._view_settle_ms
        self._joined_at_ms: dict[InstanceId, int] = {}
        # In the order of their joins, so that claims look at the newest ones only.
        self._newcomers: dict[InstanceId, int] = {}
        self._died_at_ms: dict[InstanceId, int] = {}

    def on_state(self, instance: InstanceId, state: InstanceState, now_ms: int) -> None:
        """Take in a change of the membership."""
        if state is InstanceState.DEAD:
            self._died_at_ms[instance] = now_ms
        elif state is InstanceState.ALIVE:
            # Claims may have been made without it while it was believed dead.
            self._died_at_ms.pop(instance, None)
            self._joined_at_ms[instance] = now_ms
            self._newcomers.pop(instance, None)
            self._newcomers[instance] = now_ms

    def start(self, now_ms: int) -> None:
        """Take the present for the start, unless the start is known."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
            self._settled_at_ms = now_ms + self._view_settle_ms

    def on_pause(self, paused_ms: int, now_ms: int) -> None:
        """Take in that this instance was paused and missed what happened."""
        self._started_at_ms = now_ms
        if paused_ms > self._view_settle_ms // 2:
            self._settled_at_ms = now_ms + self._view_settle_ms

    def settled_at_ms(self, now_ms: int) -> int:
        """Return when this instance has heard of all that the others know of."""
        if self._settled_at_ms is None:
            return now_ms + self._view_settle_ms
        return self._settled_at_ms

    def newcomers(self, now_ms: int) -> set[InstanceId]:
        """Return who joined so lately that another instance may not know it yet."""
        since_ms = now_ms - self._view_settle_ms
        while self._newcomers:
            oldest = next(iter(self._newcomers))
            if self._newcomers[oldest] > since_ms:
                break
            del self._newcomers[oldest]
        return set(self._newcomers)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether this instance saw all changes that matter."""
        if self._started_at_ms is None:
            return False
        return now_ms >= self._started_at_ms + self._memory_ms

    def seasoned(self, keepers: tuple[InstanceId, ...], now_ms: int) -> set[InstanceId]:
        """Return the keepers that have been there for as long as any open claim."""
        oldest_ms = now_ms - self._memory_ms
        return {
            name
            for name in keepers
            if self._joined_at_ms.get(name, oldest_ms) <= oldest_ms
        }

    def n_dead_keepers(
        self, key: RequestKey, keepers: tuple[InstanceId, ...], now_ms: int
    ) -> int:
        """Return how many keepers of a claim may have died since it was made."""
        oldest_ms = now_ms - self._memory_ms
        place = self._context.fleet.data_centre(keepers[0]) if keepers else None
        dead = [
            name
            for name, at_ms in self._died_at_ms.items()
            if at_ms > oldest_ms and self._may_be_in(name, place)
        ]
        known = self.seasoned(keepers, now_ms)
        n_keepers = self._context.config.n_keepers
        first = self._context.fleet.top_owners(key, [*known, *dead], n_keepers)
        return len(set(first) & set(dead))

    def _may_be_in(self, instance: InstanceId, place: str | None) -> bool:
        return self._context.fleet.data_centre(instance) in (None, place)
