"""Submitting patches to the key-value service."""

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
    """Answer to a compare-and-swap."""

    SWAPPED = "swapped"
    """The value was written."""

    CONFLICT = "conflict"
    """The key had another revision; nothing was written."""

    OUTCOME_UNKNOWN = "lost"
    """No answer came: the value was written, will be written or never will."""

    UNAVAILABLE = "unavailable"
    """The request was never sent; nothing was written."""


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's value as read.

    Parameters
    ----------
    value : bytes or None
        None when the key is absent.
    mod_revision : int
        Revision of the last write; ``ABSENT_REVISION`` when the key is absent.
    """

    value: bytes | None
    mod_revision: int = ABSENT_REVISION


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Sentinel returned in place of a value when a read fails, with its reason."""

    reason: str


class SettingsStore(Protocol):
    """What is needed of the key-value service."""

    async def get(self, key: str) -> StoredValue | ReadFailed:
        """Read a key with a linearizable read."""

    async def compare_and_swap(
        self, key: str, value: bytes, expected_mod_revision: int
    ) -> SwapResult:
        """Write a key if its revision is the expected one."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store.

    Parameters
    ----------
    version : int
        Version that the change made.
    document : SettingsDocument
        Latest document known to hold the change, to be passed on to peers.
    """

    version: int
    document: SettingsDocument


@dataclass(frozen=True, slots=True)
class Undecided:
    """Whether the change is in the store, or will be, is not known.

    Repeating the same patch is harmless and may settle it.

    Parameters
    ----------
    reason : str
        One sentence for the operator.
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
        The empty document when nothing was accepted yet.
    """
    document, _ = await _read(store)
    return document


async def submit_patch(
    store: SettingsStore,
    patch: Patch,
    author: str,
    *,
    minimum_version: int = 0,
    max_attempts: int = MAX_ATTEMPTS,
) -> SubmitResult:
    """Write a patch to the store.

    A swap whose answer was lost may still take effect, but only while the key
    keeps the revision that the swap expected. Each attempt therefore reads the
    document again. If the change is found there, it is accepted. If the revision
    has moved and the change is not there, no earlier swap can take effect any
    more. If the revision has not moved, the same swap is sent again. A refusal
    follows from one document alone, and a patch that is refused at a revision was
    never sent at that revision. So a refusal is certain also after a lost answer.
    ``Stale`` alone cannot tell whether the change was accepted before others that
    are forgotten by now; it is certain that it will not be written any more.

    Parameters
    ----------
    store : SettingsStore
        The store.
    patch : Patch
        The patch.
    author : str
        Who sent it.
    minimum_version : int
        Highest version heard of. A store that holds less has lost accepted
        changes and is not written to.
    max_attempts : int
        Number of swaps that are tried.

    Returns
    -------
    Accepted or PatchConflict or Stale or Rejected or Undecided
        Any but ``Undecided`` is final, and any but ``Undecided`` and ``Stale`` is
        certain: ``Stale`` leaves open whether the change was accepted earlier.
    """
    reason = "other changes kept coming first"
    for attempt in range(max_attempts + 1):
        document, revision = await _read(store)
        if isinstance(document, ReadFailed):
            return Undecided(document.reason)
        if document.version < minimum_version:
            return Undecided(_regression(document.version, minimum_version))
        result = apply_patch(document, patch, author)
        if not isinstance(result, SettingsDocument):
            return _settled(result, document)
        # The last round only looks whether the last swap took effect.
        if attempt == max_attempts:
            break
        swap = await store.compare_and_swap(SETTINGS_KEY, result.encode(), revision)
        if swap is SwapResult.SWAPPED:
            return Accepted(result.version, result)
        if swap is SwapResult.UNAVAILABLE:
            return Undecided("the key-value service is unavailable")
        if swap is SwapResult.OUTCOME_UNKNOWN:
            reason = "the answers of the key-value service were lost"
    return Undecided(reason)


def _settled(
    result: AlreadyAccepted | PatchConflict | Stale | Rejected,
    document: SettingsDocument,
) -> SubmitResult:
    if isinstance(result, AlreadyAccepted):
        return Accepted(result.version, document)
    return result


async def _read(store: SettingsStore) -> tuple[SettingsDocument | ReadFailed, int]:
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


def _regression(found: int, minimum: int) -> str:
    return f"the store holds version {found}, but version {minimum} was accepted"
