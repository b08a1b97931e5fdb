"""Refusals, and answers that are kept for further transmissions."""

import msgspec

from ..datagram import Datagram, Kind, RefusalCode, Run
from .work import Work

__all__ = ["ReplyStore", "refusal"]


def refusal(datagram: Datagram, code: RefusalCode, run: Run) -> Datagram:
    """Return the refusal of a request or an opening."""
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
    """Keeps small answers with their work, within a bound for all of them.

    Parameters
    ----------
    answer_kept_bytes : int
        Largest answer that is kept.
    answers_kept_bytes : int
        Bound for all answers together; the oldest go first.
    """

    def __init__(self, answer_kept_bytes: int, answers_kept_bytes: int) -> None:
        self._answer_kept_bytes = answer_kept_bytes
        self._answers_kept_bytes = answers_kept_bytes
        self._works: dict[int, Work] = {}
        self._n_bytes = 0

    def keep(self, work: Work, part: Datagram) -> None:
        """Keep one part of the answer to a request, if the whole stays small."""
        if not work.keeps_reply:
            return
        size_bytes = self._size_bytes(work) + len(part.body)
        if size_bytes > self._answer_kept_bytes:
            self.drop(work)
            return
        work.reply.append(part)
        self._works[work.key] = work
        self._n_bytes += len(part.body)
        while self._n_bytes > self._answers_kept_bytes:
            self.drop(next(iter(self._works.values())))

    def drop(self, work: Work) -> None:
        """Forget the answer of a request and keep no more parts of it."""
        work.keeps_reply = False
        if self._works.get(work.key) is work:
            del self._works[work.key]
            self._n_bytes -= self._size_bytes(work)
        work.reply.clear()

    def restart(self, work: Work) -> None:
        """Forget what was kept, to keep another reply in its place."""
        self.drop(work)
        work.keeps_reply = True

    @staticmethod
    def _size_bytes(work: Work) -> int:
        return sum(len(part.body) for part in work.reply)
