"""Section names of the settings tree: node paths and tier sections."""

import re
from collections.abc import Iterator

ROOT = "/"
MAX_SECTION_LENGTH = 512
_TIER_PREFIX = "tier "
_NODE_PATTERN = re.compile(r"/|(/[A-Za-z0-9._-]{1,64})+")
_TIER_PATTERN = re.compile(_TIER_PREFIX + r"[A-Za-z0-9._-]{1,64}")


def tier_section(name: str) -> str:
    """Return the section name of a tier."""
    return _TIER_PREFIX + name


def tier_name(section: str) -> str:
    """Return the name of the tier that a section defines."""
    return section.removeprefix(_TIER_PREFIX)


def is_tier(section: str) -> bool:
    """Return whether a section defines a tier."""
    return len(section) <= MAX_SECTION_LENGTH and bool(_TIER_PATTERN.fullmatch(section))


def is_node(section: str) -> bool:
    """Return whether a section is the path of a node."""
    return len(section) <= MAX_SECTION_LENGTH and bool(_NODE_PATTERN.fullmatch(section))


def ancestry(path: str) -> Iterator[str]:
    """Yield the path of a node and of each ancestor, up to the root."""
    while path != ROOT:
        yield path
        path = path.rpartition("/")[0] or ROOT
    yield ROOT


def is_within(section: str, root: str) -> bool:
    """Return whether a section is ``root`` or one of its descendants."""
    if section == root:
        return True
    if not root.startswith(ROOT):
        return False
    return section.startswith(root.rstrip("/") + "/")


def child_path(path: str, name: str) -> str:
    """Return the path of a child of a node."""
    return f"{path.rstrip('/')}/{name}"
