"""Adapter from the key-value service to the settings library's store."""

from berylwalk.platform import (
    Conflict,
    KeyValueStore,
    OutcomeUnknown,
    Swapped,
    Unavailable,
)
from berylwalk.settings import ABSENT_REVISION, ReadFailed, StoredValue, SwapResult

_RESULT_BY_TYPE = {
    Swapped: SwapResult.SWAPPED,
    Conflict: SwapResult.CONFLICT,
    OutcomeUnknown: SwapResult.OUTCOME_UNKNOWN,
    Unavailable: SwapResult.UNAVAILABLE,
}


class PlatformSettingsStore:
    """Implements `berylwalk.settings.SettingsStore`.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def get(self, key: str) -> StoredValue | ReadFailed:
        """Read a key with a linearizable read."""
        current = await self._store.get(key.encode())
        if isinstance(current, Unavailable):
            return ReadFailed(f"{current.reason}: {current.detail}")
        if current is None:
            return StoredValue(None, ABSENT_REVISION)
        return StoredValue(current.value, current.mod_revision)

    async def compare_and_swap(
        self, key: str, value: bytes, expected_mod_revision: int
    ) -> SwapResult:
        """Write a key if its revision is the expected one."""
        result = await self._store.compare_and_swap(
            key.encode(), value, expected_mod_revision
        )
        return _RESULT_BY_TYPE[type(result)]
