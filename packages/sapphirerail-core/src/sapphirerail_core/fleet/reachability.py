"""Reachability of the other data centres."""

from ..types import DataCentreId

__all__ = ["Reachability"]

HOP_MS = 10
"""Added to the contact ages that a peer reports, for the time in transit."""


class Reachability:
    """Tracks the last contact of this data centre with each other one.

    Parameters
    ----------
    own : DataCentreId
        Data centre of this instance.
    unreachable_after_ms : int
        Time without contact after which a data centre counts as unreachable.
    """

    def __init__(self, own: DataCentreId, unreachable_after_ms: int) -> None:
        self._own = own
        self._unreachable_after_ms = unreachable_after_ms
        self._contact_ms: dict[DataCentreId, int] = {}
        self._unreachable: dict[DataCentreId, int] = {}

    def record_contact(self, data_centre: DataCentreId, now_ms: int) -> None:
        """Record a message from a data centre."""
        self._contact_ms[data_centre] = now_ms

    def merge_contact_ages(
        self, contact_ages: dict[DataCentreId, int], now_ms: int
    ) -> None:
        """Merge the contact ages that an instance of the local data centre reports."""
        for data_centre, age_ms in contact_ages.items():
            contact_ms = now_ms - age_ms - HOP_MS
            known_contact_ms = self._contact_ms.get(data_centre, contact_ms)
            self._contact_ms[data_centre] = max(known_contact_ms, contact_ms)

    def contact_ages(self, now_ms: int) -> dict[DataCentreId, int]:
        """Return the time since the last contact with each other data centre."""
        return {
            name: now_ms - contact_ms
            for name, contact_ms in self._contact_ms.items()
            if name != self._own
        }

    def is_unreachable(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre counts as unreachable."""
        return data_centre in self._unreachable

    def unreachable_for(self, now_ms: int) -> dict[DataCentreId, int]:
        """Return for how long each unreachable data centre has been unreachable."""
        return {n: now_ms - since_ms for n, since_ms in self._unreachable.items()}

    def reset_timers(self, now_ms: int) -> None:
        """Restart the contact timeouts, after a pause of this process."""
        for data_centre in self._contact_ms:
            self._contact_ms[data_centre] = now_ms

    def tick(self, known: list[DataCentreId], now_ms: int) -> list[DataCentreId]:
        """Return the data centres that became reachable or unreachable."""
        changed = []
        for name in known:
            if name == self._own:
                continue
            contact_ms = self._contact_ms.setdefault(name, now_ms)
            is_unresponsive = now_ms - contact_ms > self._unreachable_after_ms
            if is_unresponsive and name not in self._unreachable:
                self._unreachable[name] = now_ms
                changed.append(name)
            elif not is_unresponsive and self._unreachable.pop(name, None) is not None:
                changed.append(name)
        return changed
