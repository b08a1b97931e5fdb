"""Indirect probes: pings members on behalf of other instances."""

from dataclasses import dataclass

from ..effects import Effect, SendToPeer
from ..types import InstanceId
from .config import FleetConfig
from .messages import Ping, Pong, ProbeAnswer

__all__ = ["ProbeHelper"]

N_PENDING_MAX = 64


@dataclass(frozen=True, slots=True)
class _IndirectProbe:
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
        self._deadlines_ms: dict[_IndirectProbe, int] = {}

    def on_request(
        self, origin: InstanceId, subject: InstanceId, now_ms: int
    ) -> list[Effect]:
        """Ping a subject, unless too many probes are in flight."""
        if len(self._deadlines_ms) >= N_PENDING_MAX:
            return []
        probe = _IndirectProbe(origin, subject)
        self._deadlines_ms.setdefault(probe, now_ms + self._probe_ms)
        return [SendToPeer(subject, Ping(origin))]

    def on_pong(self, subject: InstanceId, pong: Pong) -> list[Effect]:
        """Report to the origin that its subject responded."""
        probe = _IndirectProbe(pong.origin, subject)
        if self._deadlines_ms.pop(probe, None) is None:
            return []
        answer = ProbeAnswer(subject, pong.incarnation, True)
        return [SendToPeer(pong.origin, answer)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Report probes that timed out to their origins."""
        timed_out = [
            probe
            for probe, deadline_ms in self._deadlines_ms.items()
            if now_ms >= deadline_ms
        ]
        effects: list[Effect] = []
        for probe in timed_out:
            del self._deadlines_ms[probe]
            answer = ProbeAnswer(probe.subject, 0, False)
            effects.append(SendToPeer(probe.origin, answer))
        return effects
