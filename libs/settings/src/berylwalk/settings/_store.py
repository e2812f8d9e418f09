"""Submission of patches to the key-value service."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from berylwalk.model import FindingsError
from berylwalk.settings._document import SettingsDocument
from berylwalk.settings._merge import (
    AlreadyAccepted,
    PatchConflict,
    Rejected,
    Stale,
    apply_patch,
)
from berylwalk.settings._patches import Patch

SETTINGS_KEY = "/berylwalk/settings"
MAX_ATTEMPTS = 8
ABSENT_REVISION = 0


class SwapResult(Enum):
    """Result of a compare-and-swap."""

    SWAPPED = "swapped"
    """The value was written."""

    CONFLICT = "conflict"
    """The key had another revision; nothing was written."""

    OUTCOME_UNKNOWN = "lost"
    """No response was received; the write may or may not have taken effect."""

    UNAVAILABLE = "unavailable"
    """The request was never sent; nothing was written."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Value and revision of a key.

    Parameters
    ----------
    value : bytes or None
        None if the key is absent.
    mod_revision : int
        Revision of the last write; ``ABSENT_REVISION`` if the key is absent.
    """

    value: bytes | None
    mod_revision: int = ABSENT_REVISION


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Failed read, with the reason for the operator."""

    reason: str


class SettingsStore(Protocol):
    """Operations of the key-value service that this library uses."""

    async def get(self, key: str) -> StoredValue | ReadFailed:
        """Read a key with a linearizable read."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_mod_revision: int
    ) -> SwapResult:
        """Write a key if it has the expected revision."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was written to the store.

    Parameters
    ----------
    version : int
        Version that the change created.
    document : SettingsDocument
        Latest known document that contains the change, to be sent to peers.
    """

    version: int
    document: SettingsDocument


@dataclass(frozen=True, slots=True)
class Undecided:
    """It is unknown whether the change was or will be written to the store.

    Submitting the same patch again is safe and may resolve the outcome.

    Parameters
    ----------
    reason : str
        Explanation for the operator.
    """

    reason: str


SubmitResult = Accepted | PatchConflict | Stale | Rejected | Undecided


async def read_document(store: SettingsStore) -> SettingsDocument | ReadFailed:
    """Read the latest document from the store.

    Parameters
    ----------
    store : SettingsStore
        The store.

    Returns
    -------
    SettingsDocument or ReadFailed
        The empty document if no change has been accepted.
    """
    document, _ = await read_with_revision(store)
    return document


async def submit_patch(
    store: SettingsStore,
    patch: Patch,
    author: str,
    *,
    minimum_version: int = 0,
    max_attempts: int = MAX_ATTEMPTS,
) -> SubmitResult:
    """Apply a patch to the stored document.

    A compare-and-swap whose response was lost can take effect only while the key
    still has the expected revision. Each attempt therefore reads the document
    again. If it contains the change, the change is accepted. If the revision has
    advanced and the change is absent, no earlier attempt can take effect any more.
    If the revision is unchanged, the same write is sent again. Only a write that is in
    transit while the store is restored from a copy may take effect later; a change that
    it replaces is written again by :func:`write_back`.

    A refusal depends on one document only, and a patch that is refused at a
    revision is never sent at that revision. Refusals are therefore conclusive even
    after a lost response, except that ``Stale`` does not exclude that the change
    was accepted before the oldest retained change. It will not be written later.

    Parameters
    ----------
    store : SettingsStore
        The store.
    patch : Patch
        The patch.
    author : str
        Who sent it.
    minimum_version : int
        Highest known version. A store with a lower version has lost accepted
        changes and is not written to.
    max_attempts : int
        Maximum number of writes.

    Returns
    -------
    Accepted or PatchConflict or Stale or Rejected or Undecided
        Only ``Undecided`` is worth a retry. ``Stale`` does not tell whether the
        change was accepted earlier.
    """
    reason = "concurrent changes were written first in every attempt"
    for attempt in range(max_attempts + 1):
        document, revision = await read_with_revision(store)
        if isinstance(document, ReadFailed):
            return Undecided(document.reason)
        if document.version < minimum_version:
            return Undecided(_describe_regression(document.version, minimum_version))
        result = apply_patch(document, patch, author)
        if not isinstance(result, SettingsDocument):
            return _to_submit_result(result, document)
        # The last iteration only checks whether the last write took effect.
        if attempt == max_attempts:
            break
        swap = await store.compare_and_swap(SETTINGS_KEY, result.encode(), revision)
        if swap is SwapResult.SWAPPED:
            return Accepted(result.version, result)
        if swap is SwapResult.UNAVAILABLE:
            return Undecided("the key-value service is unavailable")
        if swap is SwapResult.OUTCOME_UNKNOWN:
            reason = "the key-value service did not respond to the write"
    return Undecided(reason)


def _to_submit_result(
    result: AlreadyAccepted | PatchConflict | Stale | Rejected,
    document: SettingsDocument,
) -> SubmitResult:
    if isinstance(result, AlreadyAccepted):
        return Accepted(result.version, document)
    return result


async def read_with_revision(
    store: SettingsStore,
) -> tuple[SettingsDocument | ReadFailed, int]:
    """Read the latest document, and the revision at which the store has it."""
    stored = await store.get(SETTINGS_KEY)
    if isinstance(stored, ReadFailed):
        return stored, ABSENT_REVISION
    return _decode(stored), stored.mod_revision


def _decode(stored: StoredValue) -> SettingsDocument | ReadFailed:
    if stored.value is None:
        return SettingsDocument.empty()
    try:
        return SettingsDocument.decode(stored.value)
    except FindingsError as error:
        return ReadFailed(f"the stored settings cannot be read: {error}")


def _describe_regression(stored_version: int, required_version: int) -> str:
    return (
        f"the store holds version {stored_version}, but version {required_version} "
        "was accepted"
    )
