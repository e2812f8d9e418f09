"""Days of our own are complete, fit any deployment, and stand in their list."""

import tomllib
from pathlib import Path

import pytest

DAYS = Path(__file__).parents[2] / "deploy" / "days"
FILES = sorted(DAYS.glob("*.toml"))
PLACES = {"service": "@s", "class": "@c", "zone": "@z"}


class TestDays:
    """Each file of the folder."""

    def test_are_there(self):
        """The list is not empty, or the other tests would check nothing."""
        assert len(FILES) >= 8

    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
    def test_is_of_no_one_deployment(self, path):
        """Places are stand-ins; entries say when and what."""
        day = tomllib.loads(path.read_text())
        entries = [*day.get("plan", []), *day.get("faults", [])]
        assert day["name"] == path.stem
        assert set(day) <= {"name", "plan", "faults"}
        assert entries
        for entry in entries:
            assert entry["at"] > 0
            assert entry["kind"]
            for field, start in PLACES.items():
                assert entry.get(field, start).startswith(start)

    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
    def test_says_what_it_is_for(self, path):
        """In its first line and in the list of the folder."""
        assert path.read_text().startswith("# ")
        assert f"| `{path.stem}` |" in (DAYS / "README.md").read_text()
