"""Requests known to an admission owner, and cancellations that precede them."""

from ..datagram import Datagram
from .config import DispatcherConfig
from .keys import RequestKey
from .replies import ReplyStore
from .request_record import OPEN_STATES, RequestRecord

__all__ = ["RequestTable"]

_SWEEP_INTERVAL_MS = 1_000


class RequestTable:
    """Stores requests for longer than the replicas store their claims.

    Parameters
    ----------
    config : DispatcherConfig
        Retention times and size limits.
    """

    def __init__(self, config: DispatcherConfig) -> None:
        # If a request were dropped here while its replicas still store this instance
        # as the claim holder, this instance could be granted the claim a second time.
        self._retention_ms = 2 * config.claim_margin_ms
        self._cancel_retention_ms = config.deadline_max_ms
        self._records: dict[RequestKey, RequestRecord] = {}
        self._cancelled: dict[RequestKey, int] = {}
        self._sweep_at_ms = 0
        self.replies = ReplyStore(config.answer_kept_bytes, config.answers_kept_bytes)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: int) -> RequestRecord | None:
        """Return the request with a key."""
        return self._records.get(RequestKey(key))

    def add(self, record: RequestRecord) -> None:
        """Store a request, replacing any earlier one with the same key."""
        previous = self._records.get(record.key)
        if previous is not None:
            self.replies.drop(previous)
        self._records[record.key] = record

    def remove(self, record: RequestRecord) -> None:
        """Delete a request, so that a retransmission counts as a new request."""
        self.replies.drop(record)
        self._records.pop(record.key, None)

    def n_open(self) -> int:
        """Return the number of requests without an outcome."""
        return sum(record.state in OPEN_STATES for record in self._records.values())

    def keep_reply(self, record: RequestRecord, part: Datagram) -> None:
        """Keep one part of a reply for retransmissions."""
        self.replies.keep(record, part)

    def cancel_early(self, key: RequestKey, now_ms: int) -> None:
        """Store a cancellation, in case its request arrives later."""
        self._cancelled[key] = now_ms + self._cancel_retention_ms

    def is_cancelled(self, key: RequestKey) -> bool:
        """Return whether a cancellation arrived before its request."""
        return key in self._cancelled

    def tick(self, now_ms: int) -> None:
        """Delete expired requests and cancellations."""
        if now_ms < self._sweep_at_ms:
            return
        self._sweep_at_ms = now_ms + _SWEEP_INTERVAL_MS
        for record in list(self._records.values()):
            expires_at_ms = record.deadline_at_ms + self._retention_ms
            if expires_at_ms <= now_ms and record.state not in OPEN_STATES:
                self.remove(record)
        for key, expires_at_ms in list(self._cancelled.items()):
            if expires_at_ms <= now_ms:
                del self._cancelled[key]
