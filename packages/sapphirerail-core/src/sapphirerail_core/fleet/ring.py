"""Neighbours on a hash ring, which limits how many instances monitor each other."""

from bisect import bisect_left
from collections.abc import Callable, Sequence

from ..rendezvous import hash_key
from ..types import InstanceId

__all__ = ["Ring"]


class Ring:
    """Orders the instances of a data centre by the hash of their names.

    Parameters
    ----------
    instances : sequence of InstanceId
        The instances on the ring.
    """

    def __init__(self, instances: Sequence[InstanceId]) -> None:
        self._positions = sorted((hash_key(name), name) for name in instances)

    def neighbours(
        self,
        instance: InstanceId,
        n_side: int,
        is_skipped: Callable[[InstanceId], bool] = lambda _: False,
    ) -> tuple[InstanceId, ...]:
        """Return the nearest instances on both sides.

        Parameters
        ----------
        instance : InstanceId
            Instance whose neighbours are returned; it need not be on the ring.
        n_side : int
            Number of instances on each side, not counting skipped ones.
        is_skipped : callable
            Returns whether an instance does not count towards `n_side`. Skipped
            instances before the last counted one are also returned.

        Returns
        -------
        tuple of InstanceId
            The neighbours, each once, sorted.
        """
        found = self._walk(instance, 1, n_side, is_skipped)
        found |= self._walk(instance, -1, n_side, is_skipped)
        return tuple(sorted(found))

    def _walk(
        self,
        instance: InstanceId,
        step: int,
        n_side: int,
        is_skipped: Callable[[InstanceId], bool],
    ) -> set[InstanceId]:
        n_positions = len(self._positions)
        start = bisect_left(self._positions, (hash_key(instance), instance))
        on_ring = start < n_positions and self._positions[start][1] == instance
        first = start + step if on_ring or step < 0 else start
        found: set[InstanceId] = set()
        n_counted = 0
        for distance in range(n_positions - int(on_ring)):
            name = self._positions[(first + step * distance) % n_positions][1]
            found.add(name)
            n_counted += not is_skipped(name)
            if n_counted >= n_side:
                break
        return found
