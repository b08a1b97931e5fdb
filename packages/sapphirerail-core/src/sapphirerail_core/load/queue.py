"""Bounded priority queue of waiting requests, by traffic class and deadline."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from ..types import TrafficClass

__all__ = ["AdmissionQueue", "QueueItem"]


@dataclass(order=True, slots=True, frozen=True)
class QueueItem:
    """A waiting request; the smallest item is served first."""

    traffic_class: TrafficClass
    deadline_at_ms: int
    key: int = field(compare=True)


class AdmissionQueue:
    """Serves the most important class first and drops the least important.

    Parameters
    ----------
    n_items_max : int
        Requests that may wait.

    Examples
    --------
    >>> queue = AdmissionQueue(1)
    >>> queue.push(QueueItem(TrafficClass.UPLOAD, 900, 1))
    >>> queue.push(QueueItem(TrafficClass.TRANSACTION, 950, 2)).key
    1
    >>> queue.pop().key
    2
    """

    def __init__(self, n_items_max: int) -> None:
        self.n_items_max = n_items_max
        self._items: list[QueueItem] = []

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueueItem) -> QueueItem | None:
        """Add an item; return the item dropped from a full queue, or None."""
        heappush(self._items, item)
        if len(self._items) <= self.n_items_max:
            return None
        last = max(self._items)
        self.remove(last.key)
        return last

    def pop(self) -> QueueItem | None:
        """Remove and return the item to serve next, or None."""
        return heappop(self._items) if self._items else None

    def remove(self, key: int) -> bool:
        """Remove the item with a key; return whether it was queued."""
        remaining = [item for item in self._items if item.key != key]
        found = len(remaining) != len(self._items)
        if found:
            self._items = remaining
            heapify(self._items)
        return found

    def n_ahead(self, traffic_class: TrafficClass) -> int:
        """Return how many items of this or a more important class wait."""
        return sum(item.traffic_class <= traffic_class for item in self._items)

    def pop_expired(self, now_ms: int) -> list[QueueItem]:
        """Remove and return the items whose deadline has passed."""
        expired = [item for item in self._items if item.deadline_at_ms <= now_ms]
        if expired:
            self._items = [i for i in self._items if i.deadline_at_ms > now_ms]
            heapify(self._items)
        return expired

    def pop_all(self) -> list[QueueItem]:
        """Remove and return all items, in the order of service."""
        items = sorted(self._items)
        self._items = []
        return items
