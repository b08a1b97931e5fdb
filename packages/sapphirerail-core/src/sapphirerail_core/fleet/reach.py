"""Which other data centres can be reached from this one."""

from ..types import DataCentreId

__all__ = ["Reach"]

HOP_MS = 10
"""Added to the age of what a peer heard, for the time on the way."""


class Reach:
    """Keeps when this data centre last heard of each other one.

    Parameters
    ----------
    own : DataCentreId
        The data centre of this instance.
    unreachable_after_ms : int
        Silence after which a data centre counts as unreachable.
    """

    def __init__(self, own: DataCentreId, unreachable_after_ms: int) -> None:
        self._own = own
        self._unreachable_after_ms = unreachable_after_ms
        self._heard_ms: dict[DataCentreId, int] = {}
        self._unreachable: dict[DataCentreId, int] = {}

    def hear(self, data_centre: DataCentreId, now_ms: int) -> None:
        """Record a message from a data centre."""
        self._heard_ms[data_centre] = now_ms

    def take_ages(self, ages: dict[DataCentreId, int], now_ms: int) -> None:
        """Take over what an instance of the own data centre heard."""
        for data_centre, age_ms in ages.items():
            heard_ms = now_ms - age_ms - HOP_MS
            known_ms = self._heard_ms.get(data_centre, heard_ms)
            self._heard_ms[data_centre] = max(known_ms, heard_ms)

    def ages(self, now_ms: int) -> dict[DataCentreId, int]:
        """Return how long ago each other data centre was heard of."""
        return {
            name: now_ms - heard_ms
            for name, heard_ms in self._heard_ms.items()
            if name != self._own
        }

    def is_unreachable(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre counts as unreachable."""
        return data_centre in self._unreachable

    def unreachable_for(self, now_ms: int) -> dict[DataCentreId, int]:
        """Return for how long each unreachable data centre has been so."""
        return {n: now_ms - since_ms for n, since_ms in self._unreachable.items()}

    def restart(self, now_ms: int) -> None:
        """Count silence from now on, after a pause of this process."""
        for data_centre in self._heard_ms:
            self._heard_ms[data_centre] = now_ms

    def tick(self, known: list[DataCentreId], now_ms: int) -> list[DataCentreId]:
        """Return the data centres that became reachable or unreachable."""
        changed = []
        for name in known:
            if name == self._own:
                continue
            heard_ms = self._heard_ms.setdefault(name, now_ms)
            silent = now_ms - heard_ms > self._unreachable_after_ms
            if silent and name not in self._unreachable:
                self._unreachable[name] = now_ms
                changed.append(name)
            elif not silent and self._unreachable.pop(name, None) is not None:
                changed.append(name)
        return changed
