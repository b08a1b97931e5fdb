"""What this instance believes of one backend server."""

from enum import Enum

from .config import SteeringConfig
from .model import ServerEntry
from .tag import ServerTag, server_tag

__all__ = ["Health", "KnownServer"]


class Health(Enum):
    """Whether a server answers, from what its flows show."""

    ANSWERING = "answering"
    SUSPECT = "suspect"
    DEAD = "dead"


class KnownServer:
    """One incarnation of a backend server, with the evidence about it.

    Progress is an answer that a caller's next packet proves; answers themselves do not
    pass the instance. Silence counts only if it began after the last progress.

    Parameters
    ----------
    entry : ServerEntry
        What it announced last.
    config : SteeringConfig
        Thresholds.
    now_ms : int
        When the entry was read.
    """

    __slots__ = (
        "_config",
        "_has_silent_opening",
        "_n_trials",
        "_silent_flows",
        "_silent_since_ms",
        "_trial_at_ms",
        "cold_until_ms",
        "departed_at_ms",
        "entry",
        "forced_cold_until_ms",
        "health",
        "is_confirmed_gone",
        "missing_since_ms",
        "n_flows",
        "n_in_flight",
        "peer_dead_since_ms",
        "peer_load",
        "peer_progress_at_ms",
        "peer_suspected_at_ms",
        "progress_at_ms",
        "tag",
    )

    def __init__(self, entry: ServerEntry, config: SteeringConfig, now_ms: int) -> None:
        self.entry = entry
        self.tag: ServerTag = server_tag(entry.identity)
        self.health = Health.ANSWERING
        self.cold_until_ms = now_ms + entry.cold_ms
        self.forced_cold_until_ms = 0
        self.missing_since_ms: int | None = None
        self.is_confirmed_gone = False
        self.departed_at_ms: int | None = None
        self.n_flows = 0
        self.n_in_flight = 0
        self.peer_load = 0.0
        self.peer_progress_at_ms = -1_000_000
        self.peer_suspected_at_ms = -1_000_000
        self.progress_at_ms = -1_000_000
        self._config = config
        self.peer_dead_since_ms = -1_000_000
        self._silent_flows: set[bytes] = set()
        self._has_silent_opening = False
        self._silent_since_ms = 0
        self._trial_at_ms = 0
        self._n_trials = 0

    def update(self, entry: ServerEntry, now_ms: int) -> None:
        """Take in a newer announcement of the same incarnation."""
        self.entry = entry
        self.cold_until_ms = now_ms + entry.cold_ms
        self.missing_since_ms = None

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the server bears little more than a few requests."""
        return now_ms < self.cold_until_ms or now_ms < self.forced_cold_until_ms

    def is_avoided(self, now_ms: int) -> bool:
        """Return whether new flows go elsewhere if they can."""
        if self.health is not Health.ANSWERING:
            return now_ms < self._trial_at_ms
        suspected_ms = self.peer_suspected_at_ms
        if self.progress_at_ms >= suspected_ms:
            return False
        return now_ms - suspected_ms < self._config.peer_suspicion_ms

    def on_trial(self, now_ms: int) -> None:
        """Note that a suspected server gets one opening to show itself."""
        if self.health is Health.ANSWERING:
            return
        wait_ms = self._config.trial_ms << min(self._n_trials, 8)
        self._trial_at_ms = now_ms + min(wait_ms, self._config.trial_max_ms)
        self._n_trials += 1

    def on_progress(self, since_ms: int, now_ms: int) -> bool:
        """Take in an answer to something that was sent at a time.

        Returns
        -------
        bool
            Whether the server was suspected until now.
        """
        self.progress_at_ms = now_ms
        if self._silent_flows and since_ms < self._silent_since_ms:
            # An answer that was on its way says nothing of the silence after it.
            return False
        was_suspect = self.health is not Health.ANSWERING
        self.health = Health.ANSWERING
        self._silent_flows.clear()
        self._has_silent_opening = False
        self._n_trials = 0
        return was_suspect

    def on_silence(
        self, flow: bytes, since_ms: int, now_ms: int, *, is_opening: bool
    ) -> Health | None:
        """Take in that something sent at a time was not answered.

        Parameters
        ----------
        flow : bytes
            The flow that shows it.
        since_ms, now_ms : int
            When it was sent, and the present time.
        is_opening : bool
            Whether it opens a flow. Openings are answered at once by a server that
            lives, requests only when they have run.

        Returns
        -------
        Health or None
            The new state if it changed.
        """
        if since_ms <= self.progress_at_ms:
            return None
        if not self._silent_flows:
            self._silent_since_ms = since_ms
        self._silent_flows.add(flow)
        before = self.health
        if before is Health.ANSWERING:
            self.health = Health.SUSPECT
        if is_opening and not self._has_silent_opening:
            self._has_silent_opening = True
            self.on_trial(now_ms)
        if self._is_dead(now_ms):
            self.health = Health.DEAD
        return self.health if self.health is not before else None

    def _is_dead(self, now_ms: int) -> bool:
        if not self._has_silent_opening:
            return False
        if len(self._silent_flows) < self._config.n_flows_to_dead:
            return False
        if now_ms - self._silent_since_ms < self._config.dead_after_ms:
            return False
        return self.peer_progress_at_ms < self._silent_since_ms

    def on_peer_silence(self, silence_ms: int, now_ms: int, *, is_dead: bool) -> None:
        """Take in that a peer of the own data centre finds the server silent."""
        self.peer_suspected_at_ms = now_ms
        if is_dead:
            self.peer_dead_since_ms = now_ms - silence_ms

    def is_dead(self, now_ms: int) -> bool:
        """Return whether the server is dead, by own evidence or by a live peer's."""
        if self.health is Health.DEAD:
            return True
        if now_ms - self.peer_suspected_at_ms >= self._config.peer_suspicion_ms:
            return False
        return self.peer_dead_since_ms > self.progress_at_ms

    def silence_ms(self, now_ms: int) -> int:
        """Return for how long the server has been silent; 0 if it answers."""
        return now_ms - self._silent_since_ms if self._silent_flows else 0

    def occupancy(self) -> float:
        """Return the work that is known to be at the server, in slots per slot."""
        own = self.n_in_flight + self._config.flow_weight * self.n_flows
        return (own + self.peer_load) / max(1, self.entry.n_slots)
