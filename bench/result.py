"""One figure of the bench with its bound."""

import sys

import msgspec

__all__ = ["Baseline", "Figure", "emit"]


class Baseline(msgspec.Struct):
    """The same figure for a simpler way, measured in the same run."""

    name: str
    value: float


class Figure(msgspec.Struct, omit_defaults=True):
    """A measured value; it holds if it is on the right side of its bound.

    Parameters
    ----------
    name : str
        What was measured.
    value : float
        The figure.
    unit : str
        Its unit; ``"1"`` for a share.
    bound : float or None
        The promise or the target; None where there is none.
    holds : bool
        Whether the value keeps to the bound.
    baseline : Baseline or None
        What it is compared with.
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
        """Return a figure that holds up to its bound."""
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
        """Return a figure that holds from its bound on."""
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
