"""Only the tests in KNOWN-RED.txt may fail, and each of them is printed."""

from pathlib import Path

ROOT = Path(__file__).parent.parent
TESTS = """
def test_listed():
    assert False

def test_mended():
    assert True

def test_other():
    assert False
"""


def test_only_listed_tests_may_be_red(pytester):
    pytester.makeconftest((ROOT / "conftest.py").read_text(encoding="utf-8"))
    entries = ["test: test_a.py::test_listed", "test: test_a.py::test_mended"]
    pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(entries))
    pytester.makepyfile(test_a=TESTS)
    result = pytester.runpytest_subprocess("test_a.py")
    result.assert_outcomes(failed=1, xfailed=1, xpassed=1)
    assert result.ret != 0
    result.stdout.fnmatch_lines(
        ["test_a.py::test_listed: red", "test_a.py::test_mended: passed*"]
    )
