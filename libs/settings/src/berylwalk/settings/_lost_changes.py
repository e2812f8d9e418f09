"""Accepted changes that the store has lost, because it was restored from a copy."""

from dataclasses import dataclass
from itertools import chain

from msgspec import UNSET
from msgspec.structs import replace

from berylwalk.model import FindingsError
from berylwalk.settings._document import Change, SettingsDocument, Touch
from berylwalk.settings._patches import WHOLE_SECTION, Edit, edit_sections
from berylwalk.settings._tree import SettingsTree


@dataclass(frozen=True, slots=True)
class MergedDocument:
    """A stored document with the changes that it had lost.

    Parameters
    ----------
    document : SettingsDocument
        Its version is higher than those of both documents.
    invalid_changes : tuple of Change
        Lost changes whose edits are left out, because the tree would be invalid.
    """

    document: SettingsDocument
    invalid_changes: tuple[Change, ...] = ()


def missing_changes(
    document: SettingsDocument, known: SettingsDocument
) -> tuple[Change, ...]:
    """Return the changes of a known document that another one lacks.

    Parameters
    ----------
    document : SettingsDocument
        Document that may lack changes. What it no longer retains, it contains.
    known : SettingsDocument
        Document with accepted changes.

    Returns
    -------
    tuple of Change
        Oldest first.
    """
    return tuple(
        change
        for change in known.recent_changes
        if change.version > document.oldest_base_version
        and document.find_change(change.change_id) is None
    )


def is_outdated_by(stored: SettingsDocument, known: SettingsDocument) -> bool:
    """Return whether the store has to be written before a router can take its document.

    That is so if the stored document lacks changes, and if it has more changes than the
    known one under a version that is not higher, which nobody would take.

    Parameters
    ----------
    stored : SettingsDocument
        The store's document.
    known : SettingsDocument
        Document in force.
    """
    if missing_changes(stored, known):
        return True
    return stored.version <= known.version and bool(missing_changes(known, stored))


def merge_missing_changes(
    stored: SettingsDocument, known: SettingsDocument
) -> MergedDocument:
    """Return the stored document with the changes of a known one that it lacks.

    If the stored document has no change that the known one lacks, the result is the
    known document. Otherwise it has accepted changes since the copy. Where these
    affect the same key, that of the store holds, which was accepted later. All of them
    get new versions, so that a patch that is based on either document conflicts with
    the changes of the other.

    Parameters
    ----------
    stored : SettingsDocument
        The store's document.
    known : SettingsDocument
        Document with changes that ``stored`` lacks.
    """
    added = missing_changes(known, stored)
    if not added and known.version > stored.version:
        return MergedDocument(known)
    version = max(stored.version, known.version)
    # The version of the first change tells which earlier ones are not retained, so that
    # it keeps it in any case.
    renumbered = [each for each in stored.recent_changes[1:] if each in added]
    kept = tuple(each for each in stored.recent_changes if each not in renumbered)
    merged = SettingsDocument(version, stored.tree, kept)
    for change in renumbered:
        merged = merged.with_change(merged.tree, _next_version(change, merged))
    if merged.version == version:
        merged = replace(merged, version=version + 1)
    added_touches = tuple(chain.from_iterable(change.touches for change in added))
    invalid = []
    for change in missing_changes(stored, known):
        edits = _edits_of(change, known.tree, added_touches)
        tree = _edited_tree(merged.tree, edits)
        if tree is None:
            invalid.append(change)
        merged = merged.with_change(tree or merged.tree, _next_version(change, merged))
    return MergedDocument(merged, tuple(invalid))


def _next_version(change: Change, document: SettingsDocument) -> Change:
    return replace(change, version=document.version + 1)


def _edits_of(
    change: Change, tree: SettingsTree, later: tuple[Touch, ...]
) -> tuple[Edit, ...]:
    """Return the edits of a change, except where later ones affect the same."""
    return tuple(
        _edit_of(touch, tree)
        for touch in change.touches
        if not any(touch.overlaps(each) for each in later)
    )


def _edit_of(touch: Touch, tree: SettingsTree) -> Edit:
    if touch.deleted:
        return Edit.delete(touch.path)
    if touch.key == WHOLE_SECTION:
        return Edit.create(touch.path)
    value = tree.sections.get(touch.path, {}).get(touch.key, UNSET)
    return Edit(touch.path, touch.key, value)


def _edited_tree(tree: SettingsTree, edits: tuple[Edit, ...]) -> SettingsTree | None:
    """Return the edited tree; None if it is invalid.

    A section to be deleted may be gone already.
    """
    sections, _ = edit_sections(tree, edits)
    try:
        return SettingsTree.from_sections(sections)
    except FindingsError:
        return None
