"""Measures the slopes of docs/CAPACITY.md and writes its table."""

import sys
from pathlib import Path

from . import capacity_control, capacity_fleet, capacity_paths
from .result import Figure
from .slope import Slope

__all__ = ["main", "replace_between", "table"]

PAGE_PATH = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin measured -->"
END = "<!-- end measured -->"
KILO = 1000
N_DATA_CENTRES = 7
MEMORY_LINES = (
    "plan_memory_indexed_target",
    "member_table_memory",
    "owner_table_memory",
    "flow_table_memory",
    "flow_record_memory",
    "claim_memory",
    "admission_gate_memory",
)


def _number(value: float, unit: str = "") -> str:
    """Return a value with three digits and a unit that a reader expects.

    Examples
    --------
    >>> _number(2576374, "B")
    '2.58 MB'
    """
    if unit in ("B", "B/s", "byte", "byte/s"):
        for size, prefix in ((1e6, "M"), (1e3, "k")):
            if value >= size:
                return f"{value / size:.3g} {prefix}{unit.replace('byte', 'B')}"
    text = f"{value:.3g}" if abs(value) < KILO else f"{value:,.0f}"
    return f"{text} {unit}".strip()


def _row(slope: Slope) -> str:
    measured = ", ".join(
        f"{_number(size)}: {_number(value)}"
        for size, value in zip(slope.sizes, slope.values, strict=True)
    )
    limit = "none" if slope.limit is None else _number(slope.limit, slope.unit)
    cells = (
        slope.role,
        f"`{slope.name}`",
        f"{measured} ({slope.size_of})",
        f"{slope.growth.value}, {slope.error():.0%}",
        _number(slope.at_target(), slope.unit),
        limit,
        slope.mechanism,
    )
    return "| " + " | ".join(cells) + " |"


def _missing(slope: Slope) -> str:
    factor = slope.missing_factor()
    return (
        f"| {slope.role} | `{slope.name}` | {_number(slope.at_target(), slope.unit)} "
        f"| {_number(slope.limit or 0.0, slope.unit)} | {factor:.1f} |"
    )


def _control_memory(slopes: list[Slope], figures: list[Figure]) -> str:
    """Return the sum of what a node keeps at the target, with its parts."""
    parts = {slope.name: slope.at_target() for slope in slopes}
    parts |= {figure.name: figure.value for figure in figures}
    parts["owner_table_memory"] *= N_DATA_CENTRES
    chosen = {name: parts[name] for name in MEMORY_LINES}
    told = ", ".join(f"`{name}` {_number(v, 'B')}" for name, v in chosen.items())
    return f"{told}: {_number(sum(chosen.values()), 'B')} of 32 MB"


def table(slopes: list[Slope], figures: list[Figure]) -> str:
    """Return the page's measured part as Markdown."""
    rows = slopes
    lines = [
        "| role | bench line | measured | fit, largest error | at the target | limit "
        "| mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        *(_row(slope) for slope in rows),
        "",
        "Measured at the target's size itself, without extrapolation:",
        "",
        "| bench line | value | limit |",
        "| --- | --- | --- |",
    ]
    for figure in figures:
        limit = "none" if figure.bound is None else _number(figure.bound, figure.unit)
        value = _number(figure.value, figure.unit)
        lines.append(f"| `{figure.name}` | {value} | {limit} |")
    total = _control_memory(rows, figures)
    lines += [
        "",
        f"Control's memory, the sum of {total}.",
        "",
        "Not reached by today's design:",
        "",
    ]
    missed = [slope for slope in rows if slope.missing_factor() > 1.0]
    if not missed:
        return "\n".join([*lines, "none of the measured lines."])
    lines += [
        "| role | bench line | at the target | limit | missing factor |",
        "| --- | --- | --- | --- | --- |",
        *(_missing(slope) for slope in missed),
    ]
    return "\n".join(lines)


def replace_between(page: str, text: str) -> str:
    r"""Return a page with the part between the two markers replaced.

    Examples
    --------
    >>> page = f"a\n{BEGIN}\nold\n{END}\nb"
    >>> replace_between(page, "new").splitlines()[2]
    'new'
    """
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n{text}\n{END}{after}"


def main() -> int:
    """Measure, and write the table into the page."""
    figures = capacity_control.plan_figures()
    slopes = [
        *capacity_paths.slopes(),
        *capacity_control.slopes(figures),
        *capacity_fleet.slopes(),
    ]
    text = table(slopes, capacity_control.single_figures(figures))
    page = PAGE_PATH.read_text(encoding="utf-8")
    PAGE_PATH.write_text(replace_between(page, text), encoding="utf-8")
    sys.stdout.write(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
