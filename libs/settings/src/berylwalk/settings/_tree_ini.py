"""Conversion of the settings tree to and from INI text."""

from berylwalk.model import FindingsError
from berylwalk.settings._checks import Value, check_sections
from berylwalk.settings._ini import read_sections
from berylwalk.settings._paths import is_tier
from berylwalk.settings._tree import SettingsTree


def export_ini(tree: SettingsTree) -> str:
    """Format a tree as INI text: tiers first, then nodes sorted by path.

    Parameters
    ----------
    tree : SettingsTree
        The tree.

    Returns
    -------
    str
        Text from which :func:`parse_ini` builds an equal tree.
    """
    names = sorted(tree.sections, key=lambda name: (not is_tier(name), name))
    blocks = []
    for name in names:
        lines = [f"[{name}]"]
        values = sorted(tree.sections[name].items())
        lines += [f"{key} = {_format_value(value)}".rstrip() for key, value in values]
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def parse_ini(text: str, *, file: str = "settings.ini") -> SettingsTree:
    """Parse a tree from INI text.

    Parameters
    ----------
    text : str
        Sections ``[tier NAME]`` and ``[/path]``.
    file : str
        Name of the file, used in findings.

    Returns
    -------
    SettingsTree

    Raises
    ------
    FindingsError
        If the text is invalid; lists every problem.
    """
    raw, findings = read_sections(text, file)
    sections, tree_findings = check_sections(raw, file)
    findings += tree_findings
    if findings:
        raise FindingsError(findings)
    return SettingsTree(sections)


def _format_value(value: Value) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)
