"""Probes instances on behalf of others."""

from dataclasses import dataclass

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .config import FleetConfig
from .messages import Ping, Pong, ProbeAnswer

__all__ = ["ProbeHelper"]

N_PENDING_MAX = 64


@dataclass(frozen=True, slots=True)
class _Order:
    """Who asks for a sign of life of whom."""

    origin: InstanceId
    subject: InstanceId


class ProbeHelper:
    """Keeps the probes that this instance makes for others.

    Parameters
    ----------
    config : FleetConfig
        Time of a probe.
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
        """Ping a subject, unless too many probes are under way."""
        if len(self._until_ms) >= N_PENDING_MAX:
            return []
        order = _Order(origin, subject)
        self._until_ms.setdefault(order, now_ms + self._probe_ms)
        return [SendToPeer(subject, Ping(origin))]

    def on_pong(self, subject: InstanceId, pong: Pong) -> list[Effect]:
        """Tell the origin that its subject lives."""
        order = _Order(pong.origin, subject)
        if self._until_ms.pop(order, None) is None:
            return []
        answer = ProbeAnswer(subject, pong.incarnation, True)
        return [SendToPeer(pong.origin, answer)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Tell the origins of probes that got no answer in time."""
        late = [o for o, until_ms in self._until_ms.items() if now_ms >= until_ms]
        effects: list[Effect] = []
        for order in late:
            del self._until_ms[order]
            answer = ProbeAnswer(order.subject, 0, False)
            effects.append(SendToPeer(order.origin, answer))
        return effects
