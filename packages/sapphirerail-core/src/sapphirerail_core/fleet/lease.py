"""The peer lease: exclusive roles need recent answers of a majority of witnesses."""

from collections import deque

from ..types import InstanceId
from .config import FleetConfig
from .member import NEVER_MS

__all__ = ["PeerLease"]

N_ROUNDS_KEPT = 64


class PeerLease:
    """Decides until when this instance may use exclusive roles.

    The lease runs from the time at which an answered heartbeat was sent, so that a
    late answer or a pause never lengthens it. Once it has lapsed for so long that
    others may have taken the roles over, it comes back only after every lease that
    they may still hold without knowing has lapsed in turn.

    Parameters
    ----------
    config : FleetConfig
        Lease time and bound of a pause.
    now_ms : int
        Time of the start.
    """

    def __init__(self, config: FleetConfig, now_ms: int) -> None:
        self._config = config
        self._sent: deque[tuple[int, int]] = deque(maxlen=N_ROUNDS_KEPT)
        self._answered_ms: dict[InstanceId, int] = {}
        self._valid_from_ms = now_ms
        self._valid_until_ms = NEVER_MS
        self._covered_until_ms = NEVER_MS
        self._tick_ms = now_ms

    def note_round(self, sequence: int, now_ms: int) -> None:
        """Record that a round of heartbeats is sent now."""
        self._sent.append((sequence, now_ms))

    def on_echo(self, witness: InstanceId, sequence: int) -> None:
        """Record that a witness answered the heartbeat of a round."""
        for known, sent_ms in reversed(self._sent):
            if known == sequence:
                earlier_ms = self._answered_ms.get(witness, NEVER_MS)
                self._answered_ms[witness] = max(earlier_ms, sent_ms)
                return

    def drop(self, now_ms: int) -> None:
        """Give the lease up until heartbeats that are sent from now on are answered."""
        self._sent.clear()
        self._answered_ms.clear()
        self._valid_until_ms = NEVER_MS

    def renew(
        self, witnesses: tuple[InstanceId, ...], may_hold: bool, now_ms: int
    ) -> None:
        """Work out anew until when the lease holds.

        Parameters
        ----------
        witnesses : tuple of InstanceId
            Who has to answer; more than half of them must.
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
        """Return whether the lease holds and this process was not paused."""
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
