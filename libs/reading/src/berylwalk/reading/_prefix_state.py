"""Items under a prefix of the store, updated in the order of revisions."""

from collections import deque
from zlib import crc32

from berylwalk.platform import (
    Changes,
    EventKind,
    KeyValue,
    Listing,
    WatchEvent,
    era_of,
)
from berylwalk.reading._messages import DeltaItem, PrefixDelta, UnchangedItem

MAX_CHANGES_KEPT = 64
"""Recent changes that are kept for other routers; others list the prefix."""
MAX_DELTA_CHANGES = 8
"""Changes in one delta."""
MAX_DELTA_BYTES = 2_000
"""Total size of their keys and values: a delta has to fit into a datagram."""
MAX_WHOLE_DELTA_BYTES = 8_000
"""Same for a delta with all items, which is sent only after a restore of the store."""
NUMBERS_BYTES = 14
"""Encoded size of a revision and a checksum."""


class PrefixState:
    """Replica of the items under a prefix, from lists, watches and other routers.

    Lists and watches run concurrently, and responses may arrive out of order. They are
    ordered by the store revision: an older response changes nothing, and only the newer
    items of a newer one are applied.

    Parameters
    ----------
    rarely_changes : bool
        Whether items seldom change, so that two equal lists are taken to mean that
        nothing changed in between. A router that saw an item which was created and
        deleted in between detects that by the digest of a delta.

    Attributes
    ----------
    revision : int
        Store revision up to which all changes are known.
    known_at : float
        When the store was known to be at that revision, in seconds: the time of the
        request to the store, by whichever router.
    last_change_revision : int
        Revision of the last change, or an upper bound of it.
    """

    def __init__(self, *, rarely_changes: bool = False) -> None:
        self._rarely_changes = rarely_changes
        self.revision = 0
        self.known_at = float("-inf")
        self.last_change_revision = 0
        self._items_by_key: dict[bytes, KeyValue] = {}
        self._recent: deque[WatchEvent] = deque(maxlen=MAX_CHANGES_KEPT)
        self._recent_base_revision = 0
        self._values_of_earlier_era: dict[bytes, bytes] = {}

    @property
    def items(self) -> list[KeyValue]:
        """The current items."""
        return list(self._items_by_key.values())

    def apply_listing(
        self, listing: Listing, *, known_at: float = float("-inf")
    ) -> bool:
        """Apply a list; returns False, without a change, if it is outdated.

        The pages of a list are not a consistent snapshot: an item of a later page may
        be newer than the list's revision.

        Parameters
        ----------
        listing : Listing
            The list.
        known_at : float
            When it was requested, in seconds.
        """
        if listing.revision < self.revision:
            return False
        if self.is_earlier_than(listing.revision):
            self._values_of_earlier_era = {
                key: item.value for key, item in self._items_by_key.items()
            }
        items_by_key = {item.key: item for item in listing.entries}
        for key, known in self._items_by_key.items():
            listed = items_by_key.get(key)
            if known.mod_revision > _revision_of(listed, listing.revision):
                items_by_key[key] = known
        is_same = _revisions(items_by_key) == _revisions(self._items_by_key)
        is_later = listing.revision > self.revision
        if not is_same or (is_later and not self._rarely_changes):
            # The single changes up to here are unknown. Even if the items are equal,
            # one may have been created, seen by other routers, and deleted.
            newest = max(_revisions(items_by_key).values(), default=0)
            self.last_change_revision = max(
                self.last_change_revision, listing.revision, newest
            )
            self._recent.clear()
            self._recent_base_revision = self.last_change_revision
        self._items_by_key = items_by_key
        self.revision = listing.revision
        self.known_at = max(self.known_at, known_at)
        return True

    def apply_changes(
        self, changes: Changes, *, known_at: float = float("-inf")
    ) -> list[WatchEvent]:
        """Apply the response of a watch; returns the events that are new.

        Parameters
        ----------
        changes : Changes
            All changes after a known revision.
        known_at : float
            When the store was known to be at their revision, in seconds.
        """
        new_events = [event for event in changes.events if self._apply_event(event)]
        if changes.unreadable:
            self.last_change_revision = max(self.last_change_revision, changes.revision)
            self._recent.clear()
            self._recent_base_revision = self.last_change_revision
        self.revision = max(self.revision, changes.revision)
        self.known_at = max(self.known_at, known_at)
        return new_events

    def apply_delta(
        self, delta: PrefixDelta, requested_at: float
    ) -> list[WatchEvent] | None:
        """Apply the delta of another router; returns the events that are new.

        None if the delta lacks changes: the items have to be read from the store.

        Parameters
        ----------
        delta : PrefixDelta
            The delta.
        requested_at : float
            When it was requested, on the local clock, in seconds.
        """
        known_at = requested_at - delta.age_s
        if era_of(delta.revision) < era_of(self.revision):
            # The other router has not heard of a restore of the store.
            return []
        if delta.last_change_revision <= self.revision:
            events = []
        elif delta.base_revision <= self.revision:
            events = [_to_event(item) for item in delta.items]
        else:
            return None
        if self._digest_differs(events, delta):
            return None
        return self.apply_changes(
            Changes(tuple(events), delta.revision), known_at=known_at
        )

    def is_earlier_than(self, revision: int) -> bool:
        """Return whether a revision is of a later era of the store than the items."""
        return self.revision > 0 and era_of(self.revision) < era_of(revision)

    def apply_whole(self, delta: PrefixDelta, requested_at: float) -> bool:
        """Apply a delta with all items of a later era of the store.

        False, without a change, if it lacks values that are not known here: the items
        have to be read from the store. The parameters are those of `apply_delta`.
        """
        if not delta.is_whole or not self.is_earlier_than(delta.revision):
            return False
        entries = [_to_event(item).key_value for item in delta.items]
        for told in delta.unchanged:
            known = self._items_by_key.get(told.key)
            if known is None or crc32(known.value) != told.checksum:
                return False
            entries.append(KeyValue(told.key, known.value, told.revision))
        entries.sort(key=lambda item: item.key)
        listing = Listing(tuple(entries), delta.revision)
        return self.apply_listing(listing, known_at=requested_at - delta.age_s)

    def _digest_differs(self, events: list[WatchEvent], delta: PrefixDelta) -> bool:
        """Return whether the digest shows a difference after the changes."""
        if not delta.digest or delta.revision < self.revision:
            return False
        revisions = _revisions(self._items_by_key)
        for event in events:
            key, revision = event.key_value.key, event.key_value.mod_revision
            if event.kind is EventKind.PUT:
                revisions[key] = max(revision, revisions.get(key, 0))
            elif revisions.get(key, 0) < revision:
                revisions.pop(key, None)
        return _digest(revisions) != delta.digest

    def delta(self, name: str, since: int, now: float) -> PrefixDelta:
        """Return the delta for a router that knows all changes up to a revision.

        Parameters
        ----------
        name : str
            Name of the prefix.
        since : int
            Revision up to which the other router knows all changes.
        now : float
            Time in seconds.
        """
        if since > 0 and era_of(since) < era_of(self.revision):
            whole = self._whole_delta(name, now)
            if whole is not None:
                return whole
        base_revision, items = self._changes_since(since)
        digest = _digest(_revisions(self._items_by_key)) if self._rarely_changes else 0
        return PrefixDelta(
            name,
            self.revision,
            now - self.known_at,
            self.last_change_revision,
            base_revision,
            items,
            digest,
        )

    def _whole_delta(self, name: str, now: float) -> PrefixDelta | None:
        """Return a delta with all items; None if it is too large."""
        items, unchanged, size = [], [], 0
        for key, item in self._items_by_key.items():
            if self._values_of_earlier_era.get(key) == item.value:
                checksum = crc32(item.value)
                unchanged.append(UnchangedItem(key, item.mod_revision, checksum))
                size += len(key) + NUMBERS_BYTES
            else:
                items.append(DeltaItem(key, item.mod_revision, item.value))
                size += len(key) + len(item.value)
        if size > MAX_WHOLE_DELTA_BYTES:
            return None
        return PrefixDelta(
            name,
            self.revision,
            now - self.known_at,
            self.last_change_revision,
            self.last_change_revision,
            items,
            is_whole=True,
            unchanged=unchanged,
        )

    def _changes_since(self, since: int) -> tuple[int, list[DeltaItem]]:
        """Return the base revision of a delta and its changes.

        The changes are empty, and the base is the last change, if they are not kept or
        too large.
        """
        if since < self._recent_base_revision:
            return self.last_change_revision, []
        newer = [each for each in self._recent if each.key_value.mod_revision > since]
        size = sum(len(each.key_value.key + each.key_value.value) for each in newer)
        if len(newer) > MAX_DELTA_CHANGES or size > MAX_DELTA_BYTES:
            return self.last_change_revision, []
        return since, [_to_item(event) for event in newer]

    def _apply_event(self, event: WatchEvent) -> bool:
        item = event.key_value
        known = self._items_by_key.get(item.key)
        if item.mod_revision <= _revision_of(known, self.revision):
            return False
        if event.kind is EventKind.PUT:
            self._items_by_key[item.key] = item
        else:
            self._items_by_key.pop(item.key, None)
        self._append_recent(event)
        return True

    def _append_recent(self, event: WatchEvent) -> None:
        if len(self._recent) == MAX_CHANGES_KEPT:
            self._recent_base_revision = self._recent[0].key_value.mod_revision
        self._recent.append(event)
        self.last_change_revision = max(
            self.last_change_revision, event.key_value.mod_revision
        )


def _to_event(item: DeltaItem) -> WatchEvent:
    kind = EventKind.DELETE if item.value is None else EventKind.PUT
    return WatchEvent(kind, KeyValue(item.key, item.value or b"", item.revision))


def _to_item(event: WatchEvent) -> DeltaItem:
    item = event.key_value
    value = None if event.kind is EventKind.DELETE else item.value
    return DeltaItem(item.key, item.mod_revision, value)


def _revision_of(item: KeyValue | None, all_known: int) -> int:
    """Return the revision up to which the state of a key is known."""
    return all_known if item is None else max(item.mod_revision, all_known)


def _digest(revisions: dict[bytes, int]) -> int:
    """Return a checksum of the keys and their revisions."""
    return crc32(repr(sorted(revisions.items())).encode())


def _revisions(items_by_key: dict[bytes, KeyValue]) -> dict[bytes, int]:
    return {key: item.mod_revision for key, item in items_by_key.items()}
