"""Documentation: settings reference, INI examples and links."""

import re
from pathlib import Path

import pytest

from berylwalk.cli import main
from berylwalk.settings import settings_reference

ROOT = Path(__file__).resolve().parents[2]
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md")))
KEY_FILE = Path("secrets/fleet.key")
INI_BLOCK = re.compile(r"^```ini\n(.*?)^```$", re.MULTILINE | re.DOTALL)
CODE_BLOCK = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
CODE_SPAN = re.compile(r"`[^`\n]*`")
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ (.*)$", re.MULTILINE)


def page_name(page):
    """Return the identifier of a page in the test report."""
    return str(page.relative_to(ROOT))


def ini_examples():
    """Return the INI examples of all pages as test parameters."""
    return [
        pytest.param(text, id=f"{page_name(page)}-{number}")
        for page in PAGES
        for number, text in enumerate(INI_BLOCK.findall(page.read_text()), 1)
    ]


def prose(page):
    """Return the text of a page without code blocks and code spans."""
    return CODE_SPAN.sub("", CODE_BLOCK.sub("", page.read_text()))


def anchors(page):
    """Return the link anchors of the headings of a page."""
    headings = HEADING.findall(CODE_BLOCK.sub("", page.read_text()))
    slugs = (re.sub(r"[^\w\- ]", "", heading.lower()) for heading in headings)
    return {slug.replace(" ", "-") for slug in slugs}


def is_broken(page, link):
    """Return whether a relative link has no target; other links are not checked."""
    if "://" in link:
        return False
    path, _, anchor = link.partition("#")
    target = (page.parent / path).resolve() if path else page
    if not target.exists():
        return True
    return bool(anchor) and anchor not in anchors(target)


def test_settings_reference_is_current():
    """The committed reference equals the output of ``make docs``."""
    committed = (ROOT / "docs/operators/settings.md").read_text()
    assert committed == settings_reference().rstrip("\n") + "\n"


class TestExamples:
    @pytest.mark.parametrize("text", ini_examples())
    def test_ini_example_is_valid(self, tmp_path, capsys, text):
        """``check-settings`` accepts each INI example unchanged."""
        key_file = tmp_path / KEY_FILE
        key_file.parent.mkdir()
        key_file.write_text("a key for the tests of the documentation\n")
        file = tmp_path / "example.ini"
        file.write_text(text)
        exit_code = main(["check-settings", str(file)])
        assert (exit_code, capsys.readouterr().err) == (0, "")

    def test_examples_are_found(self):
        """The parametrized test above has examples to check."""
        assert len(ini_examples()) >= 5


class TestLinks:
    @pytest.mark.parametrize("page", PAGES, ids=page_name)
    def test_relative_links_resolve(self, page):
        """The page and the heading of each relative link exist."""
        links = LINK.findall(prose(page))
        assert [link for link in links if is_broken(page, link)] == []
