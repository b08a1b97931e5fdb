"""Peer lease: exclusive roles need recent answers from a majority of witnesses."""

from collections import deque

from ..types import InstanceId
from .config import FleetConfig
from .member import NEVER_MS

__all__ = ["PeerLease"]

N_ROUNDS_KEPT = 64


class PeerLease:
    """Tracks until when this instance may use exclusive roles.

    The lease starts when an answered heartbeat was sent, so that a late answer or a
    pause never extends it. If it has expired for long enough for others to take over
    the roles, it is reacquired only after any lease that they may still hold without
    knowing it has expired.

    Parameters
    ----------
    config : FleetConfig
        Lease duration and pause threshold.
    now_ms : int
        Start time.
    """

    def __init__(self, config: FleetConfig, now_ms: int) -> None:
        self._config = config
        self._sent: deque[tuple[int, int]] = deque(maxlen=N_ROUNDS_KEPT)
        self._answered_ms: dict[InstanceId, int] = {}
        self._valid_from_ms = now_ms
        self._valid_until_ms = NEVER_MS
        self._covered_until_ms = NEVER_MS
        self._tick_ms = now_ms

    def record_round(self, sequence: int, now_ms: int) -> None:
        """Record the send time of a heartbeat round."""
        self._sent.append((sequence, now_ms))

    def on_echo(self, witness: InstanceId, sequence: int) -> None:
        """Record that a witness acknowledged the heartbeat of a round."""
        for known, sent_ms in reversed(self._sent):
            if known == sequence:
                earlier_ms = self._answered_ms.get(witness, NEVER_MS)
                self._answered_ms[witness] = max(earlier_ms, sent_ms)
                return

    def drop(self, now_ms: int) -> None:
        """Drop the lease until heartbeats sent from now on are acknowledged."""
        self._sent.clear()
        self._answered_ms.clear()
        self._valid_until_ms = NEVER_MS

    def renew(
        self, witnesses: tuple[InstanceId, ...], may_hold: bool, now_ms: int
    ) -> None:
        """Recompute the expiry of the lease.

        Parameters
        ----------
        witnesses : tuple of InstanceId
            Instances of which more than half have to acknowledge heartbeats.
        may_hold : bool
            Whether this instance has joined and sees a majority.
        now_ms : int
            Time of this tick.
        """
        self._tick_ms = now_ms
        self._answered_ms = {
            name: sent_ms
            for name, sent_ms in self._answered_ms.items()
            if name in witnesses
        }
        self._valid_until_ms = NEVER_MS
        until_ms = self._majority_ms(witnesses, now_ms) + self._config.lease_ms
        if not may_hold or until_ms <= now_ms:
            return
        margin_ms = self._config.lease_margin_ms
        if now_ms > self._covered_until_ms + margin_ms:
            self._valid_from_ms = now_ms + self._config.lease_ms + margin_ms
        self._covered_until_ms = until_ms
        self._valid_until_ms = until_ms

    def holds(self, now_ms: int) -> bool:
        """Return whether the lease is valid and this process was not paused."""
        if now_ms - self._tick_ms > self._config.pause_ms:
            return False
        return self._valid_from_ms <= now_ms < self._valid_until_ms

    def _majority_ms(self, witnesses: tuple[InstanceId, ...], now_ms: int) -> int:
        if not witnesses:
            return now_ms
        times = sorted(
            (self._answered_ms.get(name, NEVER_MS) for name in witnesses),
            reverse=True,
        )
        return times[len(witnesses) // 2]
