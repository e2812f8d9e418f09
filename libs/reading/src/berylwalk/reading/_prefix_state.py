"""The items under a prefix of the store, in the order of its revisions."""

from collections import deque
from zlib import crc32

from berylwalk.platform import Changes, EventKind, KeyValue, Listing, WatchEvent
from berylwalk.reading._messages import DeltaItem, PrefixDelta

MOST_CHANGES_KEPT = 64
"""Newest changes that are kept for others; who is further behind lists by itself."""
MOST_CHANGES_TOLD = 8
"""Changes in one word at most."""
MOST_BYTES_TOLD = 2_000
"""Bound of their keys and values: they travel in a datagram."""


class PrefixState:
    """What lists, watches and other routers told of the items, in whatever order.

    Lists and watches run side by side, and answers may be overtaken. What an answer
    tells counts by the revision at which the store gave it: an older answer changes
    nothing, and of a newer one only what is newer is taken.

    Parameters
    ----------
    is_steady : bool
        Whether items seldom come and go: if they are the same in two lists, nothing is
        taken to have changed between them. Who knows of one that came and went sees by
        the digest of a word that it has gone.

    Attributes
    ----------
    revision : int
        All changes up to this revision of the store are known.
    known_at : float
        When the store was known to be at that revision, in seconds: not before the
        moment at which it was asked, whoever asked.
    changed_at : int
        Revision up to which there may have been changes; none is known after it.
    """

    def __init__(self, *, rarely_changes: bool = False) -> None:
        self._rarely_changes = rarely_changes
        self.revision = 0
        self.known_at = float("-inf")
        self.last_change_revision = 0
        self._items_by_key: dict[bytes, KeyValue] = {}
        self._recent: deque[WatchEvent] = deque(maxlen=MOST_CHANGES_KEPT)
        self._recent_base_revision = 0

    @property
    def items(self) -> list[KeyValue]:
        """The items that are there."""
        return list(self._items_by_key.values())

    def apply_listing(
        self, listing: Listing, *, known_at: float = float("-inf")
    ) -> bool:
        """Take a list; returns whether it was not older than what is known.

        Pages of a list are no snapshot: an item of a later page may be newer than
        the list's revision.

        Parameters
        ----------
        listing : Listing
            The list.
        known_at : float
            When it was asked for.
        """
        if listing.revision < self.revision:
            return False
        items_by_key = {item.key: item for item in listing.entries}
        for key, known in self._items_by_key.items():
            listed = items_by_key.get(key)
            if known.mod_revision > _revision_of(listed, listing.revision):
                items_by_key[key] = known
        is_same = _revisions(items_by_key) == _revisions(self._items_by_key)
        is_later = listing.revision > self.revision
        if not is_same or (is_later and not self._rarely_changes):
            # What led here is not known change by change. Also if the items are the
            # same, another one may have come and gone, and others know that it came.
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
        """Take what a watch told; returns the events that are news.

        Parameters
        ----------
        changes : Changes
            All changes from a revision that is known on.
        known_at : float
            When the store was surely at their revision.
        """
        news = [event for event in changes.events if self._apply_event(event)]
        if changes.unreadable:
            self.last_change_revision = max(self.last_change_revision, changes.revision)
            self._recent.clear()
            self._recent_base_revision = self.last_change_revision
        self.revision = max(self.revision, changes.revision)
        self.known_at = max(self.known_at, known_at)
        return news

    def apply_delta(
        self, word: PrefixDelta, asked_at: float
    ) -> list[WatchEvent] | None:
        """Take what another router told; returns the events that are news.

        None if there are changes that it did not tell: they have to be read.

        Parameters
        ----------
        word : Word
            What it told.
        asked_at : float
            When it was asked, on the own clock.
        """
        known_at = asked_at - word.age_s
        if word.last_change_revision <= self.revision:
            events = []
        elif word.base_revision <= self.revision:
            events = [_event(item) for item in word.items]
        else:
            return None
        if self._differs_after(events, word):
            return None
        return self.apply_changes(
            Changes(tuple(events), word.revision), known_at=known_at
        )

    def _differs_after(self, events: list[WatchEvent], word: PrefixDelta) -> bool:
        """Return whether the other router has other items, its changes taken."""
        if not word.digest or word.revision < self.revision:
            return False
        revisions = _revisions(self._items_by_key)
        for event in events:
            key, revision = event.key_value.key, event.key_value.mod_revision
            if event.kind is EventKind.PUT:
                revisions[key] = max(revision, revisions.get(key, 0))
            elif revisions.get(key, 0) < revision:
                revisions.pop(key, None)
        return _digest(revisions) != word.digest

    def delta(self, name: str, since: int, now: float) -> PrefixDelta:
        """Return what is known, for a router that knows all up to a revision.

        Parameters
        ----------
        name : str
            Which items these are.
        since : int
            What the other router knows.
        now : float
            Time in seconds.
        """
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

    def _changes_since(self, since: int) -> tuple[int, list[DeltaItem]]:
        """Return the changes after a revision, and from where on they are whole."""
        if since < self._recent_base_revision:
            return self.last_change_revision, []
        newer = [each for each in self._recent if each.key_value.mod_revision > since]
        size = sum(len(each.key_value.key + each.key_value.value) for each in newer)
        if len(newer) > MOST_CHANGES_TOLD or size > MOST_BYTES_TOLD:
            return self.last_change_revision, []
        return since, [_item(event) for event in newer]

    def _apply_event(self, event: WatchEvent) -> bool:
        item = event.key_value
        known = self._items_by_key.get(item.key)
        if item.mod_revision <= _revision_of(known, self.revision):
            return False
        if event.kind is EventKind.PUT:
            self._items_by_key[item.key] = item
        else:
            self._items_by_key.pop(item.key, None)
        self._keep(event)
        return True

    def _keep(self, event: WatchEvent) -> None:
        if len(self._recent) == MOST_CHANGES_KEPT:
            self._recent_base_revision = self._recent[0].key_value.mod_revision
        self._recent.append(event)
        self.last_change_revision = max(
            self.last_change_revision, event.key_value.mod_revision
        )


def _event(item: DeltaItem) -> WatchEvent:
    kind = EventKind.DELETE if item.value is None else EventKind.PUT
    return WatchEvent(kind, KeyValue(item.key, item.value or b"", item.revision))


def _item(event: WatchEvent) -> DeltaItem:
    item = event.key_value
    value = None if event.kind is EventKind.DELETE else item.value
    return DeltaItem(item.key, item.mod_revision, value)


def _revision_of(item: KeyValue | None, all_known: int) -> int:
    """Return up to which revision a key is known, beside all others."""
    return all_known if item is None else max(item.mod_revision, all_known)


def _digest(revisions: dict[bytes, int]) -> int:
    """Return a number that tells two sets of items apart; 0 for none."""
    return crc32(repr(sorted(revisions.items())).encode())


def _revisions(items_by_key: dict[bytes, KeyValue]) -> dict[bytes, int]:
    return {key: item.mod_revision for key, item in items_by_key.items()}
