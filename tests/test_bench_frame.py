import json

import pytest
from bench.__main__ import known_red_figures, run
from bench.capacity import replace_between
from bench.report import draw, group_by_size
from bench.result import Baseline, Figure
from bench.slope import Growth, Slope


def _slope(values, **fields):
    return Slope(
        name="cost",
        role="node",
        unit="ms",
        sizes=(10, 20, 40),
        values=values,
        size_of="nodes",
        target_size=100,
        mechanism="none",
        **fields,
    )


def test_linear_fit_is_extrapolated_to_the_target():
    slope = _slope((12.0, 22.0, 42.0), limit=51.0, factor=2.0)
    assert slope.fit() == pytest.approx((2.0, 1.0))
    assert slope.max_relative_error() == pytest.approx(0.0)
    assert slope.at_target() == pytest.approx(204.0)
    assert slope.limit_ratio() == pytest.approx(4.0)


def test_logarithmic_fit_is_extrapolated_to_the_target():
    slope = _slope((1.0, 2.0, 3.0), growth=Growth.LOGARITHMIC)
    assert slope.at_target() == pytest.approx(3.0 + 1.3219, abs=1e-3)


def test_falling_values_are_not_extrapolated_below_the_largest():
    assert _slope((5.0, 4.0, 3.0)).at_target() == 5.0


def test_target_inside_the_measured_range_is_interpolated():
    slope = _slope((10.0, 20.0, 40.0))
    slope.target_size = 30
    assert slope.at_target() == pytest.approx(30.0)


def test_error_is_the_largest_relative_residual():
    assert _slope((10.0, 20.0, 60.0)).max_relative_error() > 0.2


def test_only_the_text_between_the_markers_is_replaced():
    page = "a\n<!-- begin measured -->\nold\n<!-- end measured -->\nb\n"
    once = replace_between(page, "new")
    assert "old" not in once
    assert once.startswith("a\n")
    assert once.endswith("b\n")
    assert replace_between(once, "new") == once


def test_known_red_figure_is_printed_and_does_not_fail(tmp_path, capsys):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("figure: late\n  seen: 3\ntest: tests/x.py::y\n")
    known = known_red_figures(path)
    assert known == {"late"}
    late = Figure.at_most("late", 3, "s", 1)
    assert run(iter([late]), known) == 0
    printed = capsys.readouterr()
    assert json.loads(printed.out)["holds"] is False
    assert "known red: late" in printed.err


@pytest.mark.parametrize(("value", "status"), [(1, 0), (2, 1)])
def test_missed_bound_fails_the_run(value, status):
    assert run(iter([Figure.at_most("cost", value, "s", 1)]), {"other"}) == status


def test_missing_file_lists_no_known_red_figures(tmp_path):
    assert known_red_figures(tmp_path / "absent") == set()


def test_report_plots_sizes_bounds_and_baselines(tmp_path):
    measured = [
        Figure.at_most("cost_10", 1, "s", 2),
        Figure.at_most("cost_100", 3, "s", 2, Baseline("plain", 4)),
        Figure("alone_7", 1, "s"),
    ]
    assert set(group_by_size(measured)) == {"cost"}
    names = {path.name for path in draw(measured, tmp_path)}
    assert names == {"cost.png", "bounds.svg", "baselines.svg"}
    assert all((tmp_path / name).stat().st_size > 1000 for name in names)
