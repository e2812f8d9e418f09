"""Writing of accepted changes that the store has lost."""

from absl import logging

from berylwalk.model import FindingsError
from berylwalk.settings._document import SettingsDocument
from berylwalk.settings._lost_changes import (
    is_outdated_by,
    merge_missing_changes,
    missing_changes,
)
from berylwalk.settings._store import (
    MAX_ATTEMPTS,
    SETTINGS_KEY,
    ReadFailed,
    SettingsStore,
    SwapResult,
    Undecided,
    read_with_revision,
)


async def write_back(
    store: SettingsStore, known: SettingsDocument, *, max_attempts: int = MAX_ATTEMPTS
) -> SettingsDocument | Undecided:
    """Write the changes of a document again that the store lacks.

    The document that results has a higher version than the known one, or is equal.
    Each write has the revision of the document that was read as its condition. Several
    routers may therefore write back at the same time: each reads again what another
    has written, and stops when it lacks nothing.

    Parameters
    ----------
    store : SettingsStore
        The store.
    known : SettingsDocument
        Document whose changes were accepted.
    max_attempts : int
        Maximum number of writes.

    Returns
    -------
    SettingsDocument or Undecided
        The stored document, which contains all changes of ``known``. ``Undecided`` is
        worth a retry.
    """
    for attempt in range(max_attempts + 1):
        stored, revision = await read_with_revision(store)
        if isinstance(stored, ReadFailed):
            return Undecided(stored.reason)
        if not is_outdated_by(stored, known):
            return stored
        # The last iteration only checks whether the last write took effect.
        if attempt == max_attempts:
            break
        merged = merge_missing_changes(stored, known)
        try:
            value = merged.document.encode()
        except FindingsError as error:
            return Undecided(f"the lost changes cannot be written again: {error}")
        swap = await store.compare_and_swap(SETTINGS_KEY, value, revision)
        if swap is SwapResult.SWAPPED:
            changes = [each.change_id for each in missing_changes(stored, known)]
            logging.warning("settings changes lost by the store: %s", changes)
            for change in merged.invalid_changes:
                logging.error("settings change %s is not valid now", change.change_id)
            return merged.document
        if swap is SwapResult.UNAVAILABLE:
            return Undecided("the key-value service is unavailable")
    return Undecided("concurrent changes were written first in every attempt")
