"""Schedule of an instance's store reads, and the age of the state it has."""

import msgspec

__all__ = ["Refresh", "RefreshConfig"]


class RefreshConfig(msgspec.Struct, frozen=True):
    """Intervals of store reads.

    Parameters
    ----------
    interval_ms : int
        Age at which the first reader reads again; drains must apply within 3 s.
    data_centre_step_ms : int
        Added for instances of all data centres but the first.
    rank_step_ms : int
        Added for each rank within the data centre.
    max_age_ms : int
        Age at which every instance reads; below the 3 s in which drains must apply.
    min_interval_ms : int
        Minimum time between two reads, also when a read is requested.
    gap_ms : int
        Age from which on this instance counts as having been cut off; above
        `max_age_ms`, at which it reads itself, by a call of a slow store.
    retry_ms, retry_max_ms : int
        Initial and maximum backoff after a failed read, of the first instance.
    ranked_retry_max_ms : int
        Maximum backoff of all instances; a part of a divided data centre whose first
        instances are gone finds its next reader within this time.
    """

    interval_ms: int = 500
    data_centre_step_ms: int = 250
    rank_step_ms: int = 250
    max_age_ms: int = 1_600
    min_interval_ms: int = 200
    gap_ms: int = 2_400
    retry_ms: int = 200
    retry_max_ms: int = 1_000
    ranked_retry_max_ms: int = 5_000


class Refresh:
    """Decides, from the age of the directory, when this instance reads the store.

    Each instance waits a little longer than the one ranked before it, and restarts its
    wait when it receives the result of another instance's read. So one instance reads
    for all, and each side of a partition gets a reader of its own.

    Parameters
    ----------
    config : RefreshConfig
        Intervals.
    now_ms : int
        Start time of the process.
    """

    def __init__(self, config: RefreshConfig, now_ms: int) -> None:
        self.config = config
        self._read_at_ms: int | None = None
        self._updated_at_ms: int | None = None
        self._steady_since_ms = now_ms
        # End of the last time without any news, in which this instance and servers near
        # it may have been cut off together.
        self._regained_at_ms = now_ms
        self._failed_at_ms: int | None = None
        self._n_failures = 0
        self._is_read_requested = True
        self.store_revision = 0

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the known state; None before the first read."""
        return None if self._read_at_ms is None else now_ms - self._read_at_ms

    def read_at_ms(self) -> int | None:
        """Return when the newest known read began; None before the first."""
        return self._read_at_ms

    def steady_ms(self, now_ms: int) -> int:
        """Return how long the store has answered without a failure.

        Also counts from the end of a time without news: entries of servers that were
        cut off with this instance have expired meanwhile, and are not back yet, though
        the store has answered other instances all along.
        """
        return now_ms - max(self._steady_since_ms, self._regained_at_ms)

    def delay_ms(self, data_centre_rank: int, rank: int) -> int:
        """Return the age at which an instance with these ranks reads."""
        config = self.config
        delay_ms = (
            config.interval_ms
            + config.data_centre_step_ms * min(data_centre_rank, 1)
            + config.rank_step_ms * rank
        )
        return min(delay_ms, config.max_age_ms)

    def wait_ms(self, data_centre_rank: int, rank: int, now_ms: int) -> int:
        """Return the time until this instance should read; 0 if it should read now."""
        if self._failed_at_ms is not None:
            return max(0, self._failed_at_ms + self._backoff_ms(rank) - now_ms)
        if self._read_at_ms is None:
            return 0
        delay_ms = self.delay_ms(data_centre_rank, rank)
        if self._is_read_requested:
            delay_ms = self.config.min_interval_ms
        due_ms = self._read_at_ms + delay_ms
        return max(0, due_ms - now_ms)

    def _backoff_ms(self, rank: int) -> int:
        """Return the time from a failed read to the next one.

        While the store is away all instances would try again at the same rate, and
        together at more than its limit; who has a state leaves it to those ranked
        before.
        """
        config = self.config
        backoff_ms = min(
            config.retry_ms << min(self._n_failures - 1, 8), config.retry_max_ms
        )
        if self._read_at_ms is None:
            return backoff_ms
        return min(backoff_ms + config.rank_step_ms * rank, config.ranked_retry_max_ms)

    def request_read(self) -> None:
        """Request a read as soon as possible."""
        self._is_read_requested = True

    def on_read(self, store_revision: int, began_ms: int) -> bool:
        """Record a successful read by this instance that began at `began_ms`.

        Returns
        -------
        bool
            Whether its result is to be applied: false if the result of another
            instance's later read, or one with a higher revision, arrived meanwhile.
        """
        if self._n_failures:
            self._steady_since_ms = began_ms
        self._n_failures = 0
        self._failed_at_ms = None
        self._is_read_requested = False
        if self._read_at_ms is not None and self._read_at_ms > began_ms:
            return False
        if store_revision < self.store_revision and self._was_updated_since(began_ms):
            return False
        self._note_gap(began_ms)
        # Also if the revision is lower: one that was known before was not true, as
        # reads of the store are linearizable.
        self.store_revision = store_revision
        self._read_at_ms = began_ms
        return True

    def _was_updated_since(self, began_ms: int) -> bool:
        return self._updated_at_ms is not None and self._updated_at_ms >= began_ms

    def on_failure(self, now_ms: int) -> None:
        """Record a failed read."""
        self._failed_at_ms = now_ms
        self._n_failures += 1

    def on_update(
        self, store_revision: int, age_ms: int, steady_ms: int, now_ms: int
    ) -> bool:
        """Record another instance's read; return whether it is newer than the known."""
        if store_revision < self.store_revision:
            return False
        began_ms = now_ms - age_ms
        if self._read_at_ms is not None and began_ms <= self._read_at_ms:
            return False
        self._note_gap(now_ms)
        self.store_revision = store_revision
        self._read_at_ms = began_ms
        self._updated_at_ms = now_ms
        self._is_read_requested = False
        self._steady_since_ms = began_ms - steady_ms
        return True

    def _note_gap(self, now_ms: int) -> None:
        """Record the end of a time without news, if there was one."""
        age_ms = self.age_ms(now_ms)
        if age_ms is not None and age_ms > self.config.gap_ms:
            self._regained_at_ms = now_ms
