"""Applying a patch to a settings document."""

from collections.abc import Iterator
from dataclasses import dataclass

from msgspec import UNSET, UnsetType

from berylwalk.model import Finding, FindingsError
from berylwalk.settings._checks import Value
from berylwalk.settings._document import Change, SettingsDocument, Touch
from berylwalk.settings._patches import Edit, Patch, check_patch, edit_sections
from berylwalk.settings._tree import SettingsTree


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The change is part of the document; it was accepted as ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class ConflictingEdit:
    """An edit of what another operator changed meanwhile.

    Parameters
    ----------
    path, key : str
        As in the refused edit.
    yours : Value or None or UNSET
        Value of the refused edit; UNSET stands for a removal.
    theirs : Value or UNSET
        Value in force now; UNSET where there is none.
    their_path, their_key : str
        What the other operator changed; differs from ``path`` and ``key``
        when one of the edits deletes a section with all below it.
    their_author, their_change_id : str
        Who made the other change, and its name.
    their_version : int
        Version that the other change made.
    """

    path: str
    key: str
    yours: Value | UnsetType | None
    theirs: Value | UnsetType
    their_path: str
    their_key: str
    their_author: str
    their_change_id: str
    their_version: int


@dataclass(frozen=True, slots=True)
class PatchConflict:
    """The patch is refused as a whole: other changes since its base clash.

    Parameters
    ----------
    version : int
        Version of the document that was compared with.
    edits : tuple of ConflictingEdit
        At least one.
    """

    version: int
    edits: tuple[ConflictingEdit, ...]


@dataclass(frozen=True, slots=True)
class Stale:
    """The patch is refused: changes since its base are no longer known.

    Whether the same change was accepted long ago cannot be told either.

    Parameters
    ----------
    change_id : str
        Name of the refused change.
    base_version : int
        Base version of the patch.
    oldest_base_version : int
        Oldest base version that can still be merged.
    """

    change_id: str
    base_version: int
    oldest_base_version: int

    def __str__(self) -> str:
        return (
            f"base version {self.base_version} is older than "
            f"{self.oldest_base_version}, the oldest that can be merged; whether "
            f"change {self.change_id!r} was accepted earlier cannot be told, and it "
            "will not be written any more: read the settings again and send a new "
            "change"
        )


@dataclass(frozen=True, slots=True)
class Rejected:
    """The patch, or the tree that it would make, is invalid.

    Parameters
    ----------
    findings : tuple of Finding
        Every mistake.
    """

    findings: tuple[Finding, ...]


PatchResult = SettingsDocument | AlreadyAccepted | PatchConflict | Stale | Rejected


def apply_patch(document: SettingsDocument, patch: Patch, author: str) -> PatchResult:
    """Apply a patch to a document, merging it with changes since its base.

    The result depends on the arguments alone, so that two attempts at the same
    document write the same next version.

    Parameters
    ----------
    document : SettingsDocument
        The latest document.
    patch : Patch
        The patch, made to an equal or earlier version.
    author : str
        Who sent it.

    Returns
    -------
    SettingsDocument or AlreadyAccepted or PatchConflict or Stale or Rejected
        The next document, or why there is none.
    """
    known = document.find_change(patch.change_id)
    if known is not None and known.digest == patch.digest():
        return AlreadyAccepted(known.version)
    findings = check_patch(patch, author)
    if known is not None:
        findings.append(Finding("/change_id", "is the name of another change"))
    if not 0 <= patch.base_version <= document.version:
        problem = f"there is no version {patch.base_version} yet"
        findings.append(Finding("/base_version", problem))
    if findings:
        return Rejected(tuple(findings))
    if patch.base_version < document.oldest_base_version:
        oldest = document.oldest_base_version
        return Stale(patch.change_id, patch.base_version, oldest)
    clashing = tuple(_clashing_edits(document, patch))
    if clashing:
        return PatchConflict(document.version, clashing)
    return _next_document(document, patch, author)


def _clashing_edits(
    document: SettingsDocument, patch: Patch
) -> Iterator[ConflictingEdit]:
    later = [
        change
        for change in reversed(document.recent_changes)
        if change.version > patch.base_version
    ]
    for edit in patch.edits:
        found = _latest_overlap(edit, later)
        if found is not None:
            yield _clashing_edit(document, edit, *found)


def _latest_overlap(edit: Edit, changes: list[Change]) -> tuple[Change, Touch] | None:
    mine = Touch.from_edit(edit)
    for change in changes:
        for touch in change.touches:
            if mine.overlaps(touch):
                return change, touch
    return None


def _clashing_edit(
    document: SettingsDocument, edit: Edit, change: Change, touch: Touch
) -> ConflictingEdit:
    # Where the edit deletes a section, their value is that of the touched key.
    shown = touch if edit.is_delete else edit
    theirs = document.tree.sections.get(shown.path, {}).get(shown.key, UNSET)
    return ConflictingEdit(
        path=edit.path,
        key=edit.key,
        yours=edit.value,
        theirs=theirs,
        their_path=touch.path,
        their_key=touch.key,
        their_author=change.author,
        their_change_id=change.change_id,
        their_version=change.version,
    )


def _next_document(
    document: SettingsDocument, patch: Patch, author: str
) -> SettingsDocument | Rejected:
    sections, findings = edit_sections(document.tree, patch.edits)
    touches = tuple(Touch.from_edit(edit) for edit in patch.edits)
    version = document.version + 1
    change = Change(patch.change_id, patch.digest(), version, author, touches)
    try:
        tree = SettingsTree.from_sections(sections)
        following = document.with_change(tree, change)
        following.encode()
    except FindingsError as error:
        findings += error.findings
    if findings:
        return Rejected(tuple(findings))
    return following
