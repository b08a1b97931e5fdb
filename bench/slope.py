"""Cost measured at several sizes and extrapolated to the target size."""

import math
from collections.abc import Sequence
from enum import Enum

import msgspec

__all__ = ["Growth", "Slope", "log2_size"]


class Growth(Enum):
    """Assumed growth of a cost with the size n."""

    LINEAR = "n"
    LOGARITHMIC = "log2 n"


def log2_size(size: float) -> float:
    """Return the base-2 logarithm of a size.

    Examples
    --------
    >>> log2_size(8)
    3.0
    """
    return math.log2(size)


class Slope(msgspec.Struct, kw_only=True):
    """One row of the capacity table.

    Parameters
    ----------
    name : str
        Name of the measured quantity.
    role : str
        Component that bears the cost.
    unit : str
        Unit of the value at the target size and of the limit.
    sizes, values : sequence
        Sizes and the value measured at each.
    size_of : str
        Quantity that the sizes count.
    target_size : float
        Size to extrapolate to.
    limit : float or None
        Maximum cost at the target size; None if there is none.
    mechanism : str
        Mechanism that determines the cost.
    growth : Growth
        Growth that the fit assumes.
    factor : float
        Converts a measured value to the unit of the limit, such as events per second.
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
        """Return the intercept and the slope of the least-squares line."""
        xs = [self._x(size) for size in self.sizes]
        mean_x = sum(xs) / len(xs)
        mean_y = sum(self.values) / len(xs)
        spread = sum((x - mean_x) ** 2 for x in xs)
        pairs = zip(xs, self.values, strict=True)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
        return mean_y - slope * mean_x, slope

    def max_relative_error(self) -> float:
        """Return the largest residual, relative to the measured value."""
        intercept, slope = self.fit()
        return max(
            abs(intercept + slope * self._x(size) - value) / abs(value)
            for size, value in zip(self.sizes, self.values, strict=True)
            if value
        )

    def at_target(self) -> float:
        """Return the cost at the target size, in the unit of the limit.

        The result is at least the largest value measured at a size up to the target:
        noise can make a constant cost appear to fall.
        """
        if self.target_size in self.sizes:
            return self.values[list(self.sizes).index(self.target_size)] * self.factor
        intercept, slope = self.fit()
        extrapolated = intercept + slope * self._x(self.target_size)
        pairs = zip(self.sizes, self.values, strict=True)
        smaller = [value for size, value in pairs if size <= self.target_size]
        return max(extrapolated, *smaller, 0.0) * self.factor

    def limit_ratio(self) -> float:
        """Return the cost at the target / limit: at most 1 if it holds, 0 if none."""
        if self.limit is None:
            return 0.0
        return self.at_target() / self.limit

    def _x(self, size: float) -> float:
        return log2_size(size) if self.growth is Growth.LOGARITHMIC else size
