"""Indirect probes: pings members on behalf of other instances."""

from dataclasses import dataclass

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .config import FleetConfig
from .messages import Ping, Pong, ProbeAnswer

__all__ = ["ProbeHelper"]

N_PENDING_MAX = 64


@dataclass(frozen=True, slots=True)
class _Order:
    """Indirect probe: the instance that requested it and the one to be probed."""

    origin: InstanceId
    subject: InstanceId


class ProbeHelper:
    """Runs the indirect probes that other instances request.

    Parameters
    ----------
    config : FleetConfig
        Timeout of a probe.
    self_id : InstanceId
        This instance.
    """

    def __init__(self, config: FleetConfig, self_id: InstanceId) -> None:
        self._self_id = self_id
        self._probe_ms = config.probe_ms * 4 // 5
        self._until_ms: dict[_Order, int] = {}

    def on_request(
        self, origin: InstanceId, subject: InstanceId, now_ms: int
    ) -> list[Effect]:
        """Ping a subject, unless too many probes are in flight."""
        if len(self._until_ms) >= N_PENDING_MAX:
            return []
        order = _Order(origin, subject)
        self._until_ms.setdefault(order, now_ms + self._probe_ms)
        return [SendToPeer(subject, Ping(origin))]

    def on_pong(self, subject: InstanceId, pong: Pong) -> list[Effect]:
        """Report to the origin that its subject responded."""
        order = _Order(pong.origin, subject)
        if self._until_ms.pop(order, None) is None:
            return []
        answer = ProbeAnswer(subject, pong.incarnation, True)
        return [SendToPeer(pong.origin, answer)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Report probes that timed out to their origins."""
        late = [o for o, until_ms in self._until_ms.items() if now_ms >= until_ms]
        effects: list[Effect] = []
        for order in late:
            del self._until_ms[order]
            answer = ProbeAnswer(order.subject, 0, False)
            effects.append(SendToPeer(order.origin, answer))
        return effects
