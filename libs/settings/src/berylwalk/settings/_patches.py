"""Patches that operators submit to change the settings tree."""

from collections.abc import Mapping
from hashlib import sha256
from typing import Self

from msgspec import UNSET, Struct, UnsetType, json

from berylwalk.model import Finding
from berylwalk.settings._checks import Value
from berylwalk.settings._paths import is_node, is_tier, is_within
from berylwalk.settings._tree import SettingsTree

WHOLE_SECTION = ""
MAX_EDITS = 500
MAX_CHANGE_ID_LENGTH = 100
MAX_AUTHOR_LENGTH = 100


class Edit(Struct, frozen=True, omit_defaults=True):
    """Change of one key or section.

    Parameters
    ----------
    path : str
        Path of a node, or ``tier NAME``.
    key : str
        Key to change; empty for the whole section.
    value : Value or None or UNSET
        New value. UNSET removes the key or, without a key, the section and its
        descendants. None without a key creates an empty section.
    """

    path: str
    key: str = WHOLE_SECTION
    value: bool | int | float | str | tuple[str, ...] | UnsetType | None = UNSET

    @classmethod
    def create(cls, path: str) -> Self:
        """Create an empty section; an existing section is left unchanged."""
        return cls(path, WHOLE_SECTION, None)

    @classmethod
    def delete(cls, path: str) -> Self:
        """Delete a section and its descendants."""
        return cls(path)

    @property
    def is_delete(self) -> bool:
        """Whether the edit deletes sections."""
        return self.key == WHOLE_SECTION and self.value is UNSET


class Patch(Struct, frozen=True):
    """Edits relative to one version of the settings.

    Parameters
    ----------
    change_id : str
        Unique identifier, which makes retries idempotent. A retry repeats the same
        patch; a patch with another base or other edits needs a new identifier.
    base_version : int
        Version of the document that the edits are based on.
    edits : tuple of Edit
        Applied atomically, in order.
    """

    change_id: str
    base_version: int
    edits: tuple[Edit, ...]

    def digest(self) -> str:
        """Return a digest of the edits, to distinguish retries from reused ids."""
        return sha256(json.encode(self.edits)).hexdigest()


def check_patch(patch: Patch, author: str) -> list[Finding]:
    """Validate the parts of a patch that do not depend on a document.

    Parameters
    ----------
    patch : Patch
        The patch.
    author : str
        Author of the patch.

    Returns
    -------
    list of Finding
        Every problem found.
    """
    findings = []
    if not 0 < len(patch.change_id) <= MAX_CHANGE_ID_LENGTH:
        problem = f"must have from 1 to {MAX_CHANGE_ID_LENGTH} characters"
        findings.append(Finding("/change_id", problem))
    if len(author) > MAX_AUTHOR_LENGTH:
        problem = f"must have at most {MAX_AUTHOR_LENGTH} characters"
        findings.append(Finding("/author", problem))
    if not 0 < len(patch.edits) <= MAX_EDITS:
        problem = f"must have from 1 to {MAX_EDITS} edits"
        findings.append(Finding("/edits", problem))
    seen = set()
    for index, edit in enumerate(patch.edits):
        problem = _edit_problem(edit)
        if (edit.path, edit.key) in seen:
            problem = "another edit has the same path and key"
        if problem:
            findings.append(Finding(f"/edits/{index}", problem))
        seen.add((edit.path, edit.key))
    return findings


def _edit_problem(edit: Edit) -> str:
    if not is_node(edit.path) and not is_tier(edit.path):
        return f"{edit.path!r} is neither a node path nor a tier section"
    if edit.key == WHOLE_SECTION and edit.value is not None and not edit.is_delete:
        return "a value requires a key"
    if edit.key != WHOLE_SECTION and edit.value is None:
        return "null is not a valid value; omit the value to remove the key"
    return ""


def edit_sections(
    tree: SettingsTree, edits: tuple[Edit, ...]
) -> tuple[dict[str, dict[str, Value]], list[Finding]]:
    """Apply edits to the sections of a tree without validating the result.

    Parameters
    ----------
    tree : SettingsTree
        The tree, which is not modified.
    edits : tuple of Edit
        Applied in order.

    Returns
    -------
    sections : dict of str to dict of str to Value
        The edited sections, not yet validated.
    findings : list of Finding
        One for each edit that deletes a section that does not exist.
    """
    sections = {name: dict(values) for name, values in tree.sections.items()}
    findings = []
    for index, edit in enumerate(edits):
        if edit.is_delete:
            deleted = [name for name in sections if is_within(name, edit.path)]
            if not deleted:
                problem = f"{edit.path!r} does not exist"
                findings.append(Finding(f"/edits/{index}", problem))
            for name in deleted:
                del sections[name]
        elif edit.value is UNSET:
            sections.get(edit.path, {}).pop(edit.key, None)
        else:
            section = sections.setdefault(edit.path, {})
            if edit.key != WHOLE_SECTION:
                section[edit.key] = edit.value
    return sections, findings


def edits_between(old: SettingsTree, new: SettingsTree) -> tuple[Edit, ...]:
    """Compute the edits that turn one tree into another.

    Parameters
    ----------
    old, new : SettingsTree
        Trees to compare, such as the active one and one read from a file.

    Returns
    -------
    tuple of Edit
        Empty if the trees are equal.
    """
    removed = [name for name in old.sections if name not in new.sections]
    # Deleting a section also deletes its descendants; those still in the new tree
    # are created again.
    deleted_roots = [name for name in removed if not _is_below_any(name, removed)]
    edits = [Edit.delete(name) for name in deleted_roots]
    for name, values in new.sections.items():
        is_retained = name in old.sections and not _is_below_any(name, deleted_roots)
        edits += _section_edits(
            name, old.sections[name] if is_retained else None, values
        )
    return tuple(edits)


def _is_below_any(name: str, deleted_roots: list[str]) -> bool:
    return any(name != root and is_within(name, root) for root in deleted_roots)


def _section_edits(
    name: str, before: Mapping[str, Value] | None, after: Mapping[str, Value]
) -> list[Edit]:
    if before is None and not after:
        return [Edit.create(name)]
    before = before or {}
    edits = [Edit(name, key) for key in before if key not in after]
    edits += [
        Edit(name, key, value)
        for key, value in after.items()
        if before.get(key, UNSET) != value
    ]
    return edits
