"""Reliable transmission of forwards to admission owners."""

from dataclasses import dataclass

import msgspec

from ..datagram import Kind
from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .context import Context
from .keys import RequestKey, request_key
from .messages import Forward, Taken
from .request_record import with_remaining_deadline

__all__ = ["Forwarder"]


_PendingKey = tuple[RequestKey, int, bool]


@dataclass(slots=True)
class _Pending:
    forward: Forward
    target: InstanceId
    deadline_at_ms: int
    resend_at_ms: int
    n_sends: int = 1


class Forwarder:
    """Resends forwards until they are acknowledged, and reports those that fail.

    Parameters
    ----------
    context : Context
        Settings.
    """

    def __init__(self, context: Context) -> None:
        self._config = context.config
        self._unresponsive_until_ms: dict[InstanceId, int] = {}
        self._pending: dict[_PendingKey, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(self, forward: Forward, target: InstanceId, now_ms: int) -> list[Effect]:
        """Send a forward; resend requests and openings until acknowledged."""
        if forward.datagram.kind is not Kind.CANCEL:
            key = request_key(forward.datagram)
            self._pending[key, forward.hop, forward.is_attached] = _Pending(
                forward=forward,
                target=target,
                deadline_at_ms=now_ms + forward.datagram.deadline_ms,
                resend_at_ms=now_ms + self._config.forward_resend_ms,
            )
        return [SendToPeer(target, forward)]

    def is_responsive(self, target: InstanceId, now_ms: int) -> bool:
        """Return whether an instance has acknowledged recent forwards."""
        return now_ms >= self._unresponsive_until_ms.get(target, 0)

    def on_receipt(self, sender: InstanceId, taken: Taken) -> None:
        """Stop resending an acknowledged forward."""
        self._unresponsive_until_ms.pop(sender, None)
        key = (taken.key, taken.hop, taken.is_attached)
        pending = self._pending.get(key)
        if pending is not None and pending.target == sender:
            del self._pending[key]

    def tick(self, now_ms: int) -> tuple[list[Effect], list[Forward]]:
        """Resend the forwards that are due.

        Returns
        -------
        tuple of list
            Effects, and the forwards that their target did not acknowledge.
        """
        effects: list[Effect] = []
        failed: list[Forward] = []
        for key, pending in list(self._pending.items()):
            if now_ms < pending.resend_at_ms:
                continue
            forward = self._with_current_deadline(pending, now_ms)
            is_late = now_ms >= pending.deadline_at_ms
            if is_late or pending.n_sends >= self._config.n_forward_sends:
                del self._pending[key]
                failed.append(forward)
                until_ms = now_ms + self._config.unresponsive_ms
                self._unresponsive_until_ms[pending.target] = until_ms
                continue
            pending.n_sends += 1
            pending.resend_at_ms = now_ms + self._config.forward_resend_ms
            effects.append(SendToPeer(pending.target, forward))
        return effects, failed

    @staticmethod
    def _with_current_deadline(pending: _Pending, now_ms: int) -> Forward:
        datagram = with_remaining_deadline(
            pending.forward.datagram, pending.deadline_at_ms, now_ms
        )
        return msgspec.structs.replace(pending.forward, datagram=datagram)
