"""Plots the benchmark figures into build/report: ``python -m bench.report [FILE]``.

FILE contains the output of a benchmark run; without it all benchmarks are run.
"""

import re
import sys
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

import matplotlib
import msgspec

from .__main__ import figures
from .result import Figure

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

__all__ = ["draw", "group_by_size", "main"]

REPORT_PATH = Path(__file__).parent.parent / "build" / "report"
SIZED_NAME = re.compile(r"(?P<stem>.+)_(?P<size>\d+)$")
N_SIZES_MIN = 2
ROW_INCHES = 0.32
WIDTH_INCHES = 9


def group_by_size(measured: Iterable[Figure]) -> dict[str, list[tuple[int, Figure]]]:
    """Group the figures that were measured at several sizes by name without the size.

    Examples
    --------
    >>> found = group_by_size([Figure("cost_10", 1, "s"), Figure("cost_20", 2, "s")])
    >>> [size for size, _ in found["cost"]]
    [10, 20]
    """
    found: dict[str, list[tuple[int, Figure]]] = defaultdict(list)
    for figure in measured:
        match = SIZED_NAME.match(figure.name)
        if match is not None:
            found[match["stem"]].append((int(match["size"]), figure))
    return {
        stem: sorted(points, key=lambda point: point[0])
        for stem, points in found.items()
        if len(points) >= N_SIZES_MIN
    }


def _draw_sizes(stem: str, points: list[tuple[int, Figure]], folder: Path) -> Path:
    chart, axes = pyplot.subplots()
    sizes = [size for size, _ in points]
    axes.plot(sizes, [figure.value for _, figure in points], marker="o", label=stem)
    bounds = [(size, f.bound) for size, f in points if f.bound is not None]
    if bounds:
        axes.plot(*zip(*bounds, strict=True), linestyle="--", label="bound")
    axes.set_xscale("log")
    axes.set_xlabel("size")
    axes.set_ylabel(points[0][1].unit)
    axes.set_ylim(bottom=0)
    axes.legend()
    return _save(chart, folder / f"{stem}.png")


def _draw_bounds(measured: list[Figure], folder: Path) -> Path:
    """Plot each value relative to its bound; an upper bound is missed above 1."""
    bounded = [figure for figure in measured if figure.bound]
    chart, axes = pyplot.subplots(figsize=(WIDTH_INCHES, 1 + ROW_INCHES * len(bounded)))
    shares = [figure.value / (figure.bound or 1.0) for figure in bounded]
    colours = ["tab:blue" if figure.holds else "tab:red" for figure in bounded]
    axes.barh([figure.name for figure in bounded], shares, color=colours)
    axes.axvline(1.0, linestyle="--", color="black")
    axes.set_xlabel("value / bound (red: missed)")
    axes.invert_yaxis()
    return _save(chart, folder / "bounds.svg")


def _draw_baselines(measured: list[Figure], folder: Path) -> Path:
    compared = [figure for figure in measured if figure.baseline is not None]
    chart, axes = pyplot.subplots(
        figsize=(WIDTH_INCHES, 1 + 2 * ROW_INCHES * len(compared))
    )
    rows = range(len(compared))
    baselines = [figure.baseline for figure in compared if figure.baseline]
    axes.barh([row - 0.2 for row in rows], [f.value for f in compared], 0.4)
    axes.barh([row + 0.2 for row in rows], [b.value for b in baselines], 0.4)
    labels = [
        f"{figure.name}\n(lower bar: {baseline.name})"
        for figure, baseline in zip(compared, baselines, strict=True)
    ]
    axes.set_yticks(list(rows), labels, fontsize=7)
    axes.invert_yaxis()
    return _save(chart, folder / "baselines.svg")


def _save(chart: pyplot.Figure, path: Path) -> Path:
    chart.tight_layout()
    chart.savefig(path)
    pyplot.close(chart)
    return path


def draw(measured: list[Figure], folder: Path) -> list[Path]:
    """Plot the figures into a folder and return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = [
        _draw_sizes(s, points, folder) for s, points in group_by_size(measured).items()
    ]
    paths.append(_draw_bounds(measured, folder))
    if any(figure.baseline is not None for figure in measured):
        paths.append(_draw_baselines(measured, folder))
    return paths


def main() -> int:
    """Plot the figures of a file, or of a new run."""
    if len(sys.argv) > 1:
        lines = Path(sys.argv[1]).read_text(encoding="utf-8").splitlines()
        measured = [msgspec.json.decode(line, type=Figure) for line in lines]
    else:
        measured = list(figures())
    for path in draw(measured, REPORT_PATH):
        sys.stdout.write(f"{path.relative_to(Path.cwd())}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
