"""Entries of ended routers that an older copy of the store brings back.

Such an entry stays until its lease lapses. Until then the ended router would keep its
share of quotas and rate limits.
"""

from collections.abc import Iterable

from berylwalk.platform import KeyValue, era_of, to_store_revision

MAX_COPY_AGE_S = 60.0
"""Time after which an ended router is forgotten; copies are some seconds old."""


class EndedMembers:
    """Recognizes the last known entries of routers that have ended."""

    def __init__(self) -> None:
        self._items_by_key: dict[bytes, KeyValue] = {}
        self._ended_by_key: dict[bytes, tuple[KeyValue, float]] = {}

    def note_listed(self, items: Iterable[KeyValue]) -> None:
        """Record the entries of a list."""
        for item in items:
            self._items_by_key[item.key] = item

    def note_ended(self, key: bytes, now: float) -> None:
        """Record that the router of an entry has ended.

        Parameters
        ----------
        key : bytes
            Key of the entry.
        now : float
            Time in seconds.
        """
        item = self._items_by_key.pop(key, None)
        if item is not None:
            self._ended_by_key[key] = (item, now)

    def has_ended(self, item: KeyValue, now: float) -> bool:
        """Return whether an entry is the last known one of an ended router.

        Within one era, a router that is listed again has entered again.

        Parameters
        ----------
        item : KeyValue
            The listed entry.
        now : float
            Time in seconds.
        """
        ended, ended_at = self._ended_by_key.get(item.key, (None, now))
        if ended is None:
            return False
        is_same = (
            now - ended_at <= MAX_COPY_AGE_S
            and era_of(item.mod_revision) > era_of(ended.mod_revision)
            and to_store_revision(item.mod_revision)
            == to_store_revision(ended.mod_revision)
            and item.value == ended.value
        )
        if not is_same:
            del self._ended_by_key[item.key]
        return is_same
