"""All requests that an admission owner knows, and cancellations that came early."""

from ..datagram import Datagram
from .config import DispatcherConfig
from .keys import RequestKey
from .replies import ReplyStore
from .work import OPEN_STATES, Work

__all__ = ["Ledger"]

_SWEEP_MS = 1_000


class Ledger:
    """Remembers requests for longer than the keepers of their claims do.

    Parameters
    ----------
    config : DispatcherConfig
        Memory times and bounds.
    """

    def __init__(self, config: DispatcherConfig) -> None:
        # A request that was forgotten here while its keepers still know this
        # instance as the holder would be granted to it a second time.
        self._memory_ms = 2 * config.claim_margin_ms
        self._cancel_memory_ms = config.deadline_max_ms
        self._works: dict[RequestKey, Work] = {}
        self._cancelled: dict[RequestKey, int] = {}
        self._sweep_at_ms = 0
        self.replies = ReplyStore(config.answer_kept_bytes, config.answers_kept_bytes)

    def __len__(self) -> int:
        return len(self._works)

    def get(self, key: int) -> Work | None:
        """Return the work of a key."""
        return self._works.get(RequestKey(key))

    def add(self, work: Work) -> None:
        """Remember a work in place of an earlier one of the same key."""
        former = self._works.get(work.key)
        if former is not None:
            self.replies.drop(former)
        self._works[work.key] = work

    def remove(self, work: Work) -> None:
        """Forget a work, so that a further transmission starts anew."""
        self.replies.drop(work)
        self._works.pop(work.key, None)

    def n_open(self) -> int:
        """Return how many outcomes this instance owes."""
        return sum(work.state in OPEN_STATES for work in self._works.values())

    def keep_reply(self, work: Work, part: Datagram) -> None:
        """Keep one part of an answer for further transmissions."""
        self.replies.keep(work, part)

    def cancel_early(self, key: RequestKey, now_ms: int) -> None:
        """Remember a cancellation whose request has not come yet."""
        self._cancelled[key] = now_ms + self._cancel_memory_ms

    def is_cancelled(self, key: RequestKey) -> bool:
        """Return whether a cancellation came before its request."""
        return key in self._cancelled

    def tick(self, now_ms: int) -> None:
        """Forget what is too old."""
        if now_ms < self._sweep_at_ms:
            return
        self._sweep_at_ms = now_ms + _SWEEP_MS
        for work in list(self._works.values()):
            forget_at_ms = work.deadline_at_ms + self._memory_ms
            if forget_at_ms <= now_ms and work.state not in OPEN_STATES:
                self.remove(work)
        for key, forget_at_ms in list(self._cancelled.items()):
            if forget_at_ms <= now_ms:
                del self._cancelled[key]
