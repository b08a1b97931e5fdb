"""Result of one measurement, with its bound."""

import sys

import msgspec

__all__ = ["Baseline", "Figure", "emit"]


class Baseline(msgspec.Struct):
    """The same figure for a simpler design, measured in the same run."""

    name: str
    value: float


class Figure(msgspec.Struct, omit_defaults=True):
    """A measured value and the bound that it has to meet.

    Parameters
    ----------
    name : str
        Name of the measured quantity.
    value : float
        Measured value.
    unit : str
        Unit of the value; ``"1"`` for a share.
    bound : float or None
        Guaranteed limit or target; None if there is none.
    holds : bool
        Whether the value meets the bound.
    baseline : Baseline or None
        Value to compare with.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    holds: bool = True
    baseline: Baseline | None = None

    @classmethod
    def at_most(
        cls,
        name: str,
        value: float,
        unit: str,
        bound: float,
        baseline: Baseline | None = None,
    ) -> "Figure":
        """Return a figure with an upper bound."""
        return cls(name, value, unit, bound, value <= bound, baseline)

    @classmethod
    def at_least(
        cls,
        name: str,
        value: float,
        unit: str,
        bound: float,
        baseline: Baseline | None = None,
    ) -> "Figure":
        """Return a figure with a lower bound."""
        return cls(name, value, unit, bound, value >= bound, baseline)


def emit(figure: Figure) -> None:
    """Print a figure as one line of JSON."""
    line = {
        "name": figure.name,
        "value": figure.value,
        "unit": figure.unit,
        "bound": figure.bound,
        "holds": figure.holds,
    }
    if figure.baseline is not None:
        line["baseline"] = msgspec.to_builtins(figure.baseline)
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
