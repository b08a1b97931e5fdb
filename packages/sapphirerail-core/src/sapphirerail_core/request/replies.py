"""Refusals, and replies kept for retransmissions."""

import msgspec

from ..datagram import Datagram, Kind, RefusalCode, Run
from .request_record import RequestRecord

__all__ = ["ReplyStore", "refusal"]


def refusal(datagram: Datagram, code: RefusalCode, run: Run) -> Datagram:
    """Return a refusal of a request or an opening."""
    return msgspec.structs.replace(
        datagram,
        kind=Kind.REFUSAL,
        code=code,
        run=run,
        part=0,
        n_parts=1,
        deadline_ms=0,
        body=b"",
    )


class ReplyStore:
    """Keeps small replies with their requests, up to a total size.

    Parameters
    ----------
    answer_kept_bytes : int
        Maximum size of one reply.
    answers_kept_bytes : int
        Maximum total size; beyond it the oldest replies are dropped.
    """

    def __init__(self, answer_kept_bytes: int, answers_kept_bytes: int) -> None:
        self._answer_kept_bytes = answer_kept_bytes
        self._answers_kept_bytes = answers_kept_bytes
        self._records: dict[int, RequestRecord] = {}
        self._n_bytes = 0

    def keep(self, record: RequestRecord, part: Datagram) -> None:
        """Keep one part of a reply, unless the reply exceeds the maximum size."""
        if not record.keeps_reply:
            return
        size_bytes = self._size_bytes(record) + len(part.body)
        if size_bytes > self._answer_kept_bytes:
            self.drop(record)
            return
        record.reply.append(part)
        self._records[record.key] = record
        self._n_bytes += len(part.body)
        while self._n_bytes > self._answers_kept_bytes:
            self.drop(next(iter(self._records.values())))

    def drop(self, record: RequestRecord) -> None:
        """Delete the reply to a request and keep no further parts of it."""
        record.keeps_reply = False
        if self._records.get(record.key) is record:
            del self._records[record.key]
            self._n_bytes -= self._size_bytes(record)
        record.reply.clear()

    def restart(self, record: RequestRecord) -> None:
        """Delete the reply to a request, so that another one can be kept."""
        self.drop(record)
        record.keeps_reply = True

    @staticmethod
    def _size_bytes(record: RequestRecord) -> int:
        return sum(len(part.body) for part in record.reply)
