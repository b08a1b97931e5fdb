"""State of one backend server as detected by this instance."""

from enum import Enum

from ..types import InstanceId
from .config import SteeringConfig
from .model import ServerEntry
from .tag import ServerTag, server_tag

__all__ = ["Health", "KnownServer"]

_NEVER_MS = -1_000_000_000


class Health(Enum):
    """Health of a server, as detected from its flows and probes."""

    ANSWERING = "answering"
    SUSPECT = "suspect"
    FAILED = "dead"


# Bound once, as the lookup of an enum member takes as long as the rest of a check
# that each packet makes.
_ANSWERING = Health.ANSWERING
_FAILED = Health.FAILED


class KnownServer:
    """One incarnation of a backend server: its entry, health and load.

    Answers do not pass through the instance; progress is an answer that the caller's
    next packet acknowledges. A missing answer only makes the server suspect: a loaded
    server answers late, and when a second server answers a caller first, the answer of
    the first one goes unnoticed. A probe then confirms or refutes the failure.

    Parameters
    ----------
    entry : ServerEntry
        Newest entry that the server announced.
    config : SteeringConfig
        Thresholds.
    now_ms : int
        Time of the read of the entry.
    """

    __slots__ = (
        "_config",
        "_n_failed_probes",
        "_probe_ended_ms",
        "_probe_at_ms",
        "_unresponsive_since_ms",
        "_peer_failures",
        "cold_until_ms",
        "added_at_ms",
        "departed_at_ms",
        "entry",
        "forced_cold_until_ms",
        "has_valid_entry",
        "health",
        "is_probe_in_flight",
        "is_superseded",
        "missing_since_ms",
        "n_flows",
        "n_in_flight",
        "peer_load",
        "progress_at_ms",
        "tag",
    )

    def __init__(self, entry: ServerEntry, config: SteeringConfig, now_ms: int) -> None:
        self.entry = entry
        self.tag: ServerTag = server_tag(entry.identity)
        self.health = Health.ANSWERING
        self.added_at_ms = now_ms
        # Whether the store has an entry that names this server; if what is under its
        # name cannot be used, the last valid one stays in `entry`.
        self.has_valid_entry = True
        # Whether a later server announces its address: no new flows, but not departed.
        self.is_superseded = False
        self.cold_until_ms = now_ms + entry.cold_ms
        self.forced_cold_until_ms = 0
        self.missing_since_ms: int | None = None
        self.departed_at_ms: int | None = None
        self.n_flows = 0
        self.n_in_flight = 0
        self.peer_load = 0.0
        self.progress_at_ms = _NEVER_MS
        self.is_probe_in_flight = False
        self._config = config
        self._unresponsive_since_ms = 0
        self._probe_at_ms = 0
        self._n_failed_probes = 0
        self._probe_ended_ms = 0
        # Time of each peer's last report of the failure, and the start of the failure.
        self._peer_failures: dict[InstanceId, tuple[int, int]] = {}

    def update(self, entry: ServerEntry, now_ms: int) -> None:
        """Apply a newer entry of the same incarnation."""
        self.entry = entry
        self.cold_until_ms = now_ms + entry.cold_ms

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the server is warming up and can handle few requests."""
        return now_ms < self.cold_until_ms or now_ms < self.forced_cold_until_ms

    def is_avoided(self, now_ms: int) -> bool:
        """Return whether new flows go to other servers if possible."""
        return self.health is not _ANSWERING or self._n_peer_failures(now_ms) > 0

    def is_failed(self, now_ms: int) -> bool:
        """Return whether this instance, or enough peers, confirmed a failure."""
        if self.health is _FAILED or self.is_superseded:
            return True
        return self._n_peer_failures(now_ms) >= self._config.n_failure_confirmations

    def is_failure_confirmed(self, now_ms: int, *, is_alone: bool) -> bool:
        """Return whether enough instances confirmed a failure to reset open flows.

        Parameters
        ----------
        now_ms : int
            Current time.
        is_alone : bool
            Whether no live peer could confirm the failure.
        """
        is_failed_here = self.health is _FAILED
        n_confirmations = is_failed_here + self._n_peer_failures(now_ms)
        return n_confirmations >= self._config.n_failure_confirmations or (
            is_failed_here and is_alone
        )

    def _n_peer_failures(self, now_ms: int) -> int:
        """Return how many peers report a failure newer than the last progress here."""
        if not self._peer_failures:
            return 0
        oldest_ms = now_ms - self._config.peer_failure_ttl_ms
        return sum(
            reported_at_ms > oldest_ms and since_ms > self.progress_at_ms
            for reported_at_ms, since_ms in self._peer_failures.values()
        )

    def on_progress(self, since_ms: int, now_ms: int) -> bool:
        """Record an answer to data sent at `since_ms`.

        Returns
        -------
        bool
            Whether the server has recovered from being suspect or failed.
        """
        self.progress_at_ms = now_ms
        if self.health is _ANSWERING or since_ms < self._unresponsive_since_ms:
            # An answer to earlier data does not refute the missing response after it.
            return False
        self._recover()
        return True

    def on_no_response(self, since_ms: int) -> bool:
        """Record that data sent at `since_ms` was not answered.

        Returns
        -------
        bool
            Whether the server has newly become suspect.
        """
        if since_ms < self.progress_at_ms or self.health is not _ANSWERING:
            return False
        self.health = Health.SUSPECT
        self._unresponsive_since_ms = since_ms
        self._probe_at_ms = since_ms
        return True

    def needs_probe(self, now_ms: int) -> bool:
        """Return whether the server should be probed now."""
        if self.health is _ANSWERING or self.is_probe_in_flight:
            return False
        return now_ms >= self._probe_at_ms

    def on_probe(self, is_reached: bool, now_ms: int) -> Health | None:
        """Record whether a probe reached the server.

        Returns
        -------
        Health or None
            The new health; None if it did not change.
        """
        self.is_probe_in_flight = False
        self._probe_ended_ms = now_ms
        if self.health is _ANSWERING:
            return None
        if is_reached:
            # Data sent before is answered late; it is not lost.
            self.progress_at_ms = now_ms
            self._recover()
            return Health.ANSWERING
        wait_ms = self._config.probe_ms << min(self._n_failed_probes, 8)
        self._probe_at_ms = now_ms + min(wait_ms, self._config.probe_max_ms)
        self._n_failed_probes += 1
        if self.health is _FAILED:
            return None
        self.health = Health.FAILED
        return Health.FAILED

    def on_inconclusive_probe(self, now_ms: int) -> None:
        """Record a probe that failed because of this instance's own link or delay."""
        self.is_probe_in_flight = False
        self._probe_ended_ms = now_ms
        self._probe_at_ms = now_ms + self._config.probe_expedited_ms

    def expedite_probe(self) -> None:
        """Bring the next probe forward, as callers are waiting for the server."""
        soon_ms = self._probe_ended_ms + self._config.probe_expedited_ms
        self._probe_at_ms = min(self._probe_at_ms, soon_ms)

    def _recover(self) -> None:
        self.health = Health.ANSWERING
        self._n_failed_probes = 0
        self._peer_failures.clear()

    def on_peer_failure_report(
        self, peer: InstanceId, unresponsive_ms: int, now_ms: int
    ) -> bool:
        """Record that a peer of the local data centre reported the server as failed.

        Returns
        -------
        bool
            Whether new flows newly avoid the server.
        """
        was_avoided = self.is_avoided(now_ms)
        self._peer_failures[peer] = now_ms, now_ms - unresponsive_ms
        return not was_avoided and self.is_avoided(now_ms)

    def unresponsive_ms(self, now_ms: int) -> int:
        """Return how long the server has been unresponsive; 0 if it answers."""
        if self.health is _ANSWERING:
            return 0
        return max(1, now_ms - self._unresponsive_since_ms)

    def occupancy(self, peer_load_weight: float = 1.0) -> float:
        """Return the load of the server, in requests per slot.

        Parameters
        ----------
        peer_load_weight : float
            Weight of the load that peers reported.
        """
        local_load = self.n_in_flight + self._config.flow_weight * self.n_flows
        return (local_load + peer_load_weight * self.peer_load) / max(
            1, self.entry.n_slots
        )
