"""Application of patches to a settings document, with conflict detection."""

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
    """The document already contains the change, accepted as ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class ConflictingEdit:
    """Edit that conflicts with a change accepted since the base version.

    Parameters
    ----------
    path, key : str
        Path and key of the refused edit.
    yours : Value or None or UNSET
        Value of the refused edit; UNSET if it removes the key or section.
    theirs : Value or UNSET
        Current value; UNSET if there is none.
    their_path, their_key : str
        Path and key of the accepted edit. They differ from ``path`` and ``key``
        if one of the two edits deletes a section with its descendants.
    their_author, their_change_id : str
        Author and identifier of the accepted change.
    their_version : int
        Version that the accepted change created.
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
    """The patch is refused: it conflicts with changes since its base version.

    Parameters
    ----------
    version : int
        Version of the document that the patch was checked against.
    edits : tuple of ConflictingEdit
        At least one.
    """

    version: int
    edits: tuple[ConflictingEdit, ...]


@dataclass(frozen=True, slots=True)
class Stale:
    """The patch is refused: changes since its base version are not all retained.

    It is unknown whether the same change was accepted earlier.

    Parameters
    ----------
    change_id : str
        Identifier of the refused change.
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
            f"{self.oldest_base_version}, the oldest that can be merged; it is unknown "
            f"whether change {self.change_id!r} was accepted earlier, but it will not "
            "be written later: read the settings again and submit a new change"
        )


@dataclass(frozen=True, slots=True)
class Rejected:
    """The patch, or the tree that results from it, is invalid.

    Parameters
    ----------
    findings : tuple of Finding
        Every problem found.
    """

    findings: tuple[Finding, ...]


PatchResult = SettingsDocument | AlreadyAccepted | PatchConflict | Stale | Rejected


def apply_patch(document: SettingsDocument, patch: Patch, author: str) -> PatchResult:
    """Apply a patch to a document, merged with changes since its base version.

    The result depends only on the arguments, so that a retry on the same document
    writes the same value.

    Parameters
    ----------
    document : SettingsDocument
        The latest document.
    patch : Patch
        The patch, based on this or an earlier version.
    author : str
        Author of the patch.

    Returns
    -------
    SettingsDocument or AlreadyAccepted or PatchConflict or Stale or Rejected
        The next version of the document, or the reason for the refusal.
    """
    known = document.find_change(patch.change_id)
    if known is not None and known.digest == patch.digest():
        return AlreadyAccepted(known.version)
    findings = check_patch(patch, author)
    if known is not None:
        findings.append(
            Finding("/change_id", "is already the identifier of another change")
        )
    if not 0 <= patch.base_version <= document.version:
        problem = f"version {patch.base_version} does not exist"
        findings.append(Finding("/base_version", problem))
    if findings:
        return Rejected(tuple(findings))
    if patch.base_version < document.oldest_base_version:
        oldest = document.oldest_base_version
        return Stale(patch.change_id, patch.base_version, oldest)
    conflicting = tuple(_conflicting_edits(document, patch))
    if conflicting:
        return PatchConflict(document.version, conflicting)
    return _next_document(document, patch, author)


def _conflicting_edits(
    document: SettingsDocument, patch: Patch
) -> Iterator[ConflictingEdit]:
    later_changes = [
        change
        for change in reversed(document.recent_changes)
        if change.version > patch.base_version
    ]
    for edit in patch.edits:
        overlap = _latest_overlap(edit, later_changes)
        if overlap is not None:
            yield _conflicting_edit(document, edit, *overlap)


def _latest_overlap(edit: Edit, changes: list[Change]) -> tuple[Change, Touch] | None:
    own_touch = Touch.from_edit(edit)
    for change in changes:
        for touch in change.touches:
            if own_touch.overlaps(touch):
                return change, touch
    return None


def _conflicting_edit(
    document: SettingsDocument, edit: Edit, change: Change, touch: Touch
) -> ConflictingEdit:
    # A delete has no key, so the value shown is that of the key that they changed.
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
        next_document = document.with_change(tree, change)
        next_document.encode()
    except FindingsError as error:
        findings += error.findings
    if findings:
        return Rejected(tuple(findings))
    return next_document
