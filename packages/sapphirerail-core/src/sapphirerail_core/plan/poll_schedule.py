"""Schedule of an instance's reads of the plan root in the store."""

import random

from ..fleet.view import FleetView
from ..rendezvous import hash_key
from .sync_config import SyncConfig

__all__ = ["PollSchedule"]

READER_KEY = hash_key("store-reader")
MIN_JITTER_FACTOR = 0.75
"""Jitter multiplies an interval by a random factor between this one and 1."""


class PollSchedule:
    """Decides when this instance reads the store.

    A few instances of each data centre poll the store regularly. When the last contact
    with the store is too long ago, the others poll it as well, at a low total rate.

    Parameters
    ----------
    config : SyncConfig
        Intervals and counts.
    fleet : FleetView
        View of the live instances.
    random_state : random.Random
        Source of jitter.

    Attributes
    ----------
    is_reader : bool
        Whether this instance reads the store for its data centre.
    """

    def __init__(
        self, config: SyncConfig, fleet: FleetView, random_state: random.Random
    ) -> None:
        self.is_reader = False
        self._config = config
        self._fleet = fleet
        self._random = random_state
        self._next_ms: int | None = None

    def is_due(self, now_ms: int, contact_age_ms: int) -> bool:
        """Return whether to read the root now.

        Parameters
        ----------
        now_ms : int
            Current time.
        contact_age_ms : int
            Time since the last contact with the store; negative if there was none.
        """
        if self._next_ms is None:
            # By then a new instance may know peers to fetch the plan from, instead of
            # reading all shards.
            self._schedule_next(now_ms, self._config.repeat_interval_ms)
            return False
        if now_ms < self._next_ms:
            return False
        # This instance may become a reader at any time, so each poll checks it.
        self._schedule_next(now_ms, self._config.poll_interval_ms)
        self.is_reader = self._is_owner()
        return self.is_reader or self._is_fallback_due(contact_age_ms)

    def _is_owner(self) -> bool:
        readers = self._fleet.owners(
            READER_KEY, self._config.n_readers, self._fleet.self_data_centre
        )
        return self._fleet.self_id in readers

    def _is_fallback_due(self, contact_age_ms: int) -> bool:
        if 0 <= contact_age_ms < self._config.contact_stale_ms:
            return False
        n_local = max(1, len(self._fleet.live(self._fleet.self_data_centre)))
        mean_ms = n_local * self._config.fallback_interval_ms
        return self._random.random() < self._config.poll_interval_ms / mean_ms

    def _schedule_next(self, now_ms: int, interval_ms: int) -> None:
        jitter = self._random.uniform(MIN_JITTER_FACTOR, 1.0)
        self._next_ms = now_ms + int(interval_ms * jitter)
