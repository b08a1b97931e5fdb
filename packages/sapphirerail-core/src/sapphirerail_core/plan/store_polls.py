"""When an instance reads the root in the store."""

import random

from ..fleet.view import FleetView
from ..rendezvous import hash_key
from .sync_config import SyncConfig

__all__ = ["StorePolls"]

READER_KEY = hash_key("store-reader")
SHORTEST = 0.75
"""Least share of a time that jitter leaves of it."""


class StorePolls:
    """Decides whose turn it is to read the store.

    A few instances of each data centre read it regularly. When news from the store
    have become stale, the others try it as well, at a low rate over all of them.

    Parameters
    ----------
    config : SyncConfig
        Times and counts.
    fleet : FleetView
        Who is alive.
    random_state : random.Random
        Gives jitter.

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
            The time.
        contact_age_ms : int
            Age of the news from the store; negative if there was none.
        """
        if self._next_ms is None:
            # Peers that are known by then spare a newcomer the reading of all shards.
            self._wait(now_ms, self._config.repeat_ms)
            return False
        if now_ms < self._next_ms:
            return False
        # The role may come here at any time, so that it is looked at this often.
        self._wait(now_ms, self._config.poll_ms)
        self.is_reader = self._is_owner()
        return self.is_reader or self._falls_back(contact_age_ms)

    def _is_owner(self) -> bool:
        readers = self._fleet.owners(
            READER_KEY, self._config.n_readers, self._fleet.self_data_centre
        )
        return self._fleet.self_id in readers

    def _falls_back(self, contact_age_ms: int) -> bool:
        if 0 <= contact_age_ms < self._config.contact_stale_ms:
            return False
        n_here = max(1, len(self._fleet.live(self._fleet.self_data_centre)))
        mean_ms = n_here * self._config.fallback_ms
        return self._random.random() < self._config.poll_ms / mean_ms

    def _wait(self, now_ms: int, time_ms: int) -> None:
        jitter = self._random.uniform(SHORTEST, 1.0)
        self._next_ms = now_ms + int(time_ms * jitter)
