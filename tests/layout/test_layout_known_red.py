"""The list of tests that fail for a known fault can't hide anything else."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED = "test_it.py::test_red | cause | command, seed 1 | seen | issue 1\n"
GREEN = "test_it.py::test_green | cause | command, seed 1 | seen | issue 1\n"
MISSING = "test_it.py::test_gone | cause | command, seed 1 | seen | issue 1\n"


@pytest.fixture
def run(tmp_path):
    """Return a function that runs two tests beside a list."""

    def run_beside(listed, *arguments):
        (tmp_path / "conftest.py").write_text((ROOT / "conftest.py").read_text())
        (tmp_path / "test_it.py").write_text(TESTS)
        (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = .\n")
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
        command = [sys.executable, "-P", "-m", "pytest", "-p", "no:cacheprovider"]
        return subprocess.run(
            [*command, *arguments], cwd=tmp_path, capture_output=True, text=True
        )

    return run_beside


class TestKnownRed:
    """What a run does with the list."""

    def test_listed_failure_is_passed_over_and_printed(self, run):
        """The run is green and says what it passed over."""
        ended = run(RED)
        assert ended.returncode == 0
        assert "known red: test_it.py::test_red | cause" in ended.stdout
        assert "1 passed, 1 xfailed" in ended.stdout

    def test_unlisted_failure_fails_the_run(self, run):
        """Nothing is passed over without a line."""
        assert run("").returncode == 1

    def test_listed_test_that_passes_fails_the_run(self, run):
        """A mended fault is taken off the list."""
        assert run(RED + GREEN).returncode == 1

    def test_listed_test_that_does_not_exist_fails_the_run(self, run):
        """A renamed test does not stay on the list."""
        ended = run(RED + MISSING)
        assert ended.returncode != 0
        assert "there is no test test_it.py::test_gone" in ended.stderr + ended.stdout

    def test_part_of_the_tests_can_be_run(self, run):
        """Other tests needn't be there then."""
        assert run(RED + MISSING, "test_it.py::test_green").returncode == 0

    @pytest.mark.parametrize("listed", [RED * 4, "test_it.py::test_red | cause\n"])
    def test_list_is_short_and_complete(self, run, listed):
        """Each line has its five fields, and there are three at most."""
        ended = run(listed)
        assert ended.returncode != 0
        assert "KNOWN-RED.txt" in ended.stderr + ended.stdout
