"""Versioned settings document and its stored form."""

from typing import Self

from msgspec import DecodeError, Struct, json

from berylwalk.model import Finding, FindingsError
from berylwalk.settings._checks import Value
from berylwalk.settings._patches import WHOLE_SECTION, Edit
from berylwalk.settings._paths import is_within
from berylwalk.settings._tree import DOCUMENT_SOURCE, SettingsTree

MAX_DOCUMENT_BYTES = 1_000_000
MAX_RECENT_CHANGES = 256
MAX_RECENT_BYTES = 200_000


class Touch(Struct, frozen=True, omit_defaults=True):
    """Key or section changed by one edit of an accepted change.

    Parameters
    ----------
    path, key : str
        Path and key of the edit.
    deleted : bool
        Whether the edit deleted the section and its descendants.
    """

    path: str
    key: str = WHOLE_SECTION
    deleted: bool = False

    @classmethod
    def from_edit(cls, edit: Edit) -> Self:
        """Return the path and key of an edit, without its value."""
        return cls(edit.path, edit.key, edit.is_delete)

    def overlaps(self, other: Self) -> bool:
        """Return whether both affect the same key or section."""
        if self.deleted and is_within(other.path, self.path):
            return True
        if other.deleted and is_within(self.path, other.path):
            return True
        if self.path != other.path or self.key != other.key:
            return False
        # Creating the same section twice is not a conflict.
        return self.key != WHOLE_SECTION


class Change(Struct, frozen=True):
    """Accepted change, retained to detect retries and conflicts.

    Parameters
    ----------
    change_id : str
        Identifier of the change.
    digest : str
        Digest of the edits.
    version : int
        Version of the document that the change created.
    author : str
        Author of the change.
    touches : tuple of Touch
        Keys and sections that it changed.
    """

    change_id: str
    digest: str
    version: int
    author: str
    touches: tuple[Touch, ...]


class _StoredDocument(Struct, frozen=True):
    version: int
    sections: dict[str, dict[str, bool | int | float | str | tuple[str, ...]]]
    recent_changes: tuple[Change, ...]


class SettingsDocument(Struct, frozen=True):
    """One version of the settings tree, immutable.

    Parameters
    ----------
    version : int
        Number of accepted changes so far.
    tree : SettingsTree
        Settings of this version.
    recent_changes : tuple of Change
        Latest accepted changes, oldest first.
    """

    version: int
    tree: SettingsTree
    recent_changes: tuple[Change, ...] = ()

    @classmethod
    def empty(cls) -> Self:
        """Return the document that is active before the first change."""
        return cls(0, SettingsTree({}))

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Decode a document.

        Parameters
        ----------
        data : bytes
            Output of :meth:`encode`.

        Returns
        -------
        SettingsDocument

        Raises
        ------
        FindingsError
            If the data are malformed or contain an invalid tree.
        """
        try:
            stored = json.decode(data, type=_StoredDocument)
        except (DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise FindingsError([Finding(DOCUMENT_SOURCE, str(error))]) from error
        tree = SettingsTree.from_sections(stored.sections)
        return cls(stored.version, tree, stored.recent_changes)

    def encode(self) -> bytes:
        """Encode the document as JSON.

        Returns
        -------
        bytes
            At most ``MAX_DOCUMENT_BYTES``.

        Raises
        ------
        FindingsError
            If the document is larger than ``MAX_DOCUMENT_BYTES``.
        """
        sections: dict[str, dict[str, Value]] = {
            name: dict(values) for name, values in self.tree.sections.items()
        }
        stored = _StoredDocument(self.version, sections, self.recent_changes)
        data = json.encode(stored)
        if len(data) > MAX_DOCUMENT_BYTES:
            problem = f"has {len(data)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"
            raise FindingsError([Finding(DOCUMENT_SOURCE, problem)])
        return data

    @property
    def oldest_base_version(self) -> int:
        """Oldest base version for which all later changes are retained."""
        if not self.recent_changes:
            return self.version
        return self.recent_changes[0].version - 1

    def find_change(self, change_id: str) -> Change | None:
        """Return an accepted change; None if it is not retained."""
        for change in reversed(self.recent_changes):
            if change.change_id == change_id:
                return change
        return None

    def with_change(self, tree: SettingsTree, change: Change) -> Self:
        """Return the next version of the document.

        Parameters
        ----------
        tree : SettingsTree
            The changed tree.
        change : Change
            The change; its version is that of the new document.

        Returns
        -------
        SettingsDocument
            The oldest changes are dropped to stay within the retention limits.
        """
        changes = _trim_changes((*self.recent_changes, change))
        return type(self)(change.version, tree, changes)


def _trim_changes(changes: tuple[Change, ...]) -> tuple[Change, ...]:
    retained = []
    remaining_bytes = MAX_RECENT_BYTES
    for change in reversed(changes[-MAX_RECENT_CHANGES:]):
        remaining_bytes -= len(json.encode(change))
        # The newest change is always retained: submit_patch searches for it after
        # a lost response.
        if remaining_bytes < 0 and retained:
            break
        retained.append(change)
    return tuple(reversed(retained))
