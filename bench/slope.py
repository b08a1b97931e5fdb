"""A cost measured at growing sizes, and what it comes to at the target."""

import math
from collections.abc import Sequence
from enum import Enum

import msgspec

__all__ = ["Growth", "Slope", "doublings"]


class Growth(Enum):
    """What a cost is taken to grow with."""

    LINEAR = "n"
    LOGARITHMIC = "log2 n"


def doublings(size: float) -> float:
    """Return the base-2 logarithm of a size.

    Examples
    --------
    >>> doublings(8)
    3.0
    """
    return math.log2(size)


class Slope(msgspec.Struct, kw_only=True):
    """One row of the capacity table.

    Parameters
    ----------
    name : str
        The bench line.
    role : str
        Whose cost it is.
    unit : str
        Unit of the values, the target's value and the limit.
    sizes, values : sequence
        What was measured.
    size_of : str
        What the sizes count.
    target_size : float
        That count at the target.
    limit : float or None
        The most that the target allows; None if it sets none.
    mechanism : str
        What carries the role.
    growth : Growth
        The form of the fit.
    factor : float
        Turns a measured value into the unit of the limit, such as events a second.
    """

    name: str
    role: str
    unit: str
    sizes: Sequence[float]
    values: Sequence[float]
    size_of: str
    target_size: float
    mechanism: str
    limit: float | None = None
    growth: Growth = Growth.LINEAR
    factor: float = 1.0

    def fit(self) -> tuple[float, float]:
        """Return intercept and slope of the least squares line."""
        xs = [self._x(size) for size in self.sizes]
        mean_x = sum(xs) / len(xs)
        mean_y = sum(self.values) / len(xs)
        spread = sum((x - mean_x) ** 2 for x in xs)
        pairs = zip(xs, self.values, strict=True)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
        return mean_y - slope * mean_x, slope

    def error(self) -> float:
        """Return the largest distance from the line, as a share of the value."""
        intercept, slope = self.fit()
        return max(
            abs(intercept + slope * self._x(size) - value) / abs(value)
            for size, value in zip(self.sizes, self.values, strict=True)
            if value
        )

    def at_target(self) -> float:
        """Return the cost at the target, in the unit of the limit.

        The line is not followed below the largest value that was measured up to that
        size: noise may make a constant cost seem to fall.
        """
        if self.target_size in self.sizes:
            return self.values[list(self.sizes).index(self.target_size)] * self.factor
        intercept, slope = self.fit()
        reached = intercept + slope * self._x(self.target_size)
        pairs = zip(self.sizes, self.values, strict=True)
        smaller = [value for size, value in pairs if size <= self.target_size]
        return max(reached, *smaller, 0.0) * self.factor

    def missing_factor(self) -> float:
        """Return by how much the limit is exceeded; 1 or less if it holds."""
        if self.limit is None:
            return 0.0
        return self.at_target() / self.limit

    def _x(self, size: float) -> float:
        return doublings(size) if self.growth is Growth.LOGARITHMIC else size
