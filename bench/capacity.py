"""Measures how costs grow with size and writes the table of docs/CAPACITY.md."""

import sys
from pathlib import Path

from . import capacity_control, capacity_fleet, capacity_paths
from .result import Figure
from .slope import Slope

__all__ = ["main", "markdown_table", "replace_between"]

PAGE_PATH = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin measured -->"
END = "<!-- end measured -->"
KILO = 1000
N_DATA_CENTRES = 7
CONTROL_MEMORY_NAMES = (
    "plan_memory_indexed_target",
    "member_table_memory",
    "owner_table_memory",
    "flow_table_memory",
    "flow_record_memory",
    "claim_memory",
    "admission_gate_memory",
)


def _format(value: float, unit: str = "") -> str:
    """Format a value with three significant digits, its unit and a unit prefix.

    Examples
    --------
    >>> _format(2576374, "B")
    '2.58 MB'
    """
    if unit in ("B", "B/s", "byte", "byte/s"):
        for size, prefix in ((1e6, "M"), (1e3, "k")):
            if value >= size:
                return f"{value / size:.3g} {prefix}{unit.replace('byte', 'B')}"
    text = f"{value:.3g}" if abs(value) < KILO else f"{value:,.0f}"
    return f"{text} {unit}".strip()


def _table_row(slope: Slope) -> str:
    measured = ", ".join(
        f"{_format(size)}: {_format(value)}"
        for size, value in zip(slope.sizes, slope.values, strict=True)
    )
    limit = "none" if slope.limit is None else _format(slope.limit, slope.unit)
    cells = (
        slope.role,
        f"`{slope.name}`",
        f"{measured} ({slope.size_of})",
        f"{slope.growth.value}, {slope.max_relative_error():.0%}",
        _format(slope.at_target(), slope.unit),
        limit,
        slope.mechanism,
    )
    return "| " + " | ".join(cells) + " |"


def _exceeded_row(slope: Slope) -> str:
    ratio = slope.limit_ratio()
    return (
        f"| {slope.role} | `{slope.name}` | {_format(slope.at_target(), slope.unit)} "
        f"| {_format(slope.limit or 0.0, slope.unit)} | {ratio:.1f} |"
    )


def _control_memory(slopes: list[Slope], figures: list[Figure]) -> str:
    """Return the control memory of an instance at the target size, with its parts."""
    parts = {slope.name: slope.at_target() for slope in slopes}
    parts |= {figure.name: figure.value for figure in figures}
    parts["owner_table_memory"] *= N_DATA_CENTRES
    selected = {name: parts[name] for name in CONTROL_MEMORY_NAMES}
    listed = ", ".join(f"`{name}` {_format(v, 'B')}" for name, v in selected.items())
    return f"{listed}: {_format(sum(selected.values()), 'B')} of 32 MB"


def markdown_table(slopes: list[Slope], figures: list[Figure]) -> str:
    """Return the measured part of the page as Markdown."""
    rows = slopes
    lines = [
        "| role | bench line | measured | fit, largest error | at the target | limit "
        "| mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        *(_table_row(slope) for slope in rows),
        "",
        "Measured at the target size, without extrapolation:",
        "",
        "| bench line | value | limit |",
        "| --- | --- | --- |",
    ]
    for figure in figures:
        limit = "none" if figure.bound is None else _format(figure.bound, figure.unit)
        value = _format(figure.value, figure.unit)
        lines.append(f"| `{figure.name}` | {value} | {limit} |")
    total = _control_memory(rows, figures)
    lines += [
        "",
        f"Control memory of an instance, the sum of {total}.",
        "",
        "Limits exceeded at the target size:",
        "",
    ]
    exceeded = [slope for slope in rows if slope.limit_ratio() > 1.0]
    if not exceeded:
        return "\n".join([*lines, "none."])
    lines += [
        "| role | bench line | at the target | limit | value / limit |",
        "| --- | --- | --- | --- | --- |",
        *(_exceeded_row(slope) for slope in exceeded),
    ]
    return "\n".join(lines)


def replace_between(page: str, text: str) -> str:
    r"""Return a page with the text between the two markers replaced.

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
    """Measure, write the table into the page and print it."""
    figures = capacity_control.plan_figures()
    slopes = [
        *capacity_paths.slopes(),
        *capacity_control.slopes(figures),
        *capacity_fleet.slopes(),
    ]
    text = markdown_table(slopes, capacity_control.single_figures(figures))
    page = PAGE_PATH.read_text(encoding="utf-8")
    PAGE_PATH.write_text(replace_between(page, text), encoding="utf-8")
    sys.stdout.write(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
