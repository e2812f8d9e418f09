"""The items under a prefix of the store, in the order of its revisions."""

from berylwalk.platform import Changes, EventKind, KeyValue, Listing, WatchEvent


class OrderedItems:
    """What lists and watches told of the items, whatever the order of their answers.

    Lists and watches run side by side, and answers may be overtaken. What an answer
    tells counts by the revision at which the store gave it: an older answer changes
    nothing, and of a newer one only what is newer is taken.

    Attributes
    ----------
    revision : int
        All changes up to this revision of the store are known.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items_by_key: dict[bytes, KeyValue] = {}

    @property
    def items(self) -> list[KeyValue]:
        """The items that are there."""
        return list(self._items_by_key.values())

    def take_list(self, listing: Listing) -> bool:
        """Take a list; returns whether it was not older than what is known.

        Pages of a list are no snapshot: an item of a later page may be newer than
        the list's revision.
        """
        if listing.revision < self.revision:
            return False
        items_by_key = {item.key: item for item in listing.entries}
        for key, known in self._items_by_key.items():
            listed = items_by_key.get(key)
            if known.mod_revision > _revision_of(listed, listing.revision):
                items_by_key[key] = known
        self._items_by_key = items_by_key
        self.revision = listing.revision
        return True

    def take_changes(self, changes: Changes) -> list[WatchEvent]:
        """Take what a watch told; returns the events that are news."""
        news = [event for event in changes.events if self._take_event(event)]
        self.revision = max(self.revision, changes.revision)
        return news

    def _take_event(self, event: WatchEvent) -> bool:
        item = event.key_value
        known = self._items_by_key.get(item.key)
        if item.mod_revision <= _revision_of(known, self.revision):
            return False
        if event.kind is EventKind.PUT:
            self._items_by_key[item.key] = item
        else:
            self._items_by_key.pop(item.key, None)
        return True


def _revision_of(item: KeyValue | None, all_known: int) -> int:
    """Return up to which revision a key is known, beside all others."""
    return all_known if item is None else max(item.mod_revision, all_known)
