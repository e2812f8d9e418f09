"""Day files are complete, independent of a deployment, and listed in their README."""

import tomllib
from pathlib import Path

import pytest

DAYS = Path(__file__).parents[2] / "deploy" / "days"
FILES = sorted(DAYS.glob("*.toml"))
PLACEHOLDER_PREFIXES = {"service": "@s", "class": "@c", "zone": "@z"}


class TestDays:
    """Rules for each day file."""

    def test_day_files_exist(self):
        """The parametrized tests below have files to check."""
        assert len(FILES) >= 8

    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
    def test_uses_placeholders_only(self, path):
        """Places are placeholders, and each entry has a time and a kind."""
        day = tomllib.loads(path.read_text())
        entries = [*day.get("plan", []), *day.get("faults", [])]
        assert day["name"] == path.stem
        assert set(day) <= {"name", "length_s", "classes", "plan", "faults"}
        for each in day.get("classes", []):
            assert each["name"].startswith(PLACEHOLDER_PREFIXES["class"])
        assert entries
        for entry in entries:
            assert entry["at"] > 0
            assert entry["kind"]
            for field, prefix in PLACEHOLDER_PREFIXES.items():
                assert entry.get(field, prefix).startswith(prefix)

    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
    def test_has_a_description(self, path):
        """The file starts with a comment and has a row in the README."""
        assert path.read_text().startswith("# ")
        assert f"| `{path.stem}` |" in (DAYS / "README.md").read_text()
